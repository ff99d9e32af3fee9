//! Retry budget of a service: repeated sends are limited to a share of its requests in a sliding
//! window.
//!
//! The limit holds for all nodes together. Each node applies the ratio to its own requests and has
//! an even share of the slack, so that nodes need not exchange counts.

use std::collections::VecDeque;

use base::units::Millisecond;

/// Number of spans into which the window is divided.
const SPANS_PER_WINDOW: u64 = 20;

/// Share of the ratio and of the slack that is spent. The rest covers restarts, which reset the
/// counts, and nodes that are not known yet.
const SPENDABLE_SHARE: f64 = 0.7;

/// Settings of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Retries for each request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window_ms: Millisecond,
    /// Retries per window that are allowed regardless of the ratio, over all nodes.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// Retry budget of one service at one node.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    spans: VecDeque<Span>,
}

impl RetryBudget {
    /// Counts the first send of a request.
    pub fn count_request(&mut self, terms: &RetryTerms, now_ms: Millisecond) {
        self.span(terms, now_ms).requests += 1;
    }

    /// Takes one retry from the budget if there is one left.
    pub fn take(&mut self, terms: &RetryTerms, nodes: usize, now_ms: Millisecond) -> RetryPermit {
        let permit = self.check(terms, nodes, now_ms);
        if permit == RetryPermit::Granted {
            self.span(terms, now_ms).repeats += 1;
        }
        permit
    }

    /// Grants a retry if the budget has one left, without taking it.
    pub fn check(&mut self, terms: &RetryTerms, nodes: usize, now_ms: Millisecond) -> RetryPermit {
        self.span(terms, now_ms);
        let requests: u32 = self.spans.iter().map(|s| s.requests).sum();
        let repeats: u32 = self.spans.iter().map(|s| s.repeats).sum();
        let earned = terms.ratio * f64::from(requests);
        let allowed = SPENDABLE_SHARE * (earned + terms.slack / nodes.max(1) as f64);
        match f64::from(repeats + 1) > allowed {
            true => RetryPermit::Exhausted,
            false => RetryPermit::Granted,
        }
    }

    fn span(&mut self, terms: &RetryTerms, now_ms: Millisecond) -> &mut Span {
        let index = now_ms * SPANS_PER_WINDOW / terms.window_ms;
        while self
            .spans
            .front()
            .is_some_and(|s| s.index + SPANS_PER_WINDOW < index)
        {
            self.spans.pop_front();
        }
        if self.spans.back().is_none_or(|s| s.index < index) {
            self.spans.push_back(Span {
                index,
                ..Span::default()
            });
        }
        self.spans.back_mut().expect("a span was just added")
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPermit {
    Granted,
    Exhausted,
}
