//! Admission state of one service and the events that change it.

use base::ids::RequestId;
use base::units::Millisecond;
use base::{Map, Name};
use rand::Rng;

use super::demand::{PeerDemand, PeerSum};
use super::queue::Queue;
use super::share::{Claim, allot, local_share};
use super::{
    AdmissionAction, AdmissionConfig, AdmissionRequest, RefusalReason, WorkspaceDemand,
    WorkspaceShare,
};
use crate::route::Priority;

/// Weight of the newest sample in the moving average of slot hold times.
const HOLD_EWMA_WEIGHT: f64 = 0.1;

/// Fraction of the slack before the due time that a request may spend in the queue, by priority.
/// The last entry applies to all lower priorities. A low priority is refused early, so its caller
/// has time to go elsewhere.
const WAIT_BUDGET_BY_PRIORITY: [f64; 3] = [1.0, 0.7, 0.4];

/// Range of the Retry-After time of refused requests.
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
    /// Slots of the whole fleet that this workspace may use now.
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

    fn local_demand(&self) -> f64 {
        f64::from(self.running) + self.queue.len() as f64
    }

    fn fleet_demand(&self) -> f64 {
        self.local_demand() + self.peers.total
    }

    fn local_slots(&self, now_ms: Millisecond) -> u32 {
        let local_demand = self.local_demand();
        local_share(
            self.allotted,
            self.peers.before,
            local_demand,
            self.fleet_demand(),
            now_ms,
        )
    }

    fn wait_estimate(&self) -> WaitEstimate {
        let mean_slots = match self.fleet_demand() {
            0.0 => 0.0,
            total => self.allotted * self.local_demand() / total,
        };
        WaitEstimate {
            mean_slots,
            running: f64::from(self.running),
            hold_ms: self.hold_ms,
        }
    }
}

/// Estimator of the waiting time in one workspace's queue.
#[derive(Clone, Copy, Debug)]
struct WaitEstimate {
    /// Slots of this entry VM on average; the whole slots rotate among the entry VMs.
    mean_slots: f64,
    running: f64,
    hold_ms: f64,
}

impl WaitEstimate {
    /// Expected wait of a request with `ahead` requests before it in the queue.
    fn wait_ms(&self, ahead: usize) -> f64 {
        if self.mean_slots <= 0.0 {
            return f64::INFINITY;
        }
        let over = self.running - self.mean_slots;
        let ends_needed = (ahead as f64 + 1.0 + over).max(0.0);
        ends_needed * self.hold_ms / self.mean_slots
    }

    /// Whether the expected wait with `ahead` requests in front exceeds the wait budget of the
    /// request.
    fn is_late(&self, ahead: usize, request: &AdmissionRequest, now_ms: Millisecond) -> bool {
        let left_ms = request.first_token_due_ms.saturating_sub(now_ms) as f64;
        let slack_ms = left_ms - request.expected_first_token_ms as f64;
        if slack_ms < 0.0 {
            return true;
        }
        self.wait_ms(ahead) > slack_ms * wait_budget(request.priority)
    }
}

/// Admission control at one entry VM for one service.
#[derive(Debug)]
pub struct Admission {
    own_name: Name,
    config: AdmissionConfig,
    capacity_slots: f64,
    workspaces: Vec<Workspace>,
    positions: Map<Name, usize>,
    running: Map<RequestId, RunningRequest>,
    peers: PeerDemand,
}

#[derive(Clone, Debug)]
struct RunningRequest {
    workspace: Name,
    started_ms: Millisecond,
}

