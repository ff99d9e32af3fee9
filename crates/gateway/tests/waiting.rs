//! The order of requests that wait for a server, under loads that are played against the decisions
//! alone: who is served in time, by kind and workspace.

use std::collections::BTreeMap;

use base::Name;
use base::ids::RequestId;
use base::units::Millisecond;
use gateway::decide::shed::{RankRooms, placed_limit_ms, room_ms, wait_limit_ms};
use gateway::decide::waiting::{Applicant, MAX_WAITING, Urgency, WaitingLine};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Model servers that one node uses alone.
const SERVERS: usize = 4;

/// Time that the load is played.
const END_MS: Millisecond = 60_000;

/// One kind of request of a workspace.
#[derive(Clone, Copy)]
struct Kind {
    workspace: &'static str,
    rank: u8,
    target_ms: Millisecond,
    /// Range of the time that a server takes.
    work_ms: (Millisecond, Millisecond),
    /// Share of all servers that the requests keep busy.
    load: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    asked: f64,
    in_time: f64,
    late: f64,
}

impl Counts {
    fn in_time_share(&self) -> f64 {
        self.in_time / self.asked
    }

    /// Accepted requests that were answered late, of all that were accepted.
    fn late_share(&self) -> f64 {
        self.late / (self.late + self.in_time)
    }
}

/// Plays Poisson arrivals of the kinds at one node, and returns what callers got by kind. Refused
/// callers do not return.
fn play(kinds: &[Kind]) -> Vec<Counts> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut node = Node {
        kinds: kinds.to_vec(),
        counts: vec![Counts::default(); kinds.len()],
        line: WaitingLine::default(),
        rooms: RankRooms::default(),
        waiting: BTreeMap::new(),
        backlogs: [0.0; SERVERS],
    };
    let mut ids = 0_u128;
    node.line.assume_drain(SERVERS as f64);
    for now_ms in 0..END_MS {
        for backlog_ms in &mut node.backlogs {
            *backlog_ms = (*backlog_ms - 1.0).max(0.0);
        }
        for (index, kind) in kinds.iter().enumerate() {
            let mean_ms = (kind.work_ms.0 + kind.work_ms.1) as f64 / 2.0;
            if !rng.random_bool(kind.load * SERVERS as f64 / mean_ms) {
                continue;
            }
            ids += 1;
            let work_ms = rng.random_range(kind.work_ms.0..=kind.work_ms.1);
            let applicant = Applicant {
                id: RequestId::from(ids),
                urgency: Urgency::Rank(kind.rank),
                workspace: Name::from(kind.workspace),
                weight: 1.0,
                due_ms: now_ms + kind.target_ms,
                work_ms,
                server_wait_ms: node.rooms.wait_limit_ms(kind.rank, 1.0).unwrap_or(0),
            };
            node.counts[index].asked += 1.0;
            node.rooms
                .record(kind.rank, room_ms(kind.target_ms, work_ms));
            let removed = node.line.join(&applicant, now_ms);
            node.waiting
                .insert(applicant.id, (index, applicant.clone()));
            removed.and_then(|id| node.waiting.remove(&id));
            node.start_waiting(now_ms);
            let outlook = node.line.outlook(applicant.id, now_ms);
            if outlook.is_some_and(|o| o.wait_limit_ms(0) == 0) {
                node.leave(applicant.id, now_ms);
            }
            node.line.mark_waiting(now_ms);
        }
        node.start_waiting(now_ms);
        for id in node.line.out_of_reach(now_ms) {
            node.leave(id, now_ms);
        }
    }
    node.counts
}

/// One node with its servers, and the requests that wait for them.
struct Node {
    kinds: Vec<Kind>,
    counts: Vec<Counts>,
    line: WaitingLine,
    rooms: RankRooms,
    waiting: BTreeMap<RequestId, (usize, Applicant)>,
    /// Time that the work at each server takes.
    backlogs: [f64; SERVERS],
}

impl Node {
    /// Starts the waiting requests in their order, each at the server with the least work, until one
    /// has no server within its limit.
    fn start_waiting(&mut self, now_ms: Millisecond) {
        let shortest_ms = self.kinds.iter().map(|k| k.target_ms).min().unwrap_or(0);
        while let Some(id) = self.line.next(|_| false) {
            let (index, applicant) = &self.waiting[&id];
            let rank = match self.line.uses_reserve(applicant.urgency) {
                true => 0,
                false => self.kinds[*index].rank,
            };
            let limit_ms = self.rooms.wait_limit_ms(rank, 1.0).unwrap_or(0);
            let limit_ms = limit_ms.min(wait_limit_ms(shortest_ms, 1.0, rank));
            let own_room_ms = applicant.due_ms.saturating_sub(now_ms + applicant.work_ms);
            let limit_ms = placed_limit_ms(limit_ms, own_room_ms) as f64;
            let least = self.backlogs.iter_mut().min_by(|a, b| a.total_cmp(b));
            let Some(backlog_ms) = least.filter(|backlog_ms| **backlog_ms <= limit_ms) else {
                return;
            };
            *backlog_ms += applicant.work_ms as f64;
            match now_ms as f64 + *backlog_ms <= applicant.due_ms as f64 {
                true => self.counts[*index].in_time += 1.0,
                false => self.counts[*index].late += 1.0,
            }
            self.line.start(id, now_ms);
            self.waiting.remove(&id);
        }
    }

