//! One play: callers, nodes, servers and troubles in virtual time.

use base::units::Millisecond;
use gateway::decide::rule::Rule;
use gateway::decide::scale::ScalePlanner;
use outside::Purchase;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::callers;
use crate::crossing;
use crate::engine::{Progress, RequestId, Step};
use crate::experiment::{Experiment, Trouble};
use crate::figures::Figures;
use crate::node::{Make, Node};
use crate::requests::{Counted, Request};
use crate::schedule::{MS, Microsecond, S, Schedule};
use crate::supply::{HostId, Pace, State, Supply};

/// Time between two looks at the number of servers, as in the daemon.
pub const ORDERS_US: Microsecond = 500 * MS;

/// Event of a play.
#[derive(Clone, Debug)]
pub enum Event {
    /// A clump of callers of a kind may come.
    Clump {
        /// The kind.
        kind: usize,
    },
    /// A caller asks.
    Ask {
        /// Its request.
        id: RequestId,
    },
    /// A request that waits for a server looks again.
    Look {
        /// The request.
        id: RequestId,
    },
    /// A caller's time is up.
    Overdue {
        /// Its request.
        id: RequestId,
    },
    /// An attempt's time without a token is up.
    Silence {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An engine's step ends.
    Stepped {
        /// The server.
        host: HostId,
        /// Its life when the step began.
        life: u64,
        /// The step.
        step: Step,
    },
    /// A node tells the others of its loads.
    Hello {
        /// The node.
        node: usize,
    },
    /// The holder of the duty looks at the number of servers.
    Orders,
    /// A server that was ordered is there.
    Started {
        /// The order's number.
        order: u64,
    },
    /// A trouble begins.
    Trouble {
        /// Its place in the experiment.
        place: usize,
    },
    /// A server is taken away, whatever it has.
    Taken {
        /// The server.
        host: HostId,
    },
    /// A server is no longer in need.
    Relieved {
        /// The server.
        host: HostId,
        /// Times as long as its steps took.
        times: f64,
    },
    /// A crashed server is back.
    Back {
        /// The server.
        host: HostId,
    },
}

pub struct World<'a> {
    pub experiment: &'a Experiment,
    /// Events to come.
    pub schedule: Schedule<Event>,
    /// Servers.
    pub supply: Supply,
    /// Nodes.
    pub nodes: Vec<Node>,
    /// Requests.
    pub requests: Vec<Request>,
    /// Results of the callers.
    pub figures: Figures,
    /// Chance.
    pub rng: SmallRng,
    /// What the holder of the duty remembers.
    pub scale: ScalePlanner,
}

/// Plays an experiment once.
pub fn play(experiment: &Experiment, rule: Rule, seed: u64) -> Figures {
    let mut world = World::new(experiment, rule, seed);
    let length_us = world.length_us();
    world.run(length_us);
    world.figures.servers = world.supply.cost(length_us);
    let longest = experiment.kinds.iter().map(|k| k.deadline_ms).max();
    world.run(length_us + longest.unwrap_or(0) * MS);
    let (read, shared) = world.supply.tokens_read();
    world.figures.read_tokens = read;
    world.figures.shared_read_tokens = shared;
    world.figures
}

