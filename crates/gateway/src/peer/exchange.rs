//! Heartbeats between nodes, as UDP datagrams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Map;
use base::units::Millisecond;
use serde::Serialize;
use tokio::net::UdpSocket;

use super::message::{CopyAges, HeartbeatContent, NodeHeartbeat, RegistryVersion};
use super::role::{DrainState, HEARTBEAT_PERIOD_MS, Presence, SMALL_FLEET_NODES, period_ms};
use super::stream_message::StreamDatagram;
use super::{PeerUpdate, catch_up, fault_pulse, pull, pulse, streams};
use crate::backend::{gate, load_report, quarantine, reach, server_faults};
use crate::belief::registry::Load;
use crate::clock::unix_ms;
use crate::decide::allowance::PeerUsage;
use crate::log;
use crate::node::{Node, Phase};
use crate::rollout::news;
use crate::tasks;

/// Time between two groups of heartbeats.
const GROUP_PERIOD: Duration = Duration::from_millis(HEARTBEAT_PERIOD_MS);

/// Pause after the socket failed to receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Longest datagram that is received.
const DATAGRAM_LIMIT_BYTES: usize = 60 * 1024;

/// How long heartbeats repeat a suspect request after this node saw it last.
const SUSPECT_SENDING_MS: Millisecond = 3_000;

/// Most suspect requests in a heartbeat.
const SENT_SUSPECTS_LIMIT: usize = 64;

#[derive(Serialize)]
struct PeerFields<'a> {
    peer: &'a str,
    address: SocketAddr,
    boot: u64,
}

#[derive(Serialize)]
struct GoneFields {
    peers: Vec<base::Name>,
}

/// Starts to send and receive heartbeats on the current local task set.
pub fn spawn(node: &Rc<Node>, socket: UdpSocket) {
    let socket = node.peer_socket.get_or_init(|| Rc::new(socket)).clone();
    let started_unix_ms = unix_ms();
    let (n, s) = (node.clone(), socket.clone());
    tasks::supervise("tell", move || {
        send_heartbeats(n.clone(), s.clone(), started_unix_ms)
    });
    let (n, s) = (node.clone(), socket.clone());
    tasks::supervise("pulse", move || {
        pulse::send_pulses(n.clone(), s.clone(), started_unix_ms)
    });
    let (n, s) = (node.clone(), socket.clone());
    tasks::supervise("faults", move || {
        fault_pulse::send_faults(n.clone(), s.clone(), started_unix_ms)
    });
    let n = node.clone();
    tasks::supervise("hear", move || {
        receive_heartbeats(n.clone(), socket.clone())
    });
}

async fn send_heartbeats(node: Rc<Node>, socket: Rc<UdpSocket>, started_unix_ms: u64) {
    loop {
        let addresses = node.peers.borrow().addresses().to_vec();
        // Groups are sent one after the other: all datagrams at once would fill a slow link, which
        // then drops some.
        for group in addresses.chunks(SMALL_FLEET_NODES) {
            node.heartbeat();
            let heartbeat = heartbeat(&node, node.next_datagram_number(), started_unix_ms);
            send(&node, &socket, heartbeat, group.to_vec());
            tokio::time::sleep(GROUP_PERIOD).await;
        }
        if addresses.is_empty() {
            node.heartbeat();
            tokio::time::sleep(GROUP_PERIOD).await;
        }
        forget_gone(&node);
    }
}

/// Sends a heartbeat. Nodes that only listen can't hold the duties and get it without usage counts.
fn send(node: &Node, socket: &UdpSocket, mut heartbeat: NodeHeartbeat, addresses: Vec<SocketAddr>) {
    let listener_addresses = node.peers.borrow().listener_addresses();
    let (to_listeners, others): (Vec<SocketAddr>, Vec<SocketAddr>) = addresses
        .into_iter()
        .partition(|a| listener_addresses.contains(a));
    send_to(socket, &heartbeat, &others);
    heartbeat.begun.clear();
    heartbeat.settled.clear();
    send_to(socket, &heartbeat, &to_listeners);
}

/// Sends one datagram to each address.
pub fn send_to(socket: &UdpSocket, heartbeat: &NodeHeartbeat, addresses: &[SocketAddr]) {
    if addresses.is_empty() {
        return;
    }
    let datagram = serde_json::to_vec(heartbeat).unwrap_or_default();
    for address in addresses {
        // A datagram may be lost anyway; the next one repeats the whole state.
        let _ = socket.try_send_to(&datagram, *address);
    }
}