impl Admission {
    /// Creates the state for the entry VM `own_name`. It has no capacity until
    /// [`Admission::on_capacity`] is called.
    pub fn new(own_name: Name, config: AdmissionConfig, shares: &[WorkspaceShare]) -> Self {
        let mut admission = Self {
            own_name,
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

    /// Applies new shares. For a workspace that is no longer listed, queued requests are refused
    /// and running ones finish.
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
        self.allot_slots();
        actions
    }

    /// Sets the total slots of the backend servers that accept requests.
    pub fn on_capacity(&mut self, slots: f64) {
        self.capacity_slots = slots;
        self.allot_slots();
    }

    /// Applies a peer's demand report that was made at `made_ms` of this entry VM's clock.
    pub fn on_peer_demand(
        &mut self,
        peer: &Name,
        made_ms: Millisecond,
        demand: &[WorkspaceDemand],
    ) {
        self.peers.record_report(peer, made_ms, demand);
        self.sum_peers();
    }

    /// Applies an estimate of the demand of the whole fleet, this entry VM included. It replaces
    /// the reports of single peers where there are too many peers to receive one from each. `rank`
    /// is the index of this entry VM among the `entries` entry VMs, sorted by name.
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
            let local_demand = self.workspaces[*position].local_demand();
            let total = (*units as f64 - local_demand).max(0.0);
            let before = before * total;
            sums.insert(workspace.clone(), PeerSum { before, total });
        }
        self.peers.record_estimate(made_ms, sums);
        self.sum_peers();
    }

    /// Demand of this entry VM, to report to the peers.
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

    /// Handles a new request: it is started, queued (without an action) or refused.
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
        self.allot_slots();
        self.process_queue(position, now_ms, rng, &mut actions);
        actions
    }

    /// Handles the end of a running or queued request, whatever its result.
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
            self.allot_slots();
            return actions;
        };
        let Some(position) = self.positions.get(&ended.workspace).copied() else {
            return actions;
        };
        let workspace = &mut self.workspaces[position];
        workspace.running -= 1;
        let held_ms = now_ms.saturating_sub(ended.started_ms) as f64;
        workspace.hold_ms += HOLD_EWMA_WEIGHT * (held_ms - workspace.hold_ms);
        self.allot_slots();
        self.process_queues(now_ms, rng, &mut actions);
        actions
    }

    /// Handles the passage of time: starts requests that now have a slot and refuses those that can
    /// no longer be on time.
    pub fn on_tick(&mut self, now_ms: Millisecond, rng: &mut impl Rng) -> Vec<AdmissionAction> {
        let oldest_ms = now_ms.saturating_sub(self.config.peer_demand_max_age_ms);
        if self.peers.expire(oldest_ms) {
            self.sum_peers();
        }
        let mut actions = Vec::new();
        self.process_queues(now_ms, rng, &mut actions);
        actions
    }

    fn add_workspace(&mut self, share: &WorkspaceShare) {
        self.positions
            .insert(share.workspace.clone(), self.workspaces.len());
        self.workspaces.push(Workspace::new(share, &self.config));
    }

    fn sum_peers(&mut self) {
        let sums = self.peers.sums(&self.own_name);
        for workspace in &mut self.workspaces {
            workspace.peers = sums.get(&workspace.name).copied().unwrap_or_default();
        }
        self.allot_slots();
    }

    fn allot_slots(&mut self) {
        let claims: Vec<Claim> = self
            .workspaces
            .iter()
            .map(|workspace| Claim {
                weight: workspace.weight,
                demand: workspace.fleet_demand().min(workspace.max_slots),
            })
            .collect();
        let amounts = allot(self.capacity_slots, &claims);
        for (workspace, amount) in self.workspaces.iter_mut().zip(amounts) {
            workspace.allotted = amount;
        }
    }

    /// Refuses one request because the queue is full: the new one, or the last of the queue if the
    /// new one goes before it.
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

    fn process_queues(
        &mut self,
        now_ms: Millisecond,
        rng: &mut impl Rng,
        actions: &mut Vec<AdmissionAction>,
    ) {
        for position in 0..self.workspaces.len() {
            self.process_queue(position, now_ms, rng, actions);
        }
    }

    /// Starts requests within this entry VM's slots, then refuses those that can no longer be on
    /// time.
    fn process_queue(
        &mut self,
        position: usize,
        now_ms: Millisecond,
        rng: &mut impl Rng,
        actions: &mut Vec<AdmissionAction>,
    ) {
        if self.workspaces[position].queue.is_empty() {
            return;
        }
        self.start_within_share(position, now_ms, rng, actions);
        self.refuse_late(position, now_ms, rng, actions);
    }

    fn start_within_share(
        &mut self,
        position: usize,
        now_ms: Millisecond,
        rng: &mut impl Rng,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let workspace = &mut self.workspaces[position];
        let slots = workspace.local_slots(now_ms);
        while workspace.running < slots {
            let Some(request) = workspace.queue.pop_first() else {
                return;
            };
            let earliest_ms = now_ms + request.expected_first_token_ms;
            if earliest_ms > request.first_token_due_ms {
                actions.push(refuse_out_of_reach(&request, workspace, rng));
                continue;
            }
            workspace.running += 1;
            let running = RunningRequest {
                workspace: workspace.name.clone(),
                started_ms: now_ms,
            };
            self.running.insert(request.id, running);
            actions.push(AdmissionAction::Start { id: request.id });
        }
    }

    fn refuse_late(
        &mut self,
        position: usize,
        now_ms: Millisecond,
        rng: &mut impl Rng,
        actions: &mut Vec<AdmissionAction>,
    ) {
        let workspace = &mut self.workspaces[position];
        let estimate = workspace.wait_estimate();
        let late = workspace
            .queue
            .remove_late(|ahead, request| estimate.is_late(ahead, request, now_ms));
        for request in &late {
            actions.push(refuse_out_of_reach(
                request,
                &self.workspaces[position],
                rng,
            ));
        }
        if !late.is_empty() {
            self.allot_slots();
        }
    }
}

fn max_slots(share: &WorkspaceShare) -> f64 {
    share.max_slots.map_or(f64::INFINITY, f64::from)
}

fn wait_budget(priority: Priority) -> f64 {
    let last = WAIT_BUDGET_BY_PRIORITY.len() - 1;
    WAIT_BUDGET_BY_PRIORITY[usize::from(priority).min(last)]
}

fn refuse_unknown(request: &AdmissionRequest) -> AdmissionAction {
    AdmissionAction::Refuse {
        id: request.id,
        reason: RefusalReason::UnknownWorkspace,
        retry_after_ms: RETRY_AFTER_MAX_MS,
    }
}

fn refuse_out_of_reach(
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

/// Expected time until the queued requests have started, lengthened by a random amount of up to
/// half, so that refused callers do not all return together.
fn retry_after_ms(workspace: &Workspace, rng: &mut impl Rng) -> Millisecond {
    let longest = RETRY_AFTER_MAX_MS as f64;
    let drained_ms = workspace
        .wait_estimate()
        .wait_ms(workspace.queue.len())
        .min(longest);
    let spread = rng.random_range(1.0..1.5);
    let delay_ms = (drained_ms * spread) as Millisecond;
    delay_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS)
}
