//! Order of the requests that wait at this node for a server of one service.
//!
//! Requests that may have run go first, then the more urgent ranks. Within a rank, the workspace
//! with the least recent work per weight goes first, which is weighted max-min fairness, and within
//! a workspace the request with the least time left. A request that can't be answered in time behind
//! those before it is refused at once.
//!
//! `policy::limit::allot` divides a known amount by the same rule. Here the amount is not known, only
//! which request is next.

use base::Name;
use base::ids::RequestId;
use base::units::Millisecond;
use policy::limit::{AdmissionRequest, Queue};

/// Share of the started work that each less urgent rank keeps while more urgent ones could take all
/// of it, so that none starves.
pub const RESERVED_SHARE: f64 = 0.05;

/// Most requests that wait for one service. Each of them is considered when another one arrives.
pub const MAX_WAITING: usize = 256;

/// Time constant of the recent work. It covers some ten requests of a service at a small node.
const MEMORY_MS: f64 = 2_000.0;

/// After this time of waiting requests without a break, the recent work shows what the servers take
/// from this node.
const SATURATED_MS: Millisecond = 500;

/// A request that already waits is refused only if its predicted wait exceeds the time that it has
/// by this factor, as the predictions of few requests vary.
const WAITING_TOLERANCE: f64 = 1.25;

/// Keeps the quotients finite before any work is known.
const LEAST_DRAIN: f64 = 0.001;

/// Place of a request in the order of urgency.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A server may have run it, so that it can't be refused.
    MayHaveRun,
    /// Rank 0 is the most urgent.
    Rank(u8),
}

/// A request that asks for a server.
#[derive(Clone, Debug)]
pub struct Applicant {
    pub id: RequestId,
    pub urgency: Urgency,
    pub workspace: Name,
    /// Weight of the workspace.
    pub weight: f64,
    /// When the first byte is due.
    pub due_ms: Millisecond,
    /// Time that a server without other work takes for the request.
    pub work_ms: Millisecond,
    /// Time that the work of others may take at the server, once it has taken the request.
    pub server_wait_ms: Millisecond,
}

/// What a waiting request can expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Work of the requests that go first, in milliseconds of one server.
    pub before_ms: f64,
    /// Predicted time until a server takes the request.
    pub wait_ms: f64,
    /// Time until a server must take the request, so that it is answered when due.
    pub left_ms: Millisecond,
}

impl Outlook {
    /// How long a request that has waited for `waited_ms` may still wait; 0 if it can't be answered
    /// when due, so that it is refused at once.
    pub fn wait_limit_ms(&self, waited_ms: Millisecond) -> Millisecond {
        let factor = match waited_ms {
            0 => 1.0,
            _ => WAITING_TOLERANCE,
        };
        match self.wait_ms <= self.left_ms as f64 * factor {
            true => self.left_ms,
            false => 0,
        }
    }

    /// Whether a request that has waited can still be answered when due.
    fn is_still_in_time(&self) -> bool {
        self.wait_limit_ms(1) > 0
    }
}

/// Requests of one workspace and urgency.
#[derive(Debug)]
struct Class {
    urgency: Urgency,
    workspace: Name,
    weight: f64,
    queue: Queue,
    /// Recent work, with weights that fall with its age.
    started_ms: f64,
    offered_ms: f64,
}

impl Class {
    fn waiting_ms(&self) -> f64 {
        self.queue.iter().map(work_ms).sum()
    }

    /// Recent work per weight, by which workspaces of one rank are ordered.
    fn level(&self) -> f64 {
        self.started_ms / self.weight
    }
}

/// The requests that wait for a server of one service, and the recent work by rank and workspace.
#[derive(Debug, Default)]
pub struct WaitingLine {
    classes: Vec<Class>,
    decayed_ms: Millisecond,
    /// Since when requests have waited without a break.
    waiting_since_ms: Option<Millisecond>,
    /// Work per millisecond that the servers are assumed to take from this node until it is known.
    assumed_drain: f64,
}

