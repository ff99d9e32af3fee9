//! Accounting of the memory that request and answer bodies take up while they are held whole.
//!
//! Many long bodies at once, valid or endless, could use up the memory of the process. Each body
//! has a limit of its own, and this limit applies to all of them together. When it is reached, an
//! answer takes the place of requests that have not run, then of what has taken the most. A request
//! that has not run never takes the place of an answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::{Map, Name};
use tokio::sync::Notify;

/// A body or a server's bodies yield to one that takes up less than this share of them.
const YIELD_FACTOR: usize = 2;

/// Share of the limit that bodies may take up which don't have to yield. The rest is for bodies that
/// take the place of others until these are released.
const LASTING_SHARE: f64 = 0.67;

/// Share of the limit that bodies of requests may take up. Answers have the rest for themselves.
const REQUESTS_SHARE: f64 = 0.33;

/// Bytes held by all bodies of the process, and their limit.
#[derive(Clone, Debug)]
pub struct BodyMemory {
    shared: Rc<Shared>,
}

#[derive(Debug)]
struct Shared {
    bytes: Cell<usize>,
    /// Bytes of bodies of requests that need not yield.
    request_bytes: Cell<usize>,
    /// Bytes of bodies that must yield and have not yet been released.
    yielding_bytes: Cell<usize>,
    limit_bytes: usize,
    /// Notified when a body that must yield has been released.
    released: Notify,
    holders: RefCell<Map<u64, Rc<Holder>>>,
    last_id: Cell<u64>,
}

/// Whose body is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyOwner {
    /// A request that has not run.
    Request,
    /// A request that may run, or has run.
    Running,
    /// An answer of this backend server.
    Answer(Name),
}

#[derive(Debug)]
struct Holder {
    owner: RefCell<BodyOwner>,
    bytes: Cell<usize>,
    must_yield: Cell<bool>,
    yields: Notify,
}

/// The limit for all bodies together is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryFull;

/// Bytes reserved for one body, which are released on drop.
#[derive(Debug)]
pub struct BodyReservation {
    shared: Rc<Shared>,
    id: u64,
    holder: Rc<Holder>,
}

impl BodyMemory {
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            shared: Rc::new(Shared {
                bytes: Cell::default(),
                request_bytes: Cell::default(),
                yielding_bytes: Cell::default(),
                limit_bytes,
                released: Notify::new(),
                holders: RefCell::default(),
                last_id: Cell::default(),
            }),
        }
    }

    /// Bytes that are held now.
    pub fn bytes(&self) -> usize {
        self.shared.bytes.get()
    }

    /// Highest number of bytes that may be held.
    pub fn limit_bytes(&self) -> usize {
        self.shared.limit_bytes
    }

    /// Starts an empty reservation for one body.
    pub fn reserve(&self, owner: BodyOwner) -> BodyReservation {
        let id = self.shared.last_id.get() + 1;
        self.shared.last_id.set(id);
        let holder = Rc::new(Holder {
            owner: RefCell::new(owner),
            bytes: Cell::default(),
            must_yield: Cell::default(),
            yields: Notify::new(),
        });
        self.shared.holders.borrow_mut().insert(id, holder.clone());
        BodyReservation {
            shared: self.shared.clone(),
            id,
            holder,
        }
    }
}

impl Holder {
    fn is_answer(&self) -> bool {
        matches!(*self.owner.borrow(), BodyOwner::Answer(_))
    }
}

impl BodyReservation {
    /// Sets the size of the body to `bytes`.
    ///
    /// # Errors
    ///
    /// The limit for all bodies, or that for bodies of requests, would be exceeded, and no other body
    /// yields; or this body must yield.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        if self.holder.must_yield.get() {
            return Err(MemoryFull);
        }
        let before = self.holder.bytes.get();
        let growth = bytes.saturating_sub(before);
        if growth > 0 {
            self.shared.make_room(&self.holder, growth)?;
        }
        self.shared.count(&self.holder, before, bytes);
        self.holder.bytes.set(bytes);
        Ok(())
    }

    /// Sets the size of the body to `bytes`, and waits for bodies that must yield to be released
    /// first if there is no room without that.
    ///
    /// # Errors
    ///
    /// See [`BodyReservation::resize`].
    pub async fn grow(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        loop {
            let grown = self.resize(bytes);
            if grown.is_ok() || self.shared.yielding_bytes.get() == 0 {
                return grown;
            }
            tokio::select! {
                biased;
                () = self.must_yield() => return Err(MemoryFull),
                () = self.shared.released.notified() => {}
            }
        }
    }

    /// Records that the request with this body is about to run. It no longer yields.
    pub fn mark_running(&self) {
        *self.holder.owner.borrow_mut() = BodyOwner::Running;
    }

    /// Returns when the body must yield to others.
    pub async fn must_yield(&self) {
        while !self.holder.must_yield.get() {
            self.holder.yields.notified().await;
        }
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        let bytes = self.holder.bytes.get();
        self.shared.count(&self.holder, bytes, 0);
        if self.holder.must_yield.get() {
            let yielding = &self.shared.yielding_bytes;
            yielding.set(yielding.get() - bytes);
            self.shared.released.notify_waiters();
        }
        self.shared.holders.borrow_mut().remove(&self.id);
    }
}

