//! Handles an attempt that ended early: finds the cause, then retries at another server or gives
//! up.

use std::time::Duration;

use base::Name;
use base::ids::RequestId;
use base::outcome::RunState;
use base::units::Millisecond;
use engine::Target;
use events::Code;
use http::StatusCode;
use policy::retry::{Failure, FailureCause, RetryDecision};
use policy::route::{RouteRequest, ServerState};
use policy::suspect::{RequestDigest, Treatment};
use serde::Serialize;

use super::relay::{Acceptance, Relay, drain_cut};
use super::retries::ServerCounts;
use super::suspicion::{Liveness, RunningRequest, probe_liveness};
use crate::front::{CallerError, ErrorCode, RetrySafety};

/// Delay after which a caller may retry a request that was given up.
const RETRY_AFTER_MS: Millisecond = 1_000;

/// An attempt that ended early and is not handled yet. It has no target if no server was found.
pub(super) struct FailedAttempt {
    target: Option<Target>,
    cause: FailureCause,
    run_state: RunState,
    reason: String,
}

#[derive(Serialize)]
struct AttemptLog<'a> {
    request: RequestId,
    server: &'a Name,
    run_state: RunState,
    reason: &'a str,
}

impl Relay {
    pub(super) fn no_server(&mut self, reason: &str) {
        self.route_request.excluded.clear();
        if self.acceptance == Acceptance::Pending {
            return self.give_up(ErrorCode::NoBackendServer, reason);
        }
        self.failed_attempt = Some(FailedAttempt {
            target: None,
            cause: FailureCause::NoServer,
            run_state: RunState::NotRun,
            reason: reason.to_owned(),
        });
        self.phase.apply("no_server");
    }

    pub(super) fn attempt_failed(
        &mut self,
        cause: FailureCause,
        run_state: RunState,
        reason: &str,
    ) {
        let Some(live) = self.live.take() else {
            self.phase.apply("broken");
            return;
        };
        let target = live.flight.target().clone();
        events::emit(
            Code::AttemptFailed,
            &AttemptLog {
                request: self.id,
                server: &target.id,
                run_state,
                reason,
            },
        );
        let cause = match live.flight.is_leaving() {
            true => FailureCause::Leaving,
            false => cause,
        };
        if cause != FailureCause::Leaving {
            self.flow.backends.set_suspect(&target.id);
        }
        self.route_request.excluded.push(target.id.clone());
        self.failed_attempt = Some(FailedAttempt {
            target: Some(target),
            cause,
            run_state,
            reason: reason.to_owned(),
        });
        self.phase.apply("broken");
    }

    /// Waits before the next attempt, or gives up without a delay.
    pub(super) async fn wait(&mut self) {
        let Some(failed_attempt) = self.failed_attempt.take() else {
            self.phase.apply("retry_due");
            return;
        };
        let cause = self.cause(&failed_attempt).await;
        match self.decide(&failed_attempt, cause) {
            RetryDecision::RetryAfter { delay_ms } => self.pause(delay_ms).await,
            RetryDecision::GiveUp { retry_after_ms, .. } => {
                let code = match cause {
                    FailureCause::NoServer => ErrorCode::NoBackendServer,
                    _ => ErrorCode::BackendFailed,
                };
                self.give_up(code, &failed_attempt.reason);
                if let Some(error) = &mut self.error {
                    error.retry_after_ms = retry_after_ms;
                }
            }
        }
    }

    async fn pause(&mut self, delay_ms: Millisecond) {
        let delay = Duration::from_millis(delay_ms);
        tokio::select! {
            () = tokio::time::sleep(delay) => { self.phase.apply("retry_due"); }
            () = drain_cut(&mut self.drain) => self.stop("drain"),
        }
    }

    /// Distinguishes a crashed server from a broken connection, and records the crash.
    async fn cause(&mut self, failed_attempt: &FailedAttempt) -> FailureCause {
        let Some(target) = &failed_attempt.target else {
            return failed_attempt.cause;
        };
        if failed_attempt.cause == FailureCause::ConnectFailed && self.no_live_server() {
            return FailureCause::NoServer;
        }
        if failed_attempt.cause != FailureCause::Broken {
            return failed_attempt.cause;
        }
        let backend = self.flow.backend.clone();
        if probe_liveness(&*backend, target).await == Liveness::Running {
            return FailureCause::Broken;
        }
        // The server may have been marked as leaving during the probe.
        let view = self.flow.backends.view();
        let server = view.iter().find(|view| view.server == target.id);
        let Some(server) = server.filter(|s| s.state != ServerState::Leaving) else {
            return FailureCause::Leaving;
        };
        let digest = self.digest();
        let suspicion = &self.flow.suspicion;
        suspicion.record_crash(&target.id, &server.failure_domain, digest);
        FailureCause::ServerLost
    }

