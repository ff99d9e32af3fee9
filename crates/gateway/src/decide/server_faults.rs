//! Faults of backend servers that the nodes report to each other, so that a server that is gone is
//! not found out by each node alone.
//!
//! Made for the crash of a fifth of the servers at once in a fleet under full load: without the
//! reports, each of 67 nodes sends each dead server several requests.

use std::mem::take;

use base::Name;
use base::units::Millisecond;
use fleet::hash;

pub use super::fault_report::{FaultKind, FaultReport, Sender, Weight};

/// Avoidance after the first failure.
const AVOIDANCE_MS: Millisecond = 250;

/// Longest avoidance; a crashed server is back after about this time.
const AVOIDANCE_LIMIT_MS: Millisecond = 2_000;

/// Age up to which a fault or an answer is reported, and up to which a report counts: the longest
/// avoidance, and one more in which other nodes wait for the node that tries the server.
pub const EVIDENCE_LIMIT_MS: Millisecond = 2 * AVOIDANCE_LIMIT_MS;

/// Requests that fail within this time count as one failure: a crash breaks many connections.
const SAME_FAILURE_MS: Millisecond = 100;

/// Time for which pulses repeat what is new: three pulses, as some may be lost. More would fill
/// links of 10 Mbit/s when all nodes observe a crash. Whole heartbeats repeat it further.
const FRESH_MS: Millisecond = 400;

/// Other nodes whose reports of a fault make a pulse of this node unnecessary.
const ENOUGH_WITNESSES: usize = 2;

/// Own failures of a server in sequence that an answer to another node outweighs. With more, the path
/// from this node to the server may be cut.
const OUTWEIGHED_FAILURES: u32 = 2;

/// How long a server is avoided after a number of consecutive failures.
pub fn avoidance_ms(failures: u32) -> Millisecond {
    let span_ms = AVOIDANCE_MS << failures.clamp(1, 4).saturating_sub(1);
    span_ms.min(AVOIDANCE_LIMIT_MS)
}

/// Whether one more of a service's servers may be avoided on the reports of other nodes.
pub fn has_room(avoided_on_reports: usize, servers: usize) -> bool {
    (avoided_on_reports + 1) * 2 <= servers
}

/// Whether an answer to another node also ends this node's own avoidance of a server.
pub fn is_outweighed(kind: FaultKind, own_failures: u32) -> bool {
    kind.is_gone() && own_failures <= OUTWEIGHED_FAILURES
}

/// The node that tries a server after an avoidance. The draw changes with each failure, so that a
/// node with a cut path to the server does not draw itself for ever.
pub fn drawn_node<'a>(
    server: &str,
    failures: u32,
    nodes: impl IntoIterator<Item = &'a Name>,
) -> Option<&'a Name> {
    let key = (u128::from(hash::stable(server.as_bytes())) << 64) | u128::from(failures);
    nodes
        .into_iter()
        .max_by_key(|node| (hash::rendezvous(node, key), *node))
}

/// A fault that counts at this node.
#[derive(Clone, Debug)]
struct Fault {
    kind: FaultKind,
    /// When it was last observed, on this node's clock.
    at_ms: Millisecond,
    failures: u32,
    /// Whether this node has observed it itself.
    is_own: bool,
    /// The other nodes that reported it, at most `ENOUGH_WITNESSES`.
    others: Vec<Name>,
}

impl Fault {
    /// Whether the server is avoided or on trial.
    fn counts(&self, now_ms: Millisecond) -> bool {
        now_ms.saturating_sub(self.at_ms) < 2 * avoidance_ms(self.failures)
    }

    /// The only witness, if it is another node.
    fn sole_reporter(&self) -> Option<&Name> {
        match (self.is_own, &self.others[..]) {
            (false, [only]) => Some(only),
            _ => None,
        }
    }

    fn add_witness(&mut self, node: &Name) {
        if self.others.len() < ENOUGH_WITNESSES && !self.others.contains(node) {
            self.others.push(node.clone());
        }
    }
}

/// This node's last observation, which it reports.
#[derive(Clone, Copy, Debug)]
struct Observation {
    kind: FaultKind,
    at_ms: Millisecond,
    failures: u32,
    /// Whether pulses report it.
    in_pulses: bool,
    /// Whether this node was drawn to try the server.
    is_trial: bool,
}

