//! The servers that a request may be sent to while a service changes its version.

use std::rc::Rc;

use base::{Name, Set};

use super::{Rollout, Rollouts, is_on};
use crate::belief::Server;
use crate::decide::rollout::choice::{Versions, earliest, orders_are_younger};
use crate::front::job::Job;
use crate::node::Node;

/// Share of the new requests of a service that a version may get at this node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Share {
    /// No order concerns the version.
    Unrestricted,
    Part(f64),
    Nothing,
}

/// The share of a version in the new requests of a service.
pub fn permits(node: &Node, service: &Name, version: &Name) -> Share {
    let rollouts = node.rollouts.borrow();
    let Some(rollout) = rollouts.by_service.get(service) else {
        return Share::Unrestricted;
    };
    if rollout.barred.contains(version) {
        return Share::Nothing;
    }
    let knowledge = rollout.knowledge(node.now_ms());
    let to_new = match (knowledge.versions(0.0), knowledge.decision) {
        (Versions::OldOnly, _) => 0.0,
        (Versions::NewThenOld(u32::MAX) | Versions::OldThenNew, _) => 1.0,
        (Versions::NewThenOld(_), decision) => decision.map_or(0.0, |d| d.share),
    };
    let share = match *version == rollout.order.to {
        true => to_new,
        false => 1.0 - to_new,
    };
    match share > 0.0 {
        true => Share::Part(share),
        false => Share::Nothing,
    }
}

/// Whether an attempt is the first of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOrder {
    First,
    /// A retry goes to the old version if that still gets requests.
    Later,
}

/// Keeps the servers that the request may be sent to, of those that take requests.
pub fn keep_permitted(
    node: &Node,
    job: &Job<'_>,
    servers: Vec<Rc<Server>>,
    attempt: AttemptOrder,
) -> Vec<Rc<Server>> {
    if !is_on(node) {
        return servers;
    }
    let rollouts = node.rollouts.borrow();
    let servers = rollouts.known(node, servers);
    let Some(rollout) = rollouts.by_service.get(&job.service.name) else {
        return servers;
    };
    let knowledge = rollout.knowledge(node.now_ms());
    if let Some(version) = job.version() {
        // A stream goes on at its version also while that gets no new requests.
        return match *version == rollout.order.to && !knowledge.may_go_on() {
            true => Vec::new(),
            false => servers,
        };
    }
    let drawn = match attempt {
        AttemptOrder::First => job.rollout_drawn(),
        AttemptOrder::Later => LAST_DRAWN,
    };
    let (new, old) = split(rollout, servers);
    match knowledge.versions(drawn) {
        Versions::OldOnly => old,
        Versions::OldThenNew if old.is_empty() => new,
        Versions::OldThenNew => old,
        Versions::NewThenOld(u32::MAX) => first_of(new, leave_out(&old, &rollout.retired), old),
        Versions::NewThenOld(limit) => {
            let is_all = knowledge.decision.is_some_and(|d| d.share >= 1.0);
            let mut chosen = match is_all {
                true => new,
                false => earliest_of(new, limit),
            };
            if !is_all {
                chosen.retain(|server| server.load().running < server.record.slots);
            }
            first_of(chosen, Vec::new(), old)
        }
    }
}

/// Greatest random number, which only a share of 1 exceeds.
const LAST_DRAWN: f64 = 1.0 - f64::EPSILON;

/// Old servers beside new ones in a completed rollout serve on if a later release has brought them.
fn first_of(
    mut new: Vec<Rc<Server>>,
    released: Vec<Rc<Server>>,
    old: Vec<Rc<Server>>,
) -> Vec<Rc<Server>> {
    new.extend(released);
    match new.is_empty() {
        true => old,
        false => new,
    }
}

fn leave_out(servers: &[Rc<Server>], versions: &Set<Name>) -> Vec<Rc<Server>> {
    let kept = servers.iter();
    let kept = kept.filter(|server| !versions.contains(&server.record.version));
    kept.cloned().collect()
}

/// Servers of the order's version, and the others. Versions of earlier orders that did not complete
/// are left out unless there is no other.
fn split(rollout: &Rollout, servers: Vec<Rc<Server>>) -> (Vec<Rc<Server>>, Vec<Rc<Server>>) {
    let is_new = |server: &Rc<Server>| server.record.version == rollout.order.to;
    let (new, others): (Vec<_>, Vec<_>) = servers.into_iter().partition(is_new);
    (new, leave_out(&others, &rollout.barred))
}

fn earliest_of(mut servers: Vec<Rc<Server>>, limit: u32) -> Vec<Rc<Server>> {
    let starts = servers.iter();
    let starts = starts.map(|s| (s.record.born_unix_ms, s.record.id.clone()));
    let chosen = earliest(starts.collect(), limit);
    servers.retain(|server| chosen.contains(&server.record.id));
    servers
}

impl Rollouts {
    /// Leaves out servers of versions that may belong to an order which this node has not read.
    fn known(&self, node: &Node, mut servers: Vec<Rc<Server>>) -> Vec<Rc<Server>> {
        let now_ms = node.now_ms();
        servers.retain(|server| {
            let record = &server.record;
            let key = (record.service.clone(), record.version.clone());
            let first_seen_ms = self.first_seen.get(&key).copied().unwrap_or(now_ms);
            orders_are_younger(
                self.orders_confirmed_ms,
                first_seen_ms,
                self.orders_unix_ms,
                record.born_unix_ms,
            )
        });
        servers
    }
}
