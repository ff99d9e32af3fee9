//! The requests that wait for a server, and who is woken when one may take another request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use base::ids::RequestId;
use base::outcome::RunState;
use base::units::Millisecond;
use base::{Map, Name};
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::{Duration, timeout};

use crate::belief::directory::AllowanceUnit;
use crate::decide::returns::{Capacity, Return, Returns};
use crate::decide::shed::{RankRooms, room_ms, wait_limit_ms};
use crate::decide::timeouts::FULL_WAIT_SHARE;
use crate::decide::waiting::{Applicant, Outlook, Urgency, WaitingLine};
use crate::front::job::Job;
use crate::node::Node;

/// Requests that try to use one change of capacity without success before the others wait for the
/// next change.
const MAX_TRIES: u32 = 4;

/// Time after which the first request tries again without a known change of capacity: what other
/// nodes' requests leave free is not announced one by one.
const RETRY_PERIOD: Duration = Duration::from_millis(25);

/// After this time a request that arrives goes behind those that wait, even if each of them has
/// tried before, because capacity may have become free since.
const TRIES_VALID_MS: Millisecond = 10;

/// Shortest time between two predictions for all waiting requests, which cost the square of their
/// number.
const LATE_CHECK_MS: Millisecond = 10;

/// Shortest `Retry-After` of a busy service: the loads of other nodes, from which the next choice is
/// made, are no newer than this.
const LEAST_RETRY_AFTER_MS: Millisecond = 120;

/// Allowance of a workspace that weighs as much as one without an allowance.
const TOKENS_PER_S_OF_WEIGHT: f64 = 100_000.0;

/// The requests of this node that wait, by service.
#[derive(Default)]
pub struct Queues {
    services: RefCell<Map<Name, ServiceQueue>>,
    joined: Cell<u64>,
}

#[derive(Default)]
struct ServiceQueue {
    line: WaitingLine,
    rooms: RankRooms,
    waiters: Map<RequestId, Waiter>,
    /// Callers whose requests were refused because the servers are busy or full.
    returns: Returns,
    /// Number of the latest change of capacity.
    change: u64,
    changed_ms: Millisecond,
    late_checked_ms: Millisecond,
    /// Requests that have tried to use it without success.
    tries: u32,
}

struct Waiter {
    woken: Rc<Notify>,
    /// The latest change of capacity that the request has tried to use.
    tried: u64,
}

impl ServiceQueue {
    fn begin_change(&mut self, now_ms: Millisecond) {
        self.change += 1;
        self.changed_ms = now_ms;
        self.tries = 0;
    }

    /// The first request that has not tried to use the latest change.
    fn next(&self) -> Option<RequestId> {
        let has_tried = |id| self.waiters.get(&id).is_none_or(|w| w.tried == self.change);
        self.line.next(has_tried)
    }

    fn wake_next(&self) {
        if self.tries >= MAX_TRIES {
            return;
        }
        let next = self.next().and_then(|id| self.waiters.get(&id));
        if let Some(waiter) = next {
            waiter.woken.notify_one();
        }
    }

    /// Wakes requests that can no longer be answered in time, so that they are refused.
    fn wake_late(&mut self, now_ms: Millisecond) {
        if now_ms < self.late_checked_ms + LATE_CHECK_MS {
            return;
        }
        self.late_checked_ms = now_ms;
        for id in self.line.out_of_reach(now_ms) {
            if let Some(waiter) = self.waiters.get(&id) {
                waiter.woken.notify_one();
            }
        }
    }
}

impl Queues {
    /// Records that a server of the service may take another request, and wakes the first request
    /// that waits for one.
    pub fn wake(&self, service: &Name, now_ms: Millisecond) {
        if let Some(queue) = self.services.borrow_mut().get_mut(service) {
            queue.begin_change(now_ms);
            queue.wake_next();
        }
    }

    /// Records that servers of any service may take other requests. Heartbeats of other nodes say so
    /// up to a hundred times a second, so that a service is skipped if its first request has just
    /// tried; it tries again after [`RETRY_PERIOD`].
    pub fn wake_services(&self, now_ms: Millisecond) {
        for queue in self.services.borrow_mut().values_mut() {
            if now_ms < queue.changed_ms + TRIES_VALID_MS {
                continue;
            }
            queue.begin_change(now_ms);
            queue.wake_next();
        }
    }

    /// Wakes all waiting requests, because none of them may wait any longer.
    pub fn wake_all(&self) {
        for queue in self.services.borrow().values() {
            for waiter in queue.waiters.values() {
                waiter.woken.notify_one();
            }
        }
    }

    /// Number of requests that wait, by service.
    pub fn lengths(&self) -> Vec<(Name, usize)> {
        let services = self.services.borrow();
        let lengths = services
            .iter()
            .map(|(s, queue)| (s.clone(), queue.line.len()));
        lengths.collect()
    }

