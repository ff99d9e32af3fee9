//! Pushes of what this node has just learned to some peers.

use base::Name;
use base::units::Millisecond;
use rand::Rng;

use super::{Action, Node, Report};
use crate::config_replica::Adoption;
use crate::leaving::MARKS_PER_MESSAGE;
use crate::piggyback::Fingerprint;
use crate::wire::{ConfigDocument, Push};

/// Peers to which each push is sent.
const PUSH_FANOUT: usize = 4;

impl Node {
    pub(super) fn mark_leaving(
        &mut self,
        vms: impl IntoIterator<Item = Name>,
        now_ms: Millisecond,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut added = Vec::new();
        for vm in vms {
            if self.leaving.mark(&vm, now_ms) {
                added.push(vm);
            }
        }
        if added.is_empty() {
            return Vec::new();
        }
        let mut actions = vec![Action::Publish];
        for vm in &added {
            actions.push(Action::Report(Report::Leaving(vm.clone())));
        }
        for page in added.chunks(MARKS_PER_MESSAGE) {
            actions.extend(self.push_to_peers(page.to_vec(), Vec::new(), rng));
        }
        actions
    }

    pub(super) fn add_fingerprints(
        &mut self,
        offered: Vec<Fingerprint>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut added = Vec::new();
        for fingerprint in offered {
            if self.fingerprints.add(fingerprint.clone()) {
                added.push(fingerprint);
            }
        }
        if added.is_empty() {
            return Vec::new();
        }
        let mut actions = self.push_to_peers(Vec::new(), added, rng);
        actions.push(Action::Publish);
        actions
    }

    pub(super) fn adopt(&mut self, document: ConfigDocument, rng: &mut impl Rng) -> Vec<Action> {
        let adoption = self.config.adopt(document);
        self.after_adoption(adoption, rng)
    }

    pub(super) fn after_adoption(&mut self, adoption: Adoption, rng: &mut impl Rng) -> Vec<Action> {
        let Some(document) = self.config.current().cloned() else {
            return Vec::new();
        };
        if adoption != Adoption::Adopted {
            return Vec::new();
        }
        let mut actions = self.push_to_peers(Vec::new(), Vec::new(), rng);
        actions.push(Action::Publish);
        actions.push(Action::Report(Report::InForce(document)));
        actions
    }

    pub(super) fn push_to_peers(
        &self,
        leaving: Vec<Name>,
        fingerprints: Vec<Fingerprint>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let push = Push {
            from: self.members.me().clone(),
            config_version: self.config.version(),
            leaving,
            fingerprints,
        };
        let peers = self.members.sample(PUSH_FANOUT, rng);
        let sends = peers
            .into_iter()
            .map(|(name, address)| Action::SendPush(name, address, push.clone()));
        sends.collect()
    }
}
