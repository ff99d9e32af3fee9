//! How much work a service's requests are, in backend servers kept busy.

use base::units::Millisecond;

/// Time over which work is averaged.
const AVERAGE_MS: f64 = 2_000.0;

/// Work that comes in, as a moving average.
#[derive(Clone, Copy, Debug, Default)]
pub struct OfferedLoad {
    /// Milliseconds of a server's time for each second.
    rate_ms_per_s: f64,
    at_ms: Millisecond,
}

impl OfferedLoad {
    /// Takes in work of `cost_ms` of a server's time.
    pub fn add(&mut self, cost_ms: f64, now_ms: Millisecond) {
        self.decay(now_ms);
        self.rate_ms_per_s += cost_ms * 1_000.0 / AVERAGE_MS;
    }

    /// Servers that the work keeps busy.
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
