//! Orders that were placed, and what became of them.

use base::units::Millisecond;
use base::{Map, Name};
use outside::Purchase;

/// Delay before a kind of server that was refused is ordered again.
const REFUSAL_BACKOFF_MS: Millisecond = 2_500;

/// Time beyond the boot time of a server after which an order counts as not carried out.
const ORDER_GRACE_MS: Millisecond = 2_500;

/// Shortest time between two orders for the same servers if the answer to the first one is lost. A
/// platform that is down may reject calls at once.
const LOST_RETRY_MS: Millisecond = 500;

/// The wanted number of servers of one kind in one failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    pub failure_domain: Name,
    /// Whether the servers are reclaimable or on demand.
    pub purchase: Purchase,
    /// Wanted number, including the servers that are there.
    pub wanted: u32,
    /// Earlier orders for this failure domain whose answers were lost. The platform may still carry
    /// those out, so this order needs a higher fencing number than they had.
    pub lost_before: u64,
}

/// Servers of one failure domain that are paid for in one way.
pub type Pool = (Name, Purchase);

#[derive(Clone, Copy, Debug)]
struct PlacedOrder {
    wanted: u32,
    at_ms: Millisecond,
    answer: OrderAnswer,
}

/// Whether the platform has answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OrderAnswer {
    Pending,
    Accepted,
    /// The answer was lost. The platform may carry out the order, also later.
    Lost,
}

/// The orders of one service since this node holds the duties.
#[derive(Clone, Debug, Default)]
pub struct OrderBook {
    placed: Map<Pool, PlacedOrder>,
    refused_until_ms: Map<Pool, Millisecond>,
    /// Orders whose answers were lost, by failure domain.
    lost: Map<Name, u64>,
}

impl OrderBook {
    /// Records that the platform carries out an order.
    pub fn record_acceptance(&mut self, order: &Order) {
        self.set_answer(order, OrderAnswer::Accepted);
    }

    /// Records that the answer to an order was lost. The order is placed again soon.
    pub fn record_unanswered(&mut self, order: &Order) {
        let lost = self.lost.entry(order.failure_domain.clone()).or_default();
        *lost = (*lost).max(order.lost_before + 1);
        self.set_answer(order, OrderAnswer::Lost);
    }

    /// Records that the platform refused an order: none can be bought now, or the order was
    /// overtaken by one with a higher fencing number and is placed again.
    pub fn record_refusal(&mut self, order: &Order, now_ms: Millisecond) {
        if order.lost_before < self.lost_before(&order.failure_domain) {
            self.set_answer(order, OrderAnswer::Lost);
            return;
        }
        let pool = (order.failure_domain.clone(), order.purchase);
        self.placed.remove(&pool);
        self.refused_until_ms
            .insert(pool, now_ms + REFUSAL_BACKOFF_MS);
    }

    /// Places an order, which is pending from now on.
    pub fn place(&mut self, pool: Pool, wanted: u32, now_ms: Millisecond) -> Order {
        let placed = PlacedOrder {
            wanted,
            at_ms: now_ms,
            answer: OrderAnswer::Pending,
        };
        self.placed.insert(pool.clone(), placed);
        Order {
            lost_before: self.lost_before(&pool.0),
            failure_domain: pool.0,
            purchase: pool.1,
            wanted,
        }
    }

    /// The ordered number of servers while some may still be starting.
    pub fn starting(&self, pool: &Pool, boot_ms: Millisecond, now_ms: Millisecond) -> Option<u32> {
        let placed = self.placed.get(pool)?;
        (now_ms <= placed.at_ms + boot_ms + ORDER_GRACE_MS).then_some(placed.wanted)
    }

    fn lost_before(&self, failure_domain: &Name) -> u64 {
        self.lost.get(failure_domain).copied().unwrap_or(0)
    }

    /// Ignores the answer if another number has been ordered since.
    fn set_answer(&mut self, order: &Order, answer: OrderAnswer) {
        let pool = (order.failure_domain.clone(), order.purchase);
        let placed = self.placed.get_mut(&pool);
        if let Some(placed) = placed.filter(|placed| placed.wanted == order.wanted) {
            placed.answer = answer;
        }
    }

    /// Whether a kind of server was refused a short while ago.
    pub fn is_refused(&self, domain: &Name, purchase: Purchase, now_ms: Millisecond) -> bool {
        let pool = (domain.clone(), purchase);
        let until_ms = self.refused_until_ms.get(&pool);
        until_ms.is_some_and(|until_ms| *until_ms > now_ms)
    }

    /// Whether an order for `wanted` servers is to be placed while `here` are running.
    pub fn is_due(
        &self,
        pool: &Pool,
        wanted: u32,
        here: u32,
        boot_ms: Millisecond,
        now_ms: Millisecond,
    ) -> bool {
        let Some(placed) = self.placed.get(pool) else {
            return wanted != here;
        };
        let is_overdue = now_ms > placed.at_ms + boot_ms + ORDER_GRACE_MS;
        match placed.answer {
            // Two orders on their way may arrive in reverse. A late release would undo the other.
            OrderAnswer::Pending if !is_overdue => wanted > placed.wanted,
            // The lost order may still be carried out, so the right number is confirmed.
            OrderAnswer::Lost => now_ms >= placed.at_ms + LOST_RETRY_MS,
            OrderAnswer::Pending | OrderAnswer::Accepted => {
                wanted != placed.wanted || (is_overdue && wanted != here)
            }
        }
    }
}

/// Order in which orders are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    MoreOnDemand,
    MoreReclaimable,
    Release,
}

impl Urgency {
    pub fn of(order: &Order, here: u32) -> Self {
        match order.purchase {
            _ if order.wanted <= here => Self::Release,
            Purchase::OnDemand => Self::MoreOnDemand,
            Purchase::Reclaimable => Self::MoreReclaimable,
        }
    }
}
