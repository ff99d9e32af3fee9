//! Metrics of the daemon, in the Prometheus text format.

use std::sync::Mutex;
use std::sync::PoisonError;

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::front::ErrorCode;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabel {
    code: String,
}

/// The metrics and their registry.
pub struct Metrics {
    registry: Mutex<Registry>,
    admitted: Counter,
    refused: Family<CodeLabel, Counter>,
    in_flight: Gauge,
    records: Gauge,
    config_version: Gauge,
}

/// Gauge values that are sampled when the metrics are read.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Requests in flight.
    pub in_flight: u64,
    /// Records of model requests in the store.
    pub records: usize,
    /// Version of the configuration in force.
    pub config_version: u64,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn open() -> Self {
        let metrics = Self {
            registry: Mutex::default(),
            admitted: Counter::default(),
            refused: Family::default(),
            in_flight: Gauge::default(),
            records: Gauge::default(),
            config_version: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let mut registry = self.lock();
        let name = "apricotledge_requests_admitted";
        registry.register(
            name,
            "Requests that passed admission",
            self.admitted.clone(),
        );
        let name = "apricotledge_errors";
        registry.register(
            name,
            "Errors given to callers, by code",
            self.refused.clone(),
        );
        let name = "apricotledge_requests_in_flight";
        registry.register(name, "Requests in flight or queued", self.in_flight.clone());
        let name = "apricotledge_records";
        registry.register(name, "Records of model requests held", self.records.clone());
        let name = "apricotledge_config_version";
        registry.register(
            name,
            "Configuration version in force",
            self.config_version.clone(),
        );
    }

    /// Counts an admitted request.
    pub fn admitted(&self) {
        self.admitted.inc();
    }

    /// Counts an error returned to a caller.
    pub fn refused(&self, code: ErrorCode) {
        let label = CodeLabel {
            code: code.name().to_owned(),
        };
        self.refused.get_or_create(&label).inc();
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn to_text(&self, sample: Sample) -> String {
        self.in_flight.set(sample.in_flight as i64);
        self.records.set(sample.records as i64);
        self.config_version.set(sample.config_version as i64);
        let mut out = String::new();
        // Writing into a string cannot fail.
        let _ = text::encode(&mut out, &self.lock());
        out
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
