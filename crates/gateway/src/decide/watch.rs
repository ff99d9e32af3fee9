//! When a node asks the store for news.
//!
//! Answers load: the calls of all nodes together, which are not to grow with the fleet. One node asks
//! for all, and tells the others how old its knowledge is. The next ones step in, each a little later
//! than the one before, as soon as that age shows that the first has stopped, is cut off, or is turned
//! away by the store. Nothing is agreed on: two nodes that both ask cost a call.

use base::units::Millisecond;

/// Part of a bound at which the first node asks again.
const FIRST_SHARE: f64 = 0.25;

/// Part of a bound for which the first node lets one question wait for changes.
const HELD_SHARE: f64 = 0.5;

/// Most of it: a connection that has gone silent is noticed soon after.
pub const HELD_LIMIT_MS: Millisecond = 1_000;

/// Part of a bound at which every node asks: what is left carries the answer to the others.
const LAST_SHARE: f64 = 0.5;

/// As [`LAST_SHARE`], for a question that waits for changes.
const LAST_HELD_SHARE: f64 = 0.75;

/// Between one node's turn and the next one's: a datagram's period and its way.
const STEP_MS: Millisecond = 150;

/// Time that an answer may take on its way.
const ANSWER_MS: Millisecond = 50;

/// A question that is paced waits for changes no longer than this, if there are none just then.
const PACED_MS: Millisecond = 50;

/// Place of a node among those that ask the store; the first is 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// So many come before it.
    After(usize),
    /// Too few of the others have been heard to tell.
    Unknown,
}

/// How a topic's news is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// It changes all the time: it is asked for now and then, and answered at once.
    Paced,
    /// It changes seldom: the question waits for a change.
    Held,
}

/// Age of what is known at which a node asks; `bound_ms` is the age that nothing may exceed.
pub fn due_ms(question: Question, rank: Rank, bound_ms: Millisecond) -> Millisecond {
    let part = |share: f64| (bound_ms as f64 * share) as Millisecond;
    let (first_ms, last_ms) = match question {
        Question::Paced => (part(FIRST_SHARE), part(LAST_SHARE)),
        Question::Held => (0, part(LAST_HELD_SHARE)),
    };
    let due_ms = match rank {
        Rank::After(0) => first_ms,
        Rank::After(nodes) => {
            let answered_ms = first_ms + wait_ms(question, bound_ms) + ANSWER_MS;
            answered_ms + STEP_MS * nodes as Millisecond
        }
        Rank::Unknown => last_ms,
    };
    due_ms.min(last_ms)
}

/// Longest wait of a question for changes.
pub fn wait_ms(question: Question, bound_ms: Millisecond) -> Millisecond {
    match question {
        Question::Paced => PACED_MS,
        Question::Held => ((bound_ms as f64 * HELD_SHARE) as Millisecond).min(HELD_LIMIT_MS),
    }
}
