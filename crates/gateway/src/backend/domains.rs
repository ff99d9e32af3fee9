//! Applies the decisions whether requests leave the failure domain, and reports them.

use std::rc::Rc;

use base::units::Millisecond;
use base::{Map, Name};
use serde::Serialize;

use crate::belief::Server;
use crate::decide::domain_exit::{
    DomainExit, ExitDecision, ExitTerms, MeasuredDelay, Own, Refusal, answer_bytes, surcharge_ms,
};
use crate::decide::domain_share::{ShareChange, ShareReport};
use crate::decide::placement::{Locality, prefix_home, prefix_homes};
use crate::decide::prompt::Prompt;
use crate::decide::rule::{Chosen, Exit, ExitReport};
use crate::front::job::Job;
use crate::node::Node;
use crate::peer::role::Presence;
use crate::settings::Domains;

/// Expected answer of a service without a model engine.
const PLAIN_ANSWER_BYTES: f64 = 1_024.0;

/// The ages of the loads are computed anew after this time.
const AGES_KEPT_MS: Millisecond = 100;

/// What this node knows of the way to other failure domains.
#[derive(Debug, Default)]
pub struct DomainExits {
    services: Map<Name, ServiceExit>,
    load_ages: Map<Name, Millisecond>,
    ages_at_ms: Millisecond,
}

#[derive(Debug, Default)]
struct ServiceExit {
    state: DomainExit,
    /// Delay of first bytes beyond the predictions, by failure domain.
    delays: Map<Name, MeasuredDelay>,
    report: ShareReport,
}

/// A request that is sent to another failure domain.
#[derive(Clone, Copy, Debug)]
pub struct LeftDomain {
    pub reason: &'static str,
    /// Predicted wait that leaving avoids; 0 if the own domain does not accept the request.
    pub avoided_ms: f64,
}

#[derive(Serialize)]
struct DecidedFields<'a> {
    request: Option<&'a str>,
    service: &'a str,
    failure_domain: &'a str,
    /// Share of the requests that left since the last report, and the one before.
    share: f64,
    share_before: f64,
    requests: u32,
    period_ms: Millisecond,
    reason: &'static str,
    /// Predicted times to first byte, with the surcharges.
    own_ms: Option<f64>,
    own_wait_ms: Option<Millisecond>,
    other_ms: Option<f64>,
    other_wait_ms: Option<Millisecond>,
    /// Part of `other_ms` for the link, measured delays and the age of the loads.
    surcharge_ms: Option<f64>,
    price_ms: f64,
    target_ms: Millisecond,
    load_age_ms: Millisecond,
}

impl DomainExits {
    /// What decides whether `job` leaves for one of `servers`; `None` if the settings don't ask for the
    /// decision.
    pub fn view(
        &mut self,
        job: &Job<'_>,
        refusal: Refusal,
        servers: &[Rc<Server>],
    ) -> Option<Exit<'_>> {
        let node = job.node;
        let domains = node.settings.domains.as_ref()?;
        let now_ms = node.now_ms();
        if now_ms.saturating_sub(self.ages_at_ms) >= AGES_KEPT_MS || self.load_ages.is_empty() {
            self.load_ages = load_ages(node, now_ms);
            self.ages_at_ms = now_ms;
        }
        let own = &node.settings.node.failure_domain;
        let terms = terms(job, domains, refusal, self.load_age_ms(own));
        let exit = self.services.entry(job.service.name.clone()).or_default();
        let delays = &exit.delays;
        let delay_ms = |domain: &Name| delays.get(domain).map_or(0.0, |delay| delay.ms(now_ms));
        let surcharge = |server: &Rc<Server>| {
            let domain = &server.record.failure_domain;
            let locality = Locality::of(domain, own);
            let age_ms = self.load_ages.get(domain).copied().unwrap_or(0);
            surcharge_ms(locality, delay_ms(own), delay_ms(domain), age_ms)
        };
        let surcharges_ms = servers.iter().map(surcharge).collect();
        Some(Exit {
            state: &mut exit.state,
            terms,
            surcharges_ms,
        })
    }

    /// Mean age of the loads of the other domains.
    fn load_age_ms(&self, own: &Name) -> Millisecond {
        let others = self.load_ages.iter().filter(|(domain, _)| *domain != own);
        let (count, sum_ms) = others.fold((0, 0), |(n, sum), (_, ms)| (n + 1, sum + ms));
        sum_ms.checked_div(count).unwrap_or(0)
    }
}

