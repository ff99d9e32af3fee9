//! One node: what it knows of the servers, and the gateway's decisions on it.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use base::outcome::RunState;
use base::units::{Millisecond, TokenCount};
use base::{Map, Name};
use gateway::belief::Server;
use gateway::belief::registry::{Load, ServerRecord, ServerState};
use gateway::decide::backpressure::{Availability, Notice, Now, Timing};
use gateway::decide::domain_exit::{DomainExit, ExitTerms, MeasuredDelay, Refusal, surcharge_ms};
use gateway::decide::offered_load::OfferedLoad;
use gateway::decide::outcome::AttemptHistory;
use gateway::decide::placement::{
    Candidate, Choice, Demand, ENGINE_QUEUE_SHARE, Locality, PlacementView, prefix_homes, untried,
};
use gateway::decide::prompt::Prompt;
use gateway::decide::retry_budget::{RetryBudget, RetryPermit, RetryTerms};
use gateway::decide::rule::{BaselineInputs, Exit, Rule, TimeLimits, choose_in_time};
use gateway::decide::signal::Signals;
use gateway::decide::speed::{Sample, Work};
use gateway::decide::speed_estimate::SpeedEstimate;
use gateway::decide::timeouts::{AttemptState, NoServer, SilenceTimeout};
use gateway::decide::turns::{Rendezvous, Turn};
use outside::Purchase;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::crossing::{self, traffic_kb};
use crate::experiment::{Crossing, CrossingRule, LimitsRule};

/// Terms of repeated sends, by the rules' example.
const TERMS: RetryTerms = RetryTerms {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 52.0,
};

/// Requests at each server.
pub type Loads = Map<Name, Load>;

pub struct Node {
    /// Its failure domain.
    pub failure_domain: Name,
    servers: Map<Name, Rc<Server>>,
    /// Last heartbeat of each other node.
    told: Map<usize, Loads>,
    repeats: RetryBudget,
    work: OfferedLoad,
    estimate: SpeedEstimate,
    rule: Rule,
    memory_tokens: TokenCount,
    nodes: usize,
    limits: LimitsRule,
    crossing: Crossing,
    load_age_ms: Millisecond,
    exit: DomainExit,
    delays: Map<Name, MeasuredDelay>,
    rendezvous: Rendezvous,
    turn: u64,
    rng: SmallRng,
}

/// Settings that all nodes share.
#[derive(Clone, Copy, Debug)]
pub struct Make {
    /// The rule of choice.
    pub rule: Rule,
    /// An engine's memory for prompts.
    pub memory_tokens: TokenCount,
    /// Number of nodes.
    pub nodes: usize,
    /// Whether nodes obey the rate limits of servers.
    pub limits: LimitsRule,
    /// When requests leave their domain.
    pub crossing: Crossing,
    /// Mean age of the loads of other nodes.
    pub load_age_ms: Millisecond,
}

/// A request that is to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Its prompt.
    pub prompt: &'a Prompt,
    /// Servers that failed it before.
    pub avoid: &'a [Name],
    /// Until when its first token may come.
    pub limits: TimeLimits,
    pub target_ms: Millisecond,
    pub run_state: RunState,
}

/// A request that a node has sent.
#[derive(Clone, Debug)]
pub struct Sent {
    /// The server.
    pub server: Rc<Server>,
    pub locality: Locality,
    at_ms: Millisecond,
    predicted_ms: Millisecond,
    work: Work,
    waiting_tokens: TokenCount,
}

