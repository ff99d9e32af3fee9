//! The decisions of a rollout against played traffic of good and bad versions.
//!
//! The play has no nodes: requests are split by the decision of 0.36 s ago, and the judge gets the
//! counts of 0.75 s ago, as in a fleet of 67 nodes.

use std::collections::VecDeque;

use base::Name;
use base::units::Millisecond;
use gateway::decide::rollout::{
    Decision, Evidence, ExposureBounds, Finding, Judge, Order, Plan, RouteEvidence, Situation,
    Stage, Verdict,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const TICK_MS: Millisecond = 50;
const COUNT_DELAY_MS: Millisecond = 750;
const DECISION_DELAY_MS: Millisecond = 360;
const DURATION_MS: Millisecond = 15_000;

/// When the first servers of the new version take requests.
const NEW_SERVERS_MS: Millisecond = 600;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Behaviour {
    Good,
    /// Fails this share of the responses.
    Failing(f64),
    /// Fails half of the responses, from this time after its start.
    Late(Millisecond),
    /// Fails half of the responses while its servers have this part of the old servers' load.
    UnderLoad(f64),
    OnRoute(&'static str),
    Slow,
    /// Good, but a server breaks this many requests at once, at 4 s.
    OneCrash(u32),
}

/// Load of a service.
#[derive(Clone, Copy, Debug)]
struct Load {
    requests_per_s: f64,
    servers: u32,
    response_ms: Millisecond,
    /// Share of bad responses of the old version.
    usual_failures: f64,
}

/// The model service of the first deployment.
const MODEL: Load = Load {
    requests_per_s: 638.0,
    servers: 112,
    response_ms: 500,
    usual_failures: 0.01,
};

/// The plain services of both deployments.
const PLAIN: Load = Load {
    requests_per_s: 222.0,
    servers: 7,
    response_ms: 40,
    usual_failures: 0.002,
};
const FEW_SERVERS: Load = Load {
    requests_per_s: 60.0,
    servers: 3,
    response_ms: 40,
    usual_failures: 0.002,
};

const ROUTES: [(&str, f64); 3] = [("long", 0.45), ("short", 0.35), ("rare", 0.2)];

#[derive(Debug, Default)]
struct Outcome {
    completed_ms: Option<Millisecond>,
    rolled_back_ms: Option<Millisecond>,
    /// Requests sent from the order to its deadline.
    sent: u64,
    sent_new: u64,
    /// Greatest excess of `sent_new` over the bound at any moment before the deadline.
    worst_excess: f64,
    fiftieth_bad_ms: Option<Millisecond>,
    last_new_ms: Millisecond,
}

struct Play {
    load: Load,
    behaviour: Behaviour,
    rng: SmallRng,
    plan: Plan,
    judge: Judge,
    truth: Evidence,
    /// Responses to come: time, version is new, route, bad, slow.
    pending: Vec<(Millisecond, bool, Name, bool, bool)>,
    counts: VecDeque<(Millisecond, Evidence)>,
    decisions: VecDeque<(Millisecond, Decision)>,
    in_force: Decision,
    bad: u64,
    outcome: Outcome,
}

impl Play {
    fn new(load: Load, behaviour: Behaviour, seed: u64) -> Self {
        let order = Order {
            service: "s".into(),
            to: "v2".into(),
            duration_ms: DURATION_MS,
            revision: 7,
        };
        let bounds = ExposureBounds {
            share: 0.1,
            slack: 50.0,
        };
        Self {
            load,
            behaviour,
            rng: SmallRng::seed_from_u64(seed),
            plan: Plan::new(&order, bounds, 0),
            judge: Judge::default(),
            truth: Evidence::default(),
            pending: Vec::new(),
            counts: VecDeque::new(),
            decisions: VecDeque::new(),
            in_force: Decision::default(),
            bad: 0,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        for now_ms in (0..DURATION_MS).step_by(TICK_MS as usize) {
            self.send(now_ms);
            self.respond(now_ms);
            self.counts.push_back((now_ms, self.truth.clone()));
            while self
                .decisions
                .front()
                .is_some_and(|(at, _)| at + DECISION_DELAY_MS <= now_ms)
            {
                self.in_force = self.decisions.pop_front().unwrap().1;
            }
            let is_running =
                self.outcome.completed_ms.is_none() && self.outcome.rolled_back_ms.is_none();
            if now_ms % 250 == 0 && is_running {
                self.decide(now_ms);
            }
        }
        self.outcome
    }

    fn send(&mut self, now_ms: Millisecond) {
        let expected = self.load.requests_per_s * TICK_MS as f64 / 1_000.0;
        let requests = expected as u64 + u64::from(self.rng.random_bool(expected.fract()));
        for _ in 0..requests {
            let drawn: f64 = self.rng.random();
            let mut sum = 0.0;
            let found = ROUTES.iter().find(|(_, share)| {
                sum += share;
                drawn < sum
            });
            let route: Name = found.map_or("rare", |(name, _)| name).into();
            let is_new = now_ms >= NEW_SERVERS_MS
                && self.rng.random_bool(self.in_force.share.clamp(0.0, 1.0));
            self.outcome.sent += 1;
            let is_bad = match is_new {
                true => self.is_bad(now_ms, &route),
                false => self.rng.random_bool(self.load.usual_failures),
            };
            let slow = is_new && self.behaviour == Behaviour::Slow;
            let (counted, side) = match is_new {
                true => (&mut self.outcome.sent_new, &mut self.truth.new),
                false => (&mut 0, &mut self.truth.old),
            };
            *counted += 1;
            side.entry(route.clone()).or_default().sent += 1;
            if is_new {
                self.outcome.last_new_ms = now_ms;
            }
            // A slow request counts when it is thrice as late as usual.
            let after_ms = self.load.response_ms * if slow { 3 } else { 1 };
            let at_ms = now_ms + after_ms;
            self.pending.push((at_ms, is_new, route, is_bad, slow));
        }
        let bound = 0.1 * self.outcome.sent as f64 + 50.0;
        let excess = self.outcome.sent_new as f64 - bound;
        self.outcome.worst_excess = self.outcome.worst_excess.max(excess);
    }

    fn is_bad(&mut self, now_ms: Millisecond, route: &Name) -> bool {
        let share = match self.behaviour {
            Behaviour::Failing(share) => share,
            Behaviour::Late(after_ms) if now_ms >= NEW_SERVERS_MS + after_ms => 0.5,
            Behaviour::UnderLoad(least) if self.load_of_new() >= least => 0.5,
            Behaviour::OnRoute(bad) if **route == *bad => 0.5,
            _ => self.load.usual_failures,
        };
        self.rng.random_bool(share)
    }

    /// Load of a new server relative to an old one.
    fn load_of_new(&self) -> f64 {
        let Decision { share, servers, .. } = self.in_force;
        let new = share / f64::from(servers.max(1));
        let old = (1.0 - share) / f64::from(self.load.servers);
        new / old.max(1e-9)
    }

    fn respond(&mut self, now_ms: Millisecond) {
        if let Behaviour::OneCrash(broken) = self.behaviour
            && now_ms == 4_000
        {
            for _ in 0..broken {
                let late_ms = self.rng.random_range(0..700);
                let entry = (now_ms + late_ms, true, "long".into(), true, false);
                self.pending.push(entry);
            }
        }
        let due = self.pending.extract_if(.., |p| p.0 <= now_ms);
        for (_, is_new, route, is_bad, slow) in due {
            let side = match is_new {
                true => &mut self.truth.new,
                false => &mut self.truth.old,
            };
            let outcomes = side.entry(route).or_default();
            outcomes.responses += 1;
            outcomes.failures += u64::from(is_bad);
            outcomes.slow += u64::from(slow);
            if is_new && (is_bad || slow) {
                self.bad += 1;
                if self.bad == 50 {
                    self.outcome.fiftieth_bad_ms = Some(now_ms);
                }
            }
        }
    }

    fn decide(&mut self, now_ms: Millisecond) {
        while self
            .counts
            .get(1)
            .is_some_and(|(at, _)| at + COUNT_DELAY_MS <= now_ms)
        {
            self.counts.pop_front();
        }
        let known = match self.counts.front() {
            Some((at, known)) if at + COUNT_DELAY_MS <= now_ms => known.clone(),
            _ => Evidence::default(),
        };
        self.judge.observe(now_ms, &known);
        let new = Evidence::total(&known.new);
        let situation = Situation {
            age_ms: now_ms,
            responding_ms: self.judge.first_response_ms().map(|at| now_ms - at),
            finding: self.judge.finding(now_ms, self.plan.good_since_ms()),
            new_servers: if now_ms < NEW_SERVERS_MS {
                0
            } else {
                self.load.servers
            },
            old_servers: self.load.servers,
            sent_new: new.sent,
            sent: new.sent + Evidence::total(&known.old).sent,
            requests_per_s: self.judge.requests_per_s(now_ms),
            old_running: u32::from(now_ms < 12_000),
        };
        match self.plan.round(&situation) {
            Verdict::Continue(decision) => self.decisions.push_back((now_ms, decision)),
            Verdict::Complete => self.outcome.completed_ms = Some(now_ms),
            Verdict::RollBack(_) => {
                self.outcome.rolled_back_ms = Some(now_ms);
                let none = Decision::default();
                self.decisions.push_back((now_ms, none));
            }
        }
    }
}

/// Guards against rolling a good version back, also when one of its servers crashes, and against
/// completing it late.
#[test_case(MODEL, Behaviour::Good; "model servers")]
#[test_case(PLAIN, Behaviour::Good; "seven plain servers")]
#[test_case(FEW_SERVERS, Behaviour::Good; "three plain servers")]
#[test_case(MODEL, Behaviour::OneCrash(24); "a server crashes")]
fn good_version_completes_before_the_deadline(load: Load, behaviour: Behaviour) {
    for seed in 0..40 {
        let outcome = Play::new(load, behaviour, seed).run();
        assert!(outcome.rolled_back_ms.is_none(), "{seed}: {outcome:?}");
        let completed_ms = outcome.completed_ms.unwrap_or(Millisecond::MAX);
        assert!(completed_ms <= DURATION_MS - 500, "{seed}: {outcome:?}");
    }
}

/// Guards against too many requests at a bad version, over the whole time and at each moment, and
/// against a late roll-back.
#[test_case(MODEL, Behaviour::Failing(0.43); "model servers fail at once")]
#[test_case(PLAIN, Behaviour::Failing(0.43); "seven plain servers fail at once")]
#[test_case(FEW_SERVERS, Behaviour::Failing(0.43); "three plain servers fail at once")]
#[test_case(MODEL, Behaviour::Late(3_000); "model servers fail late")]
#[test_case(PLAIN, Behaviour::Late(3_000); "seven plain servers fail late")]
#[test_case(FEW_SERVERS, Behaviour::Late(3_000); "three plain servers fail late")]
#[test_case(MODEL, Behaviour::UnderLoad(0.9); "model servers fail under load")]
#[test_case(PLAIN, Behaviour::UnderLoad(0.9); "seven plain servers fail under load")]
#[test_case(FEW_SERVERS, Behaviour::UnderLoad(0.9); "three plain servers fail under load")]
#[test_case(MODEL, Behaviour::OnRoute("rare"); "model servers fail on one route")]
#[test_case(PLAIN, Behaviour::OnRoute("rare"); "seven plain servers fail on one route")]
#[test_case(FEW_SERVERS, Behaviour::OnRoute("rare"); "three plain servers fail on one route")]
#[test_case(MODEL, Behaviour::Slow; "model servers are slow")]
#[test_case(PLAIN, Behaviour::Slow; "seven plain servers are slow")]
fn bad_version_is_rolled_back_within_its_exposure(load: Load, behaviour: Behaviour) {
    for seed in 0..40 {
        let outcome = Play::new(load, behaviour, seed).run();
        assert!(outcome.completed_ms.is_none(), "{seed}: {outcome:?}");
        assert!(outcome.rolled_back_ms.is_some(), "{seed}: {outcome:?}");
        assert!(outcome.worst_excess <= 0.0, "{seed}: {outcome:?}");
        if let Some(at_ms) = outcome.fiftieth_bad_ms {
            assert!(outcome.last_new_ms <= at_ms + 5_000, "{seed}: {outcome:?}");
        }
    }
}

/// Guards against completing a version that nothing is known of.
#[test]
fn version_without_requests_is_rolled_back_at_the_deadline() {
    let idle = Load {
        requests_per_s: 0.0,
        ..PLAIN
    };
    let outcome = Play::new(idle, Behaviour::Good, 1).run();
    assert!(outcome.rolled_back_ms.is_some(), "{outcome:?}");
}

/// Guards against a bad verdict on failures that the old version has as well, such as those of a
/// store that both use.
#[test]
fn failures_of_both_versions_are_no_evidence() {
    let mut judge = Judge::default();
    for round in 1..20_u64 {
        let mut totals = Evidence::default();
        let route = |sent, failures| gateway::decide::rollout::evidence::Outcomes {
            sent,
            responses: sent,
            failures,
            slow: 0,
        };
        totals.new.insert("r".into(), route(10 * round, 4 * round));
        totals.old.insert("r".into(), route(90 * round, 36 * round));
        judge.observe(250 * round, &totals);
        let finding = judge.finding(250 * round, 0);
        assert!(!matches!(finding, Finding::Bad { .. }), "{finding:?}");
    }
}

/// Guards against a next holder that leaves the canary stage on responses from before its tenure.
#[test_case(10_000, 60_000, 1_200; "early")]
#[test_case(10_000, 16_000, 300; "close to the deadline")]
fn next_holder_stays_at_the_canary_stage(
    age_ms: Millisecond,
    duration_ms: Millisecond,
    least_ms: Millisecond,
) {
    let order = Order {
        service: "s".into(),
        to: "v2".into(),
        duration_ms,
        revision: 7,
    };
    let bounds = ExposureBounds {
        share: 0.1,
        slack: 50.0,
    };
    let mut plan = Plan::new(&order, bounds, age_ms);
    for in_stage_ms in (0..=least_ms).step_by(50) {
        let situation = Situation {
            age_ms: age_ms + in_stage_ms,
            responding_ms: Some(age_ms),
            finding: Finding::Good {
                routes: RouteEvidence::Enough,
            },
            new_servers: 6,
            old_servers: 6,
            sent_new: 50,
            sent: 1_000,
            requests_per_s: Some(100.0),
            old_running: 3,
        };
        let Verdict::Continue(decision) = plan.round(&situation) else {
            panic!("the rollout goes on");
        };
        let expected = match in_stage_ms < least_ms {
            true => Stage::Canary,
            false => Stage::Loaded,
        };
        assert_eq!(decision.stage, expected, "after {in_stage_ms} ms");
    }
}

/// Guards against a share that follows from the requests of the instant after a pause.
#[test]
fn rate_is_unknown_after_a_pause() {
    let mut judge = Judge::default();
    let mut evidence = Evidence::default();
    let mut observe = |now_ms| {
        let old = evidence.old.entry("long".into()).or_default();
        old.sent += 5;
        old.responses += 5;
        judge.observe(now_ms, &evidence);
        judge.requests_per_s(now_ms)
    };
    assert_eq!(observe(500), Some(20.0));
    for now_ms in (5_000..6_000).step_by(50) {
        assert_eq!(observe(now_ms), None, "at {now_ms} ms");
    }
    assert_eq!(observe(6_000), Some(105.0));
}