/// Mean age of the loads that the nodes of each domain reported. Silent nodes are left out, as their
/// loads are.
fn load_ages(node: &Node, now_ms: Millisecond) -> Map<Name, Millisecond> {
    let mut sums: Map<Name, (Millisecond, Millisecond)> = Map::default();
    let peers = node.peers.borrow();
    for (_, peer) in peers.iter() {
        if peer.presence(now_ms) == Presence::Silent {
            continue;
        }
        // Pulses are heard in between, but loads arrive once in a period.
        let heard_ms = now_ms.saturating_sub(peer.heard_ms);
        let age_ms = heard_ms.max(peer.heartbeat.period_ms / 2);
        let domain = peer.heartbeat.failure_domain.clone();
        let (count, sum_ms) = sums.entry(domain).or_default();
        *count += 1;
        *sum_ms += age_ms;
    }
    let ages = sums.into_iter();
    ages.map(|(domain, (count, sum_ms))| (domain, sum_ms / count))
        .collect()
}

/// What a request needs, for the decision whether it leaves.
fn terms(
    job: &Job<'_>,
    domains: &Domains,
    refusal: Refusal,
    load_age_ms: Millisecond,
) -> ExitTerms {
    let answer_bytes = match &job.service.engine {
        Some(engine) => answer_bytes(job.prompt.output_tokens, engine.event_tokens),
        None => PLAIN_ANSWER_BYTES,
    };
    let bytes = job.request.body.len() as f64 + answer_bytes;
    ExitTerms {
        target_ms: job.route.target_ms,
        traffic_kb: bytes / 1_024.0,
        cost_ms_per_kb: domains.cross_cost_ms_per_kb,
        now_ms: job.node.now_ms(),
        load_age_ms,
        refusal,
    }
}

/// Counts a choice, and logs a change of the share of the service's requests that leave. Returns how
/// the request leaves its domain, if it does.
pub fn record_choice(
    job: &Job<'_>,
    chosen: &Chosen,
    server: &Server,
    terms: Option<&ExitTerms>,
) -> Option<LeftDomain> {
    let node = job.node;
    let own = &node.settings.node.failure_domain;
    let locality = Locality::of(&server.record.failure_domain, own);
    let left = (locality == Locality::OtherDomain).then(|| left_domain(chosen.exit.as_ref()));
    let (Some(report), Some(terms)) = (&chosen.exit, terms) else {
        return left;
    };
    let mut exits = node.domain_exits.borrow_mut();
    let exit = exits.services.entry(job.service.name.clone()).or_default();
    if let Some(change) = exit.report.count(locality, terms.now_ms) {
        log_change(job, report, &change, terms);
    }
    left
}

fn left_domain(report: Option<&ExitReport>) -> LeftDomain {
    let Some(report) = report else {
        return LeftDomain {
            reason: "rule",
            avoided_ms: 0.0,
        };
    };
    let avoided_ms = match (report.own, report.other) {
        (Own::Best(own), Some(other)) => own.first_byte_ms() - other.best.first_byte_ms(),
        _ => 0.0,
    };
    LeftDomain {
        reason: match report.decision {
            ExitDecision::Leaves(reason) => reason.label(),
            ExitDecision::Stays(reason) => reason.label(),
        },
        avoided_ms: avoided_ms.max(0.0),
    }
}

fn log_change(job: &Job<'_>, report: &ExitReport, change: &ShareChange, terms: &ExitTerms) {
    let own = match report.own {
        Own::Best(best) => Some(best),
        Own::NoRoom | Own::NoServers => None,
    };
    let other = report.other;
    let fields = DecidedFields {
        request: job.id(),
        service: &job.service.name,
        failure_domain: &job.node.settings.node.failure_domain,
        share: change.share,
        share_before: change.before,
        requests: change.requests,
        period_ms: change.period_ms,
        reason: report.decision.label(),
        own_ms: own.map(|best| best.first_byte_ms()),
        own_wait_ms: own.map(|best| best.choice.wait_ms),
        other_ms: other.map(|other| other.best.first_byte_ms()),
        other_wait_ms: other.map(|other| other.best.choice.wait_ms),
        surcharge_ms: other.map(|other| other.best.surcharge_ms),
        price_ms: terms.price_ms(),
        target_ms: terms.target_ms,
        load_age_ms: terms.load_age_ms,
    };
    crate::log::emit(events::Code::DomainDecided, &fields);
}

/// Home servers of a prompt's shared prefix: one in each domain if the domains are compared.
pub fn homes(node: &Node, prompt: &Prompt, servers: &[Rc<Server>]) -> Vec<Name> {
    match node.settings.domains {
        Some(_) => prefix_homes(prompt, servers),
        None => prefix_home(prompt, servers).into_iter().collect(),
    }
}

/// Records by how much a first byte was later than predicted, if the settings ask for the decision that
/// uses it.
pub fn record_first_byte(
    job: &Job<'_>,
    server: &Server,
    after_ms: Millisecond,
    predicted_ms: Millisecond,
) {
    let node = job.node;
    if node.settings.domains.is_none() {
        return;
    }
    let mut exits = node.domain_exits.borrow_mut();
    let exit = exits.services.entry(job.service.name.clone()).or_default();
    let domain = server.record.failure_domain.clone();
    let delay = exit.delays.entry(domain).or_default();
    delay.record(after_ms as f64 - predicted_ms as f64, node.now_ms());
}
