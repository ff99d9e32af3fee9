//! Graceful end: not ready first, then no new requests, then finish or hand over.

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
use crate::state::{LifeEvent, Standing};

/// How long unwritten outcomes of non-idempotent calls may take at the end.
pub const LEDGER_CLOSE_MS: Millisecond = 2_000;

/// Longest time in which the balancer is let see that the daemon is not ready.
const NOT_READY_MS: Millisecond = 2_000;

/// Part of the drain's time, as a divisor, that the balancer gets at most.
const NOT_READY_DIVISOR: u64 = 5;

/// Time kept for handing streams over.
const HAND_OVER_MS: Millisecond = 2_000;

/// Time that connections get to flush after the handover.
const FLUSH_MS: Millisecond = 1_000;

/// SIGTERM and SIGINT.
pub struct Signals {
    term: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Starts receiving them.
    ///
    /// # Errors
    ///
    /// Returns an error if signals cannot be received.
    pub fn open() -> std::io::Result<Self> {
        Ok(Self {
            term: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next one of either.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// What became of the requests in flight.
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

/// A drain about to run.
pub struct Draining {
    /// Daemon-wide state.
    pub standing: Arc<Standing>,
    /// The flow whose streams are finished or handed over.
    pub flow: Arc<Flow>,
    /// Stops the streams.
    pub drain: watch::Sender<Drain>,
    /// Time until the process must have ended.
    pub deadline_ms: Millisecond,
}

impl Draining {
    /// Drains; a signal on the way stops the streams at once and hands them over.
    pub async fn run(self, callers: Server, mut signals: Signals) -> DrainReport {
        let in_flight = self.standing.gate.in_flight();
        let log = DrainingLog {
            in_flight,
            deadline_ms: self.deadline_ms,
        };
        events::emit(Code::DaemonDraining, &log);
        self.standing.life.apply(LifeEvent::Term);
        let start = Instant::now();
        let reserve_ms = (HAND_OVER_MS + FLUSH_MS).min(self.deadline_ms / 2);
        let cut_at = start + Duration::from_millis(self.deadline_ms - reserve_ms);
        let mut closing = tokio::spawn(self.stop_accepting(callers, start));
        let finished = async {
            let _ = (&mut closing).await;
            self.standing.gate.idle().await;
        };
        let early = tokio::select! {
            () = finished => true,
            () = sleep_until(cut_at) => false,
            () = signals.next() => false,
        };
        let mut report = DrainReport {
            in_flight_at_start: in_flight,
            handed_over: 0,
            not_handed_over: 0,
        };
        if early {
            self.standing.life.apply(LifeEvent::Idle);
            return report;
        }
        self.standing.life.apply(LifeEvent::Cut);
        self.hand_over(&mut report).await;
        let flush = Duration::from_millis(FLUSH_MS);
        if !closing.is_finished() {
            let _ = timeout(flush, &mut closing).await;
        }
        let _ = timeout(flush, self.standing.gate.idle()).await;
        self.standing.life.apply(LifeEvent::Idle);
        report
    }

    /// Closes the callers' listener once the balancer has had time to see that the daemon is not
    /// ready; requests that arrive before are still served.
    fn stop_accepting(&self, callers: Server, start: Instant) -> impl Future<Output = ()> + use<> {
        let lead_ms = NOT_READY_MS.min(self.deadline_ms / NOT_READY_DIVISOR);
        async move {
            sleep_until(start + Duration::from_millis(lead_ms)).await;
            callers.close().await;
        }
    }

    /// Becomes the only writer of every open record, so that no relay adds to one that has been
    /// copied, and lets relays end only when the peers have the copies.
    async fn hand_over(&self, report: &mut DrainReport) {
        self.drain.send_replace(Drain::Cut);
        let records = self.flow.store.open_records();
        for record in &records {
            record.take_over();
        }
        let limit = Duration::from_millis(HAND_OVER_MS);
        let given = timeout(limit, self.standing.peers.hand_over(&records)).await;
        report.handed_over = given.unwrap_or(0);
        report.not_handed_over = records.len() - report.handed_over;
        self.drain.send_replace(Drain::HandedOver);
    }
}
