//! Placement of models and adapters on runners.

use base::units::ByteCount;
use base::{Map, Name};

/// Memory and capacity that a model or adapter needs.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelNeed {
    pub model: Name,
    pub size_bytes: ByteCount,
    /// Capacity needed, in the unit of [`Runner::capacity_per_s`].
    pub demand_per_s: f64,
}

/// A runner that can load models.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    pub server: Name,
    pub failure_domain: Name,
    /// Capacity of the runner; its loaded models share it evenly.
    pub capacity_per_s: f64,
    pub memory_bytes: ByteCount,
    /// Models that are loaded or being loaded.
    pub loaded: Vec<Name>,
}

/// A model to load on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    pub server: Name,
    pub model: Name,
}

/// Failure domains that should have a copy of each model, if the fleet has as many.
const MIN_DOMAINS: usize = 2;

struct PlannedRunner<'a> {
    runner: &'a Runner,
    loaded: Vec<Name>,
    free_bytes: ByteCount,
}

impl PlannedRunner<'_> {
    fn has(&self, model: &Name) -> bool {
        self.loaded.contains(model)
    }

    fn share_per_s(&self) -> f64 {
        self.runner.capacity_per_s / self.loaded.len().max(1) as f64
    }
}

/// Returns the loads to start now, the most urgent first. `max_loads` bounds them because the
/// weight store is rate-limited. No model is unloaded.
pub fn plan_loads(needs: &[ModelNeed], runners: &[Runner], max_loads: usize) -> Vec<LoadPlan> {
    let sizes: Map<&Name, ByteCount> = needs.iter().map(|n| (&n.model, n.size_bytes)).collect();
    let mut planned: Vec<PlannedRunner> =
        runners.iter().map(|r| planned_runner(r, &sizes)).collect();
    let mut plans = Vec::new();
    while plans.len() < max_loads {
        let Some((need, target)) = most_urgent(needs, &planned) else {
            break;
        };
        planned[target].free_bytes -= need.size_bytes;
        planned[target].loaded.push(need.model.clone());
        plans.push(LoadPlan {
            server: planned[target].runner.server.clone(),
            model: need.model.clone(),
        });
    }
    plans
}

fn planned_runner<'a>(runner: &'a Runner, sizes: &Map<&Name, ByteCount>) -> PlannedRunner<'a> {
    let size_of = |model: &Name| sizes.get(model).copied().unwrap_or(0);
    let used_bytes: ByteCount = runner.loaded.iter().map(size_of).sum();
    PlannedRunner {
        runner,
        loaded: runner.loaded.clone(),
        free_bytes: runner.memory_bytes.saturating_sub(used_bytes),
    }
}

/// Returns the model with the lowest coverage of its demand, and the runner to load it on.
fn most_urgent<'a>(
    needs: &'a [ModelNeed],
    planned: &[PlannedRunner],
) -> Option<(&'a ModelNeed, usize)> {
    let mut urgent: Option<(f64, &ModelNeed, usize)> = None;
    for need in needs {
        if need.demand_per_s <= 0.0 {
            continue;
        }
        let covered = coverage(need, planned);
        if covered >= 1.0 {
            continue;
        }
        if urgent.is_some_and(|(lowest, _, _)| lowest <= covered) {
            continue;
        }
        let Some(target) = best_runner(need, planned) else {
            continue;
        };
        urgent = Some((covered, need, target));
    }
    urgent.map(|(_, need, target)| (need, target))
}

/// Fraction of the demand that is covered. It stays below one while fewer than [`MIN_DOMAINS`]
/// failure domains have the model.
fn coverage(need: &ModelNeed, planned: &[PlannedRunner]) -> f64 {
    let mut domains: Vec<&Name> = Vec::new();
    let mut capacity_per_s = 0.0;
    for candidate in planned {
        if !candidate.has(&need.model) {
            continue;
        }
        capacity_per_s += candidate.share_per_s();
        if !domains.contains(&&candidate.runner.failure_domain) {
            domains.push(&candidate.runner.failure_domain);
        }
    }
    let covered = capacity_per_s / need.demand_per_s;
    match domains.len() {
        spread if spread >= MIN_DOMAINS => covered,
        spread => covered.min(spread as f64 / MIN_DOMAINS as f64),
    }
}

/// Returns a runner with enough memory, in the failure domain with the fewest copies of the model;
/// ties go to the runner with the fewest models, then to the one with the highest capacity.
fn best_runner(need: &ModelNeed, planned: &[PlannedRunner]) -> Option<usize> {
    let copies_in = |domain: &Name| {
        let here = |s: &&PlannedRunner| s.runner.failure_domain == *domain && s.has(&need.model);
        planned.iter().filter(here).count()
    };
    let fits =
        |i: &usize| !planned[*i].has(&need.model) && planned[*i].free_bytes >= need.size_bytes;
    (0..planned.len()).filter(fits).min_by(|a, b| {
        let (a, b) = (&planned[*a], &planned[*b]);
        copies_in(&a.runner.failure_domain)
            .cmp(&copies_in(&b.runner.failure_domain))
            .then_with(|| a.loaded.len().cmp(&b.loaded.len()))
            .then_with(|| b.runner.capacity_per_s.total_cmp(&a.runner.capacity_per_s))
            .then_with(|| a.runner.server.cmp(&b.runner.server))
    })
}
