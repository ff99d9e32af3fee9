//! When a node polls the store for changes.
//!
//! The load on the store must not grow with the number of nodes, so one node polls for all and
//! tells the others how old its data is. If that age shows that the first node has stopped, is cut
//! off or is rejected by the store, the others take over, each a little later than the one before.
//! This needs no agreement between nodes: two nodes that both poll cost one extra call.

use base::units::Millisecond;

/// Age at which the first node polls again, as a share of the age limit.
const FIRST_POLL_SHARE: f64 = 0.25;

/// Length of a long poll, as a share of the age limit.
const LONG_POLL_SHARE: f64 = 0.5;

/// Limit on the length of a long poll, so that a dead connection is noticed soon.
pub const MAX_LONG_POLL_MS: Millisecond = 1_000;

/// Age at which every node polls at the latest, as a share of the age limit. The rest of the limit
/// is left for the answer to reach the other nodes.
const LAST_POLL_SHARE: f64 = 0.5;

/// Age at which every node starts a long poll at the latest, as a share of the age limit.
const LAST_LONG_POLL_SHARE: f64 = 0.75;

/// Delay between the polls of one node and the next: the period of a datagram and its transit.
const RANK_DELAY_MS: Millisecond = 150;

/// Time that an answer may be in transit.
pub const ANSWER_TRANSIT_MS: Millisecond = 50;

/// Longest time that a periodic poll waits for changes if there are none.
const PERIODIC_WAIT_MS: Millisecond = 50;

/// Position of a node in the order in which nodes poll the store, starting at 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRank {
    /// The number of nodes that come before this one.
    After(usize),
    /// Too few other nodes have been heard of to tell.
    Unknown,
}

/// How the changes of a topic are polled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollMode {
    /// For a topic that changes all the time: polled at intervals and answered at once.
    Periodic,
    /// For a topic that seldom changes: the store holds each poll until there is a change.
    LongPoll,
}

/// Age of the data at which a node polls. `bound_ms` is the age limit, which data may not exceed.
pub fn poll_due_ms(mode: PollMode, rank: PollRank, bound_ms: Millisecond) -> Millisecond {
    let part = |share: f64| (bound_ms as f64 * share) as Millisecond;
    let (first_ms, last_ms) = match mode {
        PollMode::Periodic => (part(FIRST_POLL_SHARE), part(LAST_POLL_SHARE)),
        PollMode::LongPoll => (0, part(LAST_LONG_POLL_SHARE)),
    };
    let due_ms = match rank {
        PollRank::After(0) => first_ms,
        PollRank::After(nodes) => {
            let answered_ms = first_ms + poll_wait_ms(mode, bound_ms) + ANSWER_TRANSIT_MS;
            answered_ms + RANK_DELAY_MS * nodes as Millisecond
        }
        PollRank::Unknown => last_ms,
    };
    due_ms.min(last_ms)
}

/// Longest time that the store may hold a poll.
pub fn poll_wait_ms(mode: PollMode, bound_ms: Millisecond) -> Millisecond {
    match mode {
        PollMode::Periodic => PERIODIC_WAIT_MS,
        PollMode::LongPoll => {
            ((bound_ms as f64 * LONG_POLL_SHARE) as Millisecond).min(MAX_LONG_POLL_MS)
        }
    }
}
