//! Requests with fixed seeds, and many callers at once.

use base::ids::RequestId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;

use crate::caller::{Caller, Draft, Filing};
use crate::history::Outcome;

/// Source of requests.
#[derive(Clone, Debug)]
pub struct Requests(StdRng);

impl Requests {
    /// Starts from a seed.
    pub fn seeded(seed: u64) -> Self {
        Self(StdRng::seed_from_u64(seed))
    }

    /// A draft of so many tokens, with a prompt of its own.
    pub fn draft(&mut self, tokens: u64) -> Draft {
        let request_id = RequestId::random(&mut self.0).to_string();
        Draft {
            prompt: format!("Draft report {request_id} for the clinic."),
            request_id,
            tokens,
        }
    }

    /// A filing with a key of its own.
    pub fn filing(&mut self) -> Filing {
        let key = format!("filing-{}", RequestId::random(&mut self.0));
        self.filing_again(&key)
    }

    /// A filing under a given key, as a new request.
    pub fn filing_again(&mut self, key: &str) -> Filing {
        Filing {
            request_id: RequestId::random(&mut self.0).to_string(),
            key: key.to_owned(),
            body: json!({"donor": "unicef", "report": key}),
        }
    }

    /// The source of random numbers itself.
    pub fn rng(&mut self) -> &mut impl Rng {
        &mut self.0
    }
}

/// Operations under way.
#[derive(Debug, Default)]
pub struct Running(JoinSet<Outcome>);

impl Running {
    /// Starts a draft at an entry VM.
    pub fn draft(&mut self, caller: &Caller, entry: usize, draft: Draft) {
        let caller = caller.clone();
        self.0
            .spawn(async move { caller.draft(entry, &draft).await });
    }

    /// Starts a filing at an entry VM.
    pub fn file(&mut self, caller: &Caller, entry: usize, filing: Filing) {
        let caller = caller.clone();
        self.0
            .spawn(async move { caller.file(entry, &filing).await });
    }

    /// Waits for all of them.
    pub async fn outcomes(self) -> Vec<Outcome> {
        self.0.join_all().await
    }

    /// Number of unfinished operations.
    pub fn count(&mut self) -> usize {
        while self.0.try_join_next().is_some() {}
        self.0.len()
    }
}