    /// Longest time that the work of earlier requests may take at a server before a request of this
    /// rank starts; `None` if the service has no model engine or no target.
    pub fn wait_limit_ms(&self, job: &Job<'_>) -> Option<Millisecond> {
        job.service.engine.as_ref()?;
        let share = job.node.settings.placing.wait_share;
        let shortest_ms = job.service.shortest_target_ms?;
        let services = self.services.borrow();
        let queue = services.get(&job.service.name);
        let rank = match queue.is_some_and(|q| q.line.uses_reserve(Urgency::Rank(job.priority()))) {
            // Otherwise the more urgent work at the servers would keep out what is reserved.
            true => 0,
            false => job.priority(),
        };
        let target_limit_ms = wait_limit_ms(shortest_ms, share, rank);
        let room_limit_ms = queue.and_then(|queue| queue.rooms.wait_limit_ms(rank, share));
        Some(room_limit_ms.map_or(target_limit_ms, |ms| ms.min(target_limit_ms)))
    }

    /// Time after which the caller of a refused request should return: the servers have then taken
    /// the requests that wait now and those of callers that were told to return before. `None` if
    /// that is after the caller's deadline.
    pub fn tell_return(&self, job: &Job<'_>) -> Option<Millisecond> {
        let now_ms = job.node.now_ms();
        let (urgency, work_ms) = (Urgency::Rank(job.priority()), job.work_ms());
        let mut services = self.services.borrow_mut();
        let queue = services.entry(job.service.name.clone()).or_default();
        let drain = queue.line.drain_for(urgency, now_ms);
        let capacity = Capacity {
            before: queue.line.drained_ms(urgency, now_ms) * drain,
            per_s: 1_000.0 * drain,
            own_share: 1.0,
        };
        let caller = Return {
            needed: work_ms.max(1) as f64,
            left_ms: job.caller_left_ms(),
        };
        let after_ms = queue.returns.tell(caller, capacity, now_ms)?;
        Some(after_ms.max(LEAST_RETRY_AFTER_MS)).filter(|ms| *ms < caller.left_ms)
    }

    /// Adds a request to those that wait for a server of its service. If no other one goes before
    /// it, it is the next.
    pub fn join<'a>(&'a self, job: &'a Job<'_>, run_state: RunState) -> Place<'a> {
        let now_ms = job.node.now_ms();
        self.joined.set(self.joined.get() + 1);
        let id = RequestId::from(u128::from(self.joined.get()));
        let work_ms = job.work_ms();
        if run_state == RunState::NotRun {
            self.record_room(job, work_ms);
        }
        let applicant = Applicant {
            id,
            urgency: match run_state {
                RunState::NotRun => Urgency::Rank(job.priority()),
                RunState::Unknown | RunState::Ran => Urgency::MayHaveRun,
            },
            workspace: job.workspace_name(),
            weight: weight(job),
            due_ms: due_ms(job),
            work_ms,
            server_wait_ms: self.wait_limit_ms(job).unwrap_or(0),
        };
        let woken = Rc::new(Notify::new());
        let mut services = self.services.borrow_mut();
        let queue = services.entry(job.service.name.clone()).or_default();
        if now_ms >= queue.changed_ms + TRIES_VALID_MS {
            queue.begin_change(now_ms);
        }
        let waiter = Waiter {
            woken: woken.clone(),
            tried: 0,
        };
        queue.waiters.insert(id, waiter);
        queue.line.assume_drain(assumed_drain(job));
        let removed = queue.line.join(&applicant, now_ms);
        if let Some(waiter) = removed.and_then(|id| queue.waiters.remove(&id)) {
            waiter.woken.notify_one();
        }
        queue.wake_next();
        drop(services);
        Place {
            queues: self,
            job,
            id,
            woken,
            joined_ms: now_ms,
            expected: Cell::new(None),
            outcome: Cell::new(WaitOutcome::CallerLeft),
        }
    }
}

impl Queues {
    /// Records the time that a request has for the work of others before it.
    fn record_room(&self, job: &Job<'_>, work_ms: Millisecond) {
        if job.service.engine.is_none() {
            return;
        }
        let room_ms = room_ms(job.route.target_ms, work_ms);
        let mut services = self.services.borrow_mut();
        let queue = services.entry(job.service.name.clone()).or_default();
        queue.rooms.record(job.priority(), room_ms);
    }
}

/// Place of a request among those that wait. It is released on drop, for example when the caller
/// disconnects.
pub struct Place<'a> {
    queues: &'a Queues,
    job: &'a Job<'a>,
    id: RequestId,
    woken: Rc<Notify>,
    pub joined_ms: Millisecond,
    /// What the request could expect when it began to wait; `None` if it has not waited.
    expected: Cell<Option<(usize, Option<Outlook>)>>,
    outcome: Cell<WaitOutcome>,
}

/// How a wait for a server ended.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum WaitOutcome {
    /// A server has taken the request.
    Started,
    Refused,
    CallerLeft,
}

impl WaitOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Refused => "refused",
            Self::CallerLeft => "caller_left",
        }
    }
}

#[derive(Serialize)]
struct QueuedFields<'a> {
    request: Option<&'a str>,
    service: &'a str,
    workspace: Option<&'a str>,
    rank: u8,
    /// Requests that waited for the service, this one included.
    waiting: usize,
    before_ms: Option<Millisecond>,
    predicted_ms: Option<Millisecond>,
    waited_ms: Millisecond,
    left_ms: Millisecond,
    outcome: WaitOutcome,
}

