//! One placement round of the lease holder: reads the state, decides, writes the state, carries the
//! actions out, and writes their outcomes.

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

use super::input::PlacementSnapshot;
use super::store::{SaveOutcome, StoredState, read, write};

/// An order is sent only if the lease is valid for longer than this, so that the order arrives
/// before another holder can act.
const ORDER_MIN_LEASE_MS: Millisecond = 2_000;

/// Runs placement rounds while the lease is held.
pub struct Round {
    pub lease: LeaseHandle,
    /// Source of random retry delays.
    pub rng: StdRng,
    /// Limits of the decisions.
    pub config: PlaceConfig,
    /// Stores the placement state.
    pub table: Arc<dyn Table>,
    /// Sells VMs.
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
    /// Runs one round on the result of `snapshot`, if this daemon holds the lease.
    pub async fn run(&mut self, snapshot: impl FnOnce(&PlaceState) -> Option<PlacementSnapshot>) {
        let Some(permit) = self.lease.permit() else {
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
        let Some(snapshot) = snapshot(&stored.state) else {
            return;
        };
        let mut plan = place::decide(&mut stored.state, &snapshot.input, &self.config, unix_ms());
        snapshot.enforce_min_vms(&mut plan);
        if plan.actions.is_empty() {
            return;
        }
        if write(&*table, &mut stored).await == SaveOutcome::NotSaved {
            return;
        }
        log(fence, &plan);
        for action in &plan.actions {
            if !self.may_act(fence) {
                return;
            }
            self.carry_out(action, &mut stored).await;
        }
        // If this write fails, the next round looks the orders up by their tokens.
        let _ = write(&*table, &mut stored).await;
    }

    fn may_act(&self, fence: u64) -> bool {
        let permit = self.lease.permit();
        permit.is_some_and(|p| p.fence.0 == fence && p.remaining_ms > ORDER_MIN_LEASE_MS)
    }

    async fn carry_out(&mut self, action: &PlaceAction, stored: &mut StoredState) {
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
                // A failed release is repeated in later rounds while the VM is still listed.
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
