//! The retry budgets of the services, and what follows a failed attempt.

use std::sync::{Mutex, PoisonError};

use base::units::Millisecond;
use base::{Map, Name};
use policy::retry::{self, Cause, Failure, RequestBudget, RetryDecision, ServiceBudget};

/// Backend servers of a service, those that are leaving not counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Survivors {
    /// Those that answer.
    pub left: u32,
    /// All.
    pub before: u32,
}

/// One budget for each service, shared by all requests at this entry VM.
#[derive(Debug, Default)]
pub struct Retries(Mutex<Map<Name, ServiceBudget>>);

impl Retries {
    /// Counts the first attempt of a request.
    pub fn first_attempt(&self, service: &Name) {
        self.with(service, ServiceBudget::first_attempt);
    }

    /// Decides what follows a failed attempt.
    pub fn decide(
        &self,
        service: &Name,
        request: &mut RequestBudget,
        failure: Failure,
        survivors: Survivors,
        now_ms: Millisecond,
    ) -> RetryDecision {
        let mut rng = rand::rng();
        self.with(service, |budget| {
            if failure.cause == Cause::ServerLost {
                budget.server_lost(1, survivors.left, survivors.before, now_ms);
            }
            retry::decide(request, budget, failure, now_ms, &mut rng)
        })
    }

    fn with<T>(&self, service: &Name, act: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let mut budgets = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        act(budgets.entry(service.clone()).or_default())
    }
}
