//! What callers got in one play, and what it cost.

use crate::experiment::Kind;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Whole; the first token came after so many milliseconds.
    Answered(u64),
    /// Refused, and not asked again.
    Refused,
    /// Broken off, or not answered in time.
    Failed,
}

/// Figures of one play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Requests counted.
    pub asked: u64,
    /// Answered within the time owed.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused, and not asked again.
    pub refused: u64,
    /// Broken off, or not answered in time.
    pub failed: u64,
    /// Worth of all requests, answered in time.
    pub owed: f64,
    /// Worth of what was answered.
    pub got: f64,
    /// Price of the servers.
    pub servers: f64,
    /// Prompt tokens read.
    pub read_tokens: u64,
    /// Prompt tokens of shared parts read.
    pub shared_read_tokens: u64,
    /// Attempts at servers of other failure domains than the node's.
    pub crossed: u64,
    /// Their kilobytes: bodies, and the answers that are expected.
    pub crossed_kb: f64,
    first_ms: Vec<u64>,
}

impl Figures {
    /// Counts a request.
    pub fn count(&mut self, kind: &Kind, ending: Ending) {
        self.asked += 1;
        self.owed += kind.worth;
        match ending {
            Ending::Answered(first_ms) => {
                self.first_ms.push(first_ms);
                let in_time = first_ms <= kind.target_ms;
                self.in_time += u64::from(in_time);
                self.late += u64::from(!in_time);
                self.got += match in_time {
                    true => kind.worth,
                    false => kind.late_worth,
                };
            }
            Ending::Refused => self.refused += 1,
            Ending::Failed => self.failed += 1,
        }
    }

    /// Worth got less the servers' price, as a part of the worth owed.
    pub fn worth(&self) -> f64 {
        (self.got - self.servers) / self.owed.max(f64::MIN_POSITIVE)
    }

    /// Worth got as a part of the worth owed.
    pub fn served(&self) -> f64 {
        self.got / self.owed.max(f64::MIN_POSITIVE)
    }

    /// Mean time to the first token, in milliseconds.
    pub fn mean_first_ms(&self) -> f64 {
        let sum: u64 = self.first_ms.iter().sum();
        sum as f64 / (self.first_ms.len() as f64).max(1.0)
    }

    /// Share of the requests in time.
    pub fn in_time_share(&self) -> f64 {
        self.in_time as f64 / (self.asked as f64).max(1.0)
    }

    /// Attempts at servers of other failure domains, for each request.
    pub fn crossed_share(&self) -> f64 {
        self.crossed as f64 / (self.asked as f64).max(1.0)
    }

    /// A quantile of the time to the first token, in milliseconds.
    pub fn first_ms(&self, quantile: f64) -> u64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_unstable();
        let place = (sorted.len() as f64 * quantile) as usize;
        sorted
            .get(place.min(sorted.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0)
    }
}
