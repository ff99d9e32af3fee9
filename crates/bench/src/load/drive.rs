//! Sends the requests at their times and notes what the callers see.

use std::net::SocketAddr;
use std::time::Duration;

use proof::wire::{Call, SseEvent};
use serde_json::json;
use standin::platform::Control;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use super::Scenario;
use super::deploy::{Deployment, key_of};
use super::work::Request;

/// Notice before a reclaimed failure domain is gone.
const NOTICE_MS: u64 = 4_000;
/// Longest wait for one answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Every token came.
    Full,
    /// Refused, with the error's code.
    Refused(String),
    /// Accepted and not answered in full.
    Broken(String),
}

/// Observation of the caller.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The end.
    pub end: End,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

/// Runs the whole load; results are in the order of the requests.
pub async fn run(
    deployment: &mut Deployment,
    requests: &[Request],
    scenario: Scenario,
    seconds: u64,
) -> Vec<Seen> {
    let start = Instant::now();
    let workspaces = deployment.workspaces();
    let mut tasks = Vec::with_capacity(requests.len());
    for request in requests {
        let address = deployment.entries[request.entry];
        let body = json!({
            "model": deployment.user.service(),
            "stream": true,
            "max_tokens": request.output_tokens,
            "messages": [{"role": "user", "content": request.prompt}],
        });
        let call = Call::post("/v1/chat/completions", &body)
            .bearer(&key_of(&workspaces[request.workspace]));
        let due = start + request.at;
        let tokens = request.output_tokens;
        tasks.push(tokio::spawn(async move {
            sleep_until(due).await;
            let answered = timeout(ANSWER_LIMIT, send(&call, address, tokens)).await;
            answered.unwrap_or_else(|_| ended(End::Broken("no end".to_owned())))
        }));
    }
    if scenario == Scenario::Reclaimed {
        sleep(Duration::from_secs(seconds) * 2 / 5).await;
        reclaim_domain(deployment).await;
    }
    let mut results = Vec::with_capacity(tasks.len());
    for task in tasks {
        let seen = task.await;
        results.push(seen.unwrap_or_else(|e| ended(End::Broken(e.to_string()))));
    }
    results
}

async fn reclaim_domain(deployment: &mut Deployment) {
    let lost = deployment.failure_domain(0);
    let leaving = |failure_domain: &str| failure_domain == lost;
    for runner in deployment
        .runners
        .iter()
        .filter(|r| leaving(&r.failure_domain))
    {
        let id = runner.vm.clone();
        let remaining_ms = NOTICE_MS;
        deployment
            .control(&Control::Reclaim { id, remaining_ms })
            .await;
    }
    sleep(Duration::from_millis(NOTICE_MS)).await;
    for runner in &mut deployment.runners {
        if leaving(&runner.failure_domain) {
            runner.process.kill();
        }
    }
}

fn ended(end: End) -> Seen {
    Seen {
        end,
        first_token: None,
        gaps: Vec::new(),
    }
}

async fn send(call: &Call, address: SocketAddr, tokens: u64) -> Seen {
    let sent = Instant::now();
    let opened = match call.open(address).await {
        Ok(opened) => opened,
        Err(e) => return ended(End::Broken(e.reason)),
    };
    if opened.status != 200 {
        let reply = opened.whole().await.map(|reply| reply.json());
        let code = reply.unwrap_or_default()["error"]["code"]
            .as_str()
            .map(str::to_owned);
        return ended(End::Refused(code.unwrap_or_else(|| "none".to_owned())));
    }
    let mut seen = ended(End::Full);
    let mut events = opened.events();
    let mut last = sent;
    let mut words = 0;
    loop {
        let chunk = match events.next().await {
            SseEvent::Chunk(chunk) => chunk,
            SseEvent::Done => break,
            SseEvent::Broken { reason } => {
                seen.end = End::Broken(reason);
                return seen;
            }
        };
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        let count = content.unwrap_or_default().split_whitespace().count() as u64;
        if count == 0 {
            continue;
        }
        words += count;
        let now = Instant::now();
        match seen.first_token {
            None => seen.first_token = Some(now - sent),
            Some(_) => seen.gaps.push(now - last),
        }
        last = now;
    }
    if words != tokens {
        seen.end = End::Broken(format!("{words} of {tokens} tokens"));
    }
    seen
}
