//! Concurrent operators and lease holders on a table with injected faults.
//!
//! The environment variable `FLEET_HISTORIES` sets the number of seeds.

mod rows;

use base::units::Millisecond;
use fleet::apply::{self, Apply, ApplyOutcome, ApplyStep, Author, ConfigContent, Proposal};
use fleet::clock::ClockReading;
use fleet::lease::{Fence, Lease, LeaseAction, LeaseTerms};
use outside::{CommitError, ReadError, Row};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rows::{CommitFault, Rows};

const HISTORIES: u64 = 2_000;
const OPERATORS: usize = 4;
const ROUNDS: u64 = 5;

fn histories() -> u64 {
    let set = std::env::var("FLEET_HISTORIES").ok();
    set.and_then(|n| n.parse().ok()).unwrap_or(HISTORIES)
}

fn draw_commit_fault(rng: &mut StdRng) -> CommitFault {
    match rng.random_range(0..10) {
        0 => CommitFault::Refused,
        1 | 2 => CommitFault::AppliedAnswerLost,
        3 | 4 => CommitFault::AppliedLater,
        5 => CommitFault::Lost,
        _ => CommitFault::None,
    }
}

fn read(rows: &Rows, key: &outside::Key, rng: &mut StdRng) -> Result<Option<Row>, ReadError> {
    if rng.random_ratio(1, 5) {
        return Err(ReadError {
            reason: "no answer".to_owned(),
        });
    }
    Ok(rows.get(key))
}

struct Operator {
    token: String,
    apply: Apply,
    step: ApplyStep,
}

fn operator(token: String, base: u64) -> Operator {
    let author = Author {
        operator: token.clone(),
        token: token.clone(),
        unix_ms: 0,
    };
    let content = ConfigContent::Text(token.clone());
    let (apply, step) = Apply::start(Proposal::new(base, &token, content, author));
    Operator { token, apply, step }
}

fn race(rows: &mut Rows, operators: &mut [Operator], rng: &mut StdRng) {
    while operators
        .iter()
        .any(|o| !matches!(o.step, ApplyStep::Done(_)))
    {
        if rng.random_ratio(1, 6) {
            let index = rng.random_range(0..4);
            rows.apply_delayed(index);
        }
        let operator = &mut operators[rng.random_range(0..OPERATORS)];
        operator.step = match operator.step.clone() {
            ApplyStep::Done(outcome) => ApplyStep::Done(outcome),
            ApplyStep::Wait(_) => operator.apply.resume(),
            ApplyStep::Commit(writes) => {
                let fault = draw_commit_fault(rng);
                operator.apply.on_commit(rows.commit(writes, fault), rng)
            }
            ApplyStep::ReadHistory(key) => {
                let row = read(rows, &key, rng);
                operator.apply.on_history_row(row, rng)
            }
            ApplyStep::ReadCurrent(key) => {
                let row = read(rows, &key, rng);
                operator.apply.on_current_row(row, rng)
            }
        };
    }
}

#[test]
fn exactly_one_operator_wins_a_base_version() {
    let (mut accepted, mut lost, mut unsure, mut refused) = (0, 0, 0, 0);
    for seed in 0..histories() {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut rows = Rows::default();
        for round in 0..ROUNDS {
            let current = rows.get(&apply::current_key());
            let base = current.map_or(0, |row| row.version);
            let mut operators: Vec<Operator> = (0..OPERATORS)
                .map(|i| operator(format!("{round}-{i}"), base))
                .collect();
            race(&mut rows, &mut operators, &mut rng);
            for _ in 0..100 {
                rows.apply_delayed(0);
            }
            let history = rows.get(&apply::history_key(base + 1));
            let winner = history.as_ref().and_then(apply::parse_row).map(|s| s.token);
            for operator in &operators {
                let won = winner.as_ref() == Some(&operator.token);
                match &operator.step {
                    ApplyStep::Done(ApplyOutcome::Accepted) => {
                        accepted += 1;
                        assert!(
                            won,
                            "seed {seed}: {} accepted, {winner:?} won",
                            operator.token
                        );
                    }
                    ApplyStep::Done(ApplyOutcome::Unknown(_)) => unsure += 1,
                    ApplyStep::Done(ApplyOutcome::Lost(_)) => {
                        lost += 1;
                        assert!(
                            !won,
                            "seed {seed}: {} won but its outcome is Lost",
                            operator.token
                        );
                    }
                    step => {
                        refused += 1;
                        assert!(
                            !won,
                            "seed {seed}: {} won but its outcome is {step:?}",
                            operator.token
                        );
                    }
                }
            }
        }
    }
    println!(
        "races {}: accepted {accepted}, lost {lost}, unknown {unsure}, not accepted {refused}",
        histories() * ROUNDS
    );
}