/// Forgets nodes that have ended.
fn forget_gone(node: &Node) {
    node.speeds.borrow_mut().expire(node.now_ms());
    let gone = node.peers.borrow_mut().expire(node.now_ms());
    if gone.is_empty() {
        return;
    }
    for bucket in node.buckets.borrow_mut().values_mut() {
        for key in &gone {
            bucket.remove_peer(key);
        }
    }
    log::emit(events::Code::PeerGone, &GoneFields { peers: gone });
}

/// The state of this node, as heartbeat number `number` of its life.
pub fn heartbeat(node: &Node, number: u64, started_unix_ms: u64) -> NodeHeartbeat {
    let registry = node.registry.borrow();
    let busy = registry.servers().filter(|s| s.running.get() > 0);
    let loads = busy
        .map(|s| (s.record.id.clone(), s.running.get(), s.waiting_tokens.get()))
        .collect();
    let buckets = node.buckets.borrow();
    let mut suspects = node
        .suspects
        .borrow()
        .export_local(SUSPECT_SENDING_MS, unix_ms());
    suspects.truncate(SENT_SUSPECTS_LIMIT);
    NodeHeartbeat {
        loads,
        busy: node.busy_servers(),
        used: buckets
            .iter()
            .map(|(name, b)| (name.clone(), b.used().round()))
            .collect(),
        begun: node.usage.borrow().recent_windows(),
        settled: node.usage.borrow().settled_windows(),
        suspects,
        parts: quarantine::report(node),
        server_loads: load_report::shared(node),
        server_factors: load_report::factors(node),
        speeds: node.speeds.borrow().reports(node.now_ms()),
        faults: server_faults::reports(node),
        ..common(node, number, started_unix_ms, HeartbeatContent::Whole)
    }
}

/// A pulse: versions, backpressure, and what this node has just observed. The receiver may expect the
/// next one after `period_ms`.
pub fn pulse(node: &Node, period_ms: Millisecond, started_unix_ms: u64) -> NodeHeartbeat {
    let number = node.next_datagram_number();
    let content = HeartbeatContent::Pulse { period_ms };
    NodeHeartbeat {
        parts: quarantine::fresh_report(node),
        faults: server_faults::fresh_reports(node),
        ..common(node, number, started_unix_ms, content)
    }
}

/// The part of the state that all datagrams carry.
fn common(
    node: &Node,
    number: u64,
    started_unix_ms: u64,
    content: HeartbeatContent,
) -> NodeHeartbeat {
    let now_ms = node.now_ms();
    let registry = node.registry.borrow();
    NodeHeartbeat {
        node: node.settings.node.name.clone(),
        failure_domain: node.settings.node.failure_domain.clone(),
        role: node.role(),
        stay: match node.phase.get() {
            Phase::Serving => DrainState::Stays,
            Phase::Draining | Phase::Closing | Phase::Ending => DrainState::Leaves,
        },
        period_ms: period_ms(node.node_count()),
        content,
        boot: node.boot,
        started_unix_ms,
        number,
        unix_ms: unix_ms(),
        directory: node.directory_version(),
        directory_age_ms: time_since_ms(node.directory_read_ms.get(), now_ms),
        access: node.store_access(),
        link_mbps: Some(node.settings.limits.link_mbps),
        tenure: node.tenure.get(),
        registry: RegistryVersion {
            revision: registry.revision,
            changed: registry.changed,
            age_ms: time_since_ms(node.registry_read_ms.get(), now_ms),
        },
        copies: Some(CopyAges {
            clock_ms: now_ms,
            directory_ms: time_since_ms(node.directory_confirmed_ms.get(), now_ms),
            registry_ms: time_since_ms(node.registry_confirmed_ms.get(), now_ms),
        }),
        reach: node.reach.borrow().reach(),
        server_silence_ms: reach::server_silence_ms(node),
        versions: {
            let history = node.version_history.borrow();
            history.is_known().then(|| history.report())
        },
        notices: gate::notices(node),
        rollouts: news::report(node),
        rollout_counts: news::counts(node),
        ..NodeHeartbeat::default()
    }
}

/// Time since a reading of the process clock; without limit if the reading is 0, which stands for
/// "never".
fn time_since_ms(at_ms: Millisecond, now_ms: Millisecond) -> Millisecond {
    match at_ms {
        0 => Millisecond::MAX,
        _ => now_ms.saturating_sub(at_ms),
    }
}

