//! Which other nodes remember the version of a stream, and which ones are asked for it.
//!
//! The stream's key draws them by rendezvous hashing, so that nodes which know the same nodes draw
//! the same ones without agreement.

use std::net::SocketAddr;

use fleet::hash::rendezvous;
use policy::suspect::RequestDigest;

use crate::peer::role::{DrainState, PeerSummary, Presence};

/// Another node and its address.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    pub node: PeerSummary<'a>,
    pub address: SocketAddr,
}

/// How likely a node is to answer later, from the least to the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Standing {
    Silent,
    Leaving,
    Staying,
}

impl Candidate<'_> {
    fn standing(&self) -> Standing {
        match (self.node.presence, self.node.stay) {
            (Presence::Silent, _) => Standing::Silent,
            (Presence::Fresh, DrainState::Leaves) => Standing::Leaving,
            (Presence::Fresh, DrainState::Stays) => Standing::Staying,
        }
    }

    fn rank(&self, key: RequestDigest) -> (Standing, u64) {
        (self.standing(), rendezvous(self.node.name, key.into()))
    }
}

/// The two nodes that remember a stream: the highest-ranking one, and the next one, of another
/// failure domain if possible.
pub fn drawn_nodes(key: RequestDigest, nodes: &[Candidate<'_>]) -> Vec<SocketAddr> {
    let Some(first) = nodes.iter().max_by_key(|n| n.rank(key)) else {
        return Vec::new();
    };
    let others = nodes.iter().filter(|n| n.address != first.address);
    let second = others.max_by_key(|n| {
        let is_apart = n.node.failure_domain != first.node.failure_domain;
        let (standing, weight) = n.rank(key);
        (standing, is_apart, weight)
    });
    let drawn = std::iter::once(first).chain(second);
    drawn.map(|n| n.address).collect()
}

/// Up to `limit` nodes to ask for a stream: those that remember it, then the others by rank.
pub fn nodes_to_ask(key: RequestDigest, nodes: &[Candidate<'_>], limit: usize) -> Vec<SocketAddr> {
    let mut addresses = drawn_nodes(key, nodes);
    let mut ranked: Vec<_> = nodes.iter().map(|n| (n.rank(key), n.address)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    for (_, address) in ranked {
        if addresses.len() >= limit {
            break;
        }
        if !addresses.contains(&address) {
            addresses.push(address);
        }
    }
    addresses.truncate(limit);
    addresses
}