impl Shared {
    fn share_bytes(&self, share: f64) -> usize {
        (self.limit_bytes as f64 * share) as usize
    }

    fn count(&self, holder: &Holder, before: usize, bytes: usize) {
        self.bytes.set(self.bytes.get() - before + bytes);
        if !holder.is_answer() && !holder.must_yield.get() {
            let request_bytes = self.request_bytes.get() - before + bytes;
            self.request_bytes.set(request_bytes);
        }
    }

    /// Makes room for `growth` more bytes of a body.
    fn make_room(&self, asker: &Holder, growth: usize) -> Result<(), MemoryFull> {
        let lasting_bytes = self.bytes.get() - self.yielding_bytes.get();
        let over =
            |bytes: usize, share: f64| (bytes + growth).saturating_sub(self.share_bytes(share));
        let mut missing = over(lasting_bytes, LASTING_SHARE);
        if !asker.is_answer() {
            missing = missing.max(over(self.request_bytes.get(), REQUESTS_SHARE));
        }
        if self.bytes.get() + growth > self.limit_bytes {
            return Err(MemoryFull);
        }
        if missing == 0 {
            return Ok(());
        }
        let victims = self.victims(asker, growth, missing).ok_or(MemoryFull)?;
        for victim in victims {
            let bytes = victim.bytes.get();
            self.yielding_bytes.set(self.yielding_bytes.get() + bytes);
            if !victim.is_answer() {
                self.request_bytes.set(self.request_bytes.get() - bytes);
            }
            victim.must_yield.set(true);
            victim.yields.notify_one();
        }
        Ok(())
    }

    /// The bodies that yield `missing` bytes, if there are enough.
    fn victims(&self, asker: &Holder, growth: usize, missing: usize) -> Option<Vec<Rc<Holder>>> {
        let holders = self.holders.borrow();
        let own_owner = asker.owner.borrow().clone();
        let own_bytes = asker.bytes.get() + growth;
        let totals = totals(holders.values());
        let total = |owner: &BodyOwner| match owner {
            BodyOwner::Answer(server) => totals.get(server).copied().unwrap_or(0),
            BodyOwner::Request | BodyOwner::Running => 0,
        };
        let own_total = total(&own_owner) + growth;
        let yields_to_asker = |holder: &&Rc<Holder>| {
            let owner = &*holder.owner.borrow();
            let is_larger = holder.bytes.get() > YIELD_FACTOR * own_bytes;
            if holder.must_yield.get() || holder.bytes.get() == 0 {
                return false;
            }
            match (&own_owner, owner) {
                (_, BodyOwner::Running) => false,
                (BodyOwner::Answer(_), BodyOwner::Request) => true,
                (_, BodyOwner::Request) => is_larger,
                (BodyOwner::Answer(_), BodyOwner::Answer(_)) => {
                    is_larger || *owner != own_owner && total(owner) > YIELD_FACTOR * own_total
                }
                (BodyOwner::Request | BodyOwner::Running, BodyOwner::Answer(_)) => false,
            }
        };
        let mut candidates: Vec<&Rc<Holder>> = holders.values().filter(yields_to_asker).collect();
        candidates.sort_by_key(|h| (h.is_answer(), std::cmp::Reverse(h.bytes.get())));
        let mut left = missing;
        let mut victims = Vec::new();
        for candidate in candidates {
            if left == 0 {
                break;
            }
            left = left.saturating_sub(candidate.bytes.get());
            victims.push(candidate.clone());
        }
        (left == 0).then_some(victims)
    }
}

/// Bytes of the answers of each server.
fn totals<'a>(holders: impl Iterator<Item = &'a Rc<Holder>>) -> Map<Name, usize> {
    let mut totals: Map<Name, usize> = Map::default();
    for holder in holders {
        if let BodyOwner::Answer(server) = &*holder.owner.borrow()
            && !holder.must_yield.get()
        {
            *totals.entry(server.clone()).or_default() += holder.bytes.get();
        }
    }
    totals
}