    /// Whether an accepted answer has no live server to continue at. Refused connections to a lost
    /// server then don't count as failed attempts: nothing was sent, and no replacement is listed
    /// yet.
    fn no_live_server(&self) -> bool {
        let service = &self.route_request.service;
        self.acceptance == Acceptance::Accepted && self.server_counts(service).live == 0
    }

    fn decide(&mut self, failed_attempt: &FailedAttempt, cause: FailureCause) -> RetryDecision {
        let failure = Failure {
            cause,
            run_state: failed_attempt.run_state,
            retry_after_ms: None,
        };
        let service = self.route_request.service.clone();
        let server_counts = self.server_counts(&service);
        let now_ms = self.flow.clock.now_ms();
        let retries = &self.flow.retries;
        let decision = retries.decide(&service, &mut self.budget, failure, server_counts, now_ms);
        self.record.lock().failed = self.budget.failed;
        decision
    }

    fn server_counts(&self, service: &str) -> ServerCounts {
        let mut server_counts = ServerCounts { live: 0, total: 0 };
        for server in self.flow.backends.view() {
            if &*server.service != service || server.state == ServerState::Leaving {
                continue;
            }
            server_counts.total += 1;
            server_counts.live += u32::from(server.state == ServerState::Live);
        }
        server_counts
    }

    pub(super) fn give_up(&mut self, code: ErrorCode, reason: &str) {
        self.live = None;
        self.error = Some(CallerError {
            run_state: self.budget.run_state,
            message: format!("The request was given up: {reason}"),
            ..CallerError::retryable(code, "", RETRY_AFTER_MS)
        });
        self.phase.apply("given_up");
    }

    /// How to run the request, given the crashes of earlier requests with the same content.
    pub(super) fn treatment(&mut self) -> Treatment {
        if self.flow.suspicion.has_no_suspects() {
            return Treatment::Normal;
        }
        let digest = self.digest();
        match self.flow.suspicion.treatment(digest) {
            // Tokens were produced without a crash, and the caller has been told to expect the
            // rest.
            Treatment::Refuse if self.record.lock().tokens > 0 => Treatment::Apart,
            treatment => treatment,
        }
    }

    /// The routing request with those servers excluded that a suspect request must not use.
    pub(super) fn isolated_request(&self) -> RouteRequest {
        let mut route_request = self.route_request.clone();
        let mut servers = Vec::new();
        for server in self.flow.backends.view() {
            let is_candidate = server.service == route_request.service
                && server.state == ServerState::Live
                && !route_request.excluded.contains(&server.server);
            if is_candidate {
                servers.push(server.server);
            }
        }
        let avoided = self.flow.suspicion.servers_to_avoid(servers);
        route_request.excluded.extend(avoided);
        route_request
    }

    pub(super) fn refuse_quarantined(&mut self) {
        self.error = Some(CallerError {
            run_state: self.budget.run_state,
            retry: RetrySafety::Unsafe,
            ..CallerError::client_error(
                StatusCode::UNPROCESSABLE_ENTITY,
                ErrorCode::Quarantined,
                "Backend servers crashed twice while running this request, so it is not run for an hour; change its content.",
            )
        });
        self.phase.apply("given_up");
    }

    pub(super) fn track_running(&mut self, server: &Name) -> Option<RunningRequest> {
        if self.flow.suspicion.has_no_suspects() {
            return None;
        }
        let digest = self.digest();
        Some(self.flow.suspicion.track_running(server, digest))
    }

    pub(super) fn record_completion(&mut self) {
        if self.flow.suspicion.has_no_suspects() {
            return;
        }
        let digest = self.digest();
        self.flow.suspicion.record_completion(digest);
    }

    /// Digest of the caller's request. It is computed on first use, as that reads the whole
    /// request.
    fn digest(&mut self) -> RequestDigest {
        if let Some(digest) = self.digest {
            return digest;
        }
        let record = self.record.lock();
        let body = serde_json::to_vec(&record.request).unwrap_or_default();
        let digest = RequestDigest::of(&record.workspace, &record.service, &body);
        drop(record);
        self.digest = Some(digest);
        digest
    }
}
