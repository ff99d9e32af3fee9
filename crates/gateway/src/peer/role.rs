//! Which nodes follow the store themselves, and how often nodes tell each other of themselves.
//!
//! In a small fleet all do. In a large one a few of each failure domain follow the store and the
//! others learn from them, and the pace falls with the number of nodes, so that neither the store's
//! calls nor a node's datagrams grow with the fleet.

use base::units::Millisecond;
use base::{Map, Name};
use serde::{Deserialize, Serialize};

/// Fleets up to this size need no division of labour.
pub const SMALL_FLEET_NODES: usize = 12;

/// Nodes of each failure domain that follow the store in a large fleet: one may be lost.
const FOLLOWERS_PER_DOMAIN: usize = 2;

/// Time between two datagrams to a node in a small fleet: how old the loads are on which servers
/// are chosen.
pub const HEARTBEAT_PERIOD_MS: Millisecond = 120;

/// Whether a node follows the store itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It does.
    #[default]
    Follows,
    /// It learns from the nodes that do.
    Listens,
}

/// Another node as far as roles are concerned.
#[derive(Clone, Copy, Debug)]
pub struct PeerSummary<'a> {
    /// Its name.
    pub name: &'a Name,
    /// Where it stands.
    pub failure_domain: &'a Name,
    /// What it says it does.
    pub role: Role,
    /// Whether it ends.
    pub stay: DrainState,
    /// Whether it has been heard of lately.
    pub presence: Presence,
}

/// Whether a node ends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    /// It does not.
    #[default]
    Stays,
    /// It finishes what it has; others take over what it did for them.
    Leaves,
}

/// Whether a node has been heard of lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It has.
    Fresh,
    /// It has not.
    Silent,
}

/// The role of the node `own` among its peers.
pub fn role(own: &Name, failure_domain: &Name, peers: &[PeerSummary<'_>]) -> Role {
    if peers.len() < SMALL_FLEET_NODES {
        return Role::Follows;
    }
    let near = peers.iter().filter(|n| {
        let there = n.presence == Presence::Fresh && n.stay == DrainState::Stays;
        there && n.failure_domain == failure_domain
    });
    let before = near.clone().filter(|n| n.name < own).count();
    let spoken_for = near.clone().any(|n| n.role == Role::Follows);
    match before >= FOLLOWERS_PER_DOMAIN && spoken_for {
        true => Role::Listens,
        false => Role::Follows,
    }
}

/// Nodes that ask the store before the node `own` does. Each failure domain's first comes before any
/// domain's second, so that the loss of a whole domain takes away one of the first only.
pub fn rank(own: &Name, failure_domain: &Name, peers: &[PeerSummary<'_>]) -> usize {
    let others = peers.iter().filter(|n| {
        let there = n.presence == Presence::Fresh && n.stay == DrainState::Stays;
        there && n.role == Role::Follows
    });
    let mut domains: Map<&Name, Vec<&Name>> = Map::default();
    for other in others {
        domains
            .entry(other.failure_domain)
            .or_default()
            .push(other.name);
    }
    let near = domains.get(failure_domain).map_or(&[][..], Vec::as_slice);
    let place = near.iter().filter(|name| **name < own).count();
    let before = |domain: &Name, names: &[&Name]| match domain < failure_domain {
        true => names.len().min(place + 1),
        false => names.len().min(place),
    };
    domains
        .iter()
        .map(|(domain, names)| match *domain == failure_domain {
            true => place,
            false => before(domain, names),
        })
        .sum()
}

/// Time between two datagrams to each of the other nodes of a fleet.
pub fn period_ms(nodes: usize) -> Millisecond {
    HEARTBEAT_PERIOD_MS * nodes.div_ceil(SMALL_FLEET_NODES).max(1) as Millisecond
}
