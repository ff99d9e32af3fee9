//! Counters and histograms of a process, and gauges of its current state.

use std::fmt::Write;
use std::sync::atomic::AtomicU64;

use base::Map;
use base::units::Millisecond;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use crate::backend::answer_summary::AnswerSummary;
use crate::backend::domains::LeftDomain;
use crate::backend::{gate, server_faults};
use crate::belief::RouteKind;
use crate::decide::backpressure::WithholdReason;
use crate::decide::event_order::EventFault;
use crate::decide::numbering::PassReason;
use crate::decide::outcome::FailureCause;
use crate::decide::server_faults::FaultKind;
use crate::decide::server_load::LoadReport;
use crate::decide::signal::{Reading, Signals};
use crate::node::Node;
use crate::rollout;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestOutcome {
    /// The whole answer of a server was relayed.
    Passed,
    /// The gateway replied itself.
    LocalReply,
    /// Only part of a server's answer was relayed.
    BrokenOff,
    /// The caller disconnected.
    CallerGone,
    /// The task of the request panicked.
    Panicked,
}

impl RequestOutcome {
    /// Value in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Passed => "passed",
            Self::LocalReply => "own",
            Self::BrokenOff => "broken_off",
            Self::CallerGone => "caller_gone",
            Self::Panicked => "panicked",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FailureLabels {
    status: u16,
    mark: &'static str,
    naming: &'static str,
    connection: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SignalLabels {
    signal: &'static str,
    reading: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DependencyLabels {
    dependency: &'static str,
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FaultLabels {
    kind: &'static str,
    outcome: &'static str,
}

type Waits = Family<ReasonLabels, Histogram, fn() -> Histogram>;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

type Ratios = Family<ServiceLabels, Histogram, fn() -> Histogram>;

type Durations = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// Metrics of a process.
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    request_panics: Counter,
    durations_s: Durations,
    refusals: Family<ReasonLabels, Counter>,
    failed_attempts: Family<ReasonLabels, Counter>,
    rejected_events: Family<ReasonLabels, Counter>,
    passed_gaps: Family<ReasonLabels, Counter>,
    server_failures: Family<FailureLabels, Counter>,
    calls: Family<DependencyLabels, Counter>,
    signals: Family<SignalLabels, Counter>,
    withheld: Family<ReasonLabels, Counter>,
    fault_reports: Family<FaultLabels, Counter>,
    waits_s: Waits,
    left_domain: Family<ReasonLabels, Counter>,
    left_domain_bytes: Counter,
    avoided_wait_ms: Counter<f64, AtomicU64>,
    first_byte_ratios: Ratios,
}

impl Metrics {
    /// Registers all metrics, starting at zero.
    pub fn register() -> Self {
        let mut registry = Registry::with_prefix("apricotledge");
        let requests = Family::default();
        let request_panics = Counter::default();
        let durations_s: Durations = Family::new_with_constructor(duration_histogram);
        let refusals = Family::default();
        let failed_attempts = Family::default();
        let rejected_events = Family::default();
        registry.register(
            "rejected_events",
            "Events of streams that were not relayed, by reason",
            rejected_events.clone(),
        );
        let passed_gaps = Family::default();
        registry.register(
            "passed_gaps",
            "Gaps between the identifiers of events that were passed on, of services whose \
             identifiers were consecutive, by reason",
            passed_gaps.clone(),
        );
        let server_failures = Family::default();
        let calls = Family::default();
        let signals = Family::default();
        let withheld = Family::default();
        let fault_reports = Family::default();
        let waits_s: Waits = Family::new_with_constructor(duration_histogram);
        registry.register(
            "queue_seconds",
            "Waits for a server by how they ended",
            waits_s.clone(),
        );
        let left_domain = Family::default();
        let left_domain_bytes = Counter::default();
        let avoided_wait_ms = Counter::<f64, AtomicU64>::default();
        let first_byte_ratios: Ratios = Family::new_with_constructor(ratio_histogram);
        registry.register(
            "first_byte_ratio",
            "Real over predicted time to the first byte",
            first_byte_ratios.clone(),
        );
        registry.register("requests", "Requests that ended", requests.clone());
        registry.register(
            "request_panics",
            "Requests whose task panicked",
            request_panics.clone(),
        );
        registry.register("request_seconds", "Time to the end", durations_s.clone());
        registry.register("refusals", "Requests refused here", refusals.clone());
        registry.register(
            "failed_attempts",
            "Sends that failed",
            failed_attempts.clone(),
        );
        registry.register(
            "server_failures",
            "Answers of backend servers with a status of 400 or more",
            server_failures.clone(),
        );
        registry.register("platform_calls", "Calls to the platform", calls.clone());
        registry.register(
            "server_signals",
            "Answers in which a backend server says something of itself",
            signals.clone(),
        );
        registry.register(
            "servers_withheld",
            "Times that a choice of servers met one which does not want a request now",
            withheld.clone(),
        );
        registry.register(
            "fault_reports",
            "Reports of other nodes on backend servers, repeated ones left out",
            fault_reports.clone(),
        );
        registry.register(
            "left_domain",
            "Requests sent to servers in other failure domains",
            left_domain.clone(),
        );
        registry.register(
            "left_domain_bytes",
            "Bytes of the bodies sent to servers in other failure domains",
            left_domain_bytes.clone(),
        );
        registry.register(
            "left_domain_avoided_wait_ms",
            "Predicted wait that callers were spared by leaving the failure domain",
            avoided_wait_ms.clone(),
        );
        Self {
            registry,
            requests,
            request_panics,
            durations_s,
            refusals,
            failed_attempts,
            rejected_events,
            passed_gaps,
            server_failures,
            calls,
            signals,
            withheld,
            fault_reports,
            waits_s,
            left_domain,
            left_domain_bytes,
            avoided_wait_ms,
            first_byte_ratios,
        }
    }

    /// Counts a request that has ended.
    pub fn count_request(&self, kind: RouteKind, outcome: RequestOutcome, took_ms: Millisecond) {
        let labels = RequestLabels {
            kind: kind.label(),
            outcome: outcome.label(),
        };
        self.requests.get_or_create(&labels).inc();
        let took_s = took_ms as f64 / 1_000.0;
        self.durations_s.get_or_create(&labels).observe(took_s);
    }

    /// Counts a request whose task panicked.
    pub fn count_request_panic(&self) {
        self.request_panics.inc();
    }

    /// Counts a request that this node refused.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a failed attempt.
    pub fn count_failed_attempt(&self, cause: FailureCause) {
        let reason = cause.label();
        self.failed_attempts
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts an event of a stream that was not relayed.
    pub fn count_rejected_event(&self, fault: EventFault) {
        let reason = fault.label();
        self.rejected_events
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a gap between the identifiers of two events that were relayed.
    pub fn count_passed_gap(&self, reason: PassReason) {
        let reason = reason.label();
        self.passed_gaps
            .get_or_create(&ReasonLabels { reason })
            .inc();
    }

    /// Counts a backend server's answer with an error status.
    pub fn count_server_failure(&self, summary: &AnswerSummary) {
        let labels = FailureLabels {
            status: summary.status,
            mark: summary.mark.label(),
            naming: summary.naming.label(),
            connection: summary.connection.label(),
        };
        self.server_failures.get_or_create(&labels).inc();
    }

    /// Counts the backpressure signals in one answer.
    pub fn count_signals(&self, signals: &Signals) {
        let readings = [
            ("leaving", signals.leaving.label()),
            ("limit", signals.limit_per_s.label()),
            ("hold_off", signals.hold_off_ms.label()),
            ("brittle", signals.refusals_per_s.label()),
        ];
        for (signal, reading) in readings {
            let Some(reading) = reading else {
                continue;
            };
            let labels = SignalLabels { signal, reading };
            self.signals.get_or_create(&labels).inc();
        }
    }

    /// Records a real time to first byte as a multiple of the predicted one.
    pub fn observe_first_byte(&self, service: &str, ratio: f64) {
        let service = service.to_owned();
        let labels = ServiceLabels { service };
        self.first_byte_ratios.get_or_create(&labels).observe(ratio);
    }

    /// Counts the load report in one answer.
    pub fn count_load_report(&self, report: &Reading<LoadReport>) {
        let Some(reading) = report.label() else {
            return;
        };
        let signal = "load";
        let labels = SignalLabels { signal, reading };
        self.signals.get_or_create(&labels).inc();
    }

    /// Counts a server that was passed over because of its backpressure.
    pub fn count_withheld(&self, reason: WithholdReason) {
        let reason = reason.label();
        self.withheld.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts another node's report of a fault of a backend server.
    pub fn count_fault_report(&self, kind: FaultKind, outcome: &'static str) {
        let kind = kind.label();
        let labels = FaultLabels { kind, outcome };
        self.fault_reports.get_or_create(&labels).inc();
    }

    /// Counts a request that has waited for a server.
    pub fn count_wait(&self, reason: &'static str, waited_ms: Millisecond) {
        let waited_s = waited_ms as f64 / 1_000.0;
        let labels = ReasonLabels { reason };
        self.waits_s.get_or_create(&labels).observe(waited_s);
    }

    /// Counts a request with `body_bytes` that is sent to another failure domain.
    pub fn count_left_domain(&self, left: &LeftDomain, body_bytes: usize) {
        let labels = ReasonLabels {
            reason: left.reason,
        };
        self.left_domain.get_or_create(&labels).inc();
        self.left_domain_bytes.inc_by(body_bytes as u64);
        self.avoided_wait_ms.inc_by(left.avoided_ms);
    }

    pub fn count_platform_call(&self, dependency: &'static str, outcome: &'static str) {
        let labels = DependencyLabels {
            dependency,
            outcome,
        };
        self.calls.get_or_create(&labels).inc();
    }

    /// All metrics in the Prometheus text format, with gauges of the node's current state.
    pub fn text(&self, node: &Node) -> String {
        let mut text = String::new();
        for (name, value) in gauges(node) {
            let _ = writeln!(text, "# TYPE apricotledge_{name} gauge");
            let _ = writeln!(text, "apricotledge_{name} {value}");
        }
        for (server, per_s, sends) in gate::limited_servers(node) {
            let _ = writeln!(
                text,
                "apricotledge_server_limit_per_second{{server=\"{server}\"}} {per_s}\n\
                 apricotledge_server_limited_sends{{server=\"{server}\"}} {sends}"
            );
        }
        rollout::gauges::write(node, &mut text);
        // Writing to a string does not fail.
        let _ = prometheus_client::encoding::text::encode(&mut text, &self.registry);
        text
    }
}

/// Buckets around the bounds that predictions must keep: 25% and a factor of 2.
fn ratio_histogram() -> Histogram {
    Histogram::new([0.25, 0.5, 0.67, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 4.0, 8.0])
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}

fn gauges(node: &Node) -> Map<&'static str, f64> {
    let now_ms = node.now_ms();
    let age_s = |at_ms: Millisecond| now_ms.saturating_sub(at_ms) as f64 / 1_000.0;
    let directory = node.directory();
    let mut gauges = Map::default();
    gauges.insert(
        "directory_version",
        directory.map_or(0.0, |d| d.version as f64),
    );
    gauges.insert(
        "directory_age_seconds",
        age_s(node.directory_since_ms.get()),
    );
    gauges.insert(
        "registry_age_seconds",
        age_s(node.registry_confirmed_ms.get()),
    );
    let behind_s = |behind_ms: Option<Millisecond>| behind_ms.unwrap_or(0) as f64 / 1_000.0;
    gauges.insert(
        "directory_behind_seconds",
        behind_s(node.directory_behind_ms()),
    );
    gauges.insert(
        "registry_behind_seconds",
        behind_s(node.registry_behind_ms()),
    );
    gauges.insert("store_silence_seconds", age_s(node.store_ok_ms.get()));
    gauges.insert("peers", (node.node_count() - 1) as f64);
    gauges.insert("held_bytes", node.body_memory.bytes() as f64);
    let withheld = gate::count_withheld(node, node.registry.borrow().servers());
    gauges.insert("servers_leaving", f64::from(withheld.leaving));
    gauges.insert("servers_held_off", f64::from(withheld.held_off));
    gauges.insert("servers_limited", f64::from(withheld.limited));
    let faulty = server_faults::avoided_count(node);
    gauges.insert("servers_avoided_on_reports", faulty as f64);
    gauges.insert("requests_in_flight", f64::from(node.in_flight.get()));
    let waiting: usize = node.queues.lengths().iter().map(|(_, len)| len).sum();
    gauges.insert("requests_waiting", waiting as f64);
    gauges.insert("caller_connections", f64::from(node.callers.get()));
    gauges
}
