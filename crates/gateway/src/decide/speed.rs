//! Speed of one backend server, estimated from its answers.

use base::units::{Millisecond, TokenCount};

/// Weight of a new sample in a moving average.
const AVERAGE_WEIGHT: f64 = 0.15;

/// Step by which a running quantile rises, relative to its value. As the step down is three times
/// as large, the estimate settles at the 25th percentile of the samples: requests that waited for
/// others say little about the server.
const QUANTILE_STEP_UP: f64 = 0.01;

/// Step by which a running quantile falls, relative to its value.
const QUANTILE_STEP_DOWN: f64 = 0.03;

/// Time to read one prompt token, in milliseconds, until the server has been measured.
const DEFAULT_READ_MS_PER_TOKEN: f64 = 0.01;

/// Time to the first event for an empty prompt, in milliseconds, until the server has been
/// measured.
const DEFAULT_START_MS: f64 = 15.0;

/// Prompts with fewer tokens to read say nothing about the reading speed.
const MIN_SAMPLE_TOKENS: TokenCount = 500;

/// Running estimates of one server's speed.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    read_ms_per_token: f64,
    start_ms: f64,
    gap_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            read_ms_per_token: DEFAULT_READ_MS_PER_TOKEN,
            start_ms: DEFAULT_START_MS,
            gap_ms: 0.0,
        }
    }
}

impl Speed {
    /// Time to the first event if `tokens` must be read before it, those of the request itself
    /// included.
    pub fn first_event_ms(&self, tokens: TokenCount) -> f64 {
        self.start_ms + tokens as f64 * self.read_ms_per_token
    }

    pub fn reading_ms(&self, tokens: TokenCount) -> f64 {
        tokens as f64 * self.read_ms_per_token
    }

    /// Time between two events; 0 until one has been measured.
    pub fn gap_ms(&self) -> f64 {
        self.gap_ms
    }

    /// Records the time to a first event before which `tokens` had to be read.
    pub fn record_first_event(&mut self, tokens: TokenCount, after_ms: Millisecond) {
        let after_ms = after_ms as f64;
        if tokens < MIN_SAMPLE_TOKENS {
            step_quantile(&mut self.start_ms, after_ms);
            return;
        }
        let reading_ms = (after_ms - self.start_ms).max(1.0);
        step_quantile(&mut self.read_ms_per_token, reading_ms / tokens as f64);
    }

    /// Records the time between two events.
    pub fn record_gap(&mut self, gap_ms: f64) {
        match self.gap_ms > 0.0 {
            true => update_average(&mut self.gap_ms, gap_ms),
            false => self.gap_ms = gap_ms,
        }
    }
}

fn step_quantile(quantile: &mut f64, sample: f64) {
    *quantile *= match sample > *quantile {
        true => 1.0 + QUANTILE_STEP_UP,
        false => 1.0 - QUANTILE_STEP_DOWN,
    };
}

fn update_average(average: &mut f64, sample: f64) {
    // Bounds the sample, so that one stall does not make the server look broken for seconds.
    let sample = sample.min(*average * 4.0 + 1.0);
    *average += AVERAGE_WEIGHT * (sample - *average);
}
