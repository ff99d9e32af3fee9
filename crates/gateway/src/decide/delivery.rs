//! When the parts of an answer were passed to the caller.

use base::units::Millisecond;

/// Times at which the answer to one request was passed to its caller. Times are on the process's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    first_ms: Option<Millisecond>,
    last_ms: Millisecond,
    longest_pause_ms: Millisecond,
    predicted_ms: Option<Millisecond>,
}

impl Delivery {
    /// Records that an event of a stream, or the answer as a whole, was passed on.
    #[must_use]
    pub fn with_part(self, now_ms: Millisecond) -> Self {
        let pause_ms = match self.first_ms {
            Some(_) => now_ms.saturating_sub(self.last_ms),
            None => 0,
        };
        Self {
            first_ms: self.first_ms.or(Some(now_ms)),
            last_ms: now_ms,
            longest_pause_ms: self.longest_pause_ms.max(pause_ms),
            ..self
        }
    }

    /// Records the predicted time to first byte of an attempt that is about to be sent.
    #[must_use]
    pub fn with_attempt(self, predicted_ms: Millisecond) -> Self {
        Self {
            predicted_ms: Some(predicted_ms),
            ..self
        }
    }

    /// Time from the arrival of the request to the first part; `None` if nothing was passed on.
    pub fn first_byte_ms(&self, received_ms: Millisecond) -> Option<Millisecond> {
        self.first_ms.map(|ms| ms.saturating_sub(received_ms))
    }

    /// Longest time between two parts; `None` if nothing was passed on.
    pub fn longest_pause_ms(&self) -> Option<Millisecond> {
        self.first_ms.map(|_| self.longest_pause_ms)
    }

    /// Predicted time to first byte of the last attempt; `None` if the request was never sent.
    pub fn predicted_ms(&self) -> Option<Millisecond> {
        self.predicted_ms
    }
}