struct Node {
    lease: Lease,
    next: Option<LeaseAction>,
    answer: Option<Answer>,
    paused_until_ms: Millisecond,
    suspended_ms: Millisecond,
    rate_percent: u64,
}

enum Answer {
    Row(Result<Option<Row>, ReadError>),
    Commit(Result<(), CommitError>),
}

impl Node {
    /// Reads clocks that run up to 2 percent fast or slow; the lower bound stands still while the
    /// node's VM is suspended.
    fn now(&self, true_ms: Millisecond) -> ClockReading {
        let max_elapsed_ms = true_ms * self.rate_percent / 100;
        ClockReading {
            min_elapsed_ms: (true_ms - self.suspended_ms) * self.rate_percent / 100,
            max_elapsed_ms,
        }
    }

    fn step(&mut self, rows: &mut Rows, true_ms: Millisecond, rng: &mut StdRng) {
        let now = self.now(true_ms);
        match (self.answer.take(), self.next.take()) {
            (Some(Answer::Row(row)), _) => self.next = self.lease.on_row(row, now, rng),
            (Some(Answer::Commit(result)), _) => self.next = self.lease.on_commit(result),
            (None, Some(LeaseAction::Read(key))) => {
                self.answer = Some(Answer::Row(read(rows, &key, rng)));
            }
            (None, Some(LeaseAction::Commit(write))) => {
                let fault = match rng.random_ratio(1, 2) {
                    true => CommitFault::None,
                    false => draw_commit_fault(rng),
                };
                self.answer = Some(Answer::Commit(rows.commit(vec![write], fault)));
            }
            (None, None) => self.next = self.lease.tick(now, rng),
        }
    }
}

#[test]
fn only_the_holder_acts_and_fencing_tokens_rise() {
    let (mut orders, mut tenures, mut pauses) = (0_u64, 0_u64, 0_u64);
    for seed in 0..histories() {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut rows = Rows::default();
        let mut nodes: Vec<Node> = (0..3)
            .map(|i| Node {
                lease: Lease::new("placement", format!("n{i}").into(), LeaseTerms::default()),
                next: None,
                answer: None,
                paused_until_ms: 0,
                suspended_ms: 0,
                rate_percent: [98, 100, 102][i],
            })
            .collect();
        let mut highest = Fence(0);
        for true_ms in (0..120_000).step_by(100) {
            if rng.random_ratio(1, 40) {
                rows.apply_delayed(0);
            }
            let mut acting = 0;
            for node in &mut nodes {
                if true_ms < node.paused_until_ms {
                    continue;
                }
                if rng.random_ratio(1, 150) {
                    let pause_ms = rng.random_range(1_000..30_000);
                    node.paused_until_ms = true_ms + pause_ms;
                    let suspended = rng.random_ratio(1, 2);
                    node.suspended_ms += if suspended { pause_ms } else { 0 };
                    pauses += 1;
                    continue;
                }
                if let Some(permit) = node.lease.permit(node.now(true_ms)) {
                    acting += 1;
                    orders += 1;
                    assert!(
                        permit.fence >= highest,
                        "seed {seed}: the fencing token decreased"
                    );
                    tenures += u64::from(permit.fence > highest);
                    highest = permit.fence;
                }
                node.step(&mut rows, true_ms, &mut rng);
            }
            assert!(
                acting <= 1,
                "seed {seed}: two nodes hold the lease at {true_ms} ms"
            );
        }
    }
    println!(
        "lease histories {}: orders {orders}, tenures {tenures}, pauses {pauses}",
        histories()
    );
    assert!(tenures > histories(), "the lease never changed hands");
}
