//! Reads of the platform: whose turn it is, and what they bring.

use base::Name;
use base::units::Millisecond;
use outside::{Vm, VmRole, VmState};
use rand::Rng;

use super::{Action, Node};
use crate::freshness::SyncGeneration;
use crate::hash;

/// Nodes that read the reclaim notice of one backend server.
const NOTICE_READERS: usize = 2;

impl Node {
    pub(super) fn platform_reads(&self, rng: &mut impl Rng) -> Vec<Action> {
        let generation = self.freshness.sync_generation();
        let mut actions = Vec::new();
        if self.is_my_turn(self.timing.store_reads_per_s, rng) {
            actions.push(Action::ReadConfig(generation));
        }
        if self.is_my_turn(self.timing.list_reads_per_s, rng) {
            actions.push(Action::ReadList(generation));
        }
        actions.push(Action::ReadNotices(self.watched(), generation));
        actions
    }

    pub(super) fn is_my_turn(&self, fleet_reads_per_s: u32, rng: &mut impl Rng) -> bool {
        let reads = f64::from(fleet_reads_per_s) * self.timing.heartbeat_ms as f64 / 1_000.0;
        let share = reads / self.members.alive_count() as f64;
        rng.random_bool(share.min(1.0))
    }

    pub(super) fn watched(&self) -> Vec<Name> {
        let mut watched = vec![self.members.me().name.clone()];
        for vm in self.vms.iter() {
            let live_backend = vm.role == VmRole::Backend && vm.state == VmState::Live;
            if !live_backend || self.leaving.contains(&vm.id) {
                continue;
            }
            if self.freshness.is_alone() || self.is_reader_of(&vm.id) {
                watched.push(vm.id.clone());
            }
        }
        watched
    }

    pub(super) fn notices_read(
        &mut self,
        answered: &[Name],
        leaving: Vec<Name>,
        generation: SyncGeneration,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let actions = self.mark_all(leaving, now_ms, rng);
        if self.watched().iter().all(|vm| answered.contains(vm)) {
            self.freshness
                .notices_were_read(generation, self.members.alive_count() - 1);
        }
        actions
    }

    pub(super) fn is_reader_of(&self, vm: &str) -> bool {
        let key = u128::from(hash::stable(vm.as_bytes()));
        let mine = hash::rendezvous(&self.members.me().name, key);
        let above = self
            .members
            .alive_others()
            .filter(|other| hash::rendezvous(&other.name, key) > mine);
        above.take(NOTICE_READERS).count() < NOTICE_READERS
    }

    pub(super) fn list_read(
        &mut self,
        vms: Vec<Vm>,
        generation: SyncGeneration,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.members.hint(&vms, now_ms);
        let leaving = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Backend && matches!(vm.state, VmState::Leaving { .. }));
        let leaving: Vec<Name> = leaving.map(|vm| vm.id.clone()).collect();
        let mut actions = self.mark_all(leaving, now_ms, rng);
        let listed = vms.iter().map(|vm| &vm.id);
        self.leaving
            .retain_listed(listed, now_ms, self.timing.forget_ms);
        if *self.vms != *vms {
            self.vms = vms.into();
            actions.push(Action::Publish);
        }
        self.freshness
            .list_was_read(generation, self.members.alive_count() - 1);
        actions
    }
}
