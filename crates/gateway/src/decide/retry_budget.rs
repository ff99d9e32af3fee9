//! Budget of repeated sends to a service: a part of its requests in a sliding window.
//!
//! The bound holds over all nodes together. Each node keeps the ratio for its own requests and has
//! an even share of the slack, so that no exchange is needed.

use std::collections::VecDeque;

use base::units::Millisecond;

/// Spans into which the window is divided.
const SPANS_PER_WINDOW: u64 = 20;

/// Part of the ratio and of the slack that is used; the rest covers restarts and unseen nodes.
const SPENDABLE_SHARE: f64 = 0.7;

/// Terms of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTerms {
    /// Repeats for each request.
    pub ratio: f64,
    /// Window of the ratio.
    pub window_ms: Millisecond,
    /// Repeats in a window beside the ratio, over all nodes.
    pub slack: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Span {
    index: u64,
    requests: u32,
    repeats: u32,
}

/// One service's budget at one node.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    spans: VecDeque<Span>,
}

impl RetryBudget {
    /// Counts the first send of a request.
    pub fn count_request(&mut self, terms: &RetryTerms, now_ms: Millisecond) {
        self.span(terms, now_ms).requests += 1;
    }

    /// Whether one more repeat fits, and counts it if so.
    pub fn take(&mut self, terms: &RetryTerms, nodes: usize, now_ms: Millisecond) -> RetryPermit {
        let permit = self.check(terms, nodes, now_ms);
        if permit == RetryPermit::Granted {
            self.span(terms, now_ms).repeats += 1;
        }
        permit
    }

    /// Whether one more repeat would fit.
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

/// Whether a repeat may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPermit {
    /// It may, and is counted.
    Granted,
    /// The service has used up its repeats.
    Exhausted,
}
