//! Rules by which a server is chosen among those that have room.

use base::units::Millisecond;
use serde::Deserialize;

use super::placement::{Candidate, Choice, Demand, PrefixHome, Timeliness, eligible, predict};
use super::timeouts::NoServer;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The shortest predicted time to first byte.
    #[default]
    Predicted,
    /// Baseline: the fewest requests of all nodes, as last reported.
    LeastOutstanding,
    /// Baseline: the fewest requests of this node.
    LeastOwn,
    /// Baseline: each server in turn.
    RoundRobin,
    /// Baseline: a random server.
    Random,
    /// Baseline: the home of the prompt's shared prefix, or a random server if the home is full.
    PrefixHash,
}

impl Rule {
    /// Name in settings and tables.
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

/// Values of the choosing node that the baselines use.
#[derive(Clone, Copy, Debug, Default)]
pub struct BaselineInputs {
    /// Random number, uniformly drawn from 0 to 1.
    pub drawn: f64,
    /// Number of choices that the node has made before.
    pub turn: u64,
}

/// Time limits for the first byte of an answer.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// Time left until the request's deadline.
    pub left_ms: Millisecond,
    /// Longest time that the work of other requests may take first; `None` for no limit.
    pub wait_ms: Option<Millisecond>,
}

/// Chooses a server that can answer within the limits.
///
/// # Errors
///
/// No server can take the request within the limits.
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

/// Chooses a server; `None` if all are full.
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
