//! Concurrent operators and lease holders on a table with injected faults.
//!
//! The environment variable `FLEET_HISTORIES` sets the number of seeds.

mod rows;

use std::collections::BTreeMap;

use base::units::Millisecond;
use fleet::apply::{self, Apply, ApplyOutcome, ApplyStep, Author, ConfigContent, Proposal};
use fleet::clock::ClockReading;
use fleet::lease::{Fence, Lease, LeaseAction, LeasePermit, LeaseTerms};
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

/// A machine that competes for the lease. Its process restarts under the same name, and takes part
/// for a time, releases the lease, and takes part again.
struct Node {
    index: usize,
    lease: Lease,
    /// Number of leases begun on this machine.
    begun: u32,
    next: Option<LeaseAction>,
    answer: Option<Answer>,
    paused_until_ms: Millisecond,
    suspended_ms: Millisecond,
    refused_until_ms: Millisecond,
}

enum Answer {
    Row(Result<Option<Row>, ReadError>),
    Commit(Result<(), CommitError>),
}

fn new_lease(index: usize) -> Lease {
    Lease::new(
        "placement",
        format!("n{index}").into(),
        LeaseTerms::default(),
    )
}

impl Node {
    fn start(index: usize) -> Self {
        Self {
            index,
            lease: new_lease(index),
            begun: 1,
            next: None,
            answer: None,
            paused_until_ms: 0,
            suspended_ms: 0,
            refused_until_ms: 0,
        }
    }

    /// Reads clocks that run up to 2 percent fast or slow; the lower bound stands still while the
    /// node's VM is suspended.
    fn now(&self, true_ms: Millisecond) -> ClockReading {
        let rate_percent = [98, 100, 102][self.index];
        let max_elapsed_ms = true_ms * rate_percent / 100;
        ClockReading {
            min_elapsed_ms: (true_ms - self.suspended_ms) * rate_percent / 100,
            max_elapsed_ms,
        }
    }

    /// Kills the process and starts another one under the same name. A write that it was about to
    /// send may still arrive.
    fn restart(&mut self, rows: &mut Rows, rng: &mut StdRng) {
        if let Some(LeaseAction::Commit(write)) = self.next.take() {
            let _ = rows.commit(vec![write], draw_commit_fault(rng));
        }
        self.begin_lease();
    }

    /// Releases the lease and takes part again at once.
    fn leave_and_return(&mut self, rows: &mut Rows, true_ms: Millisecond, rng: &mut StdRng) {
        if let Some(LeaseAction::Commit(write)) = self.lease.release() {
            let fault = self.commit_fault(true_ms, rng);
            let _ = rows.commit(vec![write], fault);
        }
        self.begin_lease();
    }

    fn begin_lease(&mut self) {
        self.lease = new_lease(self.index);
        self.begun += 1;
        (self.next, self.answer) = (None, None);
    }

    fn commit_fault(&self, true_ms: Millisecond, rng: &mut StdRng) -> CommitFault {
        if true_ms < self.refused_until_ms {
            return CommitFault::Refused;
        }
        match rng.random_ratio(1, 2) {
            true => CommitFault::None,
            false => draw_commit_fault(rng),
        }
    }

    fn step(&mut self, rows: &mut Rows, true_ms: Millisecond, rng: &mut StdRng) {
        let now = self.now(true_ms);
        self.lease.note_restorations(rows.restorations());
        match (self.answer.take(), self.next.take()) {
            (Some(Answer::Row(row)), _) => self.next = self.lease.on_row(row, now),
            (Some(Answer::Commit(result)), _) => self.next = self.lease.on_commit(result),
            (None, Some(LeaseAction::Read(key))) => {
                self.answer = Some(Answer::Row(read(rows, &key, rng)));
            }
            (None, Some(LeaseAction::Commit(write))) => {
                let fault = self.commit_fault(true_ms, rng);
                self.answer = Some(Answer::Commit(rows.commit(vec![write], fault)));
            }
            (None, None) => self.next = self.lease.tick(now),
        }
    }

