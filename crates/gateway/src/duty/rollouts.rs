//! Decides the stages of rollouts while this node holds the duties, and writes their status.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use base::units::Millisecond;
use base::{Map, Name};
use outside::{
    Condition, Key, ReadError, RolloutPhase, RolloutStatus, RolloutStatuses, Table, Write,
};
use serde::{Deserialize, Serialize};

use crate::decide::rollout::{
    Decision, Evidence, Finding, Order, Plan, RolloutState, Situation, Stage, Verdict,
};
use crate::decide::store_calls::StoreAccess;
use crate::log;
use crate::node::Node;
use crate::rollout::{Rollout, ready_servers};

/// Time between two decisions.
const ROUND_PERIOD: Duration = Duration::from_millis(250);

/// Time between two attempts to write.
const WRITE_PERIOD: Duration = Duration::from_millis(100);

/// Time after which the counts in the row are written again.
const ROW_PERIOD_MS: Millisecond = 1_000;

/// Partition of the rows with the stages, one for each service.
pub const ROLLOUTS_PARTITION: &str = "rollouts";

/// The holder's row of an order, from which the next holder continues.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutRecord {
    pub order: Order,
    pub state: RolloutState,
    pub stage: Stage,
    /// Fleet time of the order.
    pub ordered_unix_ms: u64,
    /// Requests sent to the new version, and to both, as the holder knew them.
    pub sent_new: u64,
    pub sent: u64,
}

#[derive(Serialize)]
struct StagedFields<'a> {
    service: &'a str,
    to: &'a str,
    revision: u64,
    #[serde(flatten)]
    decision: Decision,
    situation: &'a Situation,
}

/// The plan of an order in this tenure.
struct Planned {
    order: Order,
    /// Fence of the tenure. The lease may be lost and held again while a call waits or the process is
    /// paused; then another plan begins at the canary stage.
    fence: u64,
    plan: Plan,
    /// Counts before this holder, as far as it doesn't know them itself.
    sent_new_before: u64,
    sent_before: u64,
    reported: Option<(Stage, u32)>,
    record: RolloutRecord,
    written: Option<RolloutRecord>,
    written_ms: Millisecond,
    status: Option<RolloutStatus>,
    condition: Condition,
}

type Plans = RefCell<Map<Name, Planned>>;

/// Decides and writes until the process ends.
pub async fn run(node: Rc<Node>, table: Arc<dyn Table>, statuses: Arc<dyn RolloutStatuses>) {
    let plans = Plans::default();
    // Decisions are made anew within their life also while the store is slow.
    let deciding = async {
        loop {
            tokio::time::sleep(ROUND_PERIOD).await;
            decide(&node, &plans);
        }
    };
    let writing = async {
        loop {
            tokio::time::sleep(WRITE_PERIOD).await;
            let Some(fence) = fence(&node) else {
                plans.borrow_mut().clear();
                continue;
            };
            load_new(&node, &*table, &*statuses, &plans, fence).await;
            write_changes(&node, &*table, &*statuses, &plans).await;
        }
    };
    tokio::join!(deciding, writing);
}

/// Fence of the tenure in which this node may act as the holder now.
fn fence(node: &Node) -> Option<u64> {
    let rollouts = node.rollouts.borrow();
    let permit = rollouts.tenure.as_ref()?.permit()?;
    Some(permit.fence.0)
}

/// Decides the stage of each running order.
fn decide(node: &Rc<Node>, plans: &Plans) {
    let Some(fence) = fence(node) else {
        return;
    };
    let now_ms = node.now_ms();
    let mut plans = plans.borrow_mut();
    plans.retain(|_, planned| planned.fence == fence);
    let mut rollouts = node.rollouts.borrow_mut();
    for (service, rollout) in &mut rollouts.by_service {
        let Some(planned) = plans.get_mut(service) else {
            continue;
        };
        if rollout.order != planned.order {
            continue;
        }
        if !rollout.state.is_final() {
            planned.round(node, rollout, now_ms);
        }
        planned.record.state = rollout.state;
    }
    plans.retain(|service, planned| {
        let known = rollouts.by_service.get(service);
        known.is_some_and(|rollout| rollout.order == planned.order)
    });
}