/// How a server stands by the faults that a node knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Clear,
    Avoided(FaultKind),
    /// One node tries the server, the others wait for its result.
    OnTrial {
        kind: FaultKind,
        failures: u32,
    },
}

/// Effect of an observation or report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FaultChange {
    /// The server is avoided from now on.
    Avoided,
    /// The server has answered, and is no longer avoided.
    Returned {
        kind: FaultKind,
    },
    /// The report waits for another one of a second node.
    AwaitsWitness,
    /// The report does not count.
    Ignored,
    None,
}

/// What a node knows of the faults of one life of a server.
#[derive(Debug, Default)]
pub struct ServerFaults {
    fault: Option<Fault>,
    /// When the server last answered some node, as far as known here.
    answered_ms: Millisecond,
    own: Option<Observation>,
    /// Sender and time of a report that needs a second witness.
    uncertain: Option<(Name, Millisecond)>,
    /// A node that was alone with its report before the server answered another one, and until when
    /// its reports need a second witness.
    refuted: Option<(Name, Millisecond)>,
    /// The node whose report of an answer ended the last avoidance, and when.
    answered_by: Option<(Name, Millisecond)>,
    /// A node that reported an answer of the server while it was gone.
    wrong_answers_of: Option<Name>,
    /// Whether this node was drawn to try the server after its last failure.
    is_drawn: bool,
}

impl ServerFaults {
    /// How the server stands.
    pub fn standing(&self, now_ms: Millisecond) -> Standing {
        let Some(fault) = self.fault.as_ref().filter(|f| f.counts(now_ms)) else {
            return Standing::Clear;
        };
        let span_ms = avoidance_ms(fault.failures);
        let age_ms = now_ms.saturating_sub(fault.at_ms);
        let kind = fault.kind;
        if age_ms < span_ms {
            return Standing::Avoided(kind);
        }
        match kind.is_gone() {
            true => Standing::OnTrial {
                kind,
                failures: fault.failures,
            },
            false => Standing::Clear,
        }
    }

    /// Whether this node sends the server nothing if there is any other.
    pub fn is_gone(&self, now_ms: Millisecond) -> bool {
        match self.standing(now_ms) {
            Standing::Clear => false,
            Standing::Avoided(kind) => kind.is_gone(),
            Standing::OnTrial { kind, .. } => !self.may_send(kind),
        }
    }

    /// Whether this node tries the server by sending it requests. A server whose address belongs to
    /// another one accepts connections, so that only a request shows who answers.
    fn may_send(&self, kind: FaultKind) -> bool {
        self.is_drawn && kind == FaultKind::Misdirected
    }

    /// Whether this node prefers other servers.
    pub fn is_avoided(&self, now_ms: Millisecond) -> bool {
        match self.standing(now_ms) {
            Standing::Clear => false,
            Standing::Avoided(_) => true,
            Standing::OnTrial { kind, .. } => !self.may_send(kind),
        }
    }

    /// Whether the server is avoided on the reports of other nodes alone.
    pub fn is_avoided_on_reports(&self, now_ms: Millisecond) -> bool {
        let reported = self.fault.as_ref().is_some_and(|fault| !fault.is_own);
        reported && self.standing(now_ms) != Standing::Clear
    }

    /// Whether this node was drawn to try the server.
    pub fn is_drawn(&self) -> bool {
        self.is_drawn
    }

    /// Records that this node was drawn to try the server.
    pub fn set_drawn(&mut self) {
        self.is_drawn = true;
    }

    /// Node that must not be drawn to try the server: the only one that reported it.
    pub fn sole_reporter(&self) -> Option<&Name> {
        self.fault.as_ref().and_then(Fault::sole_reporter)
    }

