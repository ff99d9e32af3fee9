//! Simulation of a table, a backend server and several callers of one key. Each step advances one
//! call or injects a fault, chosen at random.

use std::collections::BTreeMap;

use ledger::opening::{self, Opening, OpeningDecision, PriorWrites};
use ledger::settling::{self, KnownRow, Settling, SettlingResult};
use ledger::{Owner, Progress, Record};
use outside::{CommitError, Key, Row, Write};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::age_takeover::{self, Takeover};
use super::{apply, fingerprint, request, result, scope};

/// Protocol that should keep a call from running twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// The ledger of this crate.
    Ledger,
    /// Takeover of a pending row by its age, with a generation number.
    AgeTakeover,
}

/// Counts of the events and replies of a history.
#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub steps: u64,
    pub calls: u64,
    pub runs: u64,
    pub kills: u64,
    pub pauses: u64,
    pub outages: u64,
    pub lost_answers: u64,
    pub delayed_writes: u64,
    pub delayed_runs: u64,
    pub replied_not_run: u64,
    pub replied_replay: u64,
    pub replied_in_progress: u64,
    pub replied_unknown: u64,
    pub replied_answer: u64,
    /// Runs beyond the first.
    pub extra_runs: u64,
    /// Calls that ran although their callers were told `not_run`.
    pub false_not_run: u64,
    /// Replays whose body is not the response of a run.
    pub false_replay: u64,
}

impl Counts {
    pub fn add(&mut self, other: &Self) {
        let pairs = [
            (&mut self.steps, other.steps),
            (&mut self.calls, other.calls),
            (&mut self.runs, other.runs),
            (&mut self.kills, other.kills),
            (&mut self.pauses, other.pauses),
            (&mut self.outages, other.outages),
            (&mut self.lost_answers, other.lost_answers),
            (&mut self.delayed_writes, other.delayed_writes),
            (&mut self.delayed_runs, other.delayed_runs),
            (&mut self.replied_not_run, other.replied_not_run),
            (&mut self.replied_replay, other.replied_replay),
            (&mut self.replied_in_progress, other.replied_in_progress),
            (&mut self.replied_unknown, other.replied_unknown),
            (&mut self.replied_answer, other.replied_answer),
            (&mut self.extra_runs, other.extra_runs),
            (&mut self.false_not_run, other.false_not_run),
            (&mut self.false_replay, other.false_replay),
        ];
        for (sum, value) in pairs {
            *sum += value;
        }
    }
}

/// Reply that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerReply {
    NotRun,
    Answer,
    Replay(String),
    InProgress,
    Unknown,
}

enum Stage {
    Opening(opening::OpeningState, opening::Action),
    Permitted { version: u64 },
    Settling(Settling, settling::SettlingState, settling::Action),
    Waiting(Settling),
    Takeover(Takeover),
    Finished,
}

struct Call {
    record: Record,
    opening: Opening,
    stage: Stage,
    paused_until_ms: u64,
    reply: Option<CallerReply>,
}

/// Result of sending a call to the backend server.
pub enum SendResult {
    /// The connection could not be opened.
    NotSent,
    /// The response arrived.
    Answered(String),
    /// Bytes were sent and no response came; the call may have run or may still run.
    Lost,
}

/// Simulated state of one history.
pub struct Simulation {
    pub rng: SmallRng,
    pub now_ms: u64,
    pub counts: Counts,
    protocol: Protocol,
    key: Key,
    rows: BTreeMap<Key, Row>,
    delayed_writes: Vec<Write>,
    delayed_runs: Vec<usize>,
    outage_until_ms: u64,
    calls: Vec<Call>,
    runs: Vec<usize>,
}

/// Runs one history that starts with `callers` calls and has `length` steps.
pub fn run_history(protocol: Protocol, seed: u64, callers: usize, length: usize) -> Counts {
    let mut simulation = Simulation {
        rng: SmallRng::seed_from_u64(seed),
        now_ms: 0,
        counts: Counts::default(),
        protocol,
        key: scope("coop", "k").row_key(),
        rows: BTreeMap::new(),
        delayed_writes: Vec::new(),
        delayed_runs: Vec::new(),
        outage_until_ms: 0,
        calls: Vec::new(),
        runs: Vec::new(),
    };
    for _ in 0..callers {
        simulation.add_call();
    }
    for _ in 0..length {
        simulation.step();
    }
    simulation.finish_delayed();
    simulation.check_replies();
    simulation.counts
}

