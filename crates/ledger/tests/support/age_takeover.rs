//! Baseline: a pending row older than its time to live is taken over under a new generation, after
//! `Idempotency-Key Ledger on D1`, with one clock for all and the row's version as generation.

use outside::{Condition, Write};

use super::world::{Sending, Told, World};

const PENDING_TTL_MS: u64 = 30_000;

/// Where a call stands.
pub enum Takeover {
    Claim,
    Look,
    Run { generation: u64 },
    Complete { generation: u64, answer: String },
}

impl Takeover {
    pub fn start() -> Self {
        Self::Claim
    }
}

fn put(world: &World, body: String, condition: Condition) -> Write {
    Write::Put {
        key: world.key(),
        body,
        condition,
    }
}

fn pending(world: &World) -> String {
    format!("pending {}", world.now_ms)
}

/// Next stage of a call; `None` at its end.
pub fn advance(takeover: Takeover, call: usize, world: &mut World) -> Option<Takeover> {
    match takeover {
        Takeover::Claim => {
            let claim = put(world, pending(world), Condition::Absent);
            match world.commit(claim) {
                Ok(()) => Some(Takeover::Run { generation: 1 }),
                Err(_) => Some(Takeover::Look),
            }
        }
        Takeover::Look => look(call, world),
        Takeover::Run { generation } => run(call, generation, world),
        Takeover::Complete { generation, answer } => {
            let body = format!("done {answer}");
            let complete = put(world, body, Condition::VersionIs(generation));
            let _ = world.commit(complete);
            None
        }
    }
}

fn look(call: usize, world: &mut World) -> Option<Takeover> {
    let Some(Some(row)) = world.read() else {
        world.tell(call, Told::Unknown);
        return None;
    };
    if let Some(answer) = row.body.strip_prefix("done ") {
        world.tell(call, Told::Replay(answer.to_string()));
        return None;
    }
    let since_ms: u64 = row.body.trim_start_matches("pending ").parse().unwrap();
    if since_ms + PENDING_TTL_MS > world.now_ms {
        world.tell(call, Told::InProgress);
        return None;
    }
    let generation = row.version;
    let take = put(world, pending(world), Condition::VersionIs(generation));
    match world.commit(take) {
        Ok(()) => Some(Takeover::Run {
            generation: generation + 1,
        }),
        Err(_) => {
            world.tell(call, Told::InProgress);
            None
        }
    }
}

fn run(call: usize, generation: u64, world: &mut World) -> Option<Takeover> {
    match world.send(call) {
        Sending::Answered(answer) => {
            world.tell(call, Told::Answer);
            Some(Takeover::Complete { generation, answer })
        }
        Sending::NotSent | Sending::Lost => {
            world.tell(call, Told::Unknown);
            None
        }
    }
}
