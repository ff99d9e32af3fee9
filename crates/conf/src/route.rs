//! Which calls of a plain service may be repeated.

use base::Name;

use crate::document::{Effect, HttpMethod};

/// Effect of calls with one method below one path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The HTTP method.
    pub method: HttpMethod,
    /// Start of the path, in whole segments.
    pub path_prefix: Name,
    /// Whether running such a call twice does harm.
    pub effect: Effect,
}

/// Effect of a call: the route with the longest prefix decides, and without a route the method.
///
/// A path that a backend server might read differently from us, by decoding or by resolving dot
/// segments, matches no idempotent route.
pub(crate) fn effect_of(routes: &[Route], method: &str, path: &str) -> Effect {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let mut best: Option<&Route> = None;
    for route in routes {
        if route.method.to_string() != method || !covers(&route.path_prefix, path) {
            continue;
        }
        if best.is_none_or(|best| best.path_prefix.len() < route.path_prefix.len()) {
            best = Some(route);
        }
    }
    let effect = best.map_or_else(|| effect_of_method(method), |route| route.effect);
    if is_ambiguous(path) && has_non_idempotent(routes, method) {
        return Effect::NonIdempotent;
    }
    effect
}

/// Whether `prefix` covers `path` in whole segments.
fn covers(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}

fn effect_of_method(method: &str) -> Effect {
    match method {
        "GET" | "HEAD" | "OPTIONS" => Effect::Idempotent,
        _ => Effect::NonIdempotent,
    }
}

fn has_non_idempotent(routes: &[Route], method: &str) -> bool {
    let by_method = effect_of_method(method) == Effect::NonIdempotent;
    by_method
        || routes.iter().any(|route| {
            route.method.to_string() == method && route.effect == Effect::NonIdempotent
        })
}

fn is_ambiguous(path: &str) -> bool {
    let odd = path.contains(['%', '\\', ';']) || path.contains("//");
    odd || path
        .split('/')
        .any(|segment| segment == "." || segment == "..")
}
