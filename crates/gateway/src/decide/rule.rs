//! Rules by which a server is chosen among those that have room.

use base::units::Millisecond;
use serde::Deserialize;

use super::domain_exit::{DomainExit, Estimate, ExitDecision, ExitTerms, Other, OtherHealth, Own};
use super::placement::{
    Candidate, Choice, Demand, Health, Locality, PrefixHome, Timeliness, eligible, predict,
};
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

/// Cost of a server in another failure domain, for the longer round trip and the price of the traffic,
/// where the settings don't ask for a decision.
const CROSS_DOMAIN_MS: f64 = 4.0;

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

/// What decides whether a request leaves its node's failure domain.
#[derive(Debug)]
pub struct Exit<'a> {
    pub state: &'a mut DomainExit,
    pub terms: ExitTerms,
    /// Time added to the prediction of each candidate by the state of its domain.
    pub surcharges_ms: Vec<f64>,
}

/// The chosen server, and how the own domain compares with the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Chosen {
    pub choice: Choice,
    /// `None` if the domains were not compared.
    pub exit: Option<ExitReport>,
}

/// Inputs and result of the decision whether a request leaves its domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExitReport {
    pub decision: ExitDecision,
    pub own: Own,
    pub other: Option<Other>,
}

/// Chooses a server that can answer within the limits. Without `exit`, a server of another domain costs
/// a fixed penalty.
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
    exit: Option<Exit<'_>>,
) -> Result<Chosen, NoServer> {
    if candidates.is_empty() {
        return Err(NoServer::None);
    }
    if let (Rule::Predicted, Some(exit)) = (rule, exit) {
        return choose_domain(demand, candidates, chance.drawn, limits, exit);
    }
    let choice = choose(rule, demand, candidates, chance).ok_or(NoServer::Full)?;
    let choice = check(choice, candidates, limits)?;
    Ok(Chosen { choice, exit: None })
}

/// Chooses the best server of the own domain or of the others.
fn choose_domain(
    demand: &Demand,
    candidates: &[Candidate],
    drawn: f64,
    limits: TimeLimits,
    exit: Exit<'_>,
) -> Result<Chosen, NoServer> {
    let eligible = eligible(demand, candidates);
    let surcharge_ms = |index: usize| exit.surcharges_ms.get(index).copied().unwrap_or(0.0);
    let best = |locality: Locality| {
        let of = eligible
            .iter()
            .filter(|i| candidates[**i].locality == locality);
        let predicted = of.map(|index| {
            let (cost_ms, choice) = predict(demand, candidates, *index);
            (cost_ms + surcharge_ms(*index), choice)
        });
        let least = predicted.min_by(|(a_ms, _), (b_ms, _)| a_ms.total_cmp(b_ms));
        least.map(|(_, choice)| check(choice, candidates, limits))
    };
    let own_best = best(Locality::SameDomain);
    let other_best = best(Locality::OtherDomain);
    let mut of_domain = candidates
        .iter()
        .filter(|c| c.locality == Locality::SameDomain);
    let own = match own_best {
        Some(Ok(choice)) => Own::Best(Estimate {
            choice,
            surcharge_ms: surcharge_ms(choice.index),
        }),
        Some(Err(_)) => Own::NoRoom,
        None if of_domain.any(|c| c.health == Health::Healthy) => Own::NoRoom,
        None => Own::NoServers,
    };
    let other = match other_best {
        Some(Ok(choice)) => Some(Other {
            best: Estimate {
                choice,
                surcharge_ms: surcharge_ms(choice.index),
            },
            health: match candidates[choice.index].health {
                Health::Healthy => OtherHealth::Healthy,
                Health::RecentlyFailed => OtherHealth::RecentlyFailed,
            },
        }),
        _ => None,
    };
    let decision = exit.state.decide(own, other, &exit.terms, drawn);
    let choice = match (decision, other) {
        (ExitDecision::Leaves(_), Some(other)) => other.best.choice,
        _ => own_best
            .or(other_best.filter(|_| own == Own::NoServers))
            .unwrap_or(Err(NoServer::Full))?,
    };
    let exit = Some(ExitReport {
        decision,
        own,
        other,
    });
    Ok(Chosen { choice, exit })
}

/// Checks a choice against the limits.
fn check(choice: Choice, candidates: &[Candidate], limits: TimeLimits) -> Result<Choice, NoServer> {
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

/// The server with the lowest cost, with a penalty for those in other domains.
fn cheapest(demand: &Demand, candidates: &[Candidate], eligible: &[usize]) -> Option<Choice> {
    let predicted = eligible.iter().map(|index| {
        let (cost_ms, choice) = predict(demand, candidates, *index);
        match candidates[*index].locality {
            Locality::SameDomain => (cost_ms, choice),
            Locality::OtherDomain => (cost_ms + CROSS_DOMAIN_MS, choice),
        }
    });
    let least = predicted.min_by(|(a_ms, _), (b_ms, _)| a_ms.total_cmp(b_ms));
    least.map(|(_, choice)| choice)
}
