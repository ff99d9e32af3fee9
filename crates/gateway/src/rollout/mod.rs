//! What a node knows of the rollouts of new server versions, and how its requests follow them.
//!
//! Orders come from the operator's table, or from nodes that follow it. The holder of the duties
//! decides the stages ([`crate::duty::rollouts`]); the other nodes get them in its heartbeats.

pub mod counts;
pub mod filter;
pub mod gauges;
pub mod news;
pub mod orders;

use std::rc::Rc;

use base::units::Millisecond;
use base::{Map, Name, Set};
use serde::Serialize;

use self::counts::OwnCounts;
use self::news::RolloutCount;
use crate::belief::registry::ServerState;
use crate::clock::unix_ms;
use crate::decide::rollout::choice::{DECISION_LIFE_MS, Knowledge};
use crate::decide::rollout::{Decision, Evidence, Finding, Judge, Order, RolloutState};
use crate::duty::tenure::DutyTenure;
use crate::log;
use crate::node::Node;

/// Time without servers of the version after which a withdrawn order is forgotten.
const WITHDRAWN_LIFE_MS: Millisecond = 10_000;

/// All that a node knows of rollouts.
#[derive(Default)]
pub struct Rollouts {
    pub by_service: Map<Name, Rollout>,
    /// When the orders were last known to be complete and current, by the process's clock; 0 if never.
    pub orders_confirmed_ms: Millisecond,
    /// The same in Unix time.
    pub orders_unix_ms: u64,
    /// When a server of a version was first seen, by service and version.
    first_seen: Map<(Name, Name), Millisecond>,
    /// Usual time to the first byte, by service and route.
    pub usual_ms: Map<(Name, Name), f64>,
    /// The right to decide, while this node takes part in the duties.
    pub tenure: Option<DutyTenure>,
}

/// One order, as a node knows it.
pub struct Rollout {
    pub order: Order,
    /// When the order was given, by the process's clock; it may lie before the process's start.
    pub ordered_ms: i64,
    pub state: RolloutState,
    /// The holder's last decision, and when it was made.
    pub decision: Option<(Decision, Millisecond)>,
    /// The evidence that this node knows is bad, so that it stops without waiting for the holder.
    pub halted: Option<Finding>,
    /// Whether the version served before an earlier order that had not ended.
    pub is_established: bool,
    /// Versions of earlier orders that had not ended, or were rolled back.
    pub barred: Set<Name>,
    /// Old versions that stop when the rollout completes.
    pub retired: Set<Name>,
    pub own: OwnCounts,
    /// Counts of other nodes by life. Those of ended lives still count.
    pub of_others: Map<Name, Vec<RolloutCount>>,
    pub judge: Judge,
    /// When a server of the version was last registered.
    version_seen_ms: Millisecond,
}

impl Rollout {
    fn new(order: Order, ordered_ms: i64, now_ms: Millisecond) -> Self {
        Self {
            order,
            ordered_ms,
            state: RolloutState::Running,
            decision: None,
            halted: None,
            is_established: false,
            barred: Set::default(),
            retired: Set::default(),
            own: OwnCounts::default(),
            of_others: Map::default(),
            judge: Judge::default(),
            version_seen_ms: now_ms,
        }
    }

    /// Time since the order.
    pub fn age_ms(&self, now_ms: Millisecond) -> Millisecond {
        (now_ms as i64).saturating_sub(self.ordered_ms).max(0) as Millisecond
    }

    /// What requests follow at `now_ms`.
    pub fn knowledge(&self, now_ms: Millisecond) -> Knowledge {
        let is_fresh = |at_ms: Millisecond| now_ms.saturating_sub(at_ms) <= DECISION_LIFE_MS;
        let decision = self.decision.filter(|(_, at_ms)| is_fresh(*at_ms));
        Knowledge {
            state: match &self.halted {
                Some(_) if self.state == RolloutState::Running => RolloutState::RolledBack,
                _ => self.state,
            },
            decision: decision.map(|(decision, _)| decision),
            past_deadline_ms: self.age_ms(now_ms).checked_sub(self.order.duration_ms),
        }
    }