impl Simulation {
    fn add_call(&mut self) {
        let number = self.calls.len();
        let record = Record {
            owner: Owner {
                vm: format!("vm-{}", number % 3).into(),
                request_id: request(number as u128),
                nonce: number as u64,
            },
            fingerprint: fingerprint("body"),
            day: 0,
            progress: Progress::Sending,
        };
        let opening = Opening::new(self.key.clone(), record.clone());
        let stage = match self.protocol {
            Protocol::Ledger => {
                let (state, action) = opening.start();
                Stage::Opening(state, action)
            }
            Protocol::AgeTakeover => Stage::Takeover(Takeover::start()),
        };
        self.counts.calls += 1;
        self.calls.push(Call {
            record,
            opening,
            stage,
            paused_until_ms: 0,
            reply: None,
        });
    }

    fn step(&mut self) {
        self.counts.steps += 1;
        self.now_ms += self.rng.random_range(0..1_000);
        match self.rng.random_range(0..100) {
            0..2 => self.kill(),
            2..4 => self.begin_outage(),
            4..8 => self.pause(),
            8..14 => self.apply_delayed_write(),
            14..20 => self.perform_delayed_run(),
            20..30 if self.calls.len() < 12 => self.add_call(),
            _ => self.advance(),
        }
    }

    fn kill(&mut self) {
        let number = self.rng.random_range(0..self.calls.len());
        if matches!(self.calls[number].stage, Stage::Finished) {
            return;
        }
        self.counts.kills += 1;
        self.calls[number].stage = Stage::Finished;
    }

    fn begin_outage(&mut self) {
        self.counts.outages += 1;
        self.outage_until_ms = self.now_ms + self.rng.random_range(0..20_000);
    }

    fn pause(&mut self) {
        let number = self.rng.random_range(0..self.calls.len());
        self.counts.pauses += 1;
        self.calls[number].paused_until_ms = self.now_ms + self.rng.random_range(0..90_000);
    }

    fn apply_delayed_write(&mut self) {
        if self.delayed_writes.is_empty() {
            return;
        }
        let number = self.rng.random_range(0..self.delayed_writes.len());
        let write = self.delayed_writes.swap_remove(number);
        let _ = apply(&mut self.rows, &[write]);
    }

    fn perform_delayed_run(&mut self) {
        if self.delayed_runs.is_empty() {
            return;
        }
        let number = self.rng.random_range(0..self.delayed_runs.len());
        let call = self.delayed_runs.swap_remove(number);
        self.runs.push(call);
    }

    fn finish_delayed(&mut self) {
        while !self.delayed_writes.is_empty() {
            self.apply_delayed_write();
        }
        while !self.delayed_runs.is_empty() {
            self.perform_delayed_run();
        }
    }

    /// Commits a write, with a random fault.
    pub fn commit(&mut self, write: Write) -> Result<(), CommitError> {
        let reason = || "injected fault".to_string();
        let draw = match self.now_ms < self.outage_until_ms {
            true => self.rng.random_range(0..40),
            false => self.rng.random_range(0..100),
        };
        match draw {
            0..10 => Err(CommitError::NotApplied { reason: reason() }),
            10..40 => {
                self.counts.lost_answers += 1;
                match self.rng.random_range(0..3) {
                    0 => {}
                    1 => {
                        let _ = apply(&mut self.rows, &[write]);
                    }
                    _ => {
                        self.counts.delayed_writes += 1;
                        self.delayed_writes.push(write);
                    }
                }
                Err(CommitError::Unknown { reason: reason() })
            }
            _ => apply(&mut self.rows, &[write]),
        }
    }

    /// Reads the row; `None` if the store does not respond.
    pub fn read(&mut self) -> Option<Option<Row>> {
        let down = self.now_ms < self.outage_until_ms || self.rng.random_range(0..10) == 0;
        (!down).then(|| self.rows.get(&self.key).cloned())
    }

    pub fn key(&self) -> Key {
        self.key.clone()
    }

    /// Sends a call to the backend server, with a random fault.
    pub fn send(&mut self, call: usize) -> SendResult {
        match self.rng.random_range(0..10) {
            0 => SendResult::NotSent,
            1 => SendResult::Lost,
            2 => {
                self.counts.delayed_runs += 1;
                self.delayed_runs.push(call);
                SendResult::Lost
            }
            3 => {
                self.runs.push(call);
                SendResult::Lost
            }
            _ => {
                self.runs.push(call);
                SendResult::Answered(answer(call))
            }
        }
    }

    pub fn record_reply(&mut self, call: usize, reply: CallerReply) {
        self.calls[call].reply.get_or_insert(reply);
    }

