//! Load shedding: which new requests are refused while servers have more prompt tokens to read than
//! the target time allows.
//!
//! A request accepted beyond that is late and delays those after it. Only the work of earlier
//! requests counts, so that long prompts are refused no more often than short ones.

use base::units::Millisecond;

/// Default share of the shortest target time of a service's routes that the work of earlier
/// requests may take before a new request starts.
pub const WAIT_SHARE: f64 = 1.0;

/// Reduction of that time per rank: it is divided by 1 plus this value times the rank, so that less
/// urgent requests are refused first.
const RANK_REDUCTION_SHARE: f64 = 0.25;

/// Longest time that the work of earlier requests may take before a new request starts. Rank 0 is
/// the most urgent.
pub fn wait_limit_ms(shortest_target_ms: Millisecond, wait_share: f64, rank: u8) -> Millisecond {
    let ranked = 1.0 + RANK_REDUCTION_SHARE * f64::from(rank);
    (shortest_target_ms as f64 * wait_share / ranked) as Millisecond
}

/// Least room of a request, as a share of its target. Without it, a wrong first guess of a
/// service's speed would shed all of its requests.
const LEAST_ROOM_SHARE: f64 = 0.25;

/// Steps of the running quantile of the room, relative to its value. As the step down is nine times
/// as large, it settles where one request in ten has less.
const ROOM_STEP_UP: f64 = 0.01;
const ROOM_STEP_DOWN: f64 = 0.09;

/// Share of the room that the work of earlier requests at the server may take. The rest is for the
/// wait in the node's queue, where requests are ordered. Nodes of a large fleet hear of each other's
/// requests up to 0.7 s late, so that servers with little work at hand would run idle.
const PLACED_SHARE: f64 = 0.75;

/// Ranks of requests, from 0 to 9.
const RANKS: usize = 10;

/// The limit for one request that has `own_room_ms` left for the work of others. A request that can't
/// be answered in time any more may still start behind a part of that work.
pub fn placed_limit_ms(limit_ms: Millisecond, own_room_ms: Millisecond) -> Millisecond {
    let least_ms = (limit_ms as f64 * LEAST_ROOM_SHARE) as Millisecond;
    limit_ms.min(own_room_ms.max(least_ms))
}

/// Time that a request has for the work of others before it, by the time that it takes itself.
pub fn room_ms(target_ms: Millisecond, work_ms: Millisecond) -> Millisecond {
    let least_ms = (target_ms as f64 * LEAST_ROOM_SHARE) as Millisecond;
    target_ms.saturating_sub(work_ms).max(least_ms)
}

/// Room that nearly all recent requests of each rank of a service had.
///
/// The limit of a rank follows from the room of that rank and of the more urgent ones, not from the
/// single request: otherwise requests with short prompts would fill the servers up to a wait at
/// which long ones of the same or a more urgent rank can't be answered in time.
#[derive(Clone, Copy, Debug, Default)]
pub struct RankRooms {
    rooms_ms: [Option<f64>; RANKS],
}

impl RankRooms {
    pub fn record(&mut self, rank: u8, room_ms: Millisecond) {
        let Some(slot) = self.rooms_ms.get_mut(usize::from(rank)) else {
            return;
        };
        let room_ms = room_ms as f64;
        *slot = Some(match *slot {
            None => room_ms,
            Some(known_ms) if room_ms < known_ms => {
                (known_ms * (1.0 - ROOM_STEP_DOWN)).max(room_ms)
            }
            Some(known_ms) => (known_ms * (1.0 + ROOM_STEP_UP)).min(room_ms),
        });
    }

    /// Longest time that the work of earlier requests may take before a new request of this rank
    /// starts; `None` if no request of it or of a more urgent one is known.
    pub fn wait_limit_ms(&self, rank: u8, wait_share: f64) -> Option<Millisecond> {
        let up_to = self.rooms_ms.iter().take(usize::from(rank) + 1);
        let least_ms = up_to.flatten().copied().min_by(f64::total_cmp)?;
        let placed_ms = (least_ms * PLACED_SHARE) as Millisecond;
        Some(wait_limit_ms(placed_ms, wait_share, rank))
    }
}
