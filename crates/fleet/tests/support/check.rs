//! Invariants that are checked after each step of a simulation.

use base::units::Millisecond;
use fleet::node::Node;
use fleet::wire::Health;

use super::{LEAVING_BOUND_MS, Simulation};

impl Simulation {
    pub(super) fn check(&mut self, index: usize) {
        self.counts.checks += 1;
        let version = self.hosts[index].node.config().version();
        if version < self.hosts[index].version_seen {
            self.violations
                .push(format!("n{index} fell back to version {version}"));
        }
        self.hosts[index].version_seen = version;
        self.note_unreachable_knowledge();
        if !self.hosts[index].node.may_route(self.now_ms) {
            return;
        }
        self.acknowledge(index);
        if version < self.acknowledged && self.was_reachable_since(self.config_last_lost_ms) {
            let text = format!(
                "n{index} routes with version {version} after version {} was acknowledged",
                self.acknowledged
            );
            self.violations.push(text);
        }
        for mark in 0..self.marks.len() {
            let vm = self.marks[mark].vm.clone();
            let overdue = self.now_ms > self.marks[mark].at_ms + LEAVING_BOUND_MS;
            let known = self.hosts[index].node.leaving().contains(&vm);
            if overdue && !known && self.was_reachable_since(self.marks[mark].last_lost_ms) {
                let text = format!(
                    "n{index} still routes to the leaving {vm} at {} ms",
                    self.now_ms
                );
                self.violations.push(text);
            }
        }
    }

    /// Records the last time at which no running node could know a configuration or a mark, because
    /// the store is down and every node that knew it is paused or was restarted. Checks leave it out
    /// until [`LEAVING_BOUND_MS`] after that time.
    fn note_unreachable_knowledge(&mut self) {
        if !self.store_is_down() {
            return;
        }
        let acknowledged = self.acknowledged;
        if !self.is_known_to_running_node(|node| node.config().version() >= acknowledged) {
            self.config_last_lost_ms = self.now_ms;
        }
        for mark in 0..self.marks.len() {
            let vm = self.marks[mark].vm.clone();
            if !self.is_known_to_running_node(|node| node.leaving().contains(&vm)) {
                self.marks[mark].last_lost_ms = self.now_ms;
            }
        }
    }

    fn is_known_to_running_node(&self, holds: impl Fn(&Node) -> bool) -> bool {
        let hosts = self.hosts.iter().enumerate();
        let mut running = hosts.filter(|(index, _)| !self.is_paused(*index));
        running.any(|(_, host)| holds(&host.node))
    }

    fn was_reachable_since(&mut self, last_lost_ms: Millisecond) -> bool {
        let reachable = last_lost_ms == 0 || self.now_ms > last_lost_ms + LEAVING_BOUND_MS;
        self.counts.unknowable += u64::from(!reachable);
        reachable
    }

    /// Raises the version that an operator at this node would see as acknowledged: the lowest version
    /// among the members, without paused ones that the node has declared gone.
    fn acknowledge(&mut self, index: usize) {
        let members = self.hosts[index].node.members();
        let mut lowest = self.hosts[index].node.config().version();
        for (other, host) in self.hosts.iter().enumerate() {
            let name = &host.node.members().me().name;
            let counts = match members.get(name).map(|r| r.health) {
                Some(Health::Alive | Health::Suspect) => true,
                Some(Health::Gone | Health::Left) => !self.is_paused(other),
                None => false,
            };
            if counts {
                lowest = lowest.min(host.node.config().version());
            }
        }
        self.acknowledged = self.acknowledged.max(lowest);
    }
}
