//! The requests of a load, drawn from a seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::Scenario;
use super::deploy::User;

/// Share of the requests that each workspace sends, in the order of the configuration.
const WORKSPACE_ODDS: [f64; 5] = [0.4, 0.25, 0.15, 0.12, 0.08];
/// Calm load as a part of what overload sends, so that overload is 1.5 times the capacity.
const CALM_PART: f64 = 0.3;

pub struct Request {
    /// Time from the start at which it is sent.
    pub at: Duration,
    /// Place of its workspace in the configuration.
    pub workspace: usize,
    /// Entry VM that it reaches.
    pub entry: usize,
    /// The user's message.
    pub prompt: String,
    /// Tokens wanted.
    pub output_tokens: u64,
}

struct Shape {
    overload_per_s: f64,
    preamble_words: usize,
    documents: usize,
    document_words: std::ops::Range<usize>,
    question_words: usize,
    output_tokens: std::ops::Range<u64>,
}

fn shape(user: User) -> Shape {
    match user {
        User::Cooperative => Shape {
            overload_per_s: 40.0,
            preamble_words: 256,
            documents: 16,
            document_words: 1_200..3_200,
            question_words: 40,
            output_tokens: 40..160,
        },
        User::Consortium => Shape {
            overload_per_s: 120.0,
            preamble_words: 192,
            documents: 40,
            document_words: 64..320,
            question_words: 20,
            output_tokens: 15..40,
        },
    }
}

/// Draws the load; the same arguments give the same requests.
pub fn draw(user: User, scenario: Scenario, seconds: u64, seed: u64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let shape = shape(user);
    let mut documents = Vec::with_capacity(WORKSPACE_ODDS.len());
    for _ in WORKSPACE_ODDS {
        let preamble = words(shape.preamble_words, &mut rng);
        let of_workspace = (0..shape.documents).map(|_| document(&shape, &preamble, &mut rng));
        documents.push(of_workspace.collect::<Vec<String>>());
    }
    let rate_per_s = match scenario {
        Scenario::Overload => shape.overload_per_s,
        Scenario::Calm | Scenario::Reclaimed => shape.overload_per_s * CALM_PART,
    };
    let mut requests = Vec::new();
    let mut at_s = 0.0;
    loop {
        at_s += -(1.0 - rng.random::<f64>()).ln() / rate_per_s;
        if at_s >= seconds as f64 {
            return requests;
        }
        let workspace = draw_workspace(&mut rng);
        let chosen = rng.random_range(0..shape.documents);
        let question = words(shape.question_words, &mut rng);
        requests.push(Request {
            at: Duration::from_secs_f64(at_s),
            workspace,
            entry: rng.random_range(0..6),
            prompt: format!("{} {question}", documents[workspace][chosen]),
            output_tokens: rng.random_range(shape.output_tokens.clone()),
        });
    }
}

/// A document after the workspace's preamble, which its documents share.
fn document(shape: &Shape, preamble: &str, rng: &mut SmallRng) -> String {
    let length = rng.random_range(shape.document_words.clone());
    format!("{preamble} {}", words(length, rng))
}

fn words(count: usize, rng: &mut SmallRng) -> String {
    let words: Vec<String> = (0..count)
        .map(|_| format!("{:x}", rng.random::<u32>()))
        .collect();
    words.join(" ")
}

fn draw_workspace(rng: &mut SmallRng) -> usize {
    let mut point: f64 = rng.random();
    for (workspace, odds) in WORKSPACE_ODDS.iter().enumerate() {
        if point < *odds {
            return workspace;
        }
        point -= odds;
    }
    WORKSPACE_ODDS.len() - 1
}