    /// Ends the rollout, unless it has ended.
    pub fn end(&mut self, state: RolloutState, reason: &str) {
        if self.state.is_final() || !state.is_final() {
            return;
        }
        self.state = state;
        self.report_end(state.label(), reason);
    }

    fn report_end(&self, outcome: &str, reason: &str) {
        let fields = EndedFields {
            service: &self.order.service,
            to: &self.order.to,
            outcome,
            reason,
            evidence: self.halted.as_ref(),
        };
        log::emit(events::Code::RolloutEnded, &fields);
    }

    /// Outcomes at all nodes since the order, as far as this node knows.
    pub fn evidence(&self) -> Evidence {
        let mut evidence = Evidence::default();
        let own = self.own.iter();
        let others = self.of_others.values().flatten();
        let others = others.map(|count| (&count.version, &count.route, count.outcomes));
        for (version, route, outcomes) in own.chain(others) {
            let side = match *version == self.order.to {
                true => &mut evidence.new,
                false => &mut evidence.old,
            };
            side.entry(route.clone()).or_default().add(outcomes);
        }
        evidence
    }
}

#[derive(Serialize)]
struct EndedFields<'a> {
    service: &'a str,
    to: &'a str,
    outcome: &'a str,
    reason: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    evidence: Option<&'a Finding>,
}

/// Whether rollouts are in force at this node.
pub fn is_on(node: &Node) -> bool {
    node.settings.rollout.is_some()
}

/// Judges the evidence of all running orders, and forgets what has passed.
pub fn round(node: &Rc<Node>) {
    if !is_on(node) {
        return;
    }
    let now_ms = node.now_ms();
    let mut rollouts = node.rollouts.borrow_mut();
    let rollouts = &mut *rollouts;
    rollouts.note_versions(node, now_ms);
    for rollout in rollouts.by_service.values_mut() {
        if rollout.state.is_final() {
            continue;
        }
        rollout.own.mark_overdue(now_ms);
        let totals = rollout.evidence();
        rollout.judge.observe(now_ms, &totals);
        let finding = rollout.judge.finding(now_ms, 0);
        if rollout.halted.is_none()
            && !rollout.is_established
            && let Finding::Bad { .. } = finding
        {
            rollout.halted = Some(finding);
            rollout.report_end("halted", "bad_responses");
        }
    }
    rollouts.by_service.retain(|_, rollout| {
        rollout.state != RolloutState::Withdrawn
            || now_ms.saturating_sub(rollout.version_seen_ms) < WITHDRAWN_LIFE_MS
    });
}

impl Rollouts {
    /// Records when versions were first seen, and which old ones serve beside a new one.
    fn note_versions(&mut self, node: &Node, now_ms: Millisecond) {
        let registry = node.registry.borrow();
        for server in registry.servers() {
            let record = &server.record;
            let key = (record.service.clone(), record.version.clone());
            self.first_seen.entry(key).or_insert(now_ms);
            let Some(rollout) = self.by_service.get_mut(&record.service) else {
                continue;
            };
            if record.version == rollout.order.to {
                rollout.version_seen_ms = now_ms;
            } else if rollout.state == RolloutState::Running {
                rollout.retired.insert(record.version.clone());
            }
        }
    }

    /// Records that the orders were complete and current `age_ms` ago.
    pub fn confirm_orders(&mut self, now_ms: Millisecond, age_ms: Millisecond) {
        let confirmed_ms = now_ms.saturating_sub(age_ms);
        if confirmed_ms >= self.orders_confirmed_ms {
            self.orders_confirmed_ms = confirmed_ms;
            self.orders_unix_ms = unix_ms().saturating_sub(age_ms);
        }
    }
}

/// Numbers of ready servers of a service: of the version, and of the old ones.
pub fn ready_servers(node: &Node, rollout: &Rollout) -> (u32, u32) {
    let registry = node.registry.borrow();
    let (mut new, mut old) = (0, 0);
    for server in registry.of_service(&rollout.order.service) {
        if server.record.state != ServerState::Ready {
            continue;
        }
        match server.record.version == rollout.order.to {
            true => new += 1,
            false => old += 1,
        }
    }
    (new, old)
}
