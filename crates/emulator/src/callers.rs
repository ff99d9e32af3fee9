//! Callers: when they come, where, and with what.

use std::hash::{Hash, Hasher};

use base::units::TokenCount;
use gateway::decide::prompt::{Prompt, PromptPart};
use policy::suspect::PartId;
use rand::Rng;
use rand::rngs::SmallRng;
use rustc_hash::FxHasher;

use crate::experiment::{Experiment, Kind, Trouble};
use crate::schedule::{Microsecond, S};

/// Part of the shared tokens that many prompts have in common.
const COMMON_SHARE: f64 = 0.4;

/// Different common parts of a kind.
const COMMON_PARTS: u64 = 4;

/// Bounds of a drawn size, as parts of its mean.
const SIZES: std::ops::RangeInclusive<f64> = 0.1..=4.0;

/// How many times as many callers as usual come at an instant.
pub fn crowd(experiment: &Experiment, at_us: Microsecond) -> f64 {
    let traffic = &experiment.traffic;
    let at_s = at_us as f64 / S as f64;
    let turn = at_s / traffic.period_s * std::f64::consts::TAU;
    let mut crowd = 1.0 + traffic.swing * turn.sin();
    for trouble in &experiment.troubles {
        if let Trouble::Burst {
            at_s: from_s,
            times,
            for_s,
        } = trouble
            && (*from_s..from_s + for_s).contains(&at_s)
        {
            crowd *= times;
        }
    }
    crowd
}

/// Time to the next clump of a kind at the highest crowd that the experiment has.
pub fn next_clump_us(kind: &Kind, most: f64, clump: f64, rng: &mut SmallRng) -> Microsecond {
    let mean_s = clump / (kind.per_s * most);
    let drawn: f64 = rng.random_range(f64::EPSILON..1.0);
    (-drawn.ln() * mean_s * S as f64) as Microsecond
}

/// Requests in one clump, of that mean.
pub fn clump_size(mean: f64, rng: &mut SmallRng) -> u32 {
    let mut size = 1;
    while rng.random_bool(1.0 - 1.0 / mean.max(1.0)) {
        size += 1;
    }
    size
}

/// The highest crowd that may come.
pub fn most_crowd(experiment: &Experiment) -> f64 {
    let bursts = experiment.troubles.iter().map(|trouble| match trouble {
        Trouble::Burst { times, .. } => times.max(1.0),
        Trouble::Reclaim { .. }
        | Trouble::Crash { .. }
        | Trouble::Limit { .. }
        | Trouble::Move { .. }
        | Trouble::SlowLink { .. } => 1.0,
    });
    (1.0 + experiment.traffic.swing) * bursts.product::<f64>()
}

/// Draws a prompt: a part that many share, one that some share, and the caller's own.
pub fn prompt(kind: &Kind, place: usize, rng: &mut SmallRng) -> Prompt {
    let number = rng.random_range(0..kind.prompts.max(1));
    let common = chain(&(place, number % COMMON_PARTS));
    let shared = chain(&(place, number, "shared"));
    let own = chain(&(place, rng.random::<u64>()));
    let common_tokens = (kind.shared_tokens * COMMON_SHARE) as TokenCount;
    let shared_tokens = (kind.shared_tokens * (1.0 - COMMON_SHARE)) as TokenCount;
    let parts = vec![
        PromptPart {
            id: PartId::new(common),
            chain: common,
            tokens: common_tokens,
        },
        PromptPart {
            id: PartId::new(shared),
            chain: shared,
            tokens: shared_tokens,
        },
        PromptPart {
            id: PartId::new(own),
            chain: own,
            tokens: size(kind.own_tokens, rng),
        },
    ];
    let input_tokens = parts.iter().map(|part| part.tokens).sum();
    Prompt {
        parts,
        input_tokens,
        output_tokens: size(kind.answer_tokens, rng),
    }
}

fn size(mean: f64, rng: &mut SmallRng) -> TokenCount {
    let drawn: f64 = rng.random_range(f64::EPSILON..1.0);
    let part = (-drawn.ln()).clamp(*SIZES.start(), *SIZES.end());
    (mean * part).max(1.0) as TokenCount
}

fn chain(of: &impl Hash) -> u64 {
    let mut hasher = FxHasher::default();
    of.hash(&mut hasher);
    hasher.finish()
}
