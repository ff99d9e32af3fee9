//! Asks a second server whether an event of a stream was lost at a gap in the identifiers. The rule for
//! when to ask is in [`crate::decide::numbering`].

use serde::Serialize;

use super::job::Job;
use crate::backend::attempt::Attempt;
use crate::decide::event_order::EventPosition;
use crate::decide::numbering::PassReason;
use crate::node::Node;

/// The check of one stream.
pub enum GapCheck<'a> {
    NotBegun,
    /// No event of the second server has arrived yet.
    Pending(CheckedService<'a>),
    Ended,
}

/// A service whose numbering is being checked, until this is dropped.
pub struct CheckedService<'a> {
    node: &'a Node,
    service: &'a str,
}

#[derive(Serialize)]
struct GapFields<'a> {
    request: Option<&'a str>,
    server: &'a str,
    after_event: Option<&'a str>,
    reason: PassReason,
}

impl<'a> GapCheck<'a> {
    pub fn was_begun(&self) -> bool {
        !matches!(self, Self::NotBegun)
    }

    /// Begins when the stream goes on at another server because of a gap.
    pub fn begin(&mut self, job: &'a Job<'_>) {
        let service = &job.service.name;
        job.node.numberings.borrow_mut().begin_gap_check(service);
        *self = Self::Pending(CheckedService {
            node: job.node,
            service,
        });
    }

    /// Ends a pending check by the first events of the second server, which moved the stream from
    /// `before` to `after`.
    pub fn end(&mut self, before: &EventPosition, after: &EventPosition) {
        if let Self::Pending(checked) = self {
            let mut numberings = checked.node.numberings.borrow_mut();
            numberings.compare_reading(checked.service, before, after);
            drop(numberings);
            *self = Self::Ended;
        }
    }
}

impl Drop for CheckedService<'_> {
    fn drop(&mut self) {
        let mut numberings = self.node.numberings.borrow_mut();
        numberings.end_gap_check(self.service);
    }
}

/// Reports that an event after a gap was relayed.
pub fn report_passed(
    job: &Job<'_>,
    attempt: &Attempt<'_>,
    position: &EventPosition,
    reason: PassReason,
) {
    let fields = GapFields {
        request: job.id(),
        server: &attempt.server.record.id,
        after_event: position.last_id(),
        reason,
    };
    job.node.metrics.count_passed_gap(reason);
    crate::log::emit(events::Code::GapPassed, &fields);
}