    fn advance(&mut self) {
        let call = self.rng.random_range(0..self.calls.len());
        if self.calls[call].paused_until_ms > self.now_ms {
            return;
        }
        let stage = std::mem::replace(&mut self.calls[call].stage, Stage::Finished);
        self.calls[call].stage = match stage {
            Stage::Opening(state, action) => self.advance_opening(call, state, action),
            Stage::Permitted { version } => self.advance_permitted(call, version),
            Stage::Settling(settling, state, action) => {
                self.advance_settling(settling, state, action)
            }
            Stage::Waiting(settling) => {
                let (state, action) = settling.start(KnownRow::Unread);
                Stage::Settling(settling, state, action)
            }
            Stage::Takeover(takeover) => match age_takeover::advance(takeover, call, self) {
                Some(takeover) => Stage::Takeover(takeover),
                None => Stage::Finished,
            },
            Stage::Finished => Stage::Finished,
        };
    }

    fn advance_opening(
        &mut self,
        call: usize,
        state: opening::OpeningState,
        action: opening::Action,
    ) -> Stage {
        let event = match action {
            opening::Action::Commit(write) => match self.commit(write) {
                Ok(()) => opening::Event::Committed,
                Err(error) => opening::Event::CommitFailed(error),
            },
            opening::Action::Read(_) => match self.read() {
                Some(row) => opening::Event::Row(row),
                None => opening::Event::ReadFailed,
            },
            opening::Action::Answer(decision) => return self.after_opening(call, decision),
        };
        let (state, action) = self.calls[call].opening.step(state, event);
        Stage::Opening(state, action)
    }

    fn after_opening(&mut self, call: usize, decision: OpeningDecision) -> Stage {
        let reply = match decision {
            OpeningDecision::Run { version } => return Stage::Permitted { version },
            OpeningDecision::Replay(stored) => {
                CallerReply::Replay(String::from_utf8_lossy(&stored.body).into_owned())
            }
            OpeningDecision::InProgress { .. } => CallerReply::InProgress,
            OpeningDecision::Unavailable(prior_writes) => {
                self.record_reply(call, CallerReply::NotRun);
                return match prior_writes {
                    PriorWrites::Resolved => Stage::Finished,
                    PriorWrites::MayLand => Stage::Waiting(self.settling(call, Progress::Released)),
                };
            }
            _ => CallerReply::Unknown,
        };
        self.record_reply(call, reply);
        Stage::Finished
    }

    fn advance_permitted(&mut self, call: usize, version: u64) -> Stage {
        let (reply, progress) = match self.send(call) {
            SendResult::NotSent => (CallerReply::NotRun, Progress::Released),
            SendResult::Lost => (CallerReply::Unknown, Progress::Unknown),
            SendResult::Answered(body) => {
                let result = result(&body);
                (CallerReply::Answer, Progress::Done { result })
            }
        };
        self.record_reply(call, reply);
        let settling = self.settling(call, progress);
        let (state, action) = settling.start(KnownRow::ClaimedAt(version));
        Stage::Settling(settling, state, action)
    }

    fn settling(&self, call: usize, progress: Progress) -> Settling {
        Settling::new(
            self.key.clone(),
            self.calls[call].record.with_progress(progress),
        )
    }

    fn advance_settling(
        &mut self,
        settling: Settling,
        state: settling::SettlingState,
        action: settling::Action,
    ) -> Stage {
        let event = match action {
            settling::Action::Commit(write) => match self.commit(write) {
                Ok(()) => settling::Event::Committed,
                Err(error) => settling::Event::CommitFailed(error),
            },
            settling::Action::Read(_) => match self.read() {
                Some(row) => settling::Event::Row(row),
                None => settling::Event::StoreDown,
            },
            settling::Action::Finish(SettlingResult::Recorded) => return Stage::Finished,
            settling::Action::Finish(SettlingResult::TryAgain) => return Stage::Waiting(settling),
            settling::Action::Finish(SettlingResult::Lost) => {
                panic!("a call that ran lost its row")
            }
        };
        let (state, action) = settling.step(state, event);
        Stage::Settling(settling, state, action)
    }

    fn check_replies(&mut self) {
        self.counts.runs = self.runs.len() as u64;
        self.counts.extra_runs = self.counts.runs.saturating_sub(1);
        for (number, call) in self.calls.iter().enumerate() {
            let ran = self.runs.contains(&number);
            match &call.reply {
                Some(CallerReply::NotRun) => {
                    self.counts.replied_not_run += 1;
                    self.counts.false_not_run += u64::from(ran);
                }
                Some(CallerReply::Replay(body)) => {
                    self.counts.replied_replay += 1;
                    let from_a_run = self.runs.iter().any(|run| answer(*run) == *body);
                    self.counts.false_replay += u64::from(!from_a_run);
                }
                Some(CallerReply::InProgress) => self.counts.replied_in_progress += 1,
                Some(CallerReply::Unknown) => self.counts.replied_unknown += 1,
                Some(CallerReply::Answer) => self.counts.replied_answer += 1,
                None => {}
            }
        }
    }
}

fn answer(call: usize) -> String {
    format!("answer to call {call}")
}