impl WaitingLine {
    pub fn len(&self) -> usize {
        self.classes.iter().map(|class| class.queue.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(|class| class.queue.is_empty())
    }

    /// Sets the work per millisecond that the servers are assumed to take from this node.
    pub fn assume_drain(&mut self, drain: f64) {
        self.assumed_drain = drain;
    }

    /// Adds a request. If the line is full, the last request in the order is removed and returned,
    /// which may be the new one.
    pub fn join(&mut self, applicant: &Applicant, now_ms: Millisecond) -> Option<RequestId> {
        self.decay(now_ms);
        let index = self.class(applicant);
        let class = &mut self.classes[index];
        class.weight = applicant.weight;
        class.offered_ms += applicant.work_ms.max(1) as f64;
        class.queue.push(AdmissionRequest {
            id: applicant.id,
            workspace: applicant.workspace.clone(),
            priority: 0,
            first_token_due_ms: applicant.due_ms.saturating_sub(applicant.server_wait_ms),
            expected_first_token_ms: applicant.work_ms.max(1),
        });
        match self.len() > MAX_WAITING {
            true => self.remove_last(),
            false => None,
        }
    }

    /// Removes a request that a server has taken, and counts its work.
    pub fn start(&mut self, id: RequestId, now_ms: Millisecond) {
        self.decay(now_ms);
        for class in &mut self.classes {
            let work = class.queue.iter().find(|r| r.id == id).map(work_ms);
            if let Some(work_ms) = work {
                class.queue.remove(id);
                class.started_ms += work_ms;
            }
        }
        self.mark_waiting(now_ms);
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, id: RequestId, now_ms: Millisecond) {
        self.decay(now_ms);
        for class in &mut self.classes {
            class.queue.remove(id);
        }
        self.mark_waiting(now_ms);
    }

    /// Records that requests wait, or that none does any more.
    pub fn mark_waiting(&mut self, now_ms: Millisecond) {
        self.waiting_since_ms = match self.is_empty() {
            true => None,
            false => self.waiting_since_ms.or(Some(now_ms)),
        };
    }

    /// The first request in the order, without those for which `is_passed_over` holds.
    pub fn next(&self, is_passed_over: impl Fn(RequestId) -> bool) -> Option<RequestId> {
        let of = |class: &Class| {
            let mut open = class.queue.iter().filter(|r| !is_passed_over(r.id));
            open.next().map(|request| request.id)
        };
        let open: Vec<(&Class, RequestId)> = self
            .classes
            .iter()
            .filter_map(|class| of(class).map(|id| (class, id)))
            .collect();
        let urgency = self.next_urgency(&open)?;
        let ranked = open.iter().filter(|(class, _)| class.urgency == urgency);
        let next = ranked.min_by(|(a, _), (b, _)| a.level().total_cmp(&b.level()));
        next.map(|(_, id)| *id)
    }

    /// What a waiting request can expect; `None` if it does not wait.
    pub fn outlook(&self, id: RequestId, now_ms: Millisecond) -> Option<Outlook> {
        let found = |class: &&Class| class.queue.iter().any(|r| r.id == id);
        let class = self.classes.iter().find(found)?;
        let position = class.queue.iter().position(|r| r.id == id)?;
        let request = class.queue.iter().nth(position)?;
        let ahead_ms: f64 = class.queue.iter().take(position).map(work_ms).sum();
        let ranked_ms = ahead_ms + self.before_class_ms(class, ahead_ms + work_ms(request));
        let urgent_ms = self.more_urgent_ms(class.urgency);
        let latest_ms =
            (request.first_token_due_ms).saturating_sub(request.expected_first_token_ms);
        let wait_ms = self.wait_ms(class.urgency, ranked_ms, now_ms);
        Some(Outlook {
            before_ms: urgent_ms + ranked_ms,
            wait_ms,
            left_ms: latest_ms.saturating_sub(now_ms),
        })
    }

    /// Requests that wait, may be refused and can no longer be answered when due.
    pub fn out_of_reach(&self, now_ms: Millisecond) -> Vec<RequestId> {
        let refusable = |class: &&Class| class.urgency != Urgency::MayHaveRun;
        let classes = self.classes.iter().filter(refusable);
        let waiting = classes.flat_map(|class| class.queue.iter());
        let late = waiting.filter(|request| {
            self.outlook(request.id, now_ms)
                .is_some_and(|outlook| !outlook.is_still_in_time())
        });
        late.map(|request| request.id).collect()
    }

    /// Time until a server would take a new request of this urgency that goes behind all others of
    /// it.
    pub fn drained_ms(&self, urgency: Urgency, now_ms: Millisecond) -> f64 {
        let ranked = self.classes.iter().filter(|c| c.urgency == urgency);
        self.wait_ms(urgency, ranked.map(Class::waiting_ms).sum(), now_ms)
    }

    /// Whether requests of this urgency get less than their reserved share and are served worse than
    /// all more urgent ones, so that they go before them.
    pub fn uses_reserve(&self, urgency: Urgency) -> bool {
        let total_ms: f64 = self.classes.iter().map(|c| c.started_ms).sum();
        let (started_ms, offered_ms) = self.recent_ms(|u| u == urgency);
        let served = started_ms / offered_ms.max(f64::MIN_POSITIVE);
        started_ms < total_ms * RESERVED_SHARE && served < self.least_served(urgency)
    }

    /// Predicted wait of a request that `ranked_ms` of work of its urgency goes before: behind the
    /// more urgent requests, or in the reserved share.
    fn wait_ms(&self, urgency: Urgency, ranked_ms: f64, now_ms: Millisecond) -> f64 {
        let drain = self.drain(now_ms).max(LEAST_DRAIN);
        let reserved_ms = ranked_ms / (drain * RESERVED_SHARE);
        let left = self.left_drain(urgency, now_ms);
        let behind_ms = (self.more_urgent_ms(urgency) + ranked_ms) / left;
        behind_ms.min(reserved_ms)
    }

    /// Work per millisecond that the servers take of requests of this urgency.
    pub fn drain_for(&self, urgency: Urgency, now_ms: Millisecond) -> f64 {
        let reserved = self.drain(now_ms).max(LEAST_DRAIN) * RESERVED_SHARE;
        self.left_drain(urgency, now_ms).max(reserved)
    }

    /// What the more urgent requests that arrive leave of the drain.
    fn left_drain(&self, urgency: Urgency, now_ms: Millisecond) -> f64 {
        let more_urgent = self.classes.iter().filter(|c| c.urgency < urgency);
        let arriving = more_urgent.map(|c| c.offered_ms).sum::<f64>() / MEMORY_MS;
        (self.drain(now_ms) - arriving).max(LEAST_DRAIN)
    }

    /// Work of the more urgent requests that wait.
    fn more_urgent_ms(&self, urgency: Urgency) -> f64 {
        let more_urgent = self.classes.iter().filter(|c| c.urgency < urgency);
        more_urgent.map(Class::waiting_ms).sum()
    }

    /// Work of other workspaces of the same urgency that goes before the request of `class` whose
    /// work ends at `until_ms` of its class.
    fn before_class_ms(&self, class: &Class, until_ms: f64) -> f64 {
        // The work per weight that this class has got when the request has started.
        let level = class.level() + until_ms / class.weight;
        let of_others =
            |other: &&Class| other.urgency == class.urgency && other.workspace != class.workspace;
        let others = self.classes.iter().filter(of_others);
        let before = others.map(|other| {
            let owed_ms = (level - other.level()).max(0.0) * other.weight;
            other.waiting_ms().min(owed_ms)
        });
        before.sum()
    }

    /// Work per millisecond that the servers take from this node.
    fn drain(&self, now_ms: Millisecond) -> f64 {
        let started_ms: f64 = self.classes.iter().map(|c| c.started_ms).sum();
        let observed = started_ms / MEMORY_MS;
        let is_saturated = self
            .waiting_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + SATURATED_MS);
        match is_saturated && observed > 0.0 {
            true => observed,
            false => observed.max(self.assumed_drain),
        }
    }

