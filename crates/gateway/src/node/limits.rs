//! Limits that a node enforces, and the demand that it counts: allowances, retry budgets, offered load.

use std::sync::Arc;

use base::units::Millisecond;
use base::{Map, Name};

use super::Node;
use crate::belief::Workspace;
use crate::belief::directory::Allowance;
use crate::decide::allowance::{Admission, AllowanceStart, Bucket, Fleet, PriorUse};
use crate::decide::retry_budget::{RetryBudget, RetryPermit, RetryTerms};
use crate::peer::role::period_ms;
use crate::settings::{FirstStart, ms};

impl Node {
    /// Size of the fleet, by which allowances are divided.
    fn fleet(&self) -> Fleet {
        let listed = self.peers.borrow().listed() + 1;
        Fleet {
            heard: self.node_count(),
            listed,
            period_ms: period_ms(listed),
        }
    }

    /// Charges a request to the workspace's allowance, if it fits.
    pub fn charge(&self, workspace: &Workspace, cost: f64) -> Admission {
        let Some(allowance) = workspace.allowance else {
            return Admission::Charged;
        };
        let now_ms = self.now_ms();
        let fleet = self.fleet();
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets
            .entry(workspace.name.clone())
            .or_insert_with(|| self.new_bucket(allowance, now_ms));
        bucket.charge(cost, fleet, now_ms)
    }

    /// Time after which a caller that the allowance has no room for should return; `None` if that is
    /// after its deadline.
    pub fn tell_return(
        &self,
        workspace: &Workspace,
        cost: f64,
        left_ms: Millisecond,
    ) -> Option<Millisecond> {
        let mut buckets = self.buckets.borrow_mut();
        let bucket = buckets.get_mut(&workspace.name)?;
        bucket.tell_return(cost, left_ms, self.now_ms())
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&self, workspace: &Workspace, cost: f64) {
        if let Some(bucket) = self.buckets.borrow_mut().get_mut(&workspace.name) {
            bucket.refund(cost);
        }
    }

    /// A new bucket for a workspace.
    pub fn new_bucket(&self, allowance: Allowance, now_ms: Millisecond) -> Bucket {
        let beginning = match (
            self.directory.borrow().is_some(),
            self.settings.node.first_start,
        ) {
            (true, _) => AllowanceStart::WhileRunning,
            (false, FirstStart::Yes) => AllowanceStart::FirstStart {
                age_ms: self.clock.uptime_ms(),
            },
            (false, FirstStart::No) => AllowanceStart::Restart,
        };
        let past = PriorUse::at(beginning);
        Bucket::new(allowance, past, now_ms)
    }

    /// Counts the first attempt of a request, which earns retry budget for the service.
    pub fn count_first_send(&self, service: &Name) {
        let now_ms = self.now_ms();
        self.with_retry_budget(service, |budget, terms| budget.count_request(terms, now_ms));
    }

    /// Takes one retry from the budget of a service, if it allows one.
    pub fn take_retry(&self, service: &Name) -> RetryPermit {
        let (now_ms, nodes) = (self.now_ms(), self.node_count());
        self.with_retry_budget(service, |budget, terms| budget.take(terms, nodes, now_ms))
    }

    /// Whether the budget of a service allows a retry; takes nothing from it.
    pub fn check_retry(&self, service: &Name) -> RetryPermit {
        let (now_ms, nodes) = (self.now_ms(), self.node_count());
        self.with_retry_budget(service, |budget, terms| budget.check(terms, nodes, now_ms))
    }

    fn with_retry_budget<T>(
        &self,
        service: &Name,
        apply: impl FnOnce(&mut RetryBudget, &RetryTerms) -> T,
    ) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_default();
        apply(budget, &self.retry_terms())
    }

    /// Adds a request that is predicted to be read in `reading_ms` to the demand of a service.
    pub fn add_work(&self, service: &Name, reading_ms: f64) {
        let now_ms = self.now_ms();
        let cost_ms = self.speeds.borrow().work_share(service) * reading_ms;
        let mut loads = self.offered_loads.borrow_mut();
        loads
            .entry(service.clone())
            .or_default()
            .add(cost_ms, now_ms);
    }

    /// Number of servers that the demand at this node keeps busy, by service.
    pub fn busy_servers(&self) -> Vec<(Name, f64)> {
        let now_ms = self.now_ms();
        let mut loads = self.offered_loads.borrow_mut();
        let busy = loads.iter_mut();
        busy.map(|(name, load)| (name.clone(), load.busy_servers(now_ms)))
            .collect()
    }

    pub(super) fn set_allowances(&self, workspaces: &Map<Name, Arc<Workspace>>) {
        let mut buckets = self.buckets.borrow_mut();
        for (name, bucket) in buckets.iter_mut() {
            if let Some(allowance) = workspaces.get(name).and_then(|w| w.allowance) {
                bucket.set_allowance(allowance);
            }
        }
        for (name, workspace) in workspaces {
            let Some(allowance) = workspace.allowance else {
                continue;
            };
            if !buckets.contains_key(name) {
                buckets.insert(name.clone(), self.new_bucket(allowance, self.now_ms()));
            }
        }
    }

    fn retry_terms(&self) -> RetryTerms {
        let bounds = &self.settings.bounds;
        RetryTerms {
            ratio: bounds.retry_ratio,
            window_ms: ms(bounds.retry_window_s),
            slack: bounds.retry_slack,
        }
    }
}
