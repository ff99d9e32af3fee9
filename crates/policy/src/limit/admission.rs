//! The admission state and its events.

use base::ids::RequestId;
use base::units::Millisecond;
use base::{Map, Name};
use rand::Rng;

use super::demand::{PeerDemand, PeerSum};
use super::queue::Queue;
use super::share::{Claim, allot, own_part};
use super::{
    AdmissionAction, AdmissionConfig, AdmissionRequest, RefusalReason, WorkspaceDemand,
    WorkspaceShare,
};
use crate::route::Priority;

/// Weight of the newest slot time in its moving average.
const HOLD_EWMA_WEIGHT: f64 = 0.1;

/// Part of the time to the due instant that may be spent waiting, by priority; later ones like the
/// last. Lower priorities are refused earlier, so that their callers can go elsewhere.
const WAIT_BUDGET: [f64; 3] = [1.0, 0.7, 0.4];

/// Shortest and longest time after which a caller is told to come back.
const RETRY_AFTER_MIN_MS: Millisecond = 200;
const RETRY_AFTER_MAX_MS: Millisecond = 30_000;

#[derive(Debug)]
struct Workspace {
    name: Name,
    weight: f64,
    max_slots: f64,
    running: u32,
    queue: Queue,
    peers: PeerSum,
    hold_ms: f64,
    /// Slots the whole fleet may give this workspace now.
    allotted: f64,
}

impl Workspace {
    fn new(share: &WorkspaceShare, config: &AdmissionConfig) -> Self {
        Self {
            name: share.workspace.clone(),
            weight: share.weight,
            max_slots: max_slots(share),
            running: 0,
            queue: Queue::default(),
            peers: PeerSum::default(),
            hold_ms: config.prior_hold_ms as f64,
            allotted: 0.0,
        }
    }

    fn own(&self) -> f64 {
        f64::from(self.running) + self.queue.len() as f64
    }

    fn total(&self) -> f64 {
        self.own() + self.peers.total
    }

    fn part(&self, now_ms: Millisecond) -> u32 {
        let own = self.own();
        own_part(self.allotted, self.peers.before, own, self.total(), now_ms)
    }

    fn estimate(&self) -> Estimate {
        let part = match self.total() {
            0.0 => 0.0,
            total => self.allotted * self.own() / total,
        };
        Estimate {
            part,
            running: f64::from(self.running),
            hold_ms: self.hold_ms,
        }
    }
}

/// Expected waits in one workspace's queue.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// Slots of this entry VM on the average, without rounding.
    part: f64,
    running: f64,
    hold_ms: f64,
}

impl Estimate {
    /// Expected wait with that many requests ahead in the queue.
    fn wait_ms(&self, ahead: usize) -> f64 {
        if self.part <= 0.0 {
            return f64::INFINITY;
        }
        let over = self.running - self.part;
        let ends_needed = (ahead as f64 + 1.0 + over).max(0.0);
        ends_needed * self.hold_ms / self.part
    }

    /// Whether a request at that place in the queue cannot get its first token when due.
    fn hopeless(&self, ahead: usize, request: &AdmissionRequest, now_ms: Millisecond) -> bool {
        let left_ms = request.first_token_due_ms.saturating_sub(now_ms) as f64;
        let slack_ms = left_ms - request.expected_first_token_ms as f64;
        if slack_ms < 0.0 {
            return true;
        }
        self.wait_ms(ahead) > slack_ms * wait_budget(request.priority)
    }
}

/// Admission at one entry VM for one service.
#[derive(Debug)]
pub struct Admission {
    own: Name,
    config: AdmissionConfig,
    capacity_slots: f64,
    workspaces: Vec<Workspace>,
    positions: Map<Name, usize>,
    running: Map<RequestId, Running>,
    peers: PeerDemand,
}

#[derive(Clone, Debug)]
struct Running {
    workspace: Name,
    started_ms: Millisecond,
}

impl Admission {
    /// Admission at the entry VM `own`, without capacity until [`Admission::on_capacity`].
    pub fn new(own: Name, config: AdmissionConfig, shares: &[WorkspaceShare]) -> Self {
        let mut admission = Self {
            own,
            config,
            capacity_slots: 0.0,
            workspaces: Vec::new(),
            positions: Map::default(),
            running: Map::default(),
            peers: PeerDemand::default(),
        };
        for share in shares {
            admission.add_workspace(share);
        }
        admission
    }