    fn leave(&mut self, id: RequestId, now_ms: Millisecond) {
        self.line.leave(id, now_ms);
        self.waiting.remove(&id);
    }
}

const fn kind(
    workspace: &'static str,
    rank: u8,
    target_ms: u64,
    work: (u64, u64),
    load: f64,
) -> Kind {
    Kind {
        workspace,
        rank,
        target_ms,
        work_ms: work,
        load,
    }
}

/// Kinds of one workspace, the more urgent ones with longer prompts.
fn three_ranks(loads: [f64; 3]) -> [Kind; 3] {
    [
        kind("a", 0, 800, (80, 250), loads[0]),
        kind("a", 1, 1_200, (20, 80), loads[1]),
        kind("a", 2, 2_500, (5, 25), loads[2]),
    ]
}

/// Guards against serving less urgent work while more urgent work with longer prompts is refused.
/// Load: three ranks of different prompt length, arrivals at 1.3 times the capacity.
#[test]
fn no_kind_is_served_less_than_a_less_urgent_one_under_overload() {
    let kinds = three_ranks([0.7, 0.4, 0.2]);
    let counts = play(&kinds);
    println!("{counts:?}");
    for (index, more_urgent) in counts.iter().enumerate() {
        assert!(more_urgent.late_share() < 0.05, "{index}: {counts:?}");
        for less_urgent in &counts[index + 1..] {
            let lead = less_urgent.in_time_share() - more_urgent.in_time_share();
            assert!(lead <= 0.05, "{index}: {counts:?}");
        }
    }
    let served = (kinds.iter().zip(&counts)).map(|(k, c)| k.load * c.in_time_share());
    let served: f64 = served.sum();
    assert!(served > 0.93, "{served} of the capacity, {counts:?}");
}

/// Guards against a surge of one workspace taking the servers from the others.
/// Load: four workspaces of one rank; one sends six times its usual load, 2.25 times the capacity in
/// all.
#[test]
fn a_workspace_at_six_times_its_usual_load_leaves_the_others_theirs() {
    let mut kinds = vec![kind("surging", 1, 800, (40, 120), 6.0 * 0.25)];
    for workspace in ["b", "c", "d"] {
        kinds.push(kind(workspace, 1, 800, (40, 120), 0.25));
    }
    let counts = play(&kinds);
    println!("{counts:?}");
    for (index, other) in counts.iter().enumerate().skip(1) {
        assert!(other.in_time_share() > 0.9, "{index}: {counts:?}");
    }
    assert!(counts[0].in_time_share() > 0.1, "{counts:?}");
}

/// Guards against starvation of the less urgent ranks.
/// Load: rank 0 alone asks for 1.6 times the capacity.
#[test]
fn a_small_share_is_left_to_the_less_urgent_ranks() {
    let kinds = three_ranks([1.6, 0.2, 0.2]);
    let counts = play(&kinds);
    println!("{counts:?}");
    for (index, counted) in counts.iter().enumerate().skip(1) {
        let got = kinds[index].load * counted.in_time_share();
        assert!(got > 0.03, "{index} got {got}: {counts:?}");
    }
    assert!(1.6 * counts[0].in_time_share() > 0.85, "{counts:?}");
}

fn applicant(id: u128, urgency: Urgency, due_ms: Millisecond) -> Applicant {
    Applicant {
        id: RequestId::from(id),
        urgency,
        workspace: Name::from("a"),
        weight: 1.0,
        due_ms,
        work_ms: 50,
        server_wait_ms: 0,
    }
}

/// Guards against refusing or delaying a request that may have run.
#[test]
fn a_request_that_may_have_run_goes_first() {
    let mut line = WaitingLine::default();
    line.assume_drain(1.0);
    line.join(&applicant(1, Urgency::Rank(0), 500), 0);
    line.join(&applicant(2, Urgency::MayHaveRun, 10), 0);
    assert_eq!(line.next(|_| false), Some(RequestId::from(2)));
    assert_eq!(line.out_of_reach(20), []);
}

/// Guards against a queue without bound, and against a full one that keeps out urgent requests.
#[test]
fn a_full_line_drops_its_least_urgent_request() {
    let mut line = WaitingLine::default();
    for id in 0..MAX_WAITING as u128 {
        assert_eq!(line.join(&applicant(id, Urgency::Rank(1), 900), 0), None);
    }
    let last = applicant(1_000, Urgency::Rank(2), 900);
    assert_eq!(line.join(&last, 0), Some(last.id));
    let urgent = applicant(1_001, Urgency::Rank(0), 900);
    assert!(line.join(&urgent, 0).is_some_and(|id| id != urgent.id));
    assert_eq!(line.next(|_| false), Some(urgent.id));
}
