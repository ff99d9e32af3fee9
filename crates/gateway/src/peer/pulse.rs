//! Pulses: short heartbeats between the full ones, from nodes that follow the store in a large
//! fleet.
//!
//! Full heartbeats take seconds to reach every node of a large fleet. Changes of the store must
//! reach all nodes within a fraction of their time bounds, and every node must know how old its
//! data is.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::exchange::{pulse, send_to};
use super::message::{HeartbeatContent, Tenure};
use super::role::{HEARTBEAT_PERIOD_MS, Role, SMALL_FLEET_NODES};
use crate::backend::quarantine;
use crate::node::Node;
use crate::rollout::news;

/// Time between two pulses to the other nodes that follow the store.
const PULSE_PERIOD: Duration = Duration::from_millis(HEARTBEAT_PERIOD_MS);

/// Listening nodes of the same failure domain get every third pulse, and every pulse after a
/// change.
const LISTENER_PULSE_ROUNDS: u64 = 3;

/// Number of pulses that carry a change to listening nodes, as some pulses may be lost.
const CHANGE_PULSE_ROUNDS: u64 = 3;

/// What a pulse announces: versions of the directory and the registry, and whether the sender holds
/// the duties.
type StoreVersions = (u64, u64, Tenure);

/// Sends pulses until the process ends.
pub async fn send_pulses(node: Rc<Node>, socket: Rc<UdpSocket>, started_unix_ms: u64) {
    let mut rounds = PulseRounds::default();
    loop {
        tokio::time::sleep(PULSE_PERIOD).await;
        let domain = &node.settings.node.failure_domain;
        let (followers, listeners) = node.peers.borrow().pulse_recipients(domain);
        if node.node_count() <= SMALL_FLEET_NODES {
            rounds = PulseRounds::default();
            continue;
        }
        if node.role() == Role::Listens {
            rounds = PulseRounds::default();
            // Crashes are counted by the nodes that follow the store, as these reach all others
            // soon.
            if quarantine::has_fresh_evidence(&node) || news::has_running(&node) {
                let pulse = pulse(&node, HEARTBEAT_PERIOD_MS, started_unix_ms);
                send_to(&socket, &pulse, &followers);
            }
            continue;
        }
        let mut pulse = pulse(&node, HEARTBEAT_PERIOD_MS, started_unix_ms);
        send_to(&socket, &pulse, &followers);
        if rounds.listeners_are_due((pulse.directory, pulse.registry.changed, pulse.tenure)) {
            let period_ms = HEARTBEAT_PERIOD_MS * LISTENER_PULSE_ROUNDS;
            pulse.content = HeartbeatContent::Pulse { period_ms };
            send_to(&socket, &pulse, &listeners);
        }
    }
}

/// Chooses the pulses that also go to listening nodes.
#[derive(Default)]
struct PulseRounds {
    last_sent: Option<StoreVersions>,
    rounds: u64,
    change_rounds_left: u64,
}

impl PulseRounds {
    fn listeners_are_due(&mut self, versions: StoreVersions) -> bool {
        self.rounds += 1;
        if self.last_sent != Some(versions) {
            self.last_sent = Some(versions);
            self.change_rounds_left = CHANGE_PULSE_ROUNDS;
        }
        let has_change = self.change_rounds_left > 0;
        self.change_rounds_left = self.change_rounds_left.saturating_sub(1);
        has_change || self.rounds.is_multiple_of(LISTENER_PULSE_ROUNDS)
    }
}