impl Planned {
    fn round(&mut self, node: &Node, rollout: &mut Rollout, now_ms: Millisecond) {
        let situation = self.situation(node, rollout, now_ms);
        self.record.sent_new = situation.sent_new;
        self.record.sent = situation.sent;
        let before = self.plan.clone();
        match self.plan.round(&situation) {
            Verdict::Continue(mut decision) => {
                // Without the store the next holder would not know of the stage.
                let is_served = node.store_access() == StoreAccess::Served;
                if decision.stage > self.record.stage && !is_served {
                    self.plan = before;
                    decision = self.plan.decision(&situation);
                }
                rollout.decision = Some((decision, now_ms));
                self.record.stage = decision.stage;
                self.report(decision, &situation);
            }
            Verdict::Complete => rollout.end(RolloutState::Completed, "proven"),
            Verdict::RollBack(reason) => rollout.end(RolloutState::RolledBack, reason),
        }
    }

    fn situation(&self, node: &Node, rollout: &Rollout, now_ms: Millisecond) -> Situation {
        let (new_servers, old_servers) = ready_servers(node, rollout);
        let totals = rollout.judge.totals();
        let new = Evidence::total(&totals.new).sent;
        let sent = new + Evidence::total(&totals.old).sent;
        let age_ms = rollout.age_ms(now_ms);
        let good_since_ms = rollout.ordered_ms + self.plan.good_since_ms() as i64;
        let finding = match &rollout.halted {
            Some(finding) => finding.clone(),
            None if rollout.is_established => Finding::Undecided,
            None => rollout
                .judge
                .finding(now_ms, good_since_ms.max(0) as Millisecond),
        };
        let first_ms = rollout.judge.first_response_ms();
        Situation {
            age_ms,
            responding_ms: first_ms.map(|ms| now_ms.saturating_sub(ms)),
            finding,
            new_servers,
            old_servers,
            sent_new: new.max(self.sent_new_before),
            sent: sent.max(self.sent_before),
            requests_per_s: rollout.judge.requests_per_s(now_ms),
            old_running: old_running(node, rollout),
        }
    }

    fn report(&mut self, decision: Decision, situation: &Situation) {
        let reported = (decision.stage, (decision.share * 100.0).round() as u32);
        let is_change = self.reported.is_none_or(|(stage, percent)| {
            stage != decision.stage || percent.abs_diff(reported.1) > 2
        });
        if !is_change {
            return;
        }
        self.reported = Some(reported);
        let fields = StagedFields {
            service: &self.order.service,
            to: &self.order.to,
            revision: self.order.revision,
            decision,
            situation,
        };
        log::emit(events::Code::RolloutStaged, &fields);
    }
}

/// Requests that run at servers of the old version, at all nodes.
fn old_running(node: &Node, rollout: &Rollout) -> u32 {
    let registry = node.registry.borrow();
    let servers = registry.of_service(&rollout.order.service).iter();
    let old = servers.filter(|server| server.record.version != rollout.order.to);
    old.map(|server| server.load().running).sum()
}

/// Reads what earlier holders have stored of orders without a plan.
async fn load_new(
    node: &Rc<Node>,
    table: &dyn Table,
    statuses: &dyn RolloutStatuses,
    plans: &Plans,
    fence: u64,
) {
    let orders: Vec<Order> = {
        let rollouts = node.rollouts.borrow();
        let plans = plans.borrow();
        let known = rollouts.by_service.values().map(|rollout| &rollout.order);
        known
            .filter(|order| {
                let planned = plans.get(&order.service);
                planned.is_none_or(|p| p.order != **order || p.fence != fence)
            })
            .cloned()
            .collect()
    };
    for order in orders {
        let Ok((record, status, condition)) = read(table, statuses, &order).await else {
            continue;
        };
        let Some(planned) = plan(node, &order, fence, record, status, condition) else {
            continue;
        };
        plans.borrow_mut().insert(order.service.clone(), planned);
    }
}

async fn read(
    table: &dyn Table,
    statuses: &dyn RolloutStatuses,
    order: &Order,
) -> Result<(Option<RolloutRecord>, Option<RolloutStatus>, Condition), ReadError> {
    let row = table.get(&key(&order.service)).await?;
    let record = row.and_then(|row| serde_json::from_str::<RolloutRecord>(&row.body).ok());
    let record = record.filter(|record| record.order == *order);
    let (status, condition) = statuses.read_status(&order.service).await?;
    Ok((record, status, condition))
}

