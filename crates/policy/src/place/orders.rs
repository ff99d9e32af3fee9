//! State of the buying: open orders, refusals and lasting surplus.

use base::backoff::Backoff;
use base::units::Millisecond;
use base::{Map, Name};
use rand::Rng;
use serde::{Deserialize, Serialize};

use super::{PlaceAction, PlaceConfig, PlacedVm, VmKind};

/// What is known of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderStatus {
    /// Written down; it may or may not have been sent.
    Planned,
    /// Sent, and its answer was lost.
    Unsure,
    /// Bought, and not yet on the VM list, which lags.
    Arriving {
        /// The VM.
        vm: Name,
        /// When it was bought.
        since_ms: Millisecond,
    },
}

/// What came of an action.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The VM was bought; it counts as capacity until the list shows it.
    Bought {
        /// The VM.
        vm: Name,
    },
    /// The cloud refused; nothing was bought.
    Refused,
    /// No answer came.
    Unknown,
    /// The cloud knows nothing of the token.
    NotFound,
}

/// An order whose result is not known.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PendingOrder {
    /// Idempotency token.
    pub token: String,
    /// The service.
    pub service: Name,
    /// What is bought.
    pub kind: VmKind,
    /// Capacity that it will bring.
    pub capacity_per_s: f64,
    /// Price, in millionths of the currency per hour.
    pub price_micros_per_h: u64,
    /// What is known.
    pub status: OrderStatus,
}

/// A kind that was refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Refusal {
    kind: VmKind,
    times: u32,
    until_ms: Millisecond,
}

/// State of the decisions, stored in the table before any action. Times are Unix milliseconds;
/// they steer the pace only, safety rests on the tokens.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PlaceState {
    /// Number of the holder's term; greater than every earlier holder's.
    pub epoch: u64,
    /// Slots used in this epoch.
    pub next_slot: u64,
    /// Open orders, oldest first.
    pub pending: Vec<PendingOrder>,
    pub(super) refusals: Vec<Refusal>,
    /// Since when each service has had VMs to spare.
    pub(super) surplus_since_ms: Map<Name, Millisecond>,
}

impl PlaceState {
    /// Begins a holder's term from the state that the one before stored. Orders of which it is
    /// not known whether they were sent are looked up before anything else is bought for them.
    pub fn begin_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
        self.next_slot = 0;
        for order in &mut self.pending {
            if order.status == OrderStatus::Planned {
                order.status = OrderStatus::Unsure;
            }
        }
    }

    /// The next token: unique by epoch and slot.
    pub(super) fn draw_token(&mut self) -> String {
        let token = format!("vm-{}-{}", self.epoch, self.next_slot);
        self.next_slot += 1;
        token
    }

    /// Forgets orders whose VM the list shows, and those whose VM never came.
    pub(super) fn settle_arrivals(
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

    /// Actions that settle open orders: planned ones are sent (again), unsure ones looked up.
    pub(super) fn settle_actions(&self) -> Vec<PlaceAction> {
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

    /// Takes in what came of an order.
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

    /// Whether a kind was refused lately.
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
            // Several orders of one round were refused together.
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
