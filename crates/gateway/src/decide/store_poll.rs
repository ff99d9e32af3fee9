//! When a node asks the store for news.
//!
//! Answers load: the calls of all nodes together, which are not to grow with the fleet. One node asks
//! for all, and tells the others how old its knowledge is. The next ones step in, each a little later
//! than the one before, as soon as that age shows that the first has stopped, is cut off, or is turned
//! away by the store. Nothing is agreed on: two nodes that both ask cost a call.

use base::units::Millisecond;

/// Part of a bound at which the first node asks again.
const FIRST_POLL_SHARE: f64 = 0.25;

/// Part of a bound for which the first node lets one question wait for changes.
const LONG_POLL_SHARE: f64 = 0.5;

/// Most of it: a connection that has gone silent is noticed soon after.
pub const MAX_LONG_POLL_MS: Millisecond = 1_000;

/// Part of a bound at which every node asks: what is left carries the answer to the others.
const LAST_POLL_SHARE: f64 = 0.5;

/// As [`LAST_SHARE`], for a question that waits for changes.
const LAST_LONG_POLL_SHARE: f64 = 0.75;

/// Between one node's turn and the next one's: a datagram's period and its way.
const RANK_DELAY_MS: Millisecond = 150;

/// Time that an answer may take on its way.
const ANSWER_TRANSIT_MS: Millisecond = 50;

/// A question that is paced waits for changes no longer than this, if there are none just then.
const PERIODIC_WAIT_MS: Millisecond = 50;

/// Place of a node among those that ask the store; the first is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollRank {
    /// So many come before it.
    After(usize),
    /// Too few of the others have been heard to tell.
    Unknown,
}

/// How a topic's news is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollMode {
    /// It changes all the time: it is asked for now and then, and answered at once.
    Periodic,
    /// It changes seldom: the question waits for a change.
    LongPoll,
}

/// Age of what is known at which a node asks; `bound_ms` is the age that nothing may exceed.
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

/// Longest wait of a question for changes.
pub fn poll_wait_ms(mode: PollMode, bound_ms: Millisecond) -> Millisecond {
    match mode {
        PollMode::Periodic => PERIODIC_WAIT_MS,
        PollMode::LongPoll => {
            ((bound_ms as f64 * LONG_POLL_SHARE) as Millisecond).min(MAX_LONG_POLL_MS)
        }
    }
}
