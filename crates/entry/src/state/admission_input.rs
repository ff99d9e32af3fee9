//! The properties of a request that admission decides by.

use base::Name;
use base::units::Millisecond;
use conf::{LatencyTarget, Priority, Service, Workspace};

use crate::flow::Record;

/// The properties of a request that waits for admission.
#[derive(Clone, Debug)]
pub struct AdmissionInput {
    pub workspace: Name,
    pub service: Name,
    /// Lower values are admitted first.
    pub priority: u8,
    /// Time from now by which the first token should arrive.
    pub first_token_due_in_ms: Millisecond,
    /// Expected time to the first token without queueing.
    pub expected_first_token_ms: Millisecond,
}

impl AdmissionInput {
    /// Properties of a completion request.
    pub fn model(
        workspace: &Workspace,
        service: &Service,
        expected_first_token_ms: Millisecond,
    ) -> Self {
        Self {
            workspace: workspace.name.clone(),
            service: service.name.clone(),
            priority: priority_level(workspace.priority),
            first_token_due_in_ms: due_in_ms(service),
            expected_first_token_ms,
        }
    }

    /// Properties of a request to a plain service.
    pub fn plain(workspace: &Workspace, service: &Service) -> Self {
        Self {
            workspace: workspace.name.clone(),
            service: service.name.clone(),
            priority: priority_level(workspace.priority),
            first_token_due_in_ms: due_in_ms(service),
            expected_first_token_ms: 0,
        }
    }

    /// Properties of a request that continues an answer accepted before. It has the highest
    /// priority and may wait until its deadline.
    pub fn resumed(workspace: &Workspace, record: &Record) -> Self {
        Self {
            workspace: workspace.name.clone(),
            service: record.service.clone(),
            priority: 0,
            first_token_due_in_ms: record.remaining_ms,
            expected_first_token_ms: 0,
        }
    }
}

fn due_in_ms(service: &Service) -> Millisecond {
    let target_ms = match service.latency_target {
        LatencyTarget::Tokens { first_token_ms, .. } => first_token_ms,
        LatencyTarget::Whole { total_ms } => total_ms,
    };
    target_ms.min(service.timeout_ms)
}

fn priority_level(priority: Priority) -> u8 {
    match priority {
        Priority::Urgent => 0,
        Priority::Normal => 1,
        Priority::Batch => 2,
    }
}
