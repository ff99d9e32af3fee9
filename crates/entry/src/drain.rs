//! Graceful shutdown: reports not ready, then stops accepting requests, then finishes those in
//! flight or hands them over to peers.

use std::sync::Arc;
use std::time::Duration;

use base::units::Millisecond;
use events::Code;
use serde::Serialize;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::flow::{Drain, Flow};
use crate::front::Server;
use crate::state::{DaemonState, LifecycleEvent};

/// Limit for writing outstanding outcomes of non-idempotent calls at shutdown.
pub const LEDGER_CLOSE_MS: Millisecond = 2_000;

/// Longest time for which requests are still accepted while the load balancer learns that the
/// daemon is not ready.
const NOT_READY_MAX_MS: Millisecond = 2_000;

/// The time for the load balancer is at most the drain deadline divided by this.
const NOT_READY_DIVISOR: u64 = 5;

/// Time reserved for handing streams over.
const HAND_OVER_MS: Millisecond = 2_000;

/// Time reserved for flushing connections after the handover.
const FLUSH_MS: Millisecond = 1_000;

/// Receiver of SIGTERM and SIGINT.
pub struct Signals {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses a handler.
    pub fn open() -> std::io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next SIGTERM or SIGINT.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Outcome of a drain for the requests in flight.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DrainReport {
    in_flight_at_start: u64,
    handed_over: usize,
    not_handed_over: usize,
}

#[derive(Serialize)]
struct DrainingLog {
    in_flight: u64,
    deadline_ms: Millisecond,
}

/// The inputs of a drain.
pub struct Draining {
    pub daemon: Arc<DaemonState>,
    /// The flow whose streams are finished or handed over.
    pub flow: Arc<Flow>,
    /// Tells open streams to stop.
    pub drain: watch::Sender<Drain>,
    /// Time from now by which the process must end.
    pub deadline_ms: Millisecond,
}

impl Draining {
    /// Drains the daemon. A signal during the drain stops the streams at once and hands them over.
    pub async fn run(self, callers: Server, mut signals: Signals) -> DrainReport {
        let in_flight = self.daemon.gate.in_flight();
        let log = DrainingLog {
            in_flight,
            deadline_ms: self.deadline_ms,
        };
        events::emit(Code::DaemonDraining, &log);
        self.daemon.lifecycle.apply(LifecycleEvent::Term);
        let start = Instant::now();
        let reserve_ms = (HAND_OVER_MS + FLUSH_MS).min(self.deadline_ms / 2);
        let cutoff = start + Duration::from_millis(self.deadline_ms - reserve_ms);
        let mut closing = tokio::spawn(self.stop_accepting(callers, start));
        let finished = async {
            let _ = (&mut closing).await;
            self.daemon.gate.idle().await;
        };
        let early = tokio::select! {
            () = finished => true,
            () = sleep_until(cutoff) => false,
            () = signals.next() => false,
        };
        let mut report = DrainReport {
            in_flight_at_start: in_flight,
            handed_over: 0,
            not_handed_over: 0,
        };
        if early {
            self.daemon.lifecycle.apply(LifecycleEvent::Idle);
            return report;
        }
        self.daemon.lifecycle.apply(LifecycleEvent::Cut);
        self.hand_over(&mut report).await;
        let flush = Duration::from_millis(FLUSH_MS);
        if !closing.is_finished() {
            let _ = timeout(flush, &mut closing).await;
        }
        let _ = timeout(flush, self.daemon.gate.idle()).await;
        self.daemon.lifecycle.apply(LifecycleEvent::Idle);
        report
    }

    /// Closes the callers' listener after the load balancer has had time to see that the daemon is
    /// not ready. Requests that arrive before that are served.
    fn stop_accepting(&self, callers: Server, start: Instant) -> impl Future<Output = ()> + use<> {
        let lead_ms = NOT_READY_MAX_MS.min(self.deadline_ms / NOT_READY_DIVISOR);
        async move {
            sleep_until(start + Duration::from_millis(lead_ms)).await;
            callers.close().await;
        }
    }

    /// Hands open streams over to peers. It first becomes the only writer of every open record, so
    /// that no relay appends to a record after it was copied. Relays end only after the peers have
    /// the copies.
    async fn hand_over(&self, report: &mut DrainReport) {
        self.drain.send_replace(Drain::Cut);
        let records = self.flow.store.open_records();
        for record in &records {
            record.take_over();
        }
        let limit = Duration::from_millis(HAND_OVER_MS);
        let given = timeout(limit, self.daemon.peers.hand_over(&records)).await;
        report.handed_over = given.unwrap_or(0);
        report.not_handed_over = records.len() - report.handed_over;
        self.drain.send_replace(Drain::HandedOver);
    }
}
