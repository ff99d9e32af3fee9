//! Reads of the platform: their distribution over the fleet's nodes, and their results.

use base::Name;
use base::units::Millisecond;
use outside::{Vm, VmRole, VmState};
use rand::Rng;

use super::{Action, Node};
use crate::freshness::SyncGeneration;
use crate::hash;

/// Number of nodes that read the reclaim notice of each backend server.
const NOTICE_READERS_PER_VM: usize = 2;

impl Node {
    pub(super) fn platform_reads(&self, rng: &mut impl Rng) -> Vec<Action> {
        let generation = self.freshness.sync_generation();
        let mut actions = Vec::new();
        if self.draws_read(self.timing.store_reads_per_s, rng) {
            actions.push(Action::ReadConfig(generation));
        }
        if self.draws_read(self.timing.list_reads_per_s, rng) {
            actions.push(Action::ReadList(generation));
        }
        actions.push(Action::ReadNotices(self.notice_vms(), generation));
        actions
    }

    pub(super) fn draws_read(&self, fleet_reads_per_s: u32, rng: &mut impl Rng) -> bool {
        let reads = f64::from(fleet_reads_per_s) * self.timing.heartbeat_ms as f64 / 1_000.0;
        let share = reads / self.members.alive_count() as f64;
        rng.random_bool(share.min(1.0))
    }

    pub(super) fn notice_vms(&self) -> Vec<Name> {
        let mut notice_vms = vec![self.members.me().name.clone()];
        for vm in self.vms.iter() {
            let live_backend = vm.role == VmRole::Backend && vm.state == VmState::Live;
            if !live_backend || self.leaving.contains(&vm.id) {
                continue;
            }
            if self.freshness.needs_platform() || self.reads_notice_of(&vm.id) {
                notice_vms.push(vm.id.clone());
            }
        }
        notice_vms
    }

    pub(super) fn on_notices_read(
        &mut self,
        answered: &[Name],
        leaving: Vec<Name>,
        generation: SyncGeneration,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let actions = self.mark_leaving(leaving, now_ms, rng);
        if self.notice_vms().iter().all(|vm| answered.contains(vm)) {
            self.freshness
                .on_notices_read(generation, self.members.alive_count() - 1);
        }
        actions
    }

    pub(super) fn reads_notice_of(&self, vm: &str) -> bool {
        let key = u128::from(hash::stable(vm.as_bytes()));
        let mine = hash::rendezvous(&self.members.me().name, key);
        let above = self
            .members
            .alive_others()
            .filter(|other| hash::rendezvous(&other.name, key) > mine);
        above.take(NOTICE_READERS_PER_VM).count() < NOTICE_READERS_PER_VM
    }

    pub(super) fn on_list_read(
        &mut self,
        vms: Vec<Vm>,
        generation: SyncGeneration,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.members.observe_vm_list(&vms, now_ms);
        let leaving = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Backend && matches!(vm.state, VmState::Leaving { .. }));
        let leaving: Vec<Name> = leaving.map(|vm| vm.id.clone()).collect();
        let mut actions = self.mark_leaving(leaving, now_ms, rng);
        let listed = vms.iter().map(|vm| &vm.id);
        self.leaving
            .retain_listed(listed, now_ms, self.timing.forget_ms);
        if *self.vms != *vms {
            self.vms = vms.into();
            actions.push(Action::Publish);
        }
        self.freshness
            .on_list_read(generation, self.members.alive_count() - 1);
        actions
    }
}
