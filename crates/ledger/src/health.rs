//! Decides whether the store is asked at all, so that an outage is answered at once.

use base::backoff::Backoff;
use base::units::Millisecond;
use rand::Rng;

/// Failures in a row after which the store counts as down.
pub const FAILURE_LIMIT: u32 = 3;

/// Bounds of the delay between probes of a store that is down.
pub const PROBE_BACKOFF: Backoff = Backoff {
    base_ms: 200,
    cap_ms: 8_000,
};

/// What is believed of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It answers; this many failures came in a row.
    Up {
        /// Failures since the last answer.
        failures: u32,
    },
    /// It does not; calls are refused without asking it.
    Down {
        /// Probes that failed.
        failed_probes: u32,
    },
}

/// What an operation or a probe showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The store answered, be it with a conflict.
    Answer,
    /// It refused, or the connection could not be opened or broke.
    Failure,
    /// It gave no answer in time.
    Silence,
    /// A probe failed.
    FailedProbe,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Nothing.
    Wait,
    /// Probe the store after a delay.
    ProbeAfter {
        /// The delay.
        delay_ms: Millisecond,
    },
}

/// The store at start.
pub const INITIAL_HEALTH: Health = Health::Up { failures: 0 };

/// Next belief and action.
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
