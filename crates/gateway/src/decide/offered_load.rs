//! Offered load of a service: how many backend servers its requests keep busy.

use base::units::Millisecond;

/// Time constant of the moving average.
const AVERAGE_MS: f64 = 2_000.0;

/// Moving average of the incoming work.
#[derive(Clone, Copy, Debug, Default)]
pub struct OfferedLoad {
    /// Milliseconds of server time per second.
    rate_ms_per_s: f64,
    at_ms: Millisecond,
}

impl OfferedLoad {
    /// Adds a request that takes `cost_ms` of server time.
    pub fn add(&mut self, cost_ms: f64, now_ms: Millisecond) {
        self.decay(now_ms);
        self.rate_ms_per_s += cost_ms * 1_000.0 / AVERAGE_MS;
    }

    /// Number of servers that the work keeps busy.
    pub fn busy_servers(&mut self, now_ms: Millisecond) -> f64 {
        self.decay(now_ms);
        self.rate_ms_per_s / 1_000.0
    }

    fn decay(&mut self, now_ms: Millisecond) {
        let span_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.at_ms = now_ms;
        self.rate_ms_per_s *= (-span_ms / AVERAGE_MS).exp();
    }
}
