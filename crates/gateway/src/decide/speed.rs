//! Time to the first byte of an answer as a function of the work at the server, with figures that
//! all servers of a service share.

use base::units::{Millisecond, TokenCount};

/// Time to the first event for an empty prompt, in milliseconds, until the service has been
/// measured.
const DEFAULT_START_MS: f64 = 15.0;

/// Time to read one prompt token, in milliseconds, until the service has been measured.
const DEFAULT_READ_MS_PER_TOKEN: f64 = 0.01;

/// Default of [`Speed::ahead_share`]: of two prompts that are read one after the other, the first is
/// on average half read when the second arrives.
const DEFAULT_AHEAD_SHARE: f64 = 0.7;

/// Default of [`Speed::home_unread_share`].
const DEFAULT_HOME_UNREAD_SHARE: f64 = 0.2;

/// Default of [`Speed::running_share`]: each running request lengthens a step of 5 to 6 ms by
/// 0.04 ms.
const DEFAULT_RUNNING_SHARE: f64 = 0.007;

/// Default of [`Speed::queued_ms`].
const DEFAULT_QUEUED_MS: f64 = 40.0;

/// Work at a server that a request meets there, and the request's own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Prompt tokens of the request that the server must read, as far as this node knows.
    pub own_tokens: TokenCount,
    /// Shared tokens that the server may have cached from requests of other nodes, as it is the home
    /// of the prefix. They are not among `own_tokens`.
    pub home_tokens: TokenCount,
    /// Unread prompt tokens of earlier requests.
    pub tokens_ahead: TokenCount,
    /// Requests that run on the server.
    pub running: u32,
    /// Requests, this one included, that exceed the server's slots.
    pub queued: u32,
}

impl Work {
    /// The same request at an idle server.
    pub fn alone(&self) -> Self {
        Self {
            own_tokens: self.own_tokens,
            home_tokens: self.home_tokens,
            ..Self::default()
        }
    }
}

/// Figures of a service's servers. Predictions and samples use the same formula,
/// [`Speed::first_byte_ms`], so that predictions are unbiased.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Time to the first byte without a prompt.
    pub start_ms: f64,
    /// Time to read one prompt token.
    pub read_ms_per_token: f64,
    /// Part of the unread tokens of earlier requests that is read first.
    pub ahead_share: f64,
    /// Part of the shared tokens that their home server must read, although other nodes send the same
    /// prefix there.
    pub home_unread_share: f64,
    /// Increase of the time for each running request, as a share of it.
    pub running_share: f64,
    /// Wait for each request beyond the slots, until a running one ends.
    pub queued_ms: f64,
    /// Time between two events; 0 until one has been measured.
    pub gap_ms: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            start_ms: DEFAULT_START_MS,
            read_ms_per_token: DEFAULT_READ_MS_PER_TOKEN,
            ahead_share: DEFAULT_AHEAD_SHARE,
            home_unread_share: DEFAULT_HOME_UNREAD_SHARE,
            running_share: DEFAULT_RUNNING_SHARE,
            queued_ms: DEFAULT_QUEUED_MS,
            gap_ms: 0.0,
        }
    }
}

impl Speed {
    /// Predicted time to the first byte.
    pub fn first_byte_ms(&self, work: &Work) -> f64 {
        self.reading_and_start_ms(work) * self.slowdown(work) + self.waiting_ms(work)
    }

    /// Time to read `tokens` at an idle server.
    pub fn reading_ms(&self, tokens: TokenCount) -> f64 {
        tokens as f64 * self.read_ms_per_token
    }

    /// Tokens of a prompt that the server is expected to read.
    pub fn tokens_to_read(&self, work: &Work) -> TokenCount {
        work.own_tokens + (self.home_unread_share * work.home_tokens as f64) as TokenCount
    }

    /// The figures of a server that takes `factor` times as long.
    pub fn times(self, factor: f64) -> Self {
        Self {
            start_ms: self.start_ms * factor,
            read_ms_per_token: self.read_ms_per_token * factor,
            queued_ms: self.queued_ms * factor,
            gap_ms: self.gap_ms * factor,
            ..self
        }
    }

    pub(super) fn reading_and_start_ms(&self, work: &Work) -> f64 {
        self.start_ms + self.read_ms_per_token * self.tokens(work)
    }

    pub(super) fn slowdown(&self, work: &Work) -> f64 {
        1.0 + self.running_share * f64::from(work.running)
    }

    pub(super) fn waiting_ms(&self, work: &Work) -> f64 {
        self.queued_ms * f64::from(work.queued)
    }

    fn tokens(&self, work: &Work) -> f64 {
        work.own_tokens as f64
            + self.home_unread_share * work.home_tokens as f64
            + self.ahead_share * work.tokens_ahead as f64
    }
}

/// What a time to first byte was predicted from.
#[derive(Clone, Copy, Debug)]
pub struct Basis {
    pub work: Work,
    /// Figures of the server.
    pub speed: Speed,
    /// How many times as long as its service the server takes at this moment.
    pub factor: f64,
    /// The part of it that the server's pace explains.
    pub pace: f64,
    /// The prediction without the server's load report, if that contributed.
    pub without_report_ms: Option<f64>,
}

impl Basis {
    /// The predicted time.
    pub fn predicted_ms(&self) -> f64 {
        self.speed.first_byte_ms(&self.work)
    }

    /// A real time as a multiple of the predicted one.
    pub fn ratio(&self, after_ms: Millisecond) -> f64 {
        // Times are whole milliseconds, rounded down.
        (after_ms as f64 + 0.5) / self.predicted_ms()
    }

    /// A real time as a multiple of what the service's figures and the server's pace let expect.
    pub fn server_multiple(&self, after_ms: Millisecond) -> f64 {
        self.ratio(after_ms) * self.factor / self.pace
    }
}

/// A real time to first byte, with what it was predicted from.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    pub work: Work,
    pub after_ms: Millisecond,
    /// How much longer than its service the server took at the time of the prediction.
    pub factor: f64,
}
