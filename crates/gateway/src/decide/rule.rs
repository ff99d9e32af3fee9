//! By which rule a server is chosen among those that have room.

use base::units::Millisecond;
use serde::Deserialize;

use super::placement::{Candidate, Choice, Demand, PrefixHome, Timeliness, eligible, predict};
use super::timeouts::NoServer;

/// A rule of choice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The least predicted time to the first byte.
    #[default]
    Predicted,
    /// A baseline: the fewest requests of all nodes, as last heard.
    LeastOutstanding,
    /// A baseline: the fewest requests of this node.
    LeastOwn,
    /// A baseline: one after the other.
    RoundRobin,
    /// A baseline: any.
    Random,
    /// A baseline: the home of the prompt's shared parts, and any other if it is full.
    PrefixHash,
}

impl Rule {
    /// Its name in settings and tables.
    pub fn label(self) -> &'static str {
        match self {
            Self::Predicted => "predicted",
            Self::LeastOutstanding => "least_outstanding",
            Self::LeastOwn => "least_own",
            Self::RoundRobin => "round_robin",
            Self::Random => "random",
            Self::PrefixHash => "prefix_hash",
        }
    }
}

/// What the baselines take from the node that chooses.
#[derive(Clone, Copy, Debug, Default)]
pub struct BaselineInputs {
    /// A number drawn evenly from 0 to 1.
    pub drawn: f64,
    /// Choices that the node made before.
    pub turn: u64,
}

/// Until when a request's first byte may come.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// Time that is left.
    pub left_ms: Millisecond,
    /// Longest time that the work of others may take before it; `None` without a limit.
    pub wait_ms: Option<Millisecond>,
}

/// Chooses a server that keeps a request's limits.
///
/// # Errors
///
/// No server is to have the request.
pub fn choose_in_time(
    rule: Rule,
    demand: &Demand,
    candidates: &[Candidate],
    chance: BaselineInputs,
    limits: TimeLimits,
) -> Result<Choice, NoServer> {
    if candidates.is_empty() {
        return Err(NoServer::None);
    }
    let choice = choose(rule, demand, candidates, chance).ok_or(NoServer::Full)?;
    if choice.timeliness(limits.left_ms) == Timeliness::TooLate {
        return Err(match choice.opens_in_ms {
            0 => NoServer::TooLate,
            opens_in_ms => NoServer::Closed { opens_in_ms },
        });
    }
    if limits.wait_ms.is_some_and(|ms| choice.wait_ms > ms) {
        let speed = &candidates[choice.index].speed;
        let reading_ms = speed.reading_ms(choice.tokens_to_read) as Millisecond;
        return Err(NoServer::Busy { reading_ms });
    }
    Ok(choice)
}

/// Chooses a server; `None` when all are full.
pub fn choose(
    rule: Rule,
    demand: &Demand,
    candidates: &[Candidate],
    chance: BaselineInputs,
) -> Option<Choice> {
    let eligible = eligible(demand, candidates);
    if eligible.is_empty() {
        return None;
    }
    let any = || eligible[(chance.drawn * eligible.len() as f64) as usize % eligible.len()];
    let least = |of: &dyn Fn(&Candidate) -> u32| {
        let index = eligible.iter().min_by_key(|index| of(&candidates[**index]));
        index.copied()
    };
    let index = match rule {
        Rule::Predicted => return cheapest(demand, candidates, &eligible),
        Rule::LeastOutstanding => least(&|c| c.load.running)?,
        Rule::LeastOwn => least(&|c| c.own_running)?,
        Rule::RoundRobin => eligible[chance.turn as usize % eligible.len()],
        Rule::Random => any(),
        Rule::PrefixHash => {
            let home = |index: &&usize| candidates[**index].home == PrefixHome::ThisServer;
            eligible.iter().find(home).copied().unwrap_or_else(any)
        }
    };
    Some(predict(demand, candidates, index).1)
}

fn cheapest(demand: &Demand, candidates: &[Candidate], eligible: &[usize]) -> Option<Choice> {
    let predicted = eligible
        .iter()
        .map(|index| predict(demand, candidates, *index));
    let least = predicted.min_by(|(a_ms, _), (b_ms, _)| a_ms.total_cmp(b_ms));
    least.map(|(_, choice)| choice)
}