    /// Draws what happens to the node now. Returns `false` if it is paused.
    fn draw_event(&mut self, rows: &mut Rows, true_ms: Millisecond, rng: &mut StdRng) -> bool {
        if true_ms < self.paused_until_ms {
            return false;
        }
        match rng.random_range(0..1_200) {
            0..8 => {
                let pause_ms = rng.random_range(1_000..30_000);
                self.paused_until_ms = true_ms + pause_ms;
                self.suspended_ms += if rng.random() { pause_ms } else { 0 };
                return false;
            }
            8..12 => self.restart(rows, rng),
            12..20 if self.next.is_none() && self.answer.is_none() => {
                self.leave_and_return(rows, true_ms, rng);
            }
            20..26 => self.refused_until_ms = true_ms + rng.random_range(1_000..20_000),
            _ => {}
        }
        true
    }
}

/// Lets each node that isn't paused act, if it holds the lease, and take its next step.
fn step_all(
    nodes: &mut [Node],
    rows: &mut Rows,
    true_ms: Millisecond,
    rng: &mut StdRng,
    mut act: impl FnMut(&Node, LeasePermit),
) {
    for node in nodes {
        if !node.draw_event(rows, true_ms, rng) {
            continue;
        }
        if let Some(permit) = node.lease.permit(node.now(true_ms)) {
            act(node, permit);
        }
        node.step(rows, true_ms, rng);
    }
}

/// The lease of a node that used each fencing token.
#[derive(Default)]
struct Holders(BTreeMap<Fence, (usize, u32)>);

impl Holders {
    fn record(&mut self, node: &Node, fence: Fence, seed: u64, true_ms: Millisecond) {
        let holder = (node.index, node.begun);
        let first = *self.0.entry(fence).or_insert(holder);
        assert_eq!(
            first, holder,
            "seed {seed}: {fence:?} has two holders at {true_ms} ms"
        );
    }
}

/// Two holders that use one fencing number can't be told apart by those who check it.
#[test]
fn only_the_holder_acts_and_fencing_tokens_rise() {
    let (mut orders, mut tenures, mut leases) = (0_u64, 0_u64, 0_u64);
    for seed in 0..histories() {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut rows = Rows::default();
        let mut nodes: Vec<Node> = (0..3).map(Node::start).collect();
        let mut holders = Holders::default();
        let mut highest = Fence(0);
        for true_ms in (0..120_000).step_by(100) {
            if rng.random_ratio(1, 40) {
                rows.apply_delayed(0);
            }
            let mut acting = 0;
            step_all(&mut nodes, &mut rows, true_ms, &mut rng, |node, permit| {
                acting += 1;
                orders += 1;
                assert!(
                    permit.fence >= highest,
                    "seed {seed}: the fencing token decreased"
                );
                tenures += u64::from(permit.fence > highest);
                highest = permit.fence;
                holders.record(node, permit.fence, seed, true_ms);
            });
            assert!(
                acting <= 1,
                "seed {seed}: two nodes hold the lease at {true_ms} ms"
            );
        }
        leases += nodes.iter().map(|n| u64::from(n.begun)).sum::<u64>();
    }
    println!(
        "lease histories {}: orders {orders}, tenures {tenures}, leases {leases}",
        histories()
    );
    assert!(tenures > histories(), "the lease never changed hands");
}

/// A commit of before a restoration may arrive after it, when the row of a tenure that followed is
/// lost: its fencing number is in the row, and another node has used it.
#[test]
fn no_fencing_token_is_used_twice_across_a_restoration_of_the_store() {
    let (mut restorations, mut tenures) = (0, 0);
    for seed in 0..histories() {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut rows = Rows::default();
        let mut copy = rows.rows.clone();
        let mut nodes: Vec<Node> = (0..3).map(Node::start).collect();
        let mut holders = Holders::default();
        for true_ms in (0..60_000).step_by(100) {
            if rng.random_ratio(1, 40) {
                rows.apply_delayed(0);
            }
            match rng.random_range(0..200) {
                0 => copy = rows.rows.clone(),
                1 => rows.restore(copy.clone()),
                _ => {}
            }
            step_all(&mut nodes, &mut rows, true_ms, &mut rng, |node, permit| {
                holders.record(node, permit.fence, seed, true_ms);
            });
        }
        restorations += rows.restorations();
        tenures += holders.0.len();
    }
    println!("restorations {restorations}, tenures {tenures}");
    assert!(restorations > histories() && tenures as u64 > histories());
}
