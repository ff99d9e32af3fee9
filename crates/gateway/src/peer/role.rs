//! Which nodes follow the store themselves, and how often nodes send heartbeats.
//!
//! In a small fleet all nodes follow the store. In a large one a few nodes of each failure domain
//! do and the others learn from them, and heartbeats become rarer as the number of nodes grows, so
//! that neither the calls to the store nor a node's datagrams grow with the fleet. If the followers
//! are not served, others follow the store in their place.

use base::units::Millisecond;
use base::{Map, Name};
use serde::{Deserialize, Serialize};

use crate::decide::stand_in::{ListenerRank, Overdue, has_turn};
use crate::decide::store_calls::StoreAccess;

/// Most nodes of a fleet in which every node follows the store and sends heartbeats at full rate.
pub const SMALL_FLEET_NODES: usize = 12;

/// Nodes of each failure domain that follow the store in a large fleet; two, so that one may be
/// lost.
const FOLLOWERS_PER_DOMAIN: usize = 2;

/// Time between two heartbeats to the same node in a small fleet; bounds the age of the loads by
/// which servers are chosen.
pub const HEARTBEAT_PERIOD_MS: Millisecond = 120;

/// Whether a node follows the store itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The node queries the store.
    #[default]
    Follows,
    /// The node learns from nodes that follow the store.
    Listens,
}

/// Attributes of another node that decide roles and ranks.
#[derive(Clone, Copy, Debug)]
pub struct PeerSummary<'a> {
    pub name: &'a Name,
    pub failure_domain: &'a Name,
    /// Role in its last heartbeat.
    pub role: Role,
    pub stay: DrainState,
    pub presence: Presence,
    /// Whether the store served it, by its last heartbeat.
    pub access: StoreAccess,
}

/// How this node stands with the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OwnCopies {
    /// The copies are as young as followers keep them.
    #[default]
    Current,
    /// The same, and this node has read the store itself a moment ago.
    Read,
    /// The copies are older than they get while some follower is served.
    Overdue(Overdue),
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainState {
    #[default]
    Stays,
    /// The node finishes its requests; other nodes take over its role.
    Leaves,
}

/// Whether a node has been heard recently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    Fresh,
    Silent,
}

/// The role of the node `own` among the other nodes.
pub fn role(
    own: &Name,
    failure_domain: &Name,
    peers: &[PeerSummary<'_>],
    copies: OwnCopies,
) -> Role {
    if peers.len() < SMALL_FLEET_NODES {
        return Role::Follows;
    }
    let same_domain = peers.iter().filter(|n| {
        let is_member = n.presence == Presence::Fresh && n.stay == DrainState::Stays;
        is_member && n.failure_domain == failure_domain
    });
    let before = same_domain.clone().filter(|n| n.name < own).count();
    let has_follower = same_domain.clone().any(|n| n.role == Role::Follows);
    if before < FOLLOWERS_PER_DOMAIN || !has_follower {
        return Role::Follows;
    }
    let follows = match copies {
        OwnCopies::Current => false,
        OwnCopies::Read => {
            let served = same_domain.filter(|n| {
                n.role == Role::Follows && n.access == StoreAccess::Served && n.name < own
            });
            served.count() < FOLLOWERS_PER_DOMAIN
        }
        OwnCopies::Overdue(overdue) => {
            let rank = ListenerRank {
                position: before - FOLLOWERS_PER_DOMAIN,
                nodes: same_domain.count() + 1 - FOLLOWERS_PER_DOMAIN,
            };
            has_turn(rank, overdue)
        }
    };
    match follows {
        true => Role::Follows,
        false => Role::Listens,
    }
}

/// Number of nodes that query the store before the node `own` does; those that the store does not
/// serve don't count. The first node of every failure
/// domain ranks before the second node of any, so that losing a whole domain removes only one of
/// the top ranks.
pub fn rank(own: &Name, failure_domain: &Name, peers: &[PeerSummary<'_>]) -> usize {
    let followers = peers.iter().filter(|n| {
        let is_member = n.presence == Presence::Fresh && n.stay == DrainState::Stays;
        is_member && n.role == Role::Follows && n.access == StoreAccess::Served
    });
    let mut domains: Map<&Name, Vec<&Name>> = Map::default();
    for follower in followers {
        domains
            .entry(follower.failure_domain)
            .or_default()
            .push(follower.name);
    }
    let same_domain = domains.get(failure_domain).map_or(&[][..], Vec::as_slice);
    let position = same_domain.iter().filter(|name| **name < own).count();
    let count_before = |domain: &Name, names: &[&Name]| match domain < failure_domain {
        true => names.len().min(position + 1),
        false => names.len().min(position),
    };
    domains
        .iter()
        .map(|(domain, names)| match *domain == failure_domain {
            true => position,
            false => count_before(domain, names),
        })
        .sum()
}

/// Time between two heartbeats to the same node in a fleet of `nodes`.
pub fn period_ms(nodes: usize) -> Millisecond {
    HEARTBEAT_PERIOD_MS * nodes.div_ceil(SMALL_FLEET_NODES).max(1) as Millisecond
}
