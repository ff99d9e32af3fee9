//! Traffic between failure domains: where callers come, what it carries, how long links take, and
//! the one prefix home of the baseline.

use base::Name;
use base::units::Millisecond;
use gateway::decide::domain_exit::answer_bytes;
use gateway::decide::prompt::Prompt;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::experiment::{Experiment, Trouble};
use crate::schedule::{Microsecond, S};

/// Bytes of a request's body for each token of its prompt.
const BODY_BYTES_PER_TOKEN: f64 = 4.0;

/// Kilobytes of a request and its expected answer.
pub fn traffic_kb(prompt: &Prompt) -> f64 {
    let body_bytes = prompt.read_tokens() as f64 * BODY_BYTES_PER_TOKEN;
    (body_bytes + answer_bytes(prompt.output_tokens, 1)) / 1_024.0
}

/// Draws the node that a caller asks. Usually all nodes get as many.
pub fn caller_node(experiment: &Experiment, at_us: Microsecond, rng: &mut SmallRng) -> usize {
    let domains = &experiment.fleet.domains;
    let all: usize = domains.iter().map(|d| d.nodes).sum();
    let usual = |nodes: usize| nodes as f64 / all as f64;
    let at_s = at_us as f64 / S as f64;
    let mut first = 0;
    for place in domains {
        let moved = experiment
            .troubles
            .iter()
            .find_map(|trouble| match trouble {
                Trouble::Move {
                    at_s: from_s,
                    domain,
                    times,
                    for_s,
                } if *domain == place.name && (*from_s..from_s + for_s).contains(&at_s) => {
                    Some(*times)
                }
                _ => None,
            });
        let share = moved.map_or(0.0, |times| (times * usual(place.nodes)).min(1.0));
        if share > 0.0 {
            return match rng.random_bool(share) {
                true => first + rng.random_range(0..place.nodes),
                false => {
                    let others = rng.random_range(0..all - place.nodes);
                    others + if others >= first { place.nodes } else { 0 }
                }
            };
        }
        first += place.nodes;
    }
    rng.random_range(0..all)
}

/// Round trip from a node to a server, beyond that within one failure domain.
pub fn round_trip_ms(
    experiment: &Experiment,
    own: &Name,
    there: &Name,
    at_us: Microsecond,
) -> Millisecond {
    if own == there {
        return 0;
    }
    let at_s = at_us as f64 / S as f64;
    let mut round_trip_ms = experiment.crossing.round_trip_ms;
    for trouble in &experiment.troubles {
        let Trouble::SlowLink {
            at_s: from_s,
            domain,
            delay_ms,
            for_s,
        } = trouble
        else {
            continue;
        };
        if (domain == own || domain == there) && (*from_s..from_s + for_s).contains(&at_s) {
            round_trip_ms += delay_ms;
        }
    }
    round_trip_ms.round() as Millisecond
}

/// One of the homes, the same for all nodes.
pub fn one_home(prompt: &Prompt, mut homes: Vec<Name>) -> Vec<Name> {
    homes.sort();
    let Some(chain) = prompt.shared_chain() else {
        return Vec::new();
    };
    let kept = (chain % homes.len().max(1) as u64) as usize;
    homes.into_iter().skip(kept).take(1).collect()
}