impl Place<'_> {
    /// Whether the request may now try to use the servers' capacity.
    pub fn is_next(&self) -> bool {
        self.with(|queue| queue.next() == Some(self.id))
    }

    /// Whether the request still has a place: a full queue drops its last request.
    pub fn is_held(&self) -> bool {
        self.with(|queue| queue.waiters.contains_key(&self.id))
    }

    /// Records that the request can't use the capacity of now, and lets the next one try.
    pub fn pass_on(&self) {
        let now_ms = self.job.node.now_ms();
        self.with(|queue| {
            let change = queue.change;
            if let Some(waiter) = queue.waiters.get_mut(&self.id) {
                waiter.tried = change;
            }
            queue.tries += 1;
            queue.line.mark_waiting(now_ms);
            queue.wake_next();
            queue.wake_late(now_ms);
        });
    }

    /// What the request can expect.
    pub fn outlook(&self) -> Option<Outlook> {
        let now_ms = self.job.node.now_ms();
        self.with(|queue| queue.line.outlook(self.id, now_ms))
    }

    /// Waits until the request may try again, at most for `limit_ms`.
    pub async fn wait(&self, limit_ms: Millisecond) {
        if self.expected.get().is_none() {
            let waiting = self.with(|queue| queue.line.len());
            self.expected.set(Some((waiting, self.outlook())));
        }
        let limit = Duration::from_millis(limit_ms).min(RETRY_PERIOD);
        if timeout(limit, self.woken.notified()).await.is_ok() {
            return;
        }
        let now_ms = self.job.node.now_ms();
        self.with(|queue| {
            if queue.line.next(|_| false) == Some(self.id) {
                queue.begin_change(now_ms);
            }
        });
    }

    /// Records that a server has taken the request.
    pub fn start(self) {
        let now_ms = self.job.node.now_ms();
        self.with(|queue| queue.line.start(self.id, now_ms));
        self.outcome.set(WaitOutcome::Started);
    }

    /// Records that the request is refused, because it can wait no longer.
    pub fn refuse(self) {
        self.outcome.set(WaitOutcome::Refused);
    }

    /// Reports a request that has waited.
    fn report(&self) {
        let Some((waiting, outlook)) = self.expected.get() else {
            return;
        };
        let job = self.job;
        let (outcome, now_ms) = (self.outcome.get(), job.node.now_ms());
        let fields = QueuedFields {
            request: job.id(),
            service: &job.service.name,
            workspace: job.workspace.as_ref().map(|w| &*w.name),
            rank: job.priority(),
            waiting,
            before_ms: outlook.map(|o| o.before_ms as Millisecond),
            predicted_ms: outlook.map(|o| o.wait_ms as Millisecond),
            waited_ms: now_ms.saturating_sub(self.joined_ms),
            left_ms: job.left_ms(),
            outcome,
        };
        let metrics = &job.node.metrics;
        metrics.count_wait(outcome.label(), fields.waited_ms);
        crate::log::emit(events::Code::RequestQueued, &fields);
    }

    fn with<T>(&self, apply: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut services = self.queues.services.borrow_mut();
        apply(services.entry(self.job.service.name.clone()).or_default())
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let now_ms = self.job.node.now_ms();
        self.with(|queue| {
            queue.waiters.remove(&self.id);
            queue.line.leave(self.id, now_ms);
            queue.wake_next();
        });
        self.report();
    }
}

/// When the first byte is due: at the route's target, and before the deadline. A request that takes
/// the whole target time itself may still wait for a small part of it.
pub fn due_ms(job: &Job<'_>) -> Millisecond {
    let target_ms = job.route.target_ms;
    let least_ms = (target_ms as f64 * FULL_WAIT_SHARE) as Millisecond + job.work_ms();
    let due_ms = job.request.received_ms + target_ms.max(least_ms);
    due_ms.min(job.deadline_ms)
}

/// Weight of the job's workspace: its allowance relative to the others' if it is counted in tokens.
fn weight(job: &Job<'_>) -> f64 {
    const LEAST_WEIGHT: f64 = 0.001;
    let Some(workspace) = &job.workspace else {
        return 1.0;
    };
    match (workspace.unit, workspace.allowance) {
        (AllowanceUnit::Tokens { .. }, Some(allowance)) => {
            (allowance.rate_per_s / TOKENS_PER_S_OF_WEIGHT).max(LEAST_WEIGHT)
        }
        (AllowanceUnit::Requests | AllowanceUnit::Tokens { .. }, _) => 1.0,
    }
}

/// Servers of the service for each node: what each node gets if all ask for the same.
fn assumed_drain(job: &Job<'_>) -> f64 {
    let registry = job.node.registry.borrow();
    let servers = registry.of_service(&job.service.name).len();
    servers as f64 / job.node.node_count() as f64
}

/// The node's queues, woken for the service of a server.
pub fn wake(node: &Node, service: &Name) {
    node.queues.wake(service, node.now_ms());
}
