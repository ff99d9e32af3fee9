//! A run that mixes all faults at random from a seed, under load, and its verdict.

mod inject;
mod load;
mod operators;

pub use inject::FaultInjected;

use std::collections::BTreeMap;
use std::fmt;
use std::path::PathBuf;
use std::time::Duration;

use base::units::Millisecond;
use tokio::sync::watch;

use crate::check::{self, Counts, Violation};
use crate::deployment::{Deployment, Plan};
use inject::Injector;

/// Time that a leaving entry VM has in the run.
const DRAIN_DEADLINE_MS: Millisecond = 1_500;

/// Size and duration of a run.
#[derive(Clone, Copy, Debug)]
pub struct MixedPlan {
    /// Seed of faults and requests.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration_ms: Millisecond,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Events of the run.
    pub counts: Counts,
    /// How often each fault was injected.
    pub faults: BTreeMap<FaultInjected, u32>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
    /// Directory of the logs of a run that broke a promise.
    pub logs: Option<PathBuf>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {:?}", self.seed, self.counts)?;
        let injected: u32 = self.faults.values().sum();
        writeln!(f, "{injected} faults: {:?}", self.faults)?;
        for violation in &self.violations {
            writeln!(f, "broken: {violation}")?;
        }
        if let Some(logs) = &self.logs {
            writeln!(f, "logs kept in {}", logs.display())?;
        }
        write!(f, "{} violations", self.violations.len())
    }
}

/// Whether the load generators go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Running,
    Ending,
}

/// Runs load and faults for the given time, lets everything heal, and checks the history.
///
/// # Panics
///
/// Panics if the deployment does not start, or load does not end after the healing.
pub async fn run(plan: MixedPlan) -> Report {
    let mut deployment = Deployment::open(Plan {
        entries: 4,
        engines: 4,
        desks: 2,
        decode_tokens_per_s: 200,
        timeouts: format!("drain_deadline_ms = {DRAIN_DEADLINE_MS}"),
    })
    .await;
    let (stage, seen) = watch::channel(Stage::Running);
    let load = load::spawn(&deployment, plan.seed, seen.clone());
    let operators = operators::spawn(&deployment, seen);
    let mut injector = Injector::seeded(plan.seed);
    let duration = Duration::from_millis(plan.duration_ms);
    injector.run(&mut deployment, duration).await;
    stage.send_replace(Stage::Ending);
    injector.heal(&mut deployment).await;
    crate::guard::within("the load to end", load.join_all()).await;
    crate::guard::within("the operators to end", operators.join_all()).await;
    operators::record_history(&deployment).await;
    let events = deployment.history();
    let violations = check::all(&events);
    let logs = match violations.is_empty() {
        true => {
            deployment.close().await;
            None
        }
        false => {
            let mut run = injector.log().to_vec();
            run.extend(events.iter().map(|event| format!("{event:?}")));
            Some(deployment.close_with_logs(&run).await)
        }
    };
    Report {
        seed: plan.seed,
        counts: Counts::of(&events),
        faults: injector.counts(),
        violations,
        logs,
    }
}
