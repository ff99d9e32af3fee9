//! Which servers of a service a new request may be sent to while an order is known.

use base::Name;
use base::units::Millisecond;

use super::{Decision, RolloutState};

/// Age above which the holder's decision no longer applies.
pub const DECISION_LIFE_MS: Millisecond = 1_500;

/// What a node knows of an order.
#[derive(Clone, Debug)]
pub struct Knowledge {
    pub state: RolloutState,
    /// The holder's decision, unless it is too old.
    pub decision: Option<Decision>,
    /// Time since the order beyond its duration; `None` before its deadline.
    pub past_deadline_ms: Option<Millisecond>,
}

/// The versions that a new request may be sent to, in order of preference. The next is used only if
/// no server of the one before takes the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Versions {
    OldOnly,
    /// At most this many servers of the new version.
    NewThenOld(u32),
    /// Old servers if there are any in the registry.
    OldThenNew,
}

/// Time after the deadline from which a service whose servers all have the new version counts as
/// completed: the old ones stop only then.
const OVERDUE_MS: Millisecond = 2_000;

impl Knowledge {
    /// Chooses for a request with the random number `drawn`, from 0 to 1.
    pub fn versions(&self, drawn: f64) -> Versions {
        match self.state {
            RolloutState::Completed => return Versions::NewThenOld(u32::MAX),
            RolloutState::RolledBack | RolloutState::Withdrawn => return Versions::OldOnly,
            RolloutState::Running => {}
        }
        match self.decision {
            Some(decision) if drawn < decision.share => Versions::NewThenOld(decision.servers),
            Some(_) => Versions::OldOnly,
            None if self.past_deadline_ms.is_some_and(|ms| ms >= OVERDUE_MS) => {
                Versions::OldThenNew
            }
            None => Versions::OldOnly,
        }
    }

    /// Whether a caller may go on with a stream that the new version began.
    pub fn may_go_on(&self) -> bool {
        match self.state {
            RolloutState::Running | RolloutState::Completed => true,
            RolloutState::RolledBack | RolloutState::Withdrawn => false,
        }
    }
}

/// Whether the orders were read after a server's entry was written. Until then the server may belong
/// to an order that this node has not read.
pub fn orders_are_younger(
    orders_confirmed_ms: Millisecond,
    first_seen_ms: Millisecond,
    orders_unix_ms: u64,
    born_unix_ms: u64,
) -> bool {
    /// Difference between the clocks of servers and nodes that is tolerated.
    const CLOCK_MARGIN_MS: u64 = 2_000;
    let is_older_server = born_unix_ms > 0 && orders_unix_ms >= born_unix_ms + CLOCK_MARGIN_MS;
    orders_confirmed_ms > 0 && (orders_confirmed_ms >= first_seen_ms || is_older_server)
}

/// The first servers of the new version: the earliest started, so that all nodes choose the same.
pub fn earliest(mut servers: Vec<(u64, Name)>, limit: u32) -> Vec<Name> {
    servers.sort_unstable();
    servers.truncate(limit as usize);
    servers.into_iter().map(|(_, id)| id).collect()
}
