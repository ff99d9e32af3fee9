//! Orders, from the operator's table and from other nodes.

use std::rc::Rc;

use base::units::Millisecond;
use base::{Name, Set};
use outside::FeedRow;
use outside::revision::version_of;
use serde::Serialize;

use super::{Rollout, Rollouts, is_on};
use crate::decide::rollout::{Order, RolloutState};
use crate::follow::BatchScope;
use crate::log;
use crate::node::Node;

#[derive(Serialize)]
struct UnreadableFields<'a> {
    row: &'a str,
    reason: String,
}

/// Applies the order rows among the rows of the operator's table.
pub fn apply_rows(node: &Rc<Node>, rows: &[FeedRow], scope: BatchScope) {
    if !is_on(node) {
        return;
    }
    let now_ms = node.now_ms();
    let mut rollouts = node.rollouts.borrow_mut();
    let mut listed: Set<Name> = Set::default();
    for row in rows {
        let Some(service) = row.key.strip_prefix(node.dialect.rollout_prefix) else {
            continue;
        };
        let Some(body) = &row.body else {
            rollouts.withdraw(service);
            continue;
        };
        listed.insert(service.into());
        match (node.dialect.rollout)(service, body) {
            Ok(decoded) => {
                let order = Order {
                    service: service.into(),
                    to: decoded.to,
                    duration_ms: decoded.duration_ms,
                    revision: row.revision,
                };
                rollouts.adopt(order, 0, now_ms);
            }
            Err(error) => {
                let fields = UnreadableFields {
                    row: &row.key,
                    reason: error.to_string(),
                };
                log::emit(events::Code::RowUnreadable, &fields);
            }
        }
    }
    if scope == BatchScope::All {
        let services = rollouts.by_service.keys();
        let gone: Vec<Name> = services
            .filter(|service| !listed.contains(*service))
            .cloned()
            .collect();
        for service in gone {
            rollouts.withdraw(&service);
        }
    }
    rollouts.confirm_orders(now_ms, 0);
}

impl Rollouts {
    /// Takes over an order that was given `age_ms` ago at the latest. A greater revision replaces an
    /// earlier order of the service.
    pub fn adopt(&mut self, order: Order, age_ms: Millisecond, now_ms: Millisecond) {
        let ordered_ms = now_ms as i64 - age_ms as i64;
        let Some(known) = self.by_service.get_mut(&order.service) else {
            let service = order.service.clone();
            let rollout = Rollout::new(order, ordered_ms, now_ms);
            self.by_service.insert(service, rollout);
            return;
        };
        // The rows of a restored store have greater revisions, with the same versions within it.
        let is_same = known.order.to == order.to
            && known.order.duration_ms == order.duration_ms
            && version_of(known.order.revision) == version_of(order.revision);
        if is_same {
            known.ordered_ms = known.ordered_ms.min(ordered_ms);
            known.order.revision = known.order.revision.max(order.revision);
            return;
        }
        if order.revision <= known.order.revision {
            return;
        }
        let mut next = Rollout::new(order, ordered_ms, now_ms);
        next.barred = std::mem::take(&mut known.barred);
        if known.state != RolloutState::Completed {
            next.barred.insert(known.order.to.clone());
            let key = (next.order.service.clone(), next.order.to.clone());
            let first_seen_ms = self.first_seen.get(&key).copied();
            next.is_established = known.order.to != next.order.to
                && first_seen_ms.is_some_and(|ms| (ms as i64) < known.ordered_ms);
        }
        next.barred.remove(&next.order.to);
        *known = next;
    }

    /// Ends an order that the operator has removed. One that is completed has no further effect.
    fn withdraw(&mut self, service: &str) {
        let Some(rollout) = self.by_service.get_mut(service) else {
            return;
        };
        match rollout.state {
            RolloutState::Running => rollout.end(RolloutState::Withdrawn, "withdrawn"),
            RolloutState::RolledBack => rollout.state = RolloutState::Withdrawn,
            RolloutState::Completed => {
                self.by_service.remove(service);
            }
            RolloutState::Withdrawn => {}
        }
    }
}
