//! Stored state of placement: open orders, refusals and the start of each surplus.

use base::backoff::Backoff;
use base::units::Millisecond;
use base::{Map, Name};
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{PlaceAction, PlaceConfig, PlacedVm, VmKind};

/// Progress of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderStatus {
    /// Stored; it may or may not have been sent.
    Planned,
    /// Possibly sent, without an answer.
    Unsure,
    /// Bought, but not yet on the VM list, which lags behind.
    Arriving {
        vm: Name,
        /// Time of the purchase.
        since_ms: Millisecond,
    },
}

/// Result of a [`PlaceAction::Buy`] or [`PlaceAction::Find`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The VM was bought. Its order counts as capacity until the VM list shows the VM.
    Bought { vm: Name },
    /// The cloud refused the order and sold no VM.
    Refused,
    /// No answer arrived.
    Unknown,
    /// The cloud has no order with this token.
    NotFound,
}

/// An order whose VM is not yet on the VM list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingOrder {
    /// Idempotency token.
    pub token: String,
    pub service: Name,
    pub kind: VmKind,
    /// Capacity of the VM, in the unit of [`Offer::capacity_per_s`](super::Offer::capacity_per_s).
    pub capacity_per_s: f64,
    /// Price, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
    pub status: OrderStatus,
}

/// A kind of VM that the cloud refused, with its backoff.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Refusal {
    kind: VmKind,
    times: u32,
    until_ms: Millisecond,
}

/// State of placement, stored in the table before any action. Times are Unix milliseconds. They
/// affect only the pace of decisions: the tokens alone ensure that no VM is bought twice.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlaceState {
    /// Term of the lease holder, greater than the terms of all earlier holders.
    pub epoch: u64,
    /// Number of tokens used in this epoch.
    pub next_slot: u64,
    /// Open orders, oldest first.
    pub pending: Vec<PendingOrder>,
    pub(super) refusals: Vec<Refusal>,
    /// Start of the surplus, for each service that has one.
    pub(super) surplus_since_ms: Map<Name, Millisecond>,
}

impl PlaceState {
    /// Starts the term of a new holder with the state that its predecessor stored. Planned orders
    /// may have been sent, so they are looked up at the cloud before they are sent again.
    pub fn begin_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.next_slot = 0;
        for order in &mut self.pending {
            if order.status == OrderStatus::Planned {
                order.status = OrderStatus::Unsure;
            }
        }
    }

    /// Returns a new idempotency token, unique by epoch and slot.
    pub(super) fn next_token(&mut self) -> String {
        let token = format!("vm-{}-{}", self.epoch, self.next_slot);
        self.next_slot += 1;
        token
    }

    /// Removes orders whose VM is on the list, and those whose VM did not appear within
    /// `arrival_ms`.
    pub(super) fn remove_arrived(
        &mut self,
        vms: &[PlacedVm],
        arrival_ms: Millisecond,
        now_ms: Millisecond,
    ) {
        self.pending.retain(|order| match &order.status {
            OrderStatus::Arriving { vm, since_ms } => {
                let listed = vms.iter().any(|placed| placed.vm == *vm);
                !listed && now_ms.saturating_sub(*since_ms) < arrival_ms
            }
            OrderStatus::Planned | OrderStatus::Unsure => true,
        });
    }

    /// Returns the actions for open orders: planned ones are sent, unsure ones are looked up.
    pub(super) fn open_order_actions(&self) -> Vec<PlaceAction> {
        let mut actions = Vec::new();
        for order in &self.pending {
            let token = order.token.clone();
            let action = match order.status {
                OrderStatus::Arriving { .. } => continue,
                OrderStatus::Unsure => PlaceAction::Find { token },
                OrderStatus::Planned => PlaceAction::Buy {
                    token,
                    service: order.service.clone(),
                    kind: order.kind.clone(),
                },
            };
            actions.push(action);
        }
        actions
    }

    /// Applies the result of an action for the order with this token.
    pub fn on_outcome(
        &mut self,
        token: &str,
        outcome: OrderOutcome,
        config: &PlaceConfig,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) {
        let Some(position) = self.pending.iter().position(|order| order.token == token) else {
            return;
        };
        match outcome {
            OrderOutcome::Bought { vm } => {
                let bought = &mut self.pending[position];
                bought.status = OrderStatus::Arriving {
                    vm,
                    since_ms: now_ms,
                };
                let kind = &bought.kind;
                self.refusals.retain(|refusal| refusal.kind != *kind);
            }
            OrderOutcome::Refused => {
                let refused = self.pending.remove(position);
                self.refuse(refused.kind, config, now_ms, rng);
            }
            OrderOutcome::Unknown => self.pending[position].status = OrderStatus::Unsure,
            OrderOutcome::NotFound => self.pending[position].status = OrderStatus::Planned,
        }
    }

    /// Whether a refusal of this kind is still in its backoff.
    pub(super) fn is_refused(&self, kind: &VmKind, now_ms: Millisecond) -> bool {
        let blocks = |refusal: &Refusal| refusal.kind == *kind && now_ms < refusal.until_ms;
        self.refusals.iter().any(blocks)
    }

    fn refuse(
        &mut self,
        kind: VmKind,
        config: &PlaceConfig,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) {
        let position = self.refusals.iter().position(|r| r.kind == kind);
        let position = position.unwrap_or_else(|| {
            self.refusals.push(Refusal {
                kind,
                times: 0,
                until_ms: 0,
            });
            self.refusals.len() - 1
        });
        let refusal = &mut self.refusals[position];
        if now_ms < refusal.until_ms {
            // Another order of the same decision was refused already; it counts once.
            return;
        }
        let backoff = Backoff {
            base_ms: config.refusal_base_ms,
            cap_ms: config.refusal_cap_ms,
        };
        let delay_ms = backoff.delay_ms(refusal.times, rng);
        refusal.until_ms = now_ms + config.refusal_base_ms / 2 + delay_ms;
        refusal.times += 1;
    }
}
