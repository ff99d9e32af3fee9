//! What nodes tell each other of rollouts in their heartbeats.

use base::Name;
use base::units::Millisecond;
use serde::{Deserialize, Serialize};

use super::{Rollouts, is_on};
use crate::decide::pause::Arrival;
use crate::decide::rollout::choice::DECISION_LIFE_MS;
use crate::decide::rollout::{Decision, Order, Outcomes, RolloutState};
use crate::node::Node;
use crate::peer::message::{NodeHeartbeat, Tenure};
use crate::peer::role::Role;

/// Most orders, and most counts, in a heartbeat.
const ENTRIES_LIMIT: usize = 64;

/// Greatest age and duration of an order.
const AGE_LIMIT_MS: Millisecond = 7 * 86_400_000;

/// An order as the sender knows it, with its decision if it holds the duties.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RolloutNews {
    #[serde(flatten)]
    pub order: Order,
    /// Time since the order.
    pub age_ms: Millisecond,
    #[serde(default)]
    pub state: RolloutState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub decision: Option<Decision>,
    /// Age of the decision.
    #[serde(default)]
    pub decision_age_ms: Millisecond,
}

/// Outcomes of the sender's requests to one version on one route since the order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RolloutCount {
    pub service: Name,
    /// Revision of the order.
    pub revision: u64,
    pub version: Name,
    pub route: Name,
    #[serde(flatten)]
    pub outcomes: Outcomes,
}

/// Whether the values are possible.
pub fn are_plausible(news: &[RolloutNews], counts: &[RolloutCount]) -> bool {
    let is_possible = |n: &RolloutNews| {
        let share = n.decision.map_or(0.0, |d| d.share);
        n.age_ms <= AGE_LIMIT_MS
            && n.order.duration_ms <= AGE_LIMIT_MS
            && (0.0..=1.0).contains(&share)
    };
    let is_countable = |c: &RolloutCount| {
        let o = c.outcomes;
        o.sent <= u64::from(u32::MAX) && o.responses <= o.sent && o.slow.max(o.failures) <= o.sent
    };
    news.len().max(counts.len()) <= ENTRIES_LIMIT
        && news.iter().all(is_possible)
        && counts.iter().all(is_countable)
}

/// The orders that this node knows, for other nodes.
pub fn report(node: &Node) -> Vec<RolloutNews> {
    if !is_on(node) {
        return Vec::new();
    }
    let now_ms = node.now_ms();
    let holds = node.tenure.get() == Tenure::Holds;
    let rollouts = node.rollouts.borrow();
    let known = rollouts.by_service.values().take(ENTRIES_LIMIT);
    known
        .map(|rollout| {
            let decision = rollout.decision.filter(|_| holds);
            RolloutNews {
                order: rollout.order.clone(),
                age_ms: rollout.age_ms(now_ms).min(AGE_LIMIT_MS),
                state: rollout.state,
                decision: decision.map(|(decision, _)| decision),
                decision_age_ms: decision.map_or(0, |(_, at_ms)| now_ms.saturating_sub(at_ms)),
            }
        })
        .collect()
}

/// This node's counts of running orders.
pub fn counts(node: &Node) -> Vec<RolloutCount> {
    let now_ms = node.now_ms();
    let mut counts = Vec::new();
    for rollout in node.rollouts.borrow_mut().by_service.values_mut() {
        if rollout.state.is_final() {
            continue;
        }
        rollout.own.mark_overdue(now_ms);
        counts.extend(
            rollout
                .own
                .iter()
                .map(|(version, route, outcomes)| RolloutCount {
                    service: rollout.order.service.clone(),
                    revision: rollout.order.revision,
                    version: version.clone(),
                    route: route.clone(),
                    outcomes,
                }),
        );
    }
    counts.truncate(ENTRIES_LIMIT);
    counts
}

/// Whether an order runs, so that counts are sent without delay.
pub fn has_running(node: &Node) -> bool {
    let rollouts = node.rollouts.borrow();
    let mut running = rollouts.by_service.values();
    running.any(|rollout| rollout.state == RolloutState::Running)
}

/// Takes over what another node tells.
pub fn apply(node: &Node, heartbeat: &NodeHeartbeat) {
    if !is_on(node) {
        return;
    }
    let now_ms = node.now_ms();
    // Datagrams that waited while the process was paused may hold decisions that no longer apply.
    let is_immediate = node.arrival() == Arrival::Immediate;
    let mut rollouts = node.rollouts.borrow_mut();
    for news in &heartbeat.rollouts {
        rollouts.adopt(news.order.clone(), news.age_ms, now_ms);
        rollouts.follow(
            news,
            now_ms,
            is_immediate && heartbeat.tenure == Tenure::Holds,
        );
    }
    for rollout in rollouts.by_service.values_mut() {
        let counts = heartbeat.rollout_counts.iter();
        let counts = counts.filter(|count| {
            count.service == rollout.order.service && count.revision == rollout.order.revision
        });
        let counts: Vec<RolloutCount> = counts.cloned().collect();
        if !counts.is_empty() {
            rollout.of_others.insert(heartbeat.key(), counts);
        }
    }
    if heartbeat.role == Role::Follows && is_immediate {
        rollouts.confirm_orders(now_ms, heartbeat.directory_age_ms);
    }
}

impl Rollouts {
    fn follow(&mut self, news: &RolloutNews, now_ms: Millisecond, is_of_holder: bool) {
        let Some(rollout) = self.by_service.get_mut(&news.order.service) else {
            return;
        };
        if rollout.order != news.order {
            return;
        }
        rollout.end(news.state, "told_by_another_node");
        let Some(decision) = news.decision.filter(|_| is_of_holder) else {
            return;
        };
        if news.decision_age_ms > DECISION_LIFE_MS {
            return;
        }
        let decided_ms = now_ms.saturating_sub(news.decision_age_ms);
        if rollout
            .decision
            .is_none_or(|(_, at_ms)| at_ms <= decided_ms)
        {
            rollout.decision = Some((decision, decided_ms));
        }
    }
}
