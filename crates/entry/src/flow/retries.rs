//! Retry budgets of the services, and the decision that follows a failed attempt.

use std::sync::{Mutex, PoisonError};

use base::units::Millisecond;
use base::{Map, Name};
use conf::RetryLimits;
use policy::retry::{self, Failure, FailureCause, RequestBudget, RetryDecision, ServiceBudget};

/// Numbers of backend servers of a service, without those that are leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerCounts {
    /// Servers that are live.
    pub live: u32,
    /// Servers that are live or suspect.
    pub total: u32,
}

/// Thousandths of a retry in a percent.
const MILLI_PER_PERCENT: u64 = 10;

#[derive(Debug, Default)]
struct ServiceRetries {
    limits: RetryLimits,
    budget: ServiceBudget,
}

/// One budget for each service, shared by all requests at this entry VM.
#[derive(Debug, Default)]
pub struct Retries(Mutex<Map<Name, ServiceRetries>>);

impl Retries {
    /// Sets the configured limits of a service.
    pub fn set_limits(&self, service: &Name, limits: RetryLimits) {
        self.with_service(service, |retries| {
            retries.limits = limits;
            let percent = u64::from(limits.budget_percent);
            retries.budget.set_deposit(percent * MILLI_PER_PERCENT);
        });
    }

    /// Number of attempts for one request of a service, the first included.
    pub fn max_attempts(&self, service: &Name) -> u32 {
        self.with_service(service, |retries| retries.limits.max_attempts)
    }

    /// Counts the first attempt of a request.
    pub fn first_attempt(&self, service: &Name) {
        self.with_service(service, |retries| retries.budget.first_attempt());
    }

    /// Decides what follows a failed attempt.
    pub fn decide(
        &self,
        service: &Name,
        request: &mut RequestBudget,
        failure: Failure,
        servers: ServerCounts,
        now_ms: Millisecond,
    ) -> RetryDecision {
        let mut rng = rand::rng();
        self.with_service(service, |retries| {
            let budget = &mut retries.budget;
            if failure.cause == FailureCause::ServerLost {
                budget.server_lost(1, servers.live, servers.total, now_ms);
            }
            retry::decide(request, budget, failure, now_ms, &mut rng)
        })
    }

    fn with_service<T>(&self, service: &Name, act: impl FnOnce(&mut ServiceRetries) -> T) -> T {
        let mut budgets = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        act(budgets.entry(service.clone()).or_default())
    }
}