    /// Records a fault that this node has observed.
    pub fn record_own(&mut self, kind: FaultKind, now_ms: Millisecond) {
        if kind.is_gone()
            && let Some((node, at_ms)) = self.answered_by.take()
            && now_ms.saturating_sub(at_ms) < AVOIDANCE_LIMIT_MS
        {
            self.wrong_answers_of = Some(node);
        }
        let known = self.fault.take();
        // What follows a connection that broke says more than the broken connection.
        let kind = match &known {
            Some(k) if k.kind.is_gone() && !kind.is_gone() && k.counts(now_ms) => k.kind,
            _ => kind,
        };
        let failures = match &known {
            None => 1,
            Some(k) if k.at_ms + SAME_FAILURE_MS > now_ms => k.failures.max(1),
            Some(k) => k.failures.saturating_add(1),
        };
        let others = known.map(|k| k.others).unwrap_or_default();
        // A pulse goes to every node. It pays for a server that fails every request; of single broken or
        // silent connections, whole heartbeats tell soon enough.
        let is_trial = self.is_drawn;
        let is_news = kind.is_gone() && (others.len() < ENOUGH_WITNESSES || is_trial);
        self.own = Some(Observation {
            kind,
            at_ms: now_ms,
            failures,
            in_pulses: is_news,
            is_trial,
        });
        self.fault = Some(Fault {
            kind,
            at_ms: now_ms,
            failures,
            is_own: true,
            others,
        });
        self.is_drawn = false;
    }

    /// Records that the server has answered this node. Returns the kind of the fault that this ends.
    pub fn record_own_answer(&mut self, now_ms: Millisecond) -> Option<FaultKind> {
        let fault = self.fault.take()?;
        self.answered_ms = now_ms;
        self.is_drawn = false;
        self.wrong_answers_of = None;
        self.note_refuted(&fault, now_ms);
        self.own = Some(Observation {
            kind: FaultKind::Answered,
            at_ms: now_ms,
            failures: 0,
            // A broken connection says little of a server that goes on to answer.
            in_pulses: fault.kind.is_gone(),
            is_trial: false,
        });
        Some(fault.kind)
    }

    fn note_refuted(&mut self, fault: &Fault, now_ms: Millisecond) {
        if let Some(reporter) = fault.sole_reporter() {
            self.refuted = Some((reporter.clone(), now_ms + AVOIDANCE_LIMIT_MS));
        }
    }

    /// Applies another node's report of an observation at `at_ms`. `last_byte_ms` is when the server
    /// last sent a byte to this node. `may_avoid` says whether the server may be avoided on reports,
    /// and is asked only if it isn't yet.
    pub fn apply(
        &mut self,
        sender: &Name,
        report: &FaultReport,
        weight: Weight,
        last_byte_ms: Millisecond,
        now_ms: Millisecond,
        may_avoid: impl FnOnce() -> bool,
    ) -> FaultChange {
        let at_ms = now_ms.saturating_sub(report.age_ms);
        let is_wrong =
            report.kind == FaultKind::Answered && self.wrong_answers_of.as_ref() == Some(sender);
        if weight == Weight::Nothing || is_wrong {
            return FaultChange::Ignored;
        }
        if report.kind == FaultKind::Answered {
            return self.apply_answer(sender, at_ms, now_ms);
        }
        let answered_ms = last_byte_ms.max(self.answered_ms);
        if answered_ms > 0 && answered_ms >= at_ms {
            let told = self.own.is_some_and(|own| {
                own.kind == FaultKind::Answered && own.at_ms + EVIDENCE_LIMIT_MS > now_ms
            });
            if last_byte_ms >= at_ms && self.fault.is_none() && !told {
                // Nodes without requests at the server learn that it answers.
                self.own = Some(Observation {
                    kind: FaultKind::Answered,
                    at_ms: last_byte_ms,
                    failures: 0,
                    in_pulses: false,
                    is_trial: false,
                });
            }
            return FaultChange::None;
        }
        if self.needs_witness(sender, weight, now_ms) {
            let second = match &self.uncertain {
                Some((first, first_ms)) => {
                    first != sender && now_ms.saturating_sub(*first_ms) < AVOIDANCE_LIMIT_MS
                }
                None => false,
            };
            if !second && self.fault.is_none() {
                self.uncertain = Some((sender.clone(), now_ms));
                return FaultChange::AwaitsWitness;
            }
        }
        self.count(sender, report, at_ms, now_ms, may_avoid)
    }

    fn needs_witness(&self, sender: &Name, weight: Weight, now_ms: Millisecond) -> bool {
        let is_refuted =
            |(node, until_ms): &(Name, Millisecond)| node == sender && *until_ms > now_ms;
        weight == Weight::NeedsWitness || self.refuted.as_ref().is_some_and(is_refuted)
    }