impl Node {
    /// A node that knows no server; `number` is its place among all.
    pub fn new(failure_domain: Name, make: Make, number: usize, seed: u64) -> Self {
        Self {
            failure_domain,
            servers: Map::default(),
            told: Map::default(),
            repeats: RetryBudget::default(),
            work: OfferedLoad::default(),
            estimate: SpeedEstimate::default(),
            rule: make.rule,
            memory_tokens: make.memory_tokens,
            nodes: make.nodes,
            limits: make.limits,
            crossing: make.crossing,
            load_age_ms: make.load_age_ms,
            exit: DomainExit::default(),
            delays: Map::default(),
            rendezvous: Rendezvous::new(address(number), (0..make.nodes).map(address)),
            turn: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Learns of a server.
    pub fn learn(&mut self, id: &Name, failure_domain: &Name, slots: u32, born: u64) {
        let record = ServerRecord {
            id: id.clone(),
            service: "model".into(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            failure_domain: failure_domain.clone(),
            version: Name::default(),
            slots,
            state: ServerState::Ready,
            purchase: Purchase::OnDemand,
            born_unix_ms: born,
            sequence: 0,
        };
        self.servers
            .insert(id.clone(), Rc::new(Server::new(record)));
    }

    /// Learns that a server takes nothing new.
    pub fn forget(&mut self, id: &Name) {
        self.servers.remove(id);
    }

    /// Chooses a server for a request.
    ///
    /// # Errors
    ///
    /// No server is to have it.
    pub fn send(&mut self, ask: &Ask<'_>, now_ms: Millisecond) -> Result<Sent, NoServer> {
        let prompt = ask.prompt;
        let known = self.known();
        let open = known.iter().filter(|server| self.is_open(server, now_ms));
        let open: Vec<Rc<Server>> = open.cloned().collect();
        if open.is_empty() && !known.is_empty() {
            return Err(NoServer::Full);
        }
        let servers = untried(self.permitted(open), ask.avoid);
        let view = PlacementView {
            prompt,
            homes: self.homes(prompt, &servers),
            failure_domain: &self.failure_domain,
            speed: self.estimate.speed(),
            others_age_ms: Millisecond::MAX,
            now_ms,
        };
        let candidate = |server: &Rc<Server>| view.candidate(server, server.record.slots, 0);
        let candidates: Vec<Candidate> = servers.iter().map(candidate).collect();
        let chance = BaselineInputs {
            drawn: self.rng.random(),
            turn: self.turn,
        };
        self.turn += 1;
        let choice = self.choose(ask, &servers, &candidates, chance, now_ms)?;
        let server = servers[choice.index].clone();
        if let Some(turn) = self.opening(&server, now_ms).1 {
            server.flow.turns.borrow_mut().take(&turn);
        }
        server.begin_request(choice.tokens_to_read);
        server
            .cache
            .borrow_mut()
            .record(prompt, self.memory_tokens, now_ms);
        let estimate = &self.estimate;
        let reading_ms = estimate.work_share() * estimate.speed().reading_ms(choice.tokens_to_read);
        self.work.add(reading_ms, now_ms);
        Ok(Sent {
            server,
            locality: candidates[choice.index].locality,
            at_ms: now_ms,
            predicted_ms: choice.first_byte_ms,
            work: choice.work,
            waiting_tokens: choice.tokens_to_read,
        })
    }

    fn choose(
        &mut self,
        ask: &Ask<'_>,
        servers: &[Rc<Server>],
        candidates: &[Candidate],
        chance: BaselineInputs,
        now_ms: Millisecond,
    ) -> Result<Choice, NoServer> {
        let demand = Demand::of(ask.prompt, ENGINE_QUEUE_SHARE);
        if self.crossing.rule == CrossingRule::FixedPenalty {
            let chosen = choose_in_time(self.rule, &demand, candidates, chance, ask.limits, None)?;
            return Ok(chosen.choice);
        }
        let delay_ms = |domain: &Name| {
            self.delays
                .get(domain)
                .map_or(0.0, |delay| delay.ms(now_ms))
        };
        let surcharge = |server: &Rc<Server>| {
            let domain = &server.record.failure_domain;
            surcharge_ms(
                Locality::of(domain, &self.failure_domain),
                delay_ms(&self.failure_domain),
                delay_ms(domain),
                self.load_age_ms,
            )
        };
        let exit = Exit {
            state: &mut self.exit,
            terms: ExitTerms {
                target_ms: ask.target_ms,
                traffic_kb: traffic_kb(ask.prompt),
                cost_ms_per_kb: self.crossing.cost_ms_per_kb,
                now_ms,
                load_age_ms: self.load_age_ms,
                refusal: Refusal::after(ask.run_state),
            },
            surcharges_ms: servers.iter().map(surcharge).collect(),
        };
        let chosen = choose_in_time(
            self.rule,
            &demand,
            candidates,
            chance,
            ask.limits,
            Some(exit),
        )?;
        Ok(chosen.choice)
    }

    /// The servers that the rule of crossing permits.
    fn permitted(&self, servers: Vec<Rc<Server>>) -> Vec<Rc<Server>> {
        let own = servers
            .iter()
            .filter(|s| s.record.failure_domain == self.failure_domain);
        let own: Vec<Rc<Server>> = own.cloned().collect();
        match self.crossing.rule {
            CrossingRule::Stay if !own.is_empty() => own,
            CrossingRule::Stay | CrossingRule::Decided | CrossingRule::FixedPenalty => servers,
        }
    }

    fn homes(&self, prompt: &Prompt, servers: &[Rc<Server>]) -> Vec<Name> {
        let homes = prefix_homes(prompt, servers);
        match self.crossing.rule {
            CrossingRule::FixedPenalty => crossing::one_home(prompt, homes),
            CrossingRule::Stay | CrossingRule::Decided => homes,
        }
    }

    /// Whether a server may get a request at once. Requests do not wait here for a turn.
    fn is_open(&self, server: &Server, now_ms: Millisecond) -> bool {
        self.opening(server, now_ms).0 == Availability::Now
    }

    fn opening(&self, server: &Server, now_ms: Millisecond) -> (Availability, Option<Turn>) {
        if self.limits == LimitsRule::Ignored {
            return (Availability::Now, None);
        }
        let believed = server.flow.backpressure.borrow();
        believed.availability(instants(now_ms), |per_s, from_ms| {
            let mut turns = server.flow.turns.borrow_mut();
            turns.next(per_s, &self.rendezvous, &server.record.id, from_ms)
        })
    }

    /// Takes in what a server says of itself with a first token.
    pub fn saw_signals(&mut self, sent: &Sent, signals: &Signals, now_ms: Millisecond) {
        let now = instants(now_ms);
        let timing = Timing {
            sent_ms: instants(sent.at_ms).fleet_ms,
            answered_ms: now.fleet_ms,
            now_ms,
        };
        let mut believed = sent.server.flow.backpressure.borrow_mut();
        believed.record_answer(signals, timing);
    }

    /// Loads of the servers, for its heartbeat.
    pub fn notices(&self, now_ms: Millisecond) -> Vec<Notice> {
        let notices = self.servers.values().filter_map(|server| {
            let believed = server.flow.backpressure.borrow();
            let record = &server.record;
            believed.notice(&record.id, record.born_unix_ms, instants(now_ms).fleet_ms)
        });
        notices.collect()
    }

    /// Takes in what another node tells of servers.
    pub fn notice(&mut self, notices: &[Notice], now_ms: Millisecond) {
        for notice in notices {
            let Some(server) = self.servers.get(&notice.server) else {
                continue;
            };
            let mut believed = server.flow.backpressure.borrow_mut();
            believed.merge_notice(notice, instants(now_ms).fleet_ms);
        }
    }

    /// How long a server is waited for without a token.
    pub fn patience(
        &mut self,
        sent: &Sent,
        trail: AttemptHistory,
        target_ms: Millisecond,
        left_ms: Millisecond,
    ) -> SilenceTimeout {
        let waiting = AttemptState {
            history: trail,
            retry: self.repeats.check(&TERMS, self.nodes, sent.at_ms),
            target_ms,
            left_ms,
            predicted_ms: sent.predicted_ms,
        };
        waiting.silence_timeout()
    }

    /// Counts work that was refused.
    pub fn unmet(&mut self, lacking: NoServer, now_ms: Millisecond) {
        if let NoServer::Busy { reading_ms } = lacking {
            let work_ms = self.estimate.work_share() * reading_ms as f64;
            self.work.add(work_ms, now_ms);
        }
    }

    /// Counts the first send of a request.
    pub fn requested(&mut self, now_ms: Millisecond) {
        self.repeats.count_request(&TERMS, now_ms);
    }

    /// Whether a request may be sent once more, and counts it if so.
    pub fn draw_repeat(&mut self, now_ms: Millisecond) -> RetryPermit {
        self.repeats.take(&TERMS, self.nodes, now_ms)
    }

    /// Takes note of a first token.
    pub fn saw_first(&mut self, sent: &mut Sent, now_ms: Millisecond) {
        let after_ms = now_ms - sent.at_ms;
        self.estimate.record(&Sample {
            work: sent.work,
            after_ms,
            factor: 1.0,
        });
        sent.server.record_success(now_ms);
        let domain = sent.server.record.failure_domain.clone();
        let excess_ms = after_ms as f64 - sent.predicted_ms as f64;
        self.delays
            .entry(domain)
            .or_default()
            .record(excess_ms, now_ms);
        read(sent);
    }

    /// Takes note that a server failed a request.
    pub fn saw_failure(&mut self, sent: &Sent, now_ms: Millisecond) {
        sent.server.record_failure(now_ms);
    }

    /// Takes note that a request has left its server.
    pub fn ended(&mut self, sent: &mut Sent) {
        read(sent);
        sent.server.end_request();
    }

    /// Servers that its work keeps busy.
    pub fn busy(&mut self, now_ms: Millisecond) -> f64 {
        self.work.busy_servers(now_ms)
    }

    /// Servers whose places the requests of all nodes fill, as far as it knows.
    pub fn batches(&self) -> f64 {
        let servers = self.servers.values();
        let part = |s: &Rc<Server>| f64::from(s.load().running) / f64::from(s.record.slots);
        servers.map(part).sum()
    }

    /// Its own requests at each server that has any.
    pub fn loads(&self) -> Loads {
        let busy = self.servers.iter().filter(|(_, s)| s.running.get() > 0);
        let loads = busy.map(|(id, server)| {
            let load = Load {
                running: server.running.get(),
                waiting_tokens: server.waiting_tokens.get(),
            };
            (id.clone(), load)
        });
        loads.collect()
    }

    /// Takes in what another node has at each server.
    pub fn hear(&mut self, node: usize, told: &Loads) {
        self.told.insert(node, told.clone());
        for (id, server) in &self.servers {
            let mut others = Load::default();
            for load in self.told.values().filter_map(|told| told.get(id)) {
                others.running += load.running;
                others.waiting_tokens += load.waiting_tokens;
            }
            server.load_of_others.set(others);
        }
    }

    /// All servers, in an order that each play has.
    fn known(&self) -> Vec<Rc<Server>> {
        let mut all: Vec<Rc<Server>> = self.servers.values().cloned().collect();
        all.sort_by(|a, b| a.record.id.cmp(&b.record.id));
        all
    }
}

/// Address that identifies a node.
fn address(number: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0A00_0001 + number as u32), 1))
}

/// The emulated nodes share one clock.
fn instants(now_ms: Millisecond) -> Now {
    /// Fleet time of the start.
    const ORIGIN_MS: Millisecond = 1_000_000_000;
    Now {
        node_ms: now_ms,
        fleet_ms: ORIGIN_MS + now_ms,
    }
}

fn read(sent: &mut Sent) {
    sent.server.release_tokens(sent.waiting_tokens);
    sent.waiting_tokens = 0;
}
