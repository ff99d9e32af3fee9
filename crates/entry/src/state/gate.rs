//! Carries out the decisions of `policy::limit` for all services.

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

use super::work::Work;
use crate::clock::Clock;
use crate::front::{CallerError, ErrorCode};

/// Time between looks at what waits.
const TICK_MS: Millisecond = 50;

/// When a caller is told to come back to an entry VM that is full.
const FULL_RETRY_AFTER_MS: Millisecond = 1_000;

enum Verdict {
    Start,
    Refuse(RefusalReason, Millisecond),
}

struct Inner {
    own: Name,
    services: Map<Name, Admission>,
    waiting: Map<RequestId, oneshot::Sender<Verdict>>,
    rng: SmallRng,
}

/// Admission at this entry VM; clones share it.
#[derive(Clone)]
pub struct Gate {
    clock: Clock,
    max_in_flight: u64,
    inner: Arc<Mutex<Inner>>,
    in_flight: Arc<watch::Sender<u64>>,
}

/// An admitted request; its slot is free again when this is dropped.
pub struct Admitted {
    gate: Gate,
    ticket: RequestId,
    request: RequestId,
    service: Name,
    priority: u8,
    started_ms: Millisecond,
    first_ms: Option<Millisecond>,
    end: End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum End {
    Whole,
    Partial,
}

#[derive(Serialize)]
struct FinishedLog<'a> {
    request: RequestId,
    service: &'a str,
    end: End,
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

impl Gate {
    /// Admission without services; at most `max_in_flight` requests hold or await a slot.
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

    /// Starts the task that looks at what waits.
    pub fn spawn_ticks(&self) -> JoinHandle<()> {
        let gate = self.clone();
        tokio::spawn(async move {
            let mut tick = tokio::time::interval(Duration::from_millis(TICK_MS));
            loop {
                tick.tick().await;
                gate.tick();
            }
        })
    }

    /// Puts services, with the shares of each, in force.
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

    /// Sets the slots of a service's backend servers.
    pub fn set_capacity(&self, service: &str, slots: f64) {
        if let Some(admission) = self.lock().services.get_mut(service) {
            admission.on_capacity(slots);
        }
    }

    /// This entry VM's demand, by service.
    pub fn demand(&self) -> Vec<(Name, Vec<WorkspaceDemand>)> {
        let inner = self.lock();
        let mut demand = Vec::new();
        for (service, admission) in &inner.services {
            demand.push((service.clone(), admission.demand()));
        }
        demand
    }

    /// Takes in a peer's demand for a service.
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

    /// Requests in flight.
    pub fn in_flight(&self) -> u64 {
        *self.in_flight.borrow()
    }

    /// Waits until nothing is in flight.
    pub async fn idle(&self) {
        let mut count = self.in_flight.subscribe();
        // The sender lives as long as this gate.
        let _ = count.wait_for(|count| *count == 0).await;
    }

    /// Asks for a slot and waits while the request is queued.
    ///
    /// # Errors
    ///
    /// Returns the refusal if too many requests are in flight, or if the service's admission does
    /// not accept the request.
    pub async fn admit(&self, id: RequestId, work: Work) -> Result<Admitted, CallerError> {
        if self.in_flight() >= self.max_in_flight {
            return Err(refused(
                id,
                &work,
                RefusalReason::TooManyInFlight,
                FULL_RETRY_AFTER_MS,
            ));
        }
        let (sender, receiver) = oneshot::channel();
        let admitted = self.ask(id, &work, sender);
        match receiver.await {
            Ok(Verdict::Start) => Ok(admitted),
            Ok(Verdict::Refuse(reason, retry_after_ms)) => {
                Err(refused(id, &work, reason, retry_after_ms))
            }
            Err(_) => Err(refused(id, &work, RefusalReason::QueueFull, TICK_MS)),
        }
    }

    fn ask(&self, id: RequestId, work: &Work, sender: oneshot::Sender<Verdict>) -> Admitted {
        let now_ms = self.clock.now_ms();
        let mut guard = self.lock();
        let inner = &mut *guard;
        // Callers choose request numbers, so admission counts by a number of its own.
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
        Admitted {
            gate: self.clone(),
            ticket,
            request: id,
            service: work.service.clone(),
            priority: work.priority,
            started_ms: now_ms,
            first_ms: None,
            end: End::Partial,
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
            AdmissionAction::Start { id } => (id, Verdict::Start),
            AdmissionAction::Refuse {
                id,
                reason,
                retry_after_ms,
            } => (id, Verdict::Refuse(reason, retry_after_ms)),
        };
        let Some(sender) = inner.waiting.remove(&id) else {
            continue;
        };
        // A caller that left has dropped its receiver, and its slot is freed by `Admitted`.
        let _ = sender.send(verdict);
    }
}

fn refused(
    id: RequestId,
    work: &Work,
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

impl Admitted {
    /// The request's priority; lower goes first.
    pub fn priority(&self) -> u8 {
        self.priority
    }

    /// Notes that a part of the answer was handed to the caller.
    pub fn relayed(&mut self) {
        if self.first_ms.is_none() {
            self.first_ms = Some(self.gate.clock.now_ms() - self.started_ms);
        }
    }

    /// Notes that the answer is whole.
    pub fn finished(&mut self) {
        self.end = End::Whole;
    }
}

impl Drop for Admitted {
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