impl<'a> World<'a> {
    fn new(experiment: &'a Experiment, rule: Rule, seed: u64) -> Self {
        let domains = &experiment.fleet.domains;
        let make = Make {
            rule,
            memory_tokens: experiment.engine.memory_tokens,
            nodes: domains.iter().map(|d| d.nodes).sum(),
            limits: experiment.limits,
            crossing: experiment.crossing,
            load_age_ms: (experiment.fleet.hello_ms / 2.0) as Millisecond,
        };
        let mut nodes = Vec::new();
        for domain in domains {
            for _ in 0..domain.nodes {
                let number = nodes.len() as u64;
                nodes.push(Node::new(
                    domain.name.clone(),
                    make,
                    nodes.len(),
                    seed ^ (number << 32),
                ));
            }
        }
        let mut world = Self {
            experiment,
            schedule: Schedule::default(),
            supply: Supply::default(),
            nodes,
            requests: Vec::new(),
            figures: Figures::default(),
            rng: SmallRng::seed_from_u64(seed),
            scale: ScalePlanner::default(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        for domain in &self.experiment.fleet.domains {
            let kinds = [
                (domain.on_demand, Purchase::OnDemand),
                (domain.reclaimable, Purchase::Reclaimable),
            ];
            for (count, purchase) in kinds {
                for _ in 0..count {
                    self.start(&domain.name, purchase);
                }
            }
        }
        for kind in 0..self.experiment.kinds.len() {
            self.schedule.add(0, Event::Clump { kind });
        }
        for (place, trouble) in self.experiment.troubles.iter().enumerate() {
            let at_s = match trouble {
                Trouble::Reclaim { at_s, .. }
                | Trouble::Crash { at_s, .. }
                | Trouble::Limit { at_s, .. } => *at_s,
                // Part of the traffic and of the links.
                Trouble::Burst { .. } | Trouble::Move { .. } | Trouble::SlowLink { .. } => continue,
            };
            self.schedule.add(seconds(at_s), Event::Trouble { place });
        }
        let period_us = self.hello_us();
        for node in 0..self.nodes.len() {
            // Nodes speak one after the other, not all at once.
            let after_us = period_us * node as u64 / self.nodes.len() as u64;
            self.schedule.add(after_us, Event::Hello { node });
        }
        if self.experiment.scaling.is_some() {
            self.schedule.add(ORDERS_US, Event::Orders);
        }
    }

    /// Now, in milliseconds.
    pub fn now_ms(&self) -> Millisecond {
        self.schedule.now_us() / MS
    }

    fn length_us(&self) -> Microsecond {
        seconds(self.experiment.length_s)
    }

    fn run(&mut self, until_us: Microsecond) {
        while let Some(event) = self.schedule.take_next(until_us) {
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Clump { kind } => self.clump(kind),
            Event::Ask { id } => self.ask(id),
            Event::Look { id } => self.look(id),
            Event::Overdue { id } => self.overdue(id),
            Event::Silence { id, attempt } => self.silence(id, attempt),
            Event::Stepped { host, life, step } => self.stepped(host, life, &step),
            Event::Hello { node } => self.hello(node),
            Event::Orders => self.orders(),
            Event::Started { order } => self.started(order),
            Event::Trouble { place } => self.trouble(place),
            Event::Taken { host } => self.taken(host),
            Event::Relieved { host, times } => self.relieved(host, times),
            Event::Back { host } => self.back(host),
        }
    }

    fn clump(&mut self, kind: usize) {
        let now_us = self.schedule.now_us();
        if now_us >= self.length_us() {
            return;
        }
        let of = &self.experiment.kinds[kind];
        let clump = self.experiment.traffic.clump;
        let most = callers::most_crowd(self.experiment);
        let next_us = callers::next_clump_us(of, most, clump, &mut self.rng);
        self.schedule.add(next_us, Event::Clump { kind });
        let likely = callers::crowd(self.experiment, now_us) / most;
        if !self.rng.random_bool(likely.clamp(0.0, 1.0)) {
            return;
        }
        for _ in 0..callers::clump_size(clump, &mut self.rng) {
            let prompt = callers::prompt(of, kind, &mut self.rng);
            let node = crossing::caller_node(self.experiment, now_us, &mut self.rng);
            let mut request = Request::new(kind, of, node, prompt, self.now_ms());
            if now_us < seconds(self.experiment.warm_up_s) {
                request.counted = Counted::No;
            }
            self.requests.push(request);
            let id = self.requests.len() - 1;
            self.schedule
                .add(of.deadline_ms * MS, Event::Overdue { id });
            self.ask(id);
        }
    }

    /// Lets an engine go on if it has work.
    pub fn kick(&mut self, host: HostId) {
        let now_us = self.schedule.now_us();
        let there = self.supply.host(host);
        if there.pace == Pace::Stepping || !matches!(there.state, State::Up | State::Leaving) {
            return;
        }
        let Some(step) = there.engine.begin_step(now_us) else {
            if there.state == State::Leaving {
                self.supply.remove(host, now_us);
            }
            return;
        };
        there.pace = Pace::Stepping;
        let life = there.life;
        let after_us = step.took_us;
        self.schedule
            .add(after_us, Event::Stepped { host, life, step });
    }

    fn stepped(&mut self, host: HostId, life: u64, step: &Step) {
        let there = self.supply.host(host);
        if there.life != life || there.state == State::Gone {
            return;
        }
        there.pace = Pace::Idle;
        for progress in there.engine.end_step(step) {
            match progress {
                Progress::First(id) => self.first(id),
                Progress::Done(id) => self.done(id),
            }
        }
        self.kick(host);
    }

    fn hello(&mut self, node: usize) {
        let now_ms = self.now_ms();
        let told = self.nodes[node].loads();
        let notices = self.nodes[node].notices(now_ms);
        for (other, hearer) in self.nodes.iter_mut().enumerate() {
            if other != node {
                hearer.hear(node, &told);
                hearer.notice(&notices, now_ms);
            }
        }
        self.schedule.add(self.hello_us(), Event::Hello { node });
    }

    fn hello_us(&self) -> Microsecond {
        let period_us = (self.experiment.fleet.hello_ms * MS as f64) as Microsecond;
        period_us.max(MS)
    }
}

/// Virtual time of so many seconds.
pub fn seconds(s: f64) -> Microsecond {
    (s * S as f64) as Microsecond
}