    /// Counts a report of a fault.
    fn count(
        &mut self,
        sender: &Name,
        report: &FaultReport,
        at_ms: Millisecond,
        now_ms: Millisecond,
        may_avoid: impl FnOnce() -> bool,
    ) -> FaultChange {
        let is_over = self.standing(now_ms) == Standing::Clear;
        if let Some(fault) = self.fault.as_mut().filter(|_| !is_over) {
            let sole = fault.sole_reporter() == Some(sender);
            fault.add_witness(sender);
            let is_worse = report.kind.is_gone() && !fault.kind.is_gone();
            // The repeated reports of one node alone don't prolong the avoidance: another node is to
            // try the server.
            if is_worse || (at_ms > fault.at_ms && !sole) {
                fault.kind = report.kind;
                fault.at_ms = fault.at_ms.max(at_ms);
                fault.failures = fault.failures.max(report.failures);
                self.is_drawn = false;
            }
            return FaultChange::None;
        }
        if at_ms + avoidance_ms(report.failures) <= now_ms {
            return FaultChange::None;
        }
        if !may_avoid() {
            return FaultChange::Ignored;
        }
        let known = self.fault.take();
        let mut others = known.map(|k| k.others).unwrap_or_default();
        others.retain(|other| other == sender);
        if let Some((first, _)) = take(&mut self.uncertain).filter(|(first, _)| first != sender) {
            others.push(first);
        }
        let mut fault = Fault {
            kind: report.kind,
            at_ms,
            failures: report.failures,
            is_own: false,
            others,
        };
        fault.add_witness(sender);
        self.fault = Some(fault);
        self.is_drawn = false;
        FaultChange::Avoided
    }

    fn apply_answer(
        &mut self,
        sender: &Name,
        at_ms: Millisecond,
        now_ms: Millisecond,
    ) -> FaultChange {
        self.answered_ms = self.answered_ms.max(at_ms);
        let Some(fault) = self.fault.take_if(|fault| fault.at_ms < at_ms) else {
            return FaultChange::None;
        };
        self.is_drawn = false;
        self.answered_by = Some((sender.clone(), now_ms));
        self.note_refuted(&fault, now_ms);
        FaultChange::Returned { kind: fault.kind }
    }

    /// Drops what this node has observed itself, as it had lost its paths to all servers.
    pub fn drop_own(&mut self) {
        self.own = None;
        if self.fault.as_ref().is_some_and(|f| f.others.is_empty()) {
            self.fault = None;
        }
    }

    /// What this node reports of the server: kind, age and failures. `last_byte_ms` is when the
    /// server last sent it a byte.
    pub fn report(
        &self,
        last_byte_ms: Millisecond,
        now_ms: Millisecond,
    ) -> Option<(FaultKind, Millisecond, u32)> {
        let own = self.own?;
        if now_ms.saturating_sub(own.at_ms) >= EVIDENCE_LIMIT_MS {
            return None;
        }
        let at_ms = match own.kind {
            FaultKind::Answered => own.at_ms.max(last_byte_ms),
            _ => own.at_ms,
        };
        Some((own.kind, now_ms.saturating_sub(at_ms), own.failures))
    }

    /// Whether pulses report this node's observation now.
    pub fn is_fresh(&self, now_ms: Millisecond) -> bool {
        let told = self.fault.as_ref().map_or(0, |fault| fault.others.len());
        let is_news = |own: &Observation| {
            let is_recent = now_ms.saturating_sub(own.at_ms) < FRESH_MS;
            let is_known =
                own.kind != FaultKind::Answered && !own.is_trial && told >= ENOUGH_WITNESSES;
            own.in_pulses && is_recent && !is_known
        };
        self.own.as_ref().is_some_and(is_news)
    }

    /// Whether nothing is known that may still count.
    pub fn is_over(&self, now_ms: Millisecond) -> bool {
        let is_old = |at_ms: Millisecond| now_ms.saturating_sub(at_ms) > EVIDENCE_LIMIT_MS;
        self.fault.as_ref().is_none_or(|fault| is_old(fault.at_ms))
            && self.own.as_ref().is_none_or(|own| is_old(own.at_ms))
            && self
                .uncertain
                .as_ref()
                .is_none_or(|(_, at_ms)| is_old(*at_ms))
    }
}
