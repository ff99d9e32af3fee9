//! Whether a new version is worse than the old one, by the outcomes of both at the same time.

use std::collections::VecDeque;

use base::units::Millisecond;
use base::{Map, Name};
use serde::{Deserialize, Serialize};

/// Spans over which the versions are compared. Short ones find a version that turns bad late; the
/// whole time finds one that gets few requests.
const SPANS_MS: [Millisecond; 3] = [1_500, 4_000, Millisecond::MAX];

/// Time that recent evidence covers.
const RECENT_MS: Millisecond = 4_000;

/// Shortest time that shows the rate of requests after a pause. Counts of other nodes take up to
/// 0.75 s; a rate from less time is too low, and the shares that follow from it are too great.
const RATE_LEAST_MS: Millisecond = 1_000;

/// Rounds that are kept: a minute.
const ROUNDS_LIMIT: usize = 240;

/// Fewest bad responses for a bad verdict; the roll-back has to follow the 50th within its bound.
const BAD_LEAST: u64 = 8;

/// Adjacent rounds that neither verdict may rest on. The crash of one server breaks its requests at
/// once, and its counts arrive within two or three rounds.
const BURST_ROUNDS: usize = 3;

/// Fewest bad responses in the other rounds for a bad verdict.
const BAD_LEAST_APART: u64 = 4;

/// Excess of the share of bad responses that makes a version bad. Bad versions exceed the old one by
/// 0.4 and more.
const BAD_EXCESS: f64 = 0.15;

/// Standard deviations by which a bad share must exceed the old version's. There are some hundred
/// comparisons in a rollout.
const BAD_DEVIATIONS: f64 = 4.0;

/// Excess above which a version is not good either.
const GOOD_EXCESS: f64 = 0.12;

/// Fewest responses for a good verdict. A version that fails 0.43 of them fails at most one of 16
/// with a probability of 0.002.
const GOOD_LEAST: u64 = 16;

/// The same on a route if the rest of the time is short. Half of the responses are then bad in
/// none of 8 with a probability of 0.004.
const GOOD_LEAST_ON_ROUTE: u64 = 8;

/// Share of the old version's requests above which a route must show evidence of its own.
const ROUTE_SHARE: f64 = 0.05;

/// Outcomes of requests to one version on one route, or their changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    pub sent: u64,
    /// Requests with a known outcome: answered, failed, or slow so far.
    pub responses: u64,
    pub failures: u64,
    pub slow: u64,
}

impl Outcomes {
    pub fn add(&mut self, other: Self) {
        self.sent += other.sent;
        self.responses += other.responses;
        self.failures += other.failures;
        self.slow += other.slow;
    }

    fn since(self, earlier: Self) -> Self {
        Self {
            sent: self.sent.saturating_sub(earlier.sent),
            responses: self.responses.saturating_sub(earlier.responses),
            failures: self.failures.saturating_sub(earlier.failures),
            slow: self.slow.saturating_sub(earlier.slow),
        }
    }
}

/// Outcomes of both versions by route, over all nodes, since the order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    pub new: Map<Name, Outcomes>,
    pub old: Map<Name, Outcomes>,
}

impl Evidence {
    /// Sum over all routes of one version.
    pub fn total(routes: &Map<Name, Outcomes>) -> Outcomes {
        let mut total = Outcomes::default();
        for outcomes in routes.values() {
            total.add(*outcomes);
        }
        total
    }

    fn since(&self, earlier: &Self) -> Self {
        let changes = |now: &Map<Name, Outcomes>, before: &Map<Name, Outcomes>| {
            now.iter()
                .map(|(route, outcomes)| {
                    let before = before.get(route).copied().unwrap_or_default();
                    (route.clone(), outcomes.since(before))
                })
                .collect()
        };
        Self {
            new: changes(&self.new, &earlier.new),
            old: changes(&self.old, &earlier.old),
        }
    }
}

