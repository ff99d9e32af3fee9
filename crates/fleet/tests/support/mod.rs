//! Simulation of nodes joined by a network that delays, drops and reorders messages, with pauses and
//! restarts of nodes and outages of the store.

mod check;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;

use base::units::Millisecond;
use base::{Name, Set, secret};
use fleet::freshness::SyncGeneration;
use fleet::member::{CallTarget, draw_incarnation};
use fleet::node::{Action, Event, Node};
use fleet::timing::Timing;
use fleet::wire::{ConfigDocument, Health, Heartbeat, MemberRecord, Push, SyncRequest};
use outside::{Vm, VmRole, VmState};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Longest time until all nodes know that a backend server is leaving.
pub const LEAVING_BOUND_MS: Millisecond = 5_000;
/// Number of backend servers on the VM list.
const BACKENDS: usize = 40;

/// Network faults and lag of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Percentage of requests, and of answers, that are lost.
    pub drop_percent: u32,
    /// Longest one-way delay of a message.
    pub delay_ms: Millisecond,
    /// Age of the state that the VM list shows.
    pub list_lag_ms: Millisecond,
}

/// Numbers of events in one simulation or several.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub messages: u64,
    pub drops: u64,
    pub pauses: u64,
    pub restarts: u64,
    pub outages: u64,
    pub configs: u64,
    pub marks: u64,
    pub checks: u64,
    /// Checks left out because no running node could know the value.
    pub unknowable: u64,
}

#[derive(Debug)]
enum Request {
    Heartbeat(Heartbeat),
    Push(Push),
    Sync(SyncRequest, SyncGeneration),
}

#[derive(Debug)]
enum QueuedItem {
    Tick,
    Serve {
        from: usize,
        run: u32,
        call: u64,
        request: Request,
    },
    Answer {
        call: u64,
        event: Event,
    },
    Timeout {
        call: u64,
        target: CallTarget,
    },
    Input(Event),
}

struct Scheduled {
    at_ms: Millisecond,
    order: u64,
    node: usize,
    run: u32,
    item: QueuedItem,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.order) == (other.at_ms, other.order)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.order).cmp(&(other.at_ms, other.order))
    }
}

pub struct Host {
    pub node: Node,
    pub run: u32,
    pub paused_until_ms: Millisecond,
    pending: Set<u64>,
    version_seen: u64,
}

struct LeavingMark {
    vm: Name,
    at_ms: Millisecond,
    last_lost_ms: Millisecond,
}

pub struct Simulation {
    pub now_ms: Millisecond,
    pub hosts: Vec<Host>,
    pub counts: Counts,
    pub violations: Vec<String>,
    pub faults: Faults,
    pub timing: Timing,
    pub store_down_until_ms: Millisecond,
    pub stored: Option<ConfigDocument>,
    acknowledged: u64,
    config_last_lost_ms: Millisecond,
    marks: Vec<LeavingMark>,
    list_marks: Vec<LeavingMark>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    rng: StdRng,
    order: u64,
}

pub fn address(index: usize) -> SocketAddr {
    let [.., a, b] = (index as u32).to_be_bytes();
    SocketAddr::from(([10, 0, a, b], 7))
}

pub fn document(version: u64) -> ConfigDocument {
    let text = format!("configuration number {version}, with a common tail");
    ConfigDocument {
        version,
        digest: secret::key_digest_hex(&text),
        text: text.into(),
    }
}

impl Simulation {
    pub fn new(size: usize, faults: Faults, seed: u64) -> Self {
        let mut simulation = Self {
            now_ms: 0,
            hosts: Vec::new(),
            counts: Counts::default(),
            violations: Vec::new(),
            faults,
            timing: Timing::default(),
            store_down_until_ms: 0,
            stored: Some(document(1)),
            acknowledged: 0,
            config_last_lost_ms: 0,
            marks: Vec::new(),
            list_marks: Vec::new(),
            queue: BinaryHeap::new(),
            rng: StdRng::seed_from_u64(seed),
            order: 0,
        };
        for index in 0..size {
            let node = simulation.start(index);
            simulation.hosts.push(Host {
                node,
                run: 0,
                paused_until_ms: 0,
                pending: Set::default(),
                version_seen: 0,
            });
            let first_ms = simulation.rng.random_range(0..simulation.timing.tick_ms);
            simulation.schedule(index, first_ms, QueuedItem::Tick);
        }
        simulation
    }

