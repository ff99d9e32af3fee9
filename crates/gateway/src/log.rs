//! Rate-limited log events of the gateway.
//!
//! Above the limit, events of level info are dropped and counted; warnings and errors are always
//! written.

use std::cell::RefCell;

use events::{Code, Level};
use serde::Serialize;
use tokio::time::Instant;

/// Most events of level info per second; the rest of a burst is dropped and counted.
const LINES_PER_S: u32 = 150;

/// Lines of these that are left to the events that tell which versions are in force here, and what
/// a holder decides of new ones: a node that starts hears of all other nodes and servers within a
/// second, and one that wakes from a pause answers all requests that waited.
const VERSION_LINES_PER_S: u32 = 30;

thread_local! {
    static BUDGET: RefCell<LineBudget> = RefCell::new(LineBudget::default());
}

#[derive(Default)]
struct LineBudget {
    second: Option<Instant>,
    lines: u32,
    left_out: u64,
}

#[derive(Serialize)]
struct LeftOutFields {
    lines: u64,
}

/// Writes an event, unless its level is info and the limit for this second is reached.
pub fn emit<F: Serialize>(code: Code, fields: &F) {
    let ordinary = code.level() == Level::Info;
    if ordinary && BUDGET.with_borrow_mut(|budget| budget.refuses(limit_per_s(code))) {
        return;
    }
    events::emit(code, fields);
}

fn limit_per_s(code: Code) -> u32 {
    match code {
        Code::ConfigInForce | Code::BeliefPulled | Code::RoleChanged | Code::RolloutStaged => {
            LINES_PER_S
        }
        _ => LINES_PER_S - VERSION_LINES_PER_S,
    }
}

impl LineBudget {
    fn refuses(&mut self, limit: u32) -> bool {
        let now = Instant::now();
        let same_second = self
            .second
            .is_some_and(|s| now.duration_since(s).as_secs() == 0);
        if !same_second {
            self.second = Some(now);
            self.lines = 0;
            let lines = std::mem::take(&mut self.left_out);
            if lines > 0 {
                events::emit(Code::LinesLeftOut, &LeftOutFields { lines });
            }
        }
        let over = self.lines >= limit;
        self.lines += u32::from(!over);
        self.left_out += u64::from(over);
        over
    }
}
