//! Which models and adapters to load on which runners.

use base::units::ByteCount;
use base::{Map, Name};

/// What a model or adapter needs.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelNeed {
    /// The model.
    pub model: Name,
    /// Memory that it takes.
    pub size_bytes: ByteCount,
    /// Capacity wanted, in the unit of [`Runner::capacity_per_s`].
    pub demand_per_s: f64,
}

/// A runner that can be given models.
#[derive(Clone, Debug, PartialEq)]
pub struct Runner {
    /// Its VM.
    pub server: Name,
    /// Where it stands.
    pub failure_domain: Name,
    /// Capacity, shared evenly by the models it has loaded.
    pub capacity_per_s: f64,
    /// Memory for models.
    pub memory_bytes: ByteCount,
    /// Models loaded or loading.
    pub loaded: Vec<Name>,
}

/// A model to be loaded on a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadPlan {
    /// The runner.
    pub server: Name,
    /// The model.
    pub model: Name,
}

/// Copies of a model in at least this many failure domains, where there are as many.
const MIN_DOMAINS: usize = 2;

struct Slot<'a> {
    runner: &'a Runner,
    loaded: Vec<Name>,
    free_bytes: ByteCount,
}

impl Slot<'_> {
    fn has(&self, model: &Name) -> bool {
        self.loaded.contains(model)
    }

    fn part_per_s(&self) -> f64 {
        self.runner.capacity_per_s / self.loaded.len().max(1) as f64
    }
}

/// The loads to start now, the most needed first, at most `max_loads` of them because the weight
/// store is rate-limited. Nothing is unloaded.
pub fn plan_loads(needs: &[ModelNeed], runners: &[Runner], max_loads: usize) -> Vec<LoadPlan> {
    let sizes: Map<&Name, ByteCount> = needs.iter().map(|n| (&n.model, n.size_bytes)).collect();
    let mut slots: Vec<Slot> = runners.iter().map(|r| slot_of(r, &sizes)).collect();
    let mut plans = Vec::new();
    while plans.len() < max_loads {
        let Some((need, to)) = most_urgent(needs, &slots) else {
            break;
        };
        slots[to].free_bytes -= need.size_bytes;
        slots[to].loaded.push(need.model.clone());
        plans.push(LoadPlan {
            server: slots[to].runner.server.clone(),
            model: need.model.clone(),
        });
    }
    plans
}

fn slot_of<'a>(runner: &'a Runner, sizes: &Map<&Name, ByteCount>) -> Slot<'a> {
    let size_of = |model: &Name| sizes.get(model).copied().unwrap_or(0);
    let used_bytes: ByteCount = runner.loaded.iter().map(size_of).sum();
    Slot {
        runner,
        loaded: runner.loaded.clone(),
        free_bytes: runner.memory_bytes.saturating_sub(used_bytes),
    }
}

/// The model served worst for its demand, with the runner to load it on.
fn most_urgent<'a>(needs: &'a [ModelNeed], slots: &[Slot]) -> Option<(&'a ModelNeed, usize)> {
    let mut urgent: Option<(f64, &ModelNeed, usize)> = None;
    for need in needs {
        if need.demand_per_s <= 0.0 {
            continue;
        }
        let covered = coverage(need, slots);
        if covered >= 1.0 {
            continue;
        }
        if urgent.is_some_and(|(lowest, _, _)| lowest <= covered) {
            continue;
        }
        let Some(to) = best_runner(need, slots) else {
            continue;
        };
        urgent = Some((covered, need, to));
    }
    urgent.map(|(_, need, to)| (need, to))
}

/// Part of the demand that is covered; below one while too few failure domains have the model.
fn coverage(need: &ModelNeed, slots: &[Slot]) -> f64 {
    let mut domains: Vec<&Name> = Vec::new();
    let mut capacity_per_s = 0.0;
    for slot in slots {
        if !slot.has(&need.model) {
            continue;
        }
        capacity_per_s += slot.part_per_s();
        if !domains.contains(&&slot.runner.failure_domain) {
            domains.push(&slot.runner.failure_domain);
        }
    }
    let covered = capacity_per_s / need.demand_per_s;
    match domains.len() {
        spread if spread >= MIN_DOMAINS => covered,
        spread => covered.min(spread as f64 / MIN_DOMAINS as f64),
    }
}

/// The runner with room, fewest models, and in the failure domain with the fewest copies.
fn best_runner(need: &ModelNeed, slots: &[Slot]) -> Option<usize> {
    let copies_in = |domain: &Name| {
        let here = |s: &&Slot| s.runner.failure_domain == *domain && s.has(&need.model);
        slots.iter().filter(here).count()
    };
    let fits = |i: &usize| !slots[*i].has(&need.model) && slots[*i].free_bytes >= need.size_bytes;
    (0..slots.len()).filter(fits).min_by(|a, b| {
        let (a, b) = (&slots[*a], &slots[*b]);
        copies_in(&a.runner.failure_domain)
            .cmp(&copies_in(&b.runner.failure_domain))
            .then_with(|| a.loaded.len().cmp(&b.loaded.len()))
            .then_with(|| b.runner.capacity_per_s.total_cmp(&a.runner.capacity_per_s))
            .then_with(|| a.runner.server.cmp(&b.runner.server))
    })
}