    pub fn draw_below(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below)
    }

    pub fn run_until(&mut self, end_ms: Millisecond) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at_ms > end_ms {
                break;
            }
            let Some(Reverse(next)) = self.queue.pop() else {
                break;
            };
            self.now_ms = next.at_ms;
            self.step(next);
        }
        self.now_ms = end_ms;
    }

    pub fn pause(&mut self, index: usize, for_ms: Millisecond) {
        self.counts.pauses += 1;
        self.hosts[index].paused_until_ms = self.now_ms + for_ms;
    }

    pub fn restart(&mut self, index: usize) {
        self.counts.restarts += 1;
        let node = self.start(index);
        let host = &mut self.hosts[index];
        host.node = node;
        host.run += 1;
        host.paused_until_ms = 0;
        host.pending.clear();
        host.version_seen = 0;
        self.schedule(index, 0, QueuedItem::Tick);
    }

    pub fn start_store_outage(&mut self, for_ms: Millisecond) {
        self.counts.outages += 1;
        self.store_down_until_ms = self.now_ms + for_ms;
    }

    /// Lets the store accept a new configuration that was proposed at a node, unless the store is down
    /// or the node is paused.
    pub fn configure(&mut self, index: usize) {
        if self.store_is_down() || self.is_paused(index) {
            return;
        }
        self.counts.configs += 1;
        let version = self.stored.as_ref().map_or(0, |d| d.version) + 1;
        self.stored = Some(document(version));
        self.schedule(
            index,
            1,
            QueuedItem::Input(Event::ConfigLearned(document(version))),
        );
    }

    /// Lets a backend server leave. The node at `index` observes it; without one, only the VM list
    /// shows it.
    pub fn leave_backend(&mut self, index: Option<usize>) {
        let vm: Name = format!("backend-{}", self.counts.marks).into();
        self.counts.marks += 1;
        let at_ms = self.now_ms;
        let listed = LeavingMark {
            vm: vm.clone(),
            at_ms,
            last_lost_ms: 0,
        };
        self.list_marks.push(listed);
        let Some(index) = index.filter(|index| !self.is_paused(*index)) else {
            return;
        };
        self.marks.push(LeavingMark {
            vm: vm.clone(),
            at_ms,
            last_lost_ms: 0,
        });
        self.schedule(index, 1, QueuedItem::Input(Event::LeavingSeen(vm)));
    }

    pub fn is_paused(&self, index: usize) -> bool {
        self.hosts[index].paused_until_ms > self.now_ms
    }

    pub fn all_members_alive(&self) -> bool {
        let size = self.hosts.len();
        self.hosts.iter().all(|host| {
            let others = host.node.members().others();
            let alive = others.filter(|r| r.health == Health::Alive).count();
            alive == size - 1
        })
    }

    fn store_is_down(&self) -> bool {
        self.store_down_until_ms > self.now_ms
    }

    fn start(&mut self, index: usize) -> Node {
        let me = MemberRecord {
            name: format!("n{index}").into(),
            address: address(index),
            failure_domain: format!("domain-{}", index % 3).into(),
            incarnation: draw_incarnation(1_000_000 + self.now_ms, &mut self.rng),
            health: Health::Alive,
        };
        let seeds = (0..3).map(address).collect();
        Node::new(me, seeds, self.timing, self.now_ms)
    }

    fn schedule(&mut self, node: usize, in_ms: Millisecond, item: QueuedItem) {
        let run = self.hosts[node].run;
        self.schedule_for_run(node, run, in_ms, item);
    }

    fn schedule_for_run(&mut self, node: usize, run: u32, in_ms: Millisecond, item: QueuedItem) {
        self.order += 1;
        let at_ms = self.now_ms + in_ms;
        let order = self.order;
        self.queue.push(Reverse(Scheduled {
            at_ms,
            order,
            node,
            run,
            item,
        }));
    }

    fn delay(&mut self) -> Millisecond {
        self.rng.random_range(1..=self.faults.delay_ms)
    }

    fn step(&mut self, next: Scheduled) {
        let index = next.node;
        let host = &mut self.hosts[index];
        let is_incoming_call = matches!(next.item, QueuedItem::Serve { .. });
        if host.run != next.run && !is_incoming_call {
            return;
        }
        if host.paused_until_ms > self.now_ms {
            let in_ms = host.paused_until_ms - self.now_ms + self.rng.random_range(0..20);
            return self.schedule_for_run(index, next.run, in_ms, next.item);
        }
        match next.item {
            QueuedItem::Tick => {
                self.schedule(index, self.timing.tick_ms, QueuedItem::Tick);
                self.input(index, Event::Tick);
            }
            QueuedItem::Input(event) => self.input(index, event),
            QueuedItem::Answer { call, event } => {
                if self.hosts[index].pending.remove(&call) {
                    self.input(index, event);
                }
            }
            QueuedItem::Timeout { call, target } => {
                if self.hosts[index].pending.remove(&call) {
                    self.input(index, Event::CallFailed(target));
                }
            }
            QueuedItem::Serve {
                from,
                run,
                call,
                request,
            } => {
                self.serve(index, from, run, call, request);
            }
        }
        self.check(index);
    }

    fn input(&mut self, index: usize, event: Event) {
        let host = &mut self.hosts[index];
        let actions = host.node.handle(event, self.now_ms, &mut self.rng);
        self.carry_out(index, actions);
    }

    fn serve(&mut self, index: usize, from: usize, run: u32, call: u64, request: Request) {
        let node = &mut self.hosts[index].node;
        let (event, actions) = match request {
            Request::Heartbeat(heartbeat) => {
                let (answer, actions) =
                    node.answer_heartbeat(heartbeat, self.now_ms, &mut self.rng);
                (Event::HeartbeatAnswered(answer), actions)
            }
            Request::Push(push) => {
                let (answer, actions) = node.answer_push(push, self.now_ms, &mut self.rng);
                let name = node.members().me().name.clone();
                (Event::PushAnswered(name, answer), actions)
            }
            Request::Sync(request, generation) => {
                let answer = node.answer_sync(request, self.now_ms);
                (Event::SyncAnswered(answer, generation), Vec::new())
            }
        };
        self.carry_out(index, actions);
        if self.draw_loss() {
            return;
        }
        let in_ms = self.delay();
        self.schedule_for_run(from, run, in_ms, QueuedItem::Answer { call, event });
    }

    fn draw_loss(&mut self) -> bool {
        let lost = self.rng.random_ratio(self.faults.drop_percent, 100);
        self.counts.drops += u64::from(lost);
        lost
    }

    fn carry_out(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendHeartbeat(target, message) => {
                    self.call(index, target, Request::Heartbeat(message));
                }
                Action::SendPush(name, to, push) => {
                    self.call(index, CallTarget::Member(name, to), Request::Push(push));
                }
                Action::SendSync(name, to, request, generation) => {
                    self.call(
                        index,
                        CallTarget::Member(name, to),
                        Request::Sync(request, generation),
                    );
                }
                Action::ReadConfig(generation) if !self.store_is_down() => {
                    let event = Event::ConfigRead(self.stored.clone(), generation);
                    let in_ms = self.delay();
                    self.schedule(index, in_ms, QueuedItem::Input(event));
                }
                Action::ReadList(generation) if !self.store_is_down() => {
                    let event = Event::ListRead(self.list(), generation);
                    let in_ms = self.delay();
                    self.schedule(index, in_ms, QueuedItem::Input(event));
                }
                Action::ReadNotices(answered, generation) if !self.store_is_down() => {
                    let under_notice = |vm: &&Name| self.marks.iter().any(|m| m.vm == **vm);
                    let leaving = answered.iter().filter(under_notice).cloned().collect();
                    let event = Event::NoticesRead {
                        answered,
                        leaving,
                        generation,
                    };
                    let in_ms = self.delay();
                    self.schedule(index, in_ms, QueuedItem::Input(event));
                }
                _ => {}
            }
        }
    }

    fn call(&mut self, from: usize, target: CallTarget, request: Request) {
        self.counts.messages += 1;
        let (CallTarget::Member(_, to) | CallTarget::Candidate(to)) = &target;
        let to = (0..self.hosts.len()).find(|index| address(*index) == *to);
        let to = to.expect("only hosts are called");
        self.order += 1;
        let call = self.order;
        self.hosts[from].pending.insert(call);
        self.schedule(
            from,
            self.timing.call_ms,
            QueuedItem::Timeout { call, target },
        );
        if self.draw_loss() {
            return;
        }
        let run = self.hosts[from].run;
        let in_ms = self.delay();
        self.schedule(
            to,
            in_ms,
            QueuedItem::Serve {
                from,
                run,
                call,
                request,
            },
        );
    }

    fn list(&self) -> Vec<Vm> {
        let mut vms = Vec::new();
        for index in 0..self.hosts.len() {
            vms.push(vm(
                &format!("n{index}"),
                address(index),
                VmRole::Entry,
                VmState::Live,
            ));
        }
        for index in 0..BACKENDS {
            let id = format!("backend-{index}");
            let mark = self.list_marks.iter().find(|mark| *mark.vm == *id);
            let listed = mark.filter(|m| m.at_ms + self.faults.list_lag_ms <= self.now_ms);
            let state = match listed {
                Some(_) => VmState::Leaving {
                    remaining_ms: 1_000,
                },
                None => VmState::Live,
            };
            vms.push(vm(&id, address(999), VmRole::Backend, state));
        }
        vms
    }
}

fn vm(id: &str, address: SocketAddr, role: VmRole, state: VmState) -> Vm {
    Vm {
        id: id.into(),
        address,
        failure_domain: "domain-0".into(),
        class: "small".into(),
        role,
        service: None,
        state,
    }
}
