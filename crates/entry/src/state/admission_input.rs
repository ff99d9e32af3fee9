//! What admission has to know of a request.

use base::Name;
use base::units::Millisecond;
use conf::{LatencyTarget, Priority, Service, Workspace};

use crate::flow::Record;

/// A request that asks to be started.
#[derive(Clone, Debug)]
pub struct AdmissionInput {
    /// Whose it is.
    pub workspace: Name,
    /// The service asked for.
    pub service: Name,
    /// Its priority; lower goes first.
    pub priority: u8,
    /// Time within which its answer should begin.
    pub first_token_due_in_ms: Millisecond,
    /// Time its answer takes to begin when nothing waits.
    pub expected_first_token_ms: Millisecond,
}

impl AdmissionInput {
    /// A completion call.
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

    /// A call of a plain service.
    pub fn plain(workspace: &Workspace, service: &Service) -> Self {
        Self {
            workspace: workspace.name.clone(),
            service: service.name.clone(),
            priority: priority_level(workspace.priority),
            first_token_due_in_ms: due_in_ms(service),
            expected_first_token_ms: 0,
        }
    }

    /// The rest of an answer accepted before; it waits as long as its deadline allows.
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