/// What the evidence shows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finding {
    /// More bad responses than chance explains.
    Bad {
        fault: Fault,
        /// The route that shows it; `None` if all routes together do.
        route: Option<Name>,
        bad: u64,
        responses: u64,
    },
    Undecided,
    /// As good as the old version on all routes together.
    Good {
        /// The least evidence of the same on a single route with traffic.
        routes: RouteEvidence,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteEvidence {
    Missing,
    /// Enough if there is no time for more.
    Little,
    Enough,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    Failing,
    Slow,
}

impl Fault {
    fn count(self, outcomes: Outcomes) -> u64 {
        match self {
            Self::Failing => outcomes.failures,
            Self::Slow => outcomes.slow,
        }
    }
}

/// Compares the versions of one order. Each round adds the outcomes since the one before.
#[derive(Debug, Default)]
pub struct Judge {
    rounds: VecDeque<(Millisecond, Evidence)>,
    last: Evidence,
    first_response_ms: Option<Millisecond>,
}

impl Judge {
    /// Adds the totals known at `now_ms`.
    pub fn observe(&mut self, now_ms: Millisecond, totals: &Evidence) {
        let change = totals.since(&self.last);
        if self.first_response_ms.is_none() && Evidence::total(&change.new).responses > 0 {
            self.first_response_ms = Some(now_ms);
        }
        self.rounds.push_back((now_ms, change));
        if self.rounds.len() > ROUNDS_LIMIT {
            self.rounds.pop_front();
        }
        self.last = totals.clone();
    }

    /// The totals of the last round.
    pub fn totals(&self) -> &Evidence {
        &self.last
    }

    /// When the new version's first response became known.
    pub fn first_response_ms(&self) -> Option<Millisecond> {
        self.first_response_ms
    }

    /// Requests of the service per second, over the recent rounds. `None` after a pause of the
    /// process, until they cover enough time.
    pub fn requests_per_s(&self, now_ms: Millisecond) -> Option<f64> {
        let since_ms = now_ms.saturating_sub(RECENT_MS);
        let mut sent = 0;
        let mut first_ms = now_ms;
        for (at_ms, change) in self.rounds.iter().filter(|(at_ms, _)| *at_ms > since_ms) {
            first_ms = first_ms.min(*at_ms);
            sent += Evidence::total(&change.new).sent + Evidence::total(&change.old).sent;
        }
        let span_ms = now_ms - first_ms;
        let is_old = |(ms, _): &(Millisecond, Evidence)| now_ms.saturating_sub(*ms) >= RECENT_MS;
        let is_after_pause = self.rounds.front().is_some_and(is_old);
        if is_after_pause && span_ms < RATE_LEAST_MS {
            return None;
        }
        Some(sent as f64 * 1_000.0 / span_ms.max(250) as f64)
    }

    /// What the outcomes show at `now_ms`. Only those since `good_since_ms` count for a good
    /// verdict on all routes together.
    pub fn finding(&self, now_ms: Millisecond, good_since_ms: Millisecond) -> Finding {
        let routes: Vec<&Name> = self.last.new.keys().collect();
        for span_ms in SPANS_MS {
            let since_ms = now_ms.saturating_sub(span_ms);
            for fault in FAULTS {
                for route in std::iter::once(None).chain(routes.iter().copied().map(Some)) {
                    let sample = self.sample(since_ms, route, fault);
                    if sample.is_bad() {
                        return Finding::Bad {
                            fault,
                            route: route.cloned(),
                            bad: sample.all.new.bad,
                            responses: sample.all.new.responses,
                        };
                    }
                }
            }
        }
        self.good_finding(good_since_ms)
    }

    fn good_finding(&self, since_ms: Millisecond) -> Finding {
        let is_good = |since_ms, route, least| {
            let mut samples = FAULTS
                .map(|fault| self.sample(since_ms, route, fault))
                .into_iter();
            samples.all(|sample| sample.is_good(least))
        };
        if !is_good(since_ms, None, GOOD_LEAST) {
            return Finding::Undecided;
        }
        let all = Evidence::total(&self.last.old).sent as f64;
        let busy = self.last.old.iter();
        let busy = busy.filter(|(_, old)| old.sent as f64 >= all * ROUTE_SHARE);
        let evidence = busy.map(|(route, _)| match route {
            route if is_good(0, Some(route), GOOD_LEAST) => RouteEvidence::Enough,
            route if is_good(0, Some(route), GOOD_LEAST_ON_ROUTE) => RouteEvidence::Little,
            _ => RouteEvidence::Missing,
        });
        Finding::Good {
            routes: evidence.min().unwrap_or(RouteEvidence::Enough),
        }
    }

    fn sample(&self, since_ms: Millisecond, route: Option<&Name>, fault: Fault) -> Sample {
        let pick = |routes: &Map<Name, Outcomes>| match route {
            Some(route) => routes.get(route).copied().unwrap_or_default(),
            None => Evidence::total(routes),
        };
        let rounds = self.rounds.iter();
        let rounds = rounds.filter(|(at_ms, _)| since_ms == 0 || *at_ms > since_ms);
        let rounds: Vec<Pair> = rounds
            .map(|(_, change)| {
                let (new, old) = (pick(&change.new), pick(&change.old));
                Pair {
                    new: Shares::new(new.responses, fault.count(new)),
                    old: Shares::new(old.responses, fault.count(old)),
                }
            })
            .collect();
        Sample::of(&rounds)
    }
}

const FAULTS: [Fault; 2] = [Fault::Failing, Fault::Slow];

#[derive(Clone, Copy, Default)]
struct Shares {
    responses: u64,
    bad: u64,
}

impl Shares {
    fn new(responses: u64, bad: u64) -> Self {
        Self { responses, bad }
    }

    fn plus(self, other: Self) -> Self {
        Self::new(self.responses + other.responses, self.bad + other.bad)
    }

    fn share(self) -> f64 {
        self.bad as f64 / self.responses.max(1) as f64
    }
}

/// Bad responses of both versions over the same time.
#[derive(Clone, Copy, Default)]
struct Pair {
    new: Shares,
    old: Shares,
}

impl Pair {
    fn sum(rounds: &[Self]) -> Self {
        let add = |sum: Self, round: &Self| Self {
            new: sum.new.plus(round.new),
            old: sum.old.plus(round.old),
        };
        rounds.iter().fold(Self::default(), add)
    }

    fn excess(self) -> f64 {
        self.new.share() - self.old.share()
    }
}

#[derive(Clone, Copy)]
struct Sample {
    all: Pair,
    /// Without the adjacent rounds with the most bad responses of the new version.
    apart: Pair,
}

impl Sample {
    fn of(rounds: &[Pair]) -> Self {
        let bad = |first: &usize| -> u64 {
            let burst = rounds[*first..].iter().take(BURST_ROUNDS);
            burst.map(|round| round.new.bad).sum()
        };
        let first = (0..rounds.len()).max_by_key(bad).unwrap_or(0);
        let end = (first + BURST_ROUNDS).min(rounds.len());
        let (before, after) = (Pair::sum(&rounds[..first]), Pair::sum(&rounds[end..]));
        Self {
            all: Pair::sum(rounds),
            apart: Pair::sum(&[before, after]),
        }
    }

    fn is_bad(self) -> bool {
        let Pair { new, old } = self.all;
        if new.bad < BAD_LEAST || self.apart.new.bad < BAD_LEAST_APART {
            return false;
        }
        let excess = self.all.excess().min(self.apart.excess());
        // Without responses of the old version there is nothing to compare with; a version is
        // taken for bad if a large part of its responses is.
        if old.responses == 0 {
            return excess >= 2.0 * BAD_EXCESS;
        }
        let (new_n, old_n) = (new.responses.max(1) as f64, old.responses as f64);
        let pooled = (new.bad + old.bad) as f64 / (new_n + old_n);
        let variance = pooled * (1.0 - pooled).max(0.0) * (1.0 / new_n + 1.0 / old_n);
        excess >= BAD_EXCESS.max(BAD_DEVIATIONS * variance.sqrt())
    }

    fn is_good(self, least: u64) -> bool {
        // Of few responses none can be left out.
        let pair = match self.apart.new.responses >= GOOD_LEAST {
            true => self.apart,
            false => self.all,
        };
        self.all.new.responses >= least && pair.excess() < GOOD_EXCESS
    }
}
