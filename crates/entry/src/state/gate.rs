//! Admission of requests: applies the decisions of `policy::limit` for all services.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use base::ids::RequestId;
use base::units::Millisecond;
use base::{Map, Name};
use events::Code;
use policy::limit::{
    Admission, AdmissionAction, AdmissionConfig, AdmissionRequest, RefusalReason, WorkspaceDemand,
    WorkspaceShare,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use super::admission_input::AdmissionInput;
use crate::clock::Clock;
use crate::front::{CallerError, ErrorCode};

/// Time between two checks of the queued requests.
const ADMISSION_TICK_MS: Millisecond = 50;

/// `Retry-After` of requests refused because the entry VM has too many in flight.
const FULL_RETRY_AFTER_MS: Millisecond = 1_000;

enum AdmissionDecision {
    Start,
    Refuse(RefusalReason, Millisecond),
}

struct Inner {
    own: Name,
    services: Map<Name, Admission>,
    waiting: Map<RequestId, oneshot::Sender<AdmissionDecision>>,
    rng: SmallRng,
}

/// Admission at this entry VM; clones share its state.
#[derive(Clone)]
pub struct AdmissionGate {
    clock: Clock,
    max_in_flight: u64,
    inner: Arc<Mutex<Inner>>,
    in_flight: Arc<watch::Sender<u64>>,
}

/// An admitted request; dropping it frees its slot and logs its end.
pub struct AdmittedRequest {
    gate: AdmissionGate,
    ticket: RequestId,
    request: RequestId,
    service: Name,
    priority: u8,
    started_ms: Millisecond,
    first_ms: Option<Millisecond>,
    end: AnswerEnd,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum AnswerEnd {
    Whole,
    Partial,
}

#[derive(Serialize)]
struct FinishedLog<'a> {
    request: RequestId,
    service: &'a str,
    end: AnswerEnd,
    first_byte_ms: Option<Millisecond>,
    total_ms: Millisecond,
}

#[derive(Serialize)]
struct RefusedLog<'a> {
    request: RequestId,
    workspace: &'a str,
    service: &'a str,
    reason: RefusalReason,
    retry_after_ms: Millisecond,
}

