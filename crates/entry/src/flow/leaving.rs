//! Decides what a stream does when its backend server announces that it will stop.

use base::Name;
use base::ids::RequestId;
use base::outcome::RunState;
use base::units::Millisecond;
use events::Code;
use policy::reclaim::StreamDecision;
use serde::Serialize;

use super::reclaim::LeavingNotice;
use super::relay::Relay;
use super::transfer::{KvTransfer, move_kv};

/// Tokens that an attempt must have produced before its measured time per token is used.
const PACE_TOKENS_MIN: u64 = 4;

/// Decode time per token assumed until an attempt has produced `PACE_TOKENS_MIN` tokens.
const TOKEN_MS_ASSUMED: f64 = 40.0;

/// A KV cache transfer may take the leaving server's remaining time divided by this.
const TRANSFER_DIVISOR: Millisecond = 2;

/// Measures the time between the tokens of one attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    first_ms: Option<Millisecond>,
    tokens: u64,
}

impl Pace {
    pub(super) fn token(&mut self, now_ms: Millisecond) {
        self.first_ms.get_or_insert(now_ms);
        self.tokens += 1;
    }

    fn token_ms(&self, now_ms: Millisecond) -> f64 {
        let Some(first_ms) = self.first_ms.filter(|_| self.tokens >= PACE_TOKENS_MIN) else {
            return TOKEN_MS_ASSUMED;
        };
        (now_ms - first_ms) as f64 / (self.tokens - 1) as f64
    }
}

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum ReclaimAction {
    Finish,
    MoveKv,
    Recompute,
}

#[derive(Serialize)]
struct ReclaimLog<'a> {
    request: RequestId,
    server: &'a Name,
    remaining_ms: Millisecond,
    way: ReclaimAction,
    to: Option<&'a Name>,
    relayed_tokens: u64,
}

impl Relay {
    /// Lets the stream finish on the leaving server or moves it to another one, with its KV cache
    /// if that is cheaper than computing it again.
    pub(super) async fn server_leaving(&mut self, gone_at_ms: Millisecond) {
        let now_ms = self.flow.clock.now_ms();
        let Some(live) = &self.live else {
            return;
        };
        let from = live.flight.target().clone();
        let notice = LeavingNotice {
            id: self.id,
            server: &from.id,
            remaining_ms: gone_at_ms.saturating_sub(now_ms),
            token_ms: live.pace.token_ms(now_ms),
        };
        let decision = self.flow.reclaims.decide(&notice, &self.flow.backends);
        let remaining_ms = notice.remaining_ms;
        self.route_request.excluded.push(from.id.clone());
        let (way, to) = match decision {
            StreamDecision::Finish => {
                self.log_reclaim(&from.id, remaining_ms, ReclaimAction::Finish, None);
                return;
            }
            StreamDecision::MoveKv { to } => {
                (self.transfer(&from, &to, remaining_ms).await, Some(to))
            }
            StreamDecision::Recompute { to, .. } => (ReclaimAction::Recompute, Some(to)),
            StreamDecision::Stay => (ReclaimAction::Recompute, None),
        };
        self.log_reclaim(&from.id, remaining_ms, way, to.as_ref());
        self.next_server = to;
        self.budget.run_state = self.budget.run_state.after(RunState::Ran);
        self.live = None;
        self.phase.apply("broken");
    }

    async fn transfer(
        &mut self,
        from: &engine::Target,
        to: &Name,
        remaining_ms: Millisecond,
    ) -> ReclaimAction {
        let Some(to) = self.flow.backends.target(to) else {
            return ReclaimAction::Recompute;
        };
        let limit_ms = remaining_ms / TRANSFER_DIVISOR;
        match move_kv(&*self.flow.backend, from, &to, self.id, limit_ms).await {
            KvTransfer::Done => ReclaimAction::MoveKv,
            KvTransfer::Failed => ReclaimAction::Recompute,
        }
    }

    fn log_reclaim(
        &self,
        server: &Name,
        remaining_ms: Millisecond,
        way: ReclaimAction,
        to: Option<&Name>,
    ) {
        events::emit(
            Code::ReclaimDecided,
            &ReclaimLog {
                request: self.id,
                server,
                remaining_ms,
                way,
                to,
                relayed_tokens: self.record.lock().tokens,
            },
        );
    }
}
