//! Selection of the servers that a routing decision compares.

use base::Name;
use rand::Rng;

use super::blocks::BLOCK_TOKENS;
use super::state::RouteState;
use super::view::{NoServer, RouteRequest, Routing, ServerState, ServerView};

/// Largest view of which every server is a candidate; larger views are sampled.
const MAX_UNSAMPLED_VIEW: usize = 64;

/// Random draws from a view that is sampled.
const SAMPLE_SIZE: usize = 24;

/// Most holders of the prompt's prefix that are candidates beside the sample.
const MAX_PREFIX_HOLDERS: usize = 8;

pub(super) struct Candidate<'a> {
    pub view: &'a ServerView,
    pub cached_tokens: u64,
}

/// Selects the candidates. In a small view they are all usable servers. In a large one they are the
/// best holders of the prompt's prefix and a random sample, which bounds the time of a decision.
pub(super) fn select<'a>(
    routing: Routing,
    view: &'a [ServerView],
    request: &RouteRequest,
    local: &RouteState,
    rng: &mut impl Rng,
) -> Result<Vec<Candidate<'a>>, NoServer> {
    let matches = match routing {
        Routing::Cost => best_matches(request, local),
        _ => Vec::new(),
    };
    let sampled = routing == Routing::Cost && view.len() > MAX_UNSAMPLED_VIEW;
    let mut found = Vec::new();
    if sampled {
        add_matches(&mut found, view, request, &matches);
        add_sample(&mut found, view, request, rng);
    }
    if found.is_empty() {
        add_all(&mut found, view, request, ServerState::Live);
    }
    if found.is_empty() {
        add_all(&mut found, view, request, ServerState::Suspect);
    }
    if found.is_empty() {
        return Err(no_server_error(view, request));
    }
    let mut candidates = Vec::with_capacity(found.len());
    for server in found {
        let matched = matches.iter().find(|(name, _)| *name == server.server);
        let blocks = matched.map_or(0, |(_, blocks)| *blocks as u64);
        let cached_tokens = (blocks * BLOCK_TOKENS).min(request.prompt_tokens);
        candidates.push(Candidate {
            view: server,
            cached_tokens,
        });
    }
    Ok(candidates)
}

fn best_matches(request: &RouteRequest, local: &RouteState) -> Vec<(Name, usize)> {
    let mut matches = local.index().matches(&request.blocks);
    matches.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    matches
}

fn usable(server: &ServerView, request: &RouteRequest, state: ServerState) -> bool {
    server.state == state
        && server.service == request.service
        && !request.excluded.contains(&server.server)
}

fn add_matches<'a>(
    found: &mut Vec<&'a ServerView>,
    view: &'a [ServerView],
    request: &RouteRequest,
    matches: &[(Name, usize)],
) {
    for (name, _) in matches {
        let Ok(position) = view.binary_search_by(|server| server.server.cmp(name)) else {
            continue;
        };
        if !usable(&view[position], request, ServerState::Live) {
            continue;
        }
        found.push(&view[position]);
        if found.len() == MAX_PREFIX_HOLDERS {
            return;
        }
    }
}

fn add_sample<'a>(
    found: &mut Vec<&'a ServerView>,
    view: &'a [ServerView],
    request: &RouteRequest,
    rng: &mut impl Rng,
) {
    for _ in 0..SAMPLE_SIZE {
        let server = &view[rng.random_range(0..view.len())];
        if !usable(server, request, ServerState::Live) {
            continue;
        }
        if found.iter().any(|other| other.server == server.server) {
            continue;
        }
        found.push(server);
    }
}

fn add_all<'a>(
    found: &mut Vec<&'a ServerView>,
    view: &'a [ServerView],
    request: &RouteRequest,
    state: ServerState,
) {
    for server in view {
        if usable(server, request, state) {
            found.push(server);
        }
    }
}

fn no_server_error(view: &[ServerView], request: &RouteRequest) -> NoServer {
    let service = request.service.clone();
    let mut known = false;
    let mut any_staying = false;
    for server in view {
        if server.service != service {
            continue;
        }
        known = true;
        any_staying |= server.state != ServerState::Leaving;
    }
    match (known, any_staying) {
        (false, _) => NoServer::NoneKnown { service },
        (true, false) => NoServer::AllLeaving { service },
        (true, true) => NoServer::AllExcluded { service },
    }
}
