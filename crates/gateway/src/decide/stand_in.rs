//! Which listening nodes ask the store while the nodes that follow it don't answer for it.
//!
//! A listening node relies on what followers have read, not on their being there. Once its copies
//! are older than they get while any follower is served, a few nodes of each failure domain ask the
//! store, then the next few. The number of calls doesn't depend on the size of the fleet, also while
//! the store is down for all.

use base::units::Millisecond;

use super::store_poll::{ANSWER_TRANSIT_MS, PollMode, PollRank, poll_due_ms, poll_wait_ms};

/// Nodes of a failure domain that ask at the same time.
const STAND_INS: usize = 2;

/// Time that a copy takes from the node that reads it to a listening node: a pulse between
/// followers and one to listeners, if one of them is lost.
const SPREAD_MS: Millisecond = 550;

/// Time after which the next nodes ask.
const TURN_MS: Millisecond = 300;

/// The same once the copies have been overdue for `LONG_MS`: the store is probably down for all.
const LONG_TURN_MS: Millisecond = 1_500;
const LONG_MS: Millisecond = 3_000;

/// Largest share of an age limit at which the first nodes ask.
const LAST_SHARE: f64 = 0.8;

/// Age that a listening node's copy of a topic reaches only if no follower is served.
pub fn overdue_age_ms(mode: PollMode, bound_ms: Millisecond) -> Millisecond {
    let first_ms = poll_due_ms(mode, PollRank::After(0), bound_ms);
    let answered_ms = first_ms + poll_wait_ms(mode, bound_ms) + ANSWER_TRANSIT_MS;
    let last_ms = (bound_ms as f64 * LAST_SHARE) as Millisecond;
    (answered_ms + SPREAD_MS).min(last_ms)
}

/// A listening node among those of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenerRank {
    /// Listening nodes that come before this one.
    pub position: usize,
    /// Number of listening nodes, this one included.
    pub nodes: usize,
}

/// How much too old a listening node's copies are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overdue {
    /// Time since the copies became overdue.
    pub overdue_ms: Millisecond,
    /// Time since the node's last call to the store that failed.
    pub since_failure_ms: Millisecond,
}

/// Whether it is a listening node's turn to ask the store. A node asks once in its turn.
pub fn has_turn(rank: ListenerRank, overdue: Overdue) -> bool {
    let short_turns = LONG_MS / TURN_MS;
    let (turn, turn_ms) = match overdue.overdue_ms.checked_sub(LONG_MS) {
        None => (overdue.overdue_ms / TURN_MS, overdue.overdue_ms % TURN_MS),
        Some(ms) => (short_turns + ms / LONG_TURN_MS, ms % LONG_TURN_MS),
    };
    let groups = rank.nodes.div_ceil(STAND_INS).max(1);
    let is_in_group = rank.position / STAND_INS == turn as usize % groups;
    is_in_group && overdue.since_failure_ms > turn_ms
}
