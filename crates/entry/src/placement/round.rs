//! One round of the holder: read, decide, store, act, store.

use std::sync::Arc;

use base::Name;
use base::units::Millisecond;
use events::Code;
use fleet::LeaseHandle;
use fleet::clock::unix_ms;
use outside::{Cloud, CloudError, Table, VmOrder};
use policy::place::{
    self, OrderOutcome, PlaceAction, PlaceConfig, PlacePlan, PlaceState, Shortfall, VmKind,
};
use rand::rngs::StdRng;
use serde::Serialize;

use super::input::Facts;
use super::store::{Kept, Stored, read, write};

/// Time that must be left of the right for an order to be sent.
const ORDER_MS: Millisecond = 2_000;

/// What a holder needs for its rounds.
pub struct Round {
    /// The right to act.
    pub right: LeaseHandle,
    /// Source of delays.
    pub rng: StdRng,
    /// Bounds of the decisions.
    pub config: PlaceConfig,
    /// Where the state is kept.
    pub table: Arc<dyn Table>,
    /// Where VMs are bought.
    pub cloud: Arc<dyn Cloud>,
}

#[derive(Serialize)]
struct PlacementLog<'a> {
    fence: u64,
    buys: usize,
    finds: usize,
    releases: usize,
    price_micros_per_h: u64,
    shortfalls: &'a [Shortfall],
}

impl Round {
    /// Runs one round on what `facts` tells, if this daemon holds the lease.
    pub async fn run(&mut self, facts: impl FnOnce(&PlaceState) -> Option<Facts>) {
        let Some(permit) = self.right.permit() else {
            return;
        };
        let table = self.table.clone();
        let Some(mut stored) = read(&*table).await else {
            return;
        };
        let fence = permit.fence.0;
        if stored.state.epoch > fence {
            return;
        }
        if stored.state.epoch < fence {
            stored.state.begin_epoch(fence);
        }
        let Some(facts) = facts(&stored.state) else {
            return;
        };
        let mut plan = place::decide(&mut stored.state, &facts.input, &self.config, unix_ms());
        facts.keep_fewest(&mut plan);
        if plan.actions.is_empty() {
            return;
        }
        if write(&*table, &mut stored).await == Kept::No {
            return;
        }
        log(fence, &plan);
        for action in &plan.actions {
            if !self.may_act(fence) {
                return;
            }
            self.carry_out(action, &mut stored).await;
        }
        // Outcomes that are not stored are looked up by their tokens in the next round.
        let _ = write(&*table, &mut stored).await;
    }

    fn may_act(&self, fence: u64) -> bool {
        let permit = self.right.permit();
        permit.is_some_and(|p| p.fence.0 == fence && p.remaining_ms > ORDER_MS)
    }

    async fn carry_out(&mut self, action: &PlaceAction, stored: &mut Stored) {
        let cloud = self.cloud.clone();
        let (token, outcome) = match action {
            PlaceAction::Buy {
                token,
                service,
                kind,
            } => {
                let bought = cloud.buy(&order(token, service, kind)).await;
                (
                    token,
                    outcome_of(bought.map(|one| OrderOutcome::Bought { vm: one.vm })),
                )
            }
            PlaceAction::Find { token } => {
                let found = cloud.find(token).await;
                (token, outcome_of(found.map(found_outcome)))
            }
            PlaceAction::Release { vm } => {
                // A release whose answer is lost is repeated while the VM is listed.
                let _ = cloud.release(vm).await;
                return;
            }
        };
        let now_ms = unix_ms();
        stored
            .state
            .on_outcome(token, outcome, &self.config, now_ms, &mut self.rng);
    }
}

fn found_outcome(found: Option<outside::VmPurchase>) -> OrderOutcome {
    match found {
        Some(purchase) => OrderOutcome::Bought { vm: purchase.vm },
        None => OrderOutcome::NotFound,
    }
}

fn outcome_of(result: Result<OrderOutcome, CloudError>) -> OrderOutcome {
    match result {
        Ok(outcome) => outcome,
        Err(CloudError::Refused { .. }) => OrderOutcome::Refused,
        Err(CloudError::Unknown { .. }) => OrderOutcome::Unknown,
    }
}

fn order(token: &str, service: &Name, kind: &VmKind) -> VmOrder {
    VmOrder {
        token: token.to_owned(),
        class: kind.class.clone(),
        failure_domain: kind.failure_domain.clone(),
        purchase: match kind.purchase {
            place::Purchase::Reclaimable => outside::Purchase::Reclaimable,
            place::Purchase::OnDemand => outside::Purchase::OnDemand,
        },
        service: service.clone(),
    }
}

fn log(fence: u64, plan: &PlacePlan) {
    let count =
        |wanted: fn(&PlaceAction) -> bool| plan.actions.iter().filter(|a| wanted(a)).count();
    let fields = PlacementLog {
        fence,
        buys: count(|a| matches!(a, PlaceAction::Buy { .. })),
        finds: count(|a| matches!(a, PlaceAction::Find { .. })),
        releases: count(|a| matches!(a, PlaceAction::Release { .. })),
        price_micros_per_h: plan.price_micros_per_h,
        shortfalls: &plan.shortfalls,
    };
    events::emit(Code::PlacementDecided, &fields);
}
