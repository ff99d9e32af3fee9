//! What a stream does when its backend server is leaving.

use base::outcome::RunState;
use base::units::Millisecond;

use super::relay::Relay;

/// Tokens after which an attempt's own pace is believed.
const PACE_TOKENS_MIN: u64 = 4;

/// Decode time assumed before.
const TOKEN_MS_ASSUMED: Millisecond = 40;

/// Time between tokens, as one attempt has shown it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    first_ms: Option<Millisecond>,
    tokens: u64,
}

impl Pace {
    /// Notes one more token.
    pub(super) fn token(&mut self, now_ms: Millisecond) {
        self.first_ms.get_or_insert(now_ms);
        self.tokens += 1;
    }

    /// Time that `tokens` more will take.
    pub(super) fn time_for_ms(&self, tokens: u64, now_ms: Millisecond) -> Millisecond {
        let Some(first_ms) = self.first_ms.filter(|_| self.tokens >= PACE_TOKENS_MIN) else {
            return tokens * TOKEN_MS_ASSUMED;
        };
        tokens * (now_ms - first_ms) / (self.tokens - 1)
    }
}

impl Relay {
    pub(super) fn server_leaving(&mut self, gone_ms: Millisecond) {
        let now_ms = self.flow.clock.now_ms();
        let Some(live) = &self.live else {
            return;
        };
        let server = live.flight.target().id.clone();
        self.ask.excluded.push(server);
        if self.finishes_before(gone_ms, now_ms) {
            return;
        }
        self.budget.run_state = self.budget.run_state.after(RunState::Ran);
        self.live = None;
        self.phase.apply("broken");
    }

    fn finishes_before(&self, gone_ms: Millisecond, now_ms: Millisecond) -> bool {
        let record = self.record.lock();
        let Some(max_tokens) = record.request.max_tokens else {
            return false;
        };
        let left = max_tokens.saturating_sub(record.tokens);
        let margin_ms = self.flow.options.leaving_margin_ms;
        let pace = self.live.as_ref().map(|live| live.pace).unwrap_or_default();
        now_ms + pace.time_for_ms(left, now_ms) + margin_ms < gone_ms
    }
}