/// Continues an order from the row of an earlier holder, at the canary stage.
fn plan(
    node: &Node,
    order: &Order,
    fence: u64,
    record: Option<RolloutRecord>,
    status: Option<RolloutStatus>,
    condition: Condition,
) -> Option<Planned> {
    let bounds = node.settings.rollout.as_ref()?.exposure();
    let now_ms = node.now_ms();
    let fleet_ms = node.fleet_ms();
    let mut rollouts = node.rollouts.borrow_mut();
    let rollout = rollouts.by_service.get_mut(&order.service)?;
    if rollout.order != *order {
        return None;
    }
    if let Some(record) = &record {
        let age_ms = fleet_ms.saturating_sub(record.ordered_unix_ms);
        rollout.ordered_ms = rollout.ordered_ms.min(now_ms as i64 - age_ms as i64);
        rollout.end(record.state, "stored");
    }
    // The old servers may have stopped already. An earlier order for the same version may have left
    // the status, so that it alone proves nothing.
    let is_reported = status
        .as_ref()
        .is_some_and(|status| status.phase == RolloutPhase::Completed && status.to == order.to);
    let was_last_stage = record.as_ref().is_some_and(|r| r.stage == Stage::All);
    let (new_servers, old_servers) = ready_servers(node, rollout);
    if is_reported && (was_last_stage || (new_servers > 0 && old_servers == 0)) {
        rollout.end(RolloutState::Completed, "stored");
    }
    let age_ms = rollout.age_ms(now_ms);
    let plan = match rollout.is_established {
        true => Plan::back_to_established(order, bounds, age_ms),
        false => Plan::new(order, bounds, age_ms),
    };
    Some(Planned {
        order: order.clone(),
        fence,
        plan,
        sent_new_before: record.as_ref().map_or(0, |record| record.sent_new),
        sent_before: record.as_ref().map_or(0, |record| record.sent),
        reported: None,
        record: RolloutRecord {
            order: order.clone(),
            state: rollout.state,
            stage: Stage::Canary,
            ordered_unix_ms: fleet_ms.saturating_sub(age_ms),
            sent_new: 0,
            sent: 0,
        },
        written: None,
        written_ms: 0,
        status,
        condition,
    })
}

/// Writes the rows and the status that have changed.
async fn write_changes(
    node: &Rc<Node>,
    table: &dyn Table,
    statuses: &dyn RolloutStatuses,
    plans: &Plans,
) {
    let now_ms = node.now_ms();
    let services: Vec<Name> = plans.borrow().keys().cloned().collect();
    for service in services {
        let due = plans.borrow().get(&service).and_then(|p| {
            let record = p.due_record(now_ms)?;
            Some((p.fence, record))
        });
        if let Some((tenure, record)) = due
            && fence(node) == Some(tenure)
        {
            let write = Write::Put {
                key: key(&service),
                body: serde_json::to_string(&record).unwrap_or_default(),
                condition: Condition::Any,
            };
            let is_written = table.commit(vec![write]).await.is_ok();
            let mut plans = plans.borrow_mut();
            let planned = plans.get_mut(&service).filter(|p| p.fence == tenure);
            if let Some(planned) = planned.filter(|_| is_written) {
                planned.written = Some(record);
                planned.written_ms = now_ms;
            }
        }
        let due = plans.borrow().get(&service).and_then(|p| {
            let (status, condition) = p.due_status()?;
            Some((p.fence, status, condition))
        });
        if let Some((tenure, status, condition)) = due
            && fence(node) == Some(tenure)
        {
            let outcome = statuses.write_status(&service, &status, condition).await;
            let outcome = match &outcome {
                Ok(()) => "taken",
                Err(_) => "failed",
            };
            node.metrics.count_platform_call("rollout_status", outcome);
            // The version of the row, and whether an unclear write was applied, are learned by
            // reading it.
            let read = statuses.read_status(&service).await;
            if let (Ok((status, condition)), Some(planned)) =
                (read, plans.borrow_mut().get_mut(&service))
            {
                planned.status = status;
                planned.condition = condition;
            }
        }
    }
}

impl Planned {
    /// The row, if it has to be written: at once after a change of the stage or the state.
    fn due_record(&self, now_ms: Millisecond) -> Option<RolloutRecord> {
        let is_due = match &self.written {
            None => true,
            Some(written) => {
                let is_new_stage =
                    (written.stage, written.state) != (self.record.stage, self.record.state);
                let is_old = now_ms.saturating_sub(self.written_ms) >= ROW_PERIOD_MS;
                is_new_stage || (is_old && *written != self.record)
            }
        };
        is_due.then(|| self.record.clone())
    }

    fn due_status(&self) -> Option<(RolloutStatus, Condition)> {
        let phase = match self.record.state {
            RolloutState::Running => RolloutPhase::Running,
            RolloutState::Completed => RolloutPhase::Completed,
            RolloutState::RolledBack => RolloutPhase::RolledBack,
            RolloutState::Withdrawn => return None,
        };
        let to = self.order.to.clone();
        let status = RolloutStatus { phase, to };
        (self.status.as_ref() != Some(&status)).then_some((status, self.condition))
    }
}

fn key(service: &Name) -> Key {
    Key::new(ROLLOUTS_PARTITION, &**service)
}
