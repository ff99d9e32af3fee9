//! Callers of the mixed run.

use std::time::Duration;

use rand::Rng;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Stage;
use crate::caller::Caller;
use crate::deployment::Deployment;
use crate::history::Outcome;
use crate::load::Requests;

/// Callers that ask for drafts, one after another.
const DRAFTERS: u64 = 6;

/// Callers that file, one filing after another.
const FILERS: u64 = 4;

/// Times a filing without an answer is sent again.
const FILING_RETRIES: usize = 3;

/// Pause between two filings of one caller.
const FILING_PAUSE: Duration = Duration::from_millis(20);

/// Pause before another attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Starts all callers; each ends after its last operation.
pub(super) fn spawn(
    deployment: &Deployment,
    seed: u64,
    stage: watch::Receiver<Stage>,
) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    for number in 0..DRAFTERS + FILERS {
        let workspace = ["village-schools", "mountain-clinics"][number as usize % 2];
        let caller = deployment.caller(workspace);
        let requests = Requests::seeded(seed.wrapping_mul(1_000) + number);
        let stage = stage.clone();
        if number < DRAFTERS {
            callers.spawn(draft(caller, requests, stage));
        } else {
            callers.spawn(file(caller, requests, stage));
        }
    }
    callers
}

async fn draft(caller: Caller, mut requests: Requests, stage: watch::Receiver<Stage>) {
    while *stage.borrow() == Stage::Running {
        let tokens = requests.rng().random_range(1..300);
        let entry = requests.rng().random_range(0..100);
        let draft = requests.draft(tokens);
        if let Outcome::Draft { .. } = caller.draft(entry, &draft).await {
            continue;
        }
        pause().await;
    }
}

async fn file(caller: Caller, mut requests: Requests, stage: watch::Receiver<Stage>) {
    while *stage.borrow() == Stage::Running {
        tokio::time::sleep(FILING_PAUSE).await;
        let entry = requests.rng().random_range(0..100);
        let filing = requests.filing();
        if requests.rng().random_bool(0.3) {
            let again = requests.filing_again(&filing.key);
            tokio::join!(caller.file(entry, &filing), caller.file(entry + 1, &again));
            continue;
        }
        let mut outcome = caller.file(entry, &filing).await;
        for retry in 1..=FILING_RETRIES {
            if let Outcome::Filing { .. } = outcome {
                break;
            }
            pause().await;
            let again = requests.filing_again(&filing.key);
            outcome = caller.file(entry + retry, &again).await;
        }
    }
}

async fn pause() {
    tokio::time::sleep(RETRY_PAUSE).await;
}
