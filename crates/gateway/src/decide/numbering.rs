//! How the services number the events of their streams, and what is done with a gap. The design is in
//! docs/design/event-order.md.

use base::{Map, Name};
use serde::Serialize;

use super::event_order::EventPosition;

/// Whole streams in a row, each numbered without a gap, after which a gap counts as a lost event.
const CONSECUTIVE_STREAMS: u32 = 8;

/// Gaps of a service after which its identifiers are known to have gaps.
const GAPS_LIMIT: u32 = 3;

/// Rejected events in a row, with no whole stream between them, after which a service may have begun
/// to number its events in another way.
const REJECTIONS_LIMIT: u32 = 3;

/// How a service numbers the events of its streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Numbering {
    /// Too few streams have ended whole.
    #[default]
    Unknown,
    /// Each identifier is greater than the one before by one.
    Consecutive {
        /// Identifier of the first event of a stream.
        first: u64,
    },
    /// Each identifier is greater than the one before.
    Increasing,
}

impl Numbering {
    pub fn is_consecutive(self) -> bool {
        matches!(self, Self::Consecutive { .. })
    }

    /// The numbering by which a stream is read that passes gaps on.
    #[must_use]
    pub fn with_gaps(self) -> Self {
        match self {
            Self::Consecutive { .. } => Self::Increasing,
            Self::Unknown | Self::Increasing => self,
        }
    }
}

/// What is done with an event after a gap, if the service's identifiers were consecutive so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum GapRule {
    /// Another server is asked for the events after the last one, which shows whether one was lost.
    Check,
    Pass(PassReason),
}

/// Why an event after a gap is relayed without asking another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PassReason {
    /// Another stream has shown meanwhile that the service leaves gaps.
    Increasing,
    /// The stream can't be resumed. To cut it would lose all of the rest for certain, to pass the gap
    /// on may lose one event.
    NotResumable,
    /// Another server was asked for this stream before.
    Checked,
    /// Another stream of the service is being checked.
    OtherCheck,
    /// No further attempt is allowed for the request.
    NoRetry,
}

impl PassReason {
    /// Value in metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Increasing => "increasing",
            Self::NotResumable => "not_resumable",
            Self::Checked => "checked",
            Self::OtherCheck => "other_check",
            Self::NoRetry => "no_retry",
        }
    }
}

/// State of a stream as far as it bears on [`GapRule`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GapState {
    pub is_resumable: bool,
    pub was_checked: bool,
    pub may_retry: bool,
}

/// What the streams of the services have shown of their numbering.
#[derive(Clone, Debug, Default)]
pub struct Numberings(Map<Name, NumberingHistory>);

#[derive(Clone, Copy, Debug, Default)]
struct NumberingHistory {
    numbering: Numbering,
    /// First identifier of the latest streams.
    first: u64,
    /// Whole streams in a row that began at `first` and had no gap.
    consecutive: u32,
    gaps: u32,
    /// Rejected events since the last whole stream.
    rejected: u32,
    /// Whether a stream goes on at another server because of a gap.
    is_checking: bool,
}

impl Numberings {
    pub fn of(&self, service: &str) -> Numbering {
        self.0
            .get(service)
            .map_or(Numbering::Unknown, |h| h.numbering)
    }

    /// What is done with an event after a gap, in a stream that was begun while the service's
    /// identifiers were consecutive.
    pub fn gap_rule(&self, service: &str, state: GapState) -> GapRule {
        let history = self.0.get(service).copied().unwrap_or_default();
        let reasons = [
            (!history.numbering.is_consecutive(), PassReason::Increasing),
            (!state.is_resumable, PassReason::NotResumable),
            (state.was_checked, PassReason::Checked),
            (history.is_checking, PassReason::OtherCheck),
            (!state.may_retry, PassReason::NoRetry),
        ];
        let first = reasons.into_iter().find(|(holds, _)| *holds);
        first.map_or(GapRule::Check, |(_, reason)| GapRule::Pass(reason))
    }

    /// Records that a stream goes on at another server because of a gap.
    pub fn begin_gap_check(&mut self, service: &str) {
        self.set_checking(service, true);
    }

    /// Records that the stream that was checked has events of another server, or has ended.
    pub fn end_gap_check(&mut self, service: &str) {
        self.set_checking(service, false);
    }

    fn set_checking(&mut self, service: &str, is_checking: bool) {
        if let Some(history) = self.0.get_mut(service) {
            history.is_checking = is_checking;
        }
    }

    /// Compares what another server sent after `before` with the numbering so far. If it left a gap
    /// there, too, no event was lost, and the service's identifiers are not consecutive.
    pub fn compare_reading(
        &mut self,
        service: &str,
        before: &EventPosition,
        after: &EventPosition,
    ) {
        let Some(history) = self.0.get_mut(service) else {
            return;
        };
        let begins_elsewhere = match history.numbering {
            Numbering::Consecutive { first } => {
                before.is_at_start() && after.steps.first.is_some_and(|f| f != first)
            }
            Numbering::Unknown | Numbering::Increasing => false,
        };
        if begins_elsewhere || after.gap_count() > before.gap_count() {
            history.consecutive = 0;
            history.numbering = Numbering::Increasing;
        }
    }

    /// Records a stream that ended whole.
    pub fn record_whole(&mut self, service: &Name, position: &EventPosition) {
        let steps = position.steps;
        let Some(first) = steps.first.filter(|_| steps.count > 1) else {
            return;
        };
        let history = self.0.entry(service.clone()).or_default();
        history.rejected = 0;
        if steps.gaps > 0 || (history.consecutive > 0 && history.first != first) {
            return history.record_gap();
        }
        history.first = first;
        history.consecutive = history.consecutive.saturating_add(1);
        if history.numbering == Numbering::Unknown && history.consecutive >= CONSECUTIVE_STREAMS {
            history.numbering = Numbering::Consecutive { first };
        }
    }

    /// Records an event that was rejected.
    pub fn record_rejected(&mut self, service: &str) {
        let Some(history) = self.0.get_mut(service) else {
            return;
        };
        history.rejected = history.rejected.saturating_add(1);
        if history.rejected >= REJECTIONS_LIMIT {
            *history = NumberingHistory {
                is_checking: history.is_checking,
                ..NumberingHistory::default()
            };
        }
    }
}

impl NumberingHistory {
    fn record_gap(&mut self) {
        self.consecutive = 0;
        self.gaps = self.gaps.saturating_add(1);
        if self.gaps >= GAPS_LIMIT {
            self.numbering = Numbering::Increasing;
        }
    }
}
