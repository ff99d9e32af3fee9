//! Circuit breaker of the store: during an outage, calls are refused without waiting for the store.

use base::backoff::Backoff;
use base::units::Millisecond;
use rand::Rng;

/// Consecutive failures after which the store counts as down.
pub const FAILURE_LIMIT: u32 = 3;

/// Backoff between probes of a store that is down.
pub const PROBE_BACKOFF: Backoff = Backoff {
    base_ms: 200,
    cap_ms: 8_000,
};

/// Health of the store as known to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The store responds, or has failed fewer than [`FAILURE_LIMIT`] times in a row.
    Up {
        /// Failures since the last response.
        failures: u32,
    },
    /// The store does not respond; calls are refused without a request to it.
    Down {
        /// Probes that failed since the store went down.
        failed_probes: u32,
    },
}

/// Result of an operation or of a probe, as far as it tells about the health of the store.
///
/// The lower-case name of the variant is the field `seen` of the event `ledger.store_down`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The store responded; a write conflict counts as a response.
    Answer,
    /// The store rejected the operation, or the connection could not be opened or broke.
    Failure,
    /// The operation timed out. A single timeout marks the store as down.
    Silence,
    FailedProbe,
}

/// Action that follows an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// No action.
    Wait,
    /// Probe the store after a delay.
    ProbeAfter { delay_ms: Millisecond },
}

pub const INITIAL_HEALTH: Health = Health::Up { failures: 0 };

/// Returns the health after an observation, and the action to take.
pub fn step(health: Health, observation: Observation, rng: &mut impl Rng) -> (Health, Action) {
    match (health, observation) {
        (_, Observation::Answer) => (INITIAL_HEALTH, Action::Wait),
        (Health::Up { failures }, Observation::Failure) if failures + 1 < FAILURE_LIMIT => {
            let failures = failures + 1;
            (Health::Up { failures }, Action::Wait)
        }
        (Health::Up { .. }, _) => probe(0, rng),
        (Health::Down { failed_probes }, Observation::FailedProbe) => probe(failed_probes + 1, rng),
        (Health::Down { .. }, _) => (health, Action::Wait),
    }
}

fn probe(failed_probes: u32, rng: &mut impl Rng) -> (Health, Action) {
    let delay_ms = PROBE_BACKOFF.delay_ms(failed_probes, rng);
    (
        Health::Down { failed_probes },
        Action::ProbeAfter { delay_ms },
    )
}
