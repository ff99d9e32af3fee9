//! Baseline for comparison, after `Idempotency-Key Ledger on D1`: a pending row older than its time
//! to live is taken over by another caller under a new generation. All callers share one clock, and
//! the version of the row is the generation.

use outside::{Condition, Write};

use super::simulation::{CallerReply, SendResult, Simulation};

const PENDING_TTL_MS: u64 = 30_000;

/// Progress of a call under this protocol.
pub enum Takeover {
    Claim,
    Inspect,
    Run { generation: u64 },
    Complete { generation: u64, answer: String },
}

impl Takeover {
    pub fn start() -> Self {
        Self::Claim
    }
}

fn put_row(simulation: &Simulation, body: String, condition: Condition) -> Write {
    Write::Put {
        key: simulation.key(),
        body,
        condition,
    }
}

fn pending(simulation: &Simulation) -> String {
    format!("pending {}", simulation.now_ms)
}

/// Performs the next step of a call; returns `None` if the call is finished.
pub fn advance(takeover: Takeover, call: usize, simulation: &mut Simulation) -> Option<Takeover> {
    match takeover {
        Takeover::Claim => {
            let claim = put_row(simulation, pending(simulation), Condition::Absent);
            match simulation.commit(claim) {
                Ok(()) => Some(Takeover::Run { generation: 1 }),
                Err(_) => Some(Takeover::Inspect),
            }
        }
        Takeover::Inspect => inspect(call, simulation),
        Takeover::Run { generation } => run(call, generation, simulation),
        Takeover::Complete { generation, answer } => {
            let body = format!("done {answer}");
            let complete = put_row(simulation, body, Condition::VersionIs(generation));
            let _ = simulation.commit(complete);
            None
        }
    }
}

fn inspect(call: usize, simulation: &mut Simulation) -> Option<Takeover> {
    let Some(Some(row)) = simulation.read() else {
        simulation.record_reply(call, CallerReply::Unknown);
        return None;
    };
    if let Some(answer) = row.body.strip_prefix("done ") {
        simulation.record_reply(call, CallerReply::Replay(answer.to_string()));
        return None;
    }
    let pending_since_ms: u64 = row.body.trim_start_matches("pending ").parse().unwrap();
    if pending_since_ms + PENDING_TTL_MS > simulation.now_ms {
        simulation.record_reply(call, CallerReply::InProgress);
        return None;
    }
    let generation = row.version;
    let takeover_write = put_row(
        simulation,
        pending(simulation),
        Condition::VersionIs(generation),
    );
    match simulation.commit(takeover_write) {
        Ok(()) => Some(Takeover::Run {
            generation: generation + 1,
        }),
        Err(_) => {
            simulation.record_reply(call, CallerReply::InProgress);
            None
        }
    }
}

fn run(call: usize, generation: u64, simulation: &mut Simulation) -> Option<Takeover> {
    match simulation.send(call) {
        SendResult::Answered(answer) => {
            simulation.record_reply(call, CallerReply::Answer);
            Some(Takeover::Complete { generation, answer })
        }
        SendResult::NotSent | SendResult::Lost => {
            simulation.record_reply(call, CallerReply::Unknown);
            None
        }
    }
}