    /// Puts new shares in force. Requests of a workspace that is no longer listed are refused if
    /// waiting, and finish if running.
    pub fn on_shares(&mut self, shares: &[WorkspaceShare]) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        for workspace in &mut self.workspaces {
            let share = shares.iter().find(|s| s.workspace == workspace.name);
            workspace.weight = share.map_or(0.0, |share| share.weight);
            if let Some(share) = share {
                workspace.max_slots = max_slots(share);
                continue;
            }
            while let Some(request) = workspace.queue.pop_first() {
                actions.push(refuse_unknown(&request));
            }
        }
        for share in shares {
            if !self.positions.contains_key(&share.workspace) {
                self.add_workspace(share);
            }
        }
        self.divide();
        actions
    }

    /// Sets the slots of all backend servers that may take work.
    pub fn on_capacity(&mut self, slots: f64) {
        self.capacity_slots = slots;
        self.divide();
    }

    /// Takes in a peer's demand, as of `made_ms` on this entry VM's clock.
    pub fn on_peer_demand(
        &mut self,
        peer: &Name,
        made_ms: Millisecond,
        demand: &[WorkspaceDemand],
    ) {
        self.peers.put(peer, made_ms, demand);
        self.sum_peers();
    }

    /// Takes in an estimate of the whole fleet's demand, this entry VM's included, where there are
    /// too many peers to hear them all. `rank` is this entry VM's place among `entries` by name.
    pub fn on_fleet_demand(
        &mut self,
        made_ms: Millisecond,
        fleet: &[(Name, u64)],
        rank: usize,
        entries: usize,
    ) {
        let before = rank as f64 / entries.saturating_sub(1).max(1) as f64;
        let mut sums = Map::default();
        for (workspace, units) in fleet {
            let Some(position) = self.positions.get(workspace) else {
                continue;
            };
            let own = self.workspaces[*position].own();
            let total = (*units as f64 - own).max(0.0);
            let before = before * total;
            sums.insert(workspace.clone(), PeerSum { before, total });
        }
        self.peers.put_estimate(made_ms, sums);
        self.sum_peers();
    }

    /// The demand to tell the peers.
    pub fn demand(&self) -> Vec<WorkspaceDemand> {
        let mut demand = Vec::new();
        for workspace in &self.workspaces {
            let queued = workspace.queue.len() as u32;
            if workspace.running + queued == 0 {
                continue;
            }
            demand.push(WorkspaceDemand {
                workspace: workspace.name.clone(),
                running: workspace.running,
                queued,
            });
        }
        demand
    }

    /// A request arrives: it is started, left waiting (no action) or refused at once.
    pub fn on_request(
        &mut self,
        request: AdmissionRequest,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<AdmissionAction> {
        let position = self.positions.get(&request.workspace).copied();
        let known = position.filter(|i| self.workspaces[*i].weight > 0.0);
        let Some(position) = known else {
            return vec![refuse_unknown(&request)];
        };
        let mut actions = Vec::new();
        let full = self.workspaces[position].queue.len() >= self.config.max_queued_per_workspace;
        if full {
            let action = self.make_room(position, &request, rng);
            let newcomer_refused =
                matches!(&action, AdmissionAction::Refuse { id, .. } if *id == request.id);
            actions.push(action);
            if newcomer_refused {
                return actions;
            }
        }
        self.workspaces[position].queue.push(request);
        self.divide();
        self.settle(position, now_ms, rng, &mut actions);
        actions
    }

    /// A request ended, running or waiting, whatever its result.
    pub fn on_finish(
        &mut self,
        id: RequestId,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<AdmissionAction> {
        let mut actions = Vec::new();
        let Some(ended) = self.running.remove(&id) else {
            for workspace in &mut self.workspaces {
                workspace.queue.remove(id);
            }
            self.divide();
            return actions;
        };
        let Some(position) = self.positions.get(&ended.workspace).copied() else {
            return actions;
        };
        let workspace = &mut self.workspaces[position];
        workspace.running -= 1;
        let held_ms = now_ms.saturating_sub(ended.started_ms) as f64;
        workspace.hold_ms += HOLD_EWMA_WEIGHT * (held_ms - workspace.hold_ms);
        self.divide();
        self.settle_all(now_ms, rng, &mut actions);
        actions
    }

    /// Time passes: what has become possible is started, what has become hopeless is refused.
    pub fn on_tick(&mut self, now_ms: Millisecond, rng: &mut impl Rng) -> Vec<AdmissionAction> {
        let oldest_ms = now_ms.saturating_sub(self.config.peer_demand_max_age_ms);
        if self.peers.expire(oldest_ms) {
            self.sum_peers();
        }
        let mut actions = Vec::new();
        self.settle_all(now_ms, rng, &mut actions);
        actions
    }

    fn add_workspace(&mut self, share: &WorkspaceShare) {
        self.positions
            .insert(share.workspace.clone(), self.workspaces.len());
        self.workspaces.push(Workspace::new(share, &self.config));
    }

    fn sum_peers(&mut self) {
        let sums = self.peers.sums(&self.own);
        for workspace in &mut self.workspaces {
            workspace.peers = sums.get(&workspace.name).copied().unwrap_or_default();
        }
        self.divide();
    }

    fn divide(&mut self) {
        let claims: Vec<Claim> = self
            .workspaces
            .iter()
            .map(|workspace| Claim {
                weight: workspace.weight,
                demand: workspace.total().min(workspace.max_slots),
            })
            .collect();
        let amounts = allot(self.capacity_slots, &claims);
        for (workspace, amount) in self.workspaces.iter_mut().zip(amounts) {
            workspace.allotted = amount;
        }
    }

    /// The queue is full: whoever goes last, the newcomer or the last in the queue, is refused.
    fn make_room(
        &mut self,
        position: usize,
        newcomer: &AdmissionRequest,
        rng: &mut impl Rng,
    ) -> AdmissionAction {
        let workspace = &mut self.workspaces[position];
        let newcomer_last = workspace.queue.ahead_of(newcomer) == workspace.queue.len();
        let refused = match newcomer_last {
            true => newcomer.id,
            false => workspace
                .queue
                .pop_last()
                .map_or(newcomer.id, |last| last.id),
        };
        AdmissionAction::Refuse {
            id: refused,
            reason: RefusalReason::QueueFull,
            retry_after_ms: retry_after_ms(workspace, rng),
        }
    }

    fn settle_all(
        &mut self,
        now_ms: Millisecond,
        rng: &mut impl Rng,
        actions: &mut Vec<AdmissionAction>,
    ) {
        for position in 0..self.workspaces.len() {
            self.settle(position, now_ms, rng, actions);
        }
    }

    /// Starts what fits into this entry VM's part, then refuses what can no longer be on time.
    fn settle(
        &mut self,
        position: usize,
        now_ms: Millisecond,
        rng: &mut impl Rng,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if self.workspaces[position].queue.len() == 0 {
            return;
        }
        self.start_in_part(position, now_ms, rng, actions);
        self.refuse_hopeless(position, now_ms, rng, actions);
    }

    fn start_in_part(
        &mut self,
        position: usize,
        now_ms: Millisecond,
        rng: &mut impl Rng,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let workspace = &mut self.workspaces[position];
        let part = workspace.part(now_ms);
        while workspace.running < part {
            let Some(request) = workspace.queue.pop_first() else {
                return;
            };
            let earliest_ms = now_ms + request.expected_first_token_ms;
            if earliest_ms > request.first_token_due_ms {
                actions.push(out_of_reach(&request, workspace, rng));
                continue;
            }
            workspace.running += 1;
            let running = Running {
                workspace: workspace.name.clone(),
                started_ms: now_ms,
            };
            self.running.insert(request.id, running);
            actions.push(AdmissionAction::Start { id: request.id });
        }
    }

    fn refuse_hopeless(
        &mut self,
        position: usize,
        now_ms: Millisecond,
        rng: &mut impl Rng,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let workspace = &mut self.workspaces[position];
        let estimate = workspace.estimate();
        let hopeless = workspace
            .queue
            .take_hopeless(|ahead, request| estimate.hopeless(ahead, request, now_ms));
        for request in &hopeless {
            actions.push(out_of_reach(request, &self.workspaces[position], rng));
        }
        if !hopeless.is_empty() {
            self.divide();
        }
    }
}

fn max_slots(share: &WorkspaceShare) -> f64 {
    share.max_slots.map_or(f64::INFINITY, f64::from)
}

fn wait_budget(priority: Priority) -> f64 {
    let last = WAIT_BUDGET.len() - 1;
    WAIT_BUDGET[usize::from(priority).min(last)]
}

fn refuse_unknown(request: &AdmissionRequest) -> AdmissionAction {
    AdmissionAction::Refuse {
        id: request.id,
        reason: RefusalReason::UnknownWorkspace,
        retry_after_ms: RETRY_AFTER_MAX_MS,
    }
}

fn out_of_reach(
    request: &AdmissionRequest,
    workspace: &Workspace,
    rng: &mut impl Rng,
) -> AdmissionAction {
    AdmissionAction::Refuse {
        id: request.id,
        reason: RefusalReason::TargetOutOfReach,
        retry_after_ms: retry_after_ms(workspace, rng),
    }
}

/// Time until what waits now is expected to have started, with up to half as much again so that
/// refused callers do not come back together.
fn retry_after_ms(workspace: &Workspace, rng: &mut impl Rng) -> Millisecond {
    let longest = RETRY_AFTER_MAX_MS as f64;
    let drained_ms = workspace
        .estimate()
        .wait_ms(workspace.queue.len())
        .min(longest);
    let spread = rng.random_range(1.0..1.5);
    let delay_ms = (drained_ms * spread) as Millisecond;
    delay_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
}
