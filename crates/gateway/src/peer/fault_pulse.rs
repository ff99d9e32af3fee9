//! Pulses to all nodes about faults of backend servers that this node has just observed.
//!
//! A server that is gone costs each node requests until it learns of it, and whole heartbeats take
//! seconds to reach all nodes of a large fleet.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::exchange::{pulse, send_to};
use super::role::HEARTBEAT_PERIOD_MS;
use crate::backend::server_faults;
use crate::node::Node;

/// Time between two looks for new faults. Failures of one crash are collected in it.
const LOOK_PERIOD: Duration = Duration::from_millis(40);

/// Longest delay of a pulse, of which each node draws a part. All nodes observe a crash at the same
/// time, and those that wait longer hear of it from the others.
const PULSE_DELAY: Duration = Duration::from_millis(80);

/// Time between two pulses about faults.
const PULSE_PERIOD: Duration = Duration::from_millis(HEARTBEAT_PERIOD_MS);

/// Most recipients of a pulse about faults: at 0.8 KB each, a fifth of a second of a link of
/// 10 Mbit/s. In larger fleets the nodes that are not drawn learn by whole heartbeats.
const RECIPIENTS_LIMIT: usize = 300;

/// Sends pulses about faults, and tries servers again, until the process ends.
pub async fn send_faults(node: Rc<Node>, socket: Rc<UdpSocket>, started_unix_ms: u64) {
    loop {
        tokio::time::sleep(LOOK_PERIOD).await;
        if node.faulty_servers.borrow().is_empty() {
            continue;
        }
        server_faults::try_servers(&node);
        if !server_faults::has_fresh(&node) {
            continue;
        }
        tokio::time::sleep(PULSE_DELAY.mul_f64(node.random_fraction())).await;
        if !server_faults::has_fresh(&node) {
            continue;
        }
        let pulse = pulse(&node, HEARTBEAT_PERIOD_MS, started_unix_ms);
        send_to(&socket, &pulse, &recipients(&node));
        tokio::time::sleep(PULSE_PERIOD - LOOK_PERIOD).await;
    }
}

/// All other nodes, or some of them drawn at random if there are too many.
fn recipients(node: &Node) -> Vec<SocketAddr> {
    let mut addresses = node.peers.borrow().addresses().to_vec();
    while addresses.len() > RECIPIENTS_LIMIT {
        let drawn = (node.random_fraction() * addresses.len() as f64) as usize;
        addresses.swap_remove(drawn.min(addresses.len() - 1));
    }
    addresses
}