async fn receive_heartbeats(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut datagram = vec![0; DATAGRAM_LIMIT_BYTES];
    loop {
        let Ok((bytes, from)) = socket.recv_from(&mut datagram).await else {
            tokio::time::sleep(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        receive_datagram(&node, &datagram[..bytes], from);
    }
}

/// Applies a datagram. Unreadable and implausible ones are counted and ignored.
pub fn receive_datagram(node: &Rc<Node>, datagram: &[u8], from: SocketAddr) {
    if StreamDatagram::is_one(datagram) {
        return streams::receive(node, datagram, from);
    }
    match serde_json::from_slice::<NodeHeartbeat>(datagram) {
        Ok(heartbeat) if heartbeat.is_plausible() => apply_heartbeat(node, heartbeat, from),
        Ok(_) | Err(_) => node.metrics.count_platform_call("peer", "unreadable"),
    }
}

/// Applies another node's heartbeat.
pub fn apply_heartbeat(node: &Rc<Node>, heartbeat: NodeHeartbeat, from: SocketAddr) {
    if heartbeat.node == node.settings.node.name {
        return;
    }
    let now_ms = node.now_ms();
    let update = node
        .peers
        .borrow_mut()
        .record_heartbeat(heartbeat.clone(), from, now_ms);
    match update {
        PeerUpdate::Stale | PeerUpdate::TooMany => return,
        PeerUpdate::Continued => {}
        PeerUpdate::Appeared => log_appeared(&heartbeat, from),
        PeerUpdate::Restarted(before) => {
            log_appeared(&heartbeat, from);
            for bucket in node.buckets.borrow_mut().values_mut() {
                bucket.remove_peer(&before);
            }
        }
    }
    gate::apply_notices(node, &heartbeat.notices);
    server_faults::apply(node, &heartbeat);
    quarantine::merge(node, &heartbeat.parts);
    news::apply(node, &heartbeat);
    if let Some(versions) = &heartbeat.versions {
        let fleet_ms = node.fleet_ms();
        node.version_history.borrow_mut().merge(versions, fleet_ms);
    }
    if heartbeat.content == HeartbeatContent::Whole {
        apply_full_heartbeat(node, &heartbeat, now_ms);
    }
    pull::confirm(node, &heartbeat);
    for request in pull::pulls_needed(node, &heartbeat) {
        catch_up::start(node, request.topic());
    }
}

fn apply_full_heartbeat(node: &Rc<Node>, heartbeat: &NodeHeartbeat, now_ms: Millisecond) {
    let key = heartbeat.key();
    let silence_ms = node.peers.borrow().silence_ms(&heartbeat.node);
    for (workspace, used) in &heartbeat.used {
        if let Some(bucket) = node.buckets.borrow_mut().get_mut(workspace) {
            let peer_usage = PeerUsage {
                used: *used,
                age_ms: heartbeat.age_ms(),
                silence_ms,
            };
            bucket.record_peer_usage(&key, peer_usage, now_ms);
        }
    }
    load_report::apply_shared(node, &heartbeat.server_loads);
    load_report::apply_factors(node, &heartbeat.node, &heartbeat.server_factors);
    let mut speeds = node.speeds.borrow_mut();
    speeds.merge(&heartbeat.node, &heartbeat.speeds, now_ms);
    drop(speeds);
    let offset_ms = node.clock_offset_ms();
    let mut usage = node.usage.borrow_mut();
    usage.merge_settled(&heartbeat.settled, offset_ms);
    usage.merge(&key, heartbeat.started_unix_ms, &heartbeat.begun);
    drop(usage);
    if !heartbeat.suspects.is_empty() {
        node.suspects
            .borrow_mut()
            .merge(&heartbeat.suspects, unix_ms());
    }
    sum_loads(node, now_ms);
}

fn log_appeared(heartbeat: &NodeHeartbeat, from: SocketAddr) {
    let fields = PeerFields {
        peer: &heartbeat.node,
        address: from,
        boot: heartbeat.boot,
    };
    log::emit(events::Code::PeerAlive, &fields);
}

/// Sums the load that the other nodes put on each server.
fn sum_loads(node: &Node, now_ms: Millisecond) {
    let mut sums: Map<base::Name, Load> = Map::default();
    let peers = node.peers.borrow();
    for (_, peer) in peers.iter() {
        if peer.presence(now_ms) == Presence::Silent {
            continue;
        }
        for (server, running, waiting_tokens) in &peer.heartbeat.loads {
            let sum = sums.entry(server.clone()).or_default();
            sum.running = sum.running.saturating_add(*running);
            sum.waiting_tokens = sum.waiting_tokens.saturating_add(*waiting_tokens);
        }
    }
    for server in node.registry.borrow().servers() {
        let sum = sums.get(&server.record.id).copied();
        server.load_of_others.set(sum.unwrap_or_default());
    }
    node.queues.wake_services(now_ms);
}