    /// The urgency whose turn it is among the classes that have a request: the most urgent, or one
    /// that has got less than its reserved share and is served worse than the more urgent ones.
    fn next_urgency(&self, open: &[(&Class, RequestId)]) -> Option<Urgency> {
        let most_urgent = open.iter().map(|(class, _)| class.urgency).min()?;
        if most_urgent == Urgency::MayHaveRun {
            return Some(most_urgent);
        }
        let mut urgencies: Vec<Urgency> = open.iter().map(|(class, _)| class.urgency).collect();
        urgencies.sort_unstable();
        urgencies.dedup();
        let reserved = urgencies.into_iter().find(|u| self.uses_reserve(*u));
        Some(reserved.unwrap_or(most_urgent))
    }

    /// The smallest started share of the recent work among the ranks more urgent than `urgency`.
    fn least_served(&self, urgency: Urgency) -> f64 {
        let mut least = 1.0_f64;
        for class in &self.classes {
            if class.urgency == Urgency::MayHaveRun || class.urgency >= urgency {
                continue;
            }
            let (started_ms, offered_ms) = self.recent_ms(|u| u == class.urgency);
            least = least.min(started_ms / offered_ms.max(f64::MIN_POSITIVE));
        }
        least
    }

    fn recent_ms(&self, of: impl Fn(Urgency) -> bool) -> (f64, f64) {
        let classes = self.classes.iter().filter(|c| of(c.urgency));
        classes.fold((0.0, 0.0), |(started_ms, offered_ms), class| {
            (started_ms + class.started_ms, offered_ms + class.offered_ms)
        })
    }

    fn remove_last(&mut self) -> Option<RequestId> {
        let waiting = self.classes.iter_mut().filter(|c| !c.queue.is_empty());
        let last = waiting.max_by(|a, b| {
            let by_level = || a.level().total_cmp(&b.level());
            a.urgency.cmp(&b.urgency).then_with(by_level)
        })?;
        last.queue.pop_last().map(|request| request.id)
    }

    fn class(&mut self, applicant: &Applicant) -> usize {
        let known = self
            .classes
            .iter()
            .position(|c| c.urgency == applicant.urgency && c.workspace == applicant.workspace);
        if let Some(index) = known {
            return index;
        }
        self.classes.push(Class {
            urgency: applicant.urgency,
            workspace: applicant.workspace.clone(),
            weight: applicant.weight,
            queue: Queue::default(),
            started_ms: 0.0,
            offered_ms: 0.0,
        });
        self.classes.len() - 1
    }

    /// Lowers the weight of the recent work, and forgets classes without any.
    fn decay(&mut self, now_ms: Millisecond) {
        const FORGOTTEN_MS: f64 = 0.01;
        let span_ms = now_ms.saturating_sub(self.decayed_ms) as f64;
        self.decayed_ms = now_ms.max(self.decayed_ms);
        if span_ms == 0.0 {
            return;
        }
        let factor = (-span_ms / MEMORY_MS).exp();
        for class in &mut self.classes {
            class.started_ms *= factor;
            class.offered_ms *= factor;
        }
        self.classes
            .retain(|c| !c.queue.is_empty() || c.offered_ms > FORGOTTEN_MS);
    }
}

fn work_ms(request: &AdmissionRequest) -> f64 {
    request.expected_first_token_ms as f64
}