impl AdmissionGate {
    /// Creates admission without services; at most `max_in_flight` requests hold a slot or wait
    /// for one.
    pub fn open(own: Name, clock: Clock, max_in_flight: u64, seed: u64) -> Self {
        let inner = Inner {
            own,
            services: Map::default(),
            waiting: Map::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        Self {
            clock,
            max_in_flight,
            inner: Arc::new(Mutex::new(inner)),
            in_flight: Arc::new(watch::channel(0).0),
        }
    }

    /// Starts the task that checks the queued requests periodically.
    pub fn spawn_ticks(&self) -> JoinHandle<()> {
        let gate = self.clone();
        tokio::spawn(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(ADMISSION_TICK_MS));
            loop {
                tick.tick().await;
                gate.tick();
            }
        })
    }

    /// Replaces the services and the workspaces' shares of each.
    pub fn set_shares(&self, services: &Map<Name, Vec<WorkspaceShare>>) {
        let mut inner = self.lock();
        inner.services.retain(|name, _| services.contains_key(name));
        let own = inner.own.clone();
        let mut actions = Vec::new();
        for (service, shares) in services {
            let admission = inner
                .services
                .entry(service.clone())
                .or_insert_with(|| Admission::new(own.clone(), AdmissionConfig::default(), shares));
            actions.extend(admission.on_shares(shares));
        }
        carry_out(&mut inner, actions);
    }

    /// Sets the number of slots that a service's backend servers have together.
    pub fn set_capacity(&self, service: &str, slots: f64) {
        if let Some(admission) = self.lock().services.get_mut(service) {
            admission.on_capacity(slots);
        }
    }

    /// The workspaces' demand at this entry VM, by service.
    pub fn demand(&self) -> Vec<(Name, Vec<WorkspaceDemand>)> {
        let inner = self.lock();
        let mut demand = Vec::new();
        for (service, admission) in &inner.services {
            demand.push((service.clone(), admission.demand()));
        }
        demand
    }

    /// Records a peer's demand for a service, as of `made_ms`.
    pub fn set_peer_demand(
        &self,
        service: &str,
        peer: &Name,
        made_ms: Millisecond,
        demand: &[WorkspaceDemand],
    ) {
        if let Some(admission) = self.lock().services.get_mut(service) {
            admission.on_peer_demand(peer, made_ms, demand);
        }
    }

    /// Number of requests that hold a slot or wait for one.
    pub fn in_flight(&self) -> u64 {
        *self.in_flight.borrow()
    }

    /// Waits until no request is in flight.
    pub async fn idle(&self) {
        let mut count = self.in_flight.subscribe();
        // `wait_for` fails only once the sender is dropped, and `self` holds it.
        let _ = count.wait_for(|count| *count == 0).await;
    }

    /// Requests a slot and waits while the request is queued.
    ///
    /// # Errors
    ///
    /// Returns a retryable error if the request is refused.
    pub async fn admit(
        &self,
        id: RequestId,
        work: AdmissionInput,
    ) -> Result<AdmittedRequest, CallerError> {
        if self.in_flight() >= self.max_in_flight {
            return Err(refused(
                id,
                &work,
                RefusalReason::TooManyInFlight,
                FULL_RETRY_AFTER_MS,
            ));
        }
        let (sender, receiver) = oneshot::channel();
        let admitted = self.request_slot(id, &work, sender);
        match receiver.await {
            Ok(AdmissionDecision::Start) => Ok(admitted),
            Ok(AdmissionDecision::Refuse(reason, retry_after_ms)) => {
                Err(refused(id, &work, reason, retry_after_ms))
            }
            Err(_) => Err(refused(
                id,
                &work,
                RefusalReason::QueueFull,
                ADMISSION_TICK_MS,
            )),
        }
    }

    fn request_slot(
        &self,
        id: RequestId,
        work: &AdmissionInput,
        sender: oneshot::Sender<AdmissionDecision>,
    ) -> AdmittedRequest {
        let now_ms = self.clock.now_ms();
        let mut guard = self.lock();
        let inner = &mut *guard;
        // Callers choose their request ids, so admission identifies requests by ids of its own.
        let ticket = RequestId::random(&mut inner.rng);
        inner.waiting.insert(ticket, sender);
        let mut actions = Vec::new();
        if let Some(admission) = inner.services.get_mut(&work.service) {
            let request = AdmissionRequest {
                id: ticket,
                workspace: work.workspace.clone(),
                priority: work.priority,
                first_token_due_ms: now_ms + work.first_token_due_in_ms,
                expected_first_token_ms: work.expected_first_token_ms,
            };
            actions = admission.on_request(request, now_ms, &mut inner.rng);
        } else {
            inner.waiting.remove(&ticket);
        }
        carry_out(inner, actions);
        drop(guard);
        self.in_flight.send_modify(|count| *count += 1);
        AdmittedRequest {
            gate: self.clone(),
            ticket,
            request: id,
            service: work.service.clone(),
            priority: work.priority,
            started_ms: now_ms,
            first_ms: None,
            end: AnswerEnd::Partial,
        }
    }

    fn tick(&self) {
        let now_ms = self.clock.now_ms();
        let mut guard = self.lock();
        let inner = &mut *guard;
        let mut actions = Vec::new();
        for admission in inner.services.values_mut() {
            actions.extend(admission.on_tick(now_ms, &mut inner.rng));
        }
        carry_out(inner, actions);
    }

    fn end(&self, ticket: RequestId, service: &str) {
        let now_ms = self.clock.now_ms();
        let mut guard = self.lock();
        let inner = &mut *guard;
        inner.waiting.remove(&ticket);
        let mut actions = Vec::new();
        if let Some(admission) = inner.services.get_mut(service) {
            actions = admission.on_finish(ticket, now_ms, &mut inner.rng);
        }
        carry_out(inner, actions);
        drop(guard);
        self.in_flight.send_modify(|count| *count -= 1);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn carry_out(inner: &mut Inner, actions: Vec<AdmissionAction>) {
    for action in actions {
        let (id, verdict) = match action {
            AdmissionAction::Start { id } => (id, AdmissionDecision::Start),
            AdmissionAction::Refuse {
                id,
                reason,
                retry_after_ms,
            } => (id, AdmissionDecision::Refuse(reason, retry_after_ms)),
        };
        let Some(sender) = inner.waiting.remove(&id) else {
            continue;
        };
        // Sending fails if the caller has disconnected; `AdmittedRequest` frees the slot then.
        let _ = sender.send(verdict);
    }
}

fn refused(
    id: RequestId,
    work: &AdmissionInput,
    reason: RefusalReason,
    retry_after_ms: Millisecond,
) -> CallerError {
    events::emit(
        Code::RequestRefused,
        &RefusedLog {
            request: id,
            workspace: &work.workspace,
            service: &work.service,
            reason,
            retry_after_ms,
        },
    );
    let message = match reason {
        RefusalReason::UnknownWorkspace => "The workspace has no share of this service.",
        RefusalReason::TargetOutOfReach => "The answer could not begin in time.",
        RefusalReason::TooManyInFlight => "The entry VM has too many requests in flight.",
        RefusalReason::QueueFull => "The workspace's queue is full.",
    };
    CallerError::retryable(ErrorCode::Overloaded, message, retry_after_ms)
}

impl AdmittedRequest {
    /// The request's priority; lower values are admitted first.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// Records that a part of the answer was passed to the caller.
    pub fn relayed(&mut self) {
        if self.first_ms.is_none() {
            self.first_ms = Some(self.gate.clock.now_ms() - self.started_ms);
        }
    }

    /// Records that the answer is complete.
    pub fn finished(&mut self) {
        self.end = AnswerEnd::Whole;
    }
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.gate.end(self.ticket, &self.service);
        events::emit(
            Code::RequestFinished,
            &FinishedLog {
                request: self.request,
                service: &self.service,
                end: self.end,
                first_byte_ms: self.first_ms,
                total_ms: self.gate.clock.now_ms() - self.started_ms,
            },
        );
    }
}
