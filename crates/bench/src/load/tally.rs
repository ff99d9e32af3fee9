//! Figures of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Set;
use hdrhistogram::Histogram;
use policy::route::{BLOCK_TOKENS, blocks};
use proof::wire::Call;
use serde::Serialize;
use standin::engine::message::{ChatMessage, render};

use super::deploy::Deployment;
use super::drive::{End, Seen};
use super::work::Request;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Percentiles {
    p50: f64,
    p95: f64,
    p99: f64,
}

/// Figures of one workspace.
#[derive(Clone, Debug, Default, Serialize)]
pub struct WorkspaceFigures {
    priority: String,
    sent: u64,
    full: u64,
    on_time: u64,
    refused: u64,
    broken: u64,
    generated_tokens: u64,
}

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// Routing policy.
    pub policy: String,
    /// Seed of the load.
    pub seed: u64,
    /// Requests sent.
    pub sent: u64,
    /// Requests answered in full.
    pub full: u64,
    /// Of these, those within the latency target.
    pub on_time: u64,
    /// Refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// Accepted requests without a full answer, by what was seen.
    pub broken: BTreeMap<String, u64>,
    /// Time to the first token.
    pub first_token_ms: Percentiles,
    /// Time between tokens.
    pub between_tokens_ms: Percentiles,
    /// Prompt tokens of all full answers.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engines computed.
    pub computed_tokens: u64,
    /// Of these, those beyond the first computation of each prefix.
    pub recomputed_tokens: u64,
    /// Price of the runners for the run, in the currency's cents.
    pub price_cents: f64,
    /// The same for each thousand requests on time.
    pub cents_per_1000_on_time: f64,
    /// Price by class and failure domain.
    pub price_by_kind: BTreeMap<String, f64>,
    /// Figures by workspace.
    pub workspaces: BTreeMap<String, WorkspaceFigures>,
}

/// Adds up what the callers saw and what the engines counted. The counters of engines that were
/// reclaimed are lost with them.
pub async fn summarise(
    deployment: &Deployment,
    requests: &[Request],
    results: &[Seen],
    policy: &str,
    seed: u64,
) -> Summary {
    let target = Target::of(deployment);
    let mut first = histogram();
    let mut between = histogram();
    let mut refused = BTreeMap::new();
    let mut broken = BTreeMap::new();
    let names = deployment.workspaces();
    let mut workspaces: BTreeMap<String, WorkspaceFigures> = BTreeMap::new();
    let mut needed = Needed::default();
    for (request, seen) in requests.iter().zip(results) {
        let figures = workspaces
            .entry(names[request.workspace].clone())
            .or_default();
        let priority = &deployment.document["workspaces"][request.workspace]["priority"];
        figures.priority = priority.as_str().unwrap_or_default().to_owned();
        figures.sent += 1;
        match &seen.end {
            End::Full => figures.full += 1,
            End::Refused(code) => {
                figures.refused += 1;
                *refused.entry(code.clone()).or_default() += 1;
                continue;
            }
            End::Broken(reason) => {
                figures.broken += 1;
                *broken.entry(reason.clone()).or_default() += 1;
                continue;
            }
        }
        needed.add(&request.prompt);
        figures.generated_tokens += request.output_tokens;
        figures.on_time += u64::from(target.met(seen));
        record(&mut first, seen.first_token.unwrap_or_default());
        for gap in &seen.gaps {
            record(&mut between, *gap);
        }
    }
    let seconds = requests.last().map_or(0.0, |r| r.at.as_secs_f64());
    let price_by_kind = prices(deployment, seconds);
    let price_cents: f64 = price_by_kind.values().sum();
    let on_time: u64 = workspaces.values().map(|w| w.on_time).sum();
    let computed_tokens = computed(deployment).await;
    Summary {
        policy: policy.to_owned(),
        seed,
        sent: requests.len() as u64,
        full: workspaces.values().map(|w| w.full).sum(),
        on_time,
        refused,
        broken,
        first_token_ms: percentiles(&first),
        between_tokens_ms: percentiles(&between),
        prompt_tokens: needed.prompt_tokens,
        computed_tokens,
        recomputed_tokens: computed_tokens.saturating_sub(needed.distinct_tokens),
        price_cents,
        cents_per_1000_on_time: price_cents * 1_000.0 / on_time.max(1) as f64,
        price_by_kind,
        workspaces,
    }
}

struct Target {
    first_token: Duration,
    between_tokens: Duration,
}

impl Target {
    fn of(deployment: &Deployment) -> Self {
        let services = deployment.document["services"].as_array().expect("a list");
        let service = services
            .iter()
            .find(|s| s["name"] == deployment.user.service());
        let target = &service.expect("the model service")["latency_target"];
        let ms = |name: &str| Duration::from_millis(target[name].as_u64().unwrap_or(0));
        Self {
            first_token: ms("first_token_ms"),
            between_tokens: ms("between_tokens_ms"),
        }
    }

    /// The first token in time, and the answer as a whole at the pace.
    fn met(&self, seen: &Seen) -> bool {
        let total: Duration = seen.gaps.iter().sum();
        let pace = total <= self.between_tokens * seen.gaps.len() as u32;
        pace && seen
            .first_token
            .is_some_and(|first| first <= self.first_token)
    }
}

/// Tokens that have to be computed at least once.
#[derive(Default)]
struct Needed {
    prompt_tokens: u64,
    distinct_tokens: u64,
    prefixes: Set<u64>,
}

impl Needed {
    fn add(&mut self, prompt: &str) {
        let message = ChatMessage {
            role: "user".to_owned(),
            content: prompt.to_owned(),
        };
        let text = format!("{}assistant:", render(&[message]));
        let tokens = text.split_whitespace().count() as u64;
        self.prompt_tokens += tokens;
        let blocks = blocks(&text);
        self.distinct_tokens += tokens - blocks.len() as u64 * BLOCK_TOKENS;
        for block in blocks {
            if self.prefixes.insert(block) {
                self.distinct_tokens += BLOCK_TOKENS;
            }
        }
    }
}

async fn computed(deployment: &Deployment) -> u64 {
    let mut computed = 0;
    for runner in &deployment.runners {
        let Ok(reply) = Call::get("/stats").send(runner.address).await else {
            continue;
        };
        computed += reply.json()["prompt_tokens_computed"].as_u64().unwrap_or(0);
    }
    computed
}

fn prices(deployment: &Deployment, seconds: f64) -> BTreeMap<String, f64> {
    let mut prices = BTreeMap::new();
    for runner in &deployment.runners {
        let kind = format!("{} {}", runner.class, runner.failure_domain);
        *prices.entry(kind).or_default() += runner.price_per_h * 100.0 * seconds / 3_600.0;
    }
    prices
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are supported")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let _ = histogram.record(time.as_micros() as u64);
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Percentiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}
