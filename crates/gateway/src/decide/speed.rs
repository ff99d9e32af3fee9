//! How fast one backend server answers, learned from its answers.

use base::units::{Millisecond, TokenCount};

/// Weight of a new observation.
const AVERAGE_WEIGHT: f64 = 0.15;

/// Steps of a running quantile, as parts of it. It settles where a step down is as likely as three
/// up: requests that waited for others tell little of the server.
const QUANTILE_STEP_UP: f64 = 0.01;

/// See [`STEP_UP`].
const QUANTILE_STEP_DOWN: f64 = 0.03;

/// Milliseconds to read a prompt token, until a server has shown its own.
const DEFAULT_READ_MS_PER_TOKEN: f64 = 0.01;

/// Milliseconds to the first event of an empty prompt, until a server has shown its own.
const DEFAULT_START_MS: f64 = 15.0;

/// Prompts with fewer tokens to read tell nothing of the reading speed.
const MIN_SAMPLE_TOKENS: TokenCount = 500;

/// Moving averages of one server.
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
    /// Time to the first event with `tokens` to be read before it, this request's own included.
    pub fn first_ms(&self, tokens: TokenCount) -> f64 {
        self.start_ms + tokens as f64 * self.read_ms_per_token
    }

    /// Time to read `tokens`.
    pub fn reading_ms(&self, tokens: TokenCount) -> f64 {
        tokens as f64 * self.read_ms_per_token
    }

    /// Time between two events; 0 while none was seen.
    pub fn gap_ms(&self) -> f64 {
        self.gap_ms
    }

    /// Takes in the time to a first event before which `tokens` had to be read.
    pub fn record_first_event(&mut self, tokens: TokenCount, after_ms: Millisecond) {
        let after_ms = after_ms as f64;
        if tokens < MIN_SAMPLE_TOKENS {
            step_quantile(&mut self.start_ms, after_ms);
            return;
        }
        let reading_ms = (after_ms - self.start_ms).max(1.0);
        step_quantile(&mut self.read_ms_per_token, reading_ms / tokens as f64);
    }

    /// Takes in the time between two events.
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
    // One stall must not make a server look broken for seconds.
    let sample = sample.min(*average * 4.0 + 1.0);
    *average += AVERAGE_WEIGHT * (sample - *average);
}
