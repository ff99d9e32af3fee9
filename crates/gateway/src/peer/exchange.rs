//! Datagrams between nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::Map;
use base::units::Millisecond;
use serde::Serialize;
use tokio::net::UdpSocket;

use super::message::{Content, Hello, Told};
use super::role::{PERIOD_MS, Presence, SMALL_FLEET, Stay, period_ms};
use super::{News, pull, pulse};
use crate::backend::gate;
use crate::belief::registry::Load;
use crate::clock::unix_ms;
use crate::decide::allowance::PeerUsage;
use crate::log;
use crate::node::{Node, Phase};
use crate::tasks;

/// Time between two groups of datagrams.
const GROUP_PERIOD: Duration = Duration::from_millis(PERIOD_MS);

/// Pause after the socket failed.
const PAUSE: Duration = Duration::from_millis(120);

/// Most bytes of a datagram.
const DATAGRAM_BYTES: usize = 60 * 1024;

/// Suspects are told for so long; each datagram repeats them.
const SUSPECTS_MS: Millisecond = 3_000;

/// Most suspects in a datagram.
const SUSPECTS_LIMIT: usize = 64;

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

/// Starts telling and hearing, on the current local task set.
pub fn spawn(node: &Rc<Node>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    let started_unix_ms = unix_ms();
    let (n, s) = (node.clone(), socket.clone());
    tasks::supervise("tell", move || tell(n.clone(), s.clone(), started_unix_ms));
    let (n, s) = (node.clone(), socket.clone());
    tasks::supervise("pulse", move || {
        pulse::tell(n.clone(), s.clone(), started_unix_ms)
    });
    let n = node.clone();
    tasks::supervise("hear", move || hear(n.clone(), socket.clone()));
}

async fn tell(node: Rc<Node>, socket: Rc<UdpSocket>, started_unix_ms: u64) {
    loop {
        let addresses = node.peers.borrow().addresses().to_vec();
        // One group after the other: all at once would fill a slow link, which drops datagrams.
        for group in addresses.chunks(SMALL_FLEET) {
            node.heartbeat();
            let hello = hello(&node, node.next_datagram_number(), started_unix_ms);
            send(&node, &socket, hello, group.to_vec());
            tokio::time::sleep(GROUP_PERIOD).await;
        }
        if addresses.is_empty() {
            node.heartbeat();
            tokio::time::sleep(GROUP_PERIOD).await;
        }
        forget_gone(&node);
    }
}

/// Sends word; nodes that cannot hold the duties are spared what only those need.
fn send(node: &Node, socket: &UdpSocket, mut hello: Hello, listeners: Vec<SocketAddr>) {
    let only_listen = node.peers.borrow().only_listen();
    let (spared, others): (Vec<SocketAddr>, Vec<SocketAddr>) =
        listeners.into_iter().partition(|a| only_listen.contains(a));
    send_to(socket, &hello, &others);
    hello.begun.clear();
    send_to(socket, &hello, &spared);
}

/// Sends one datagram to all of `listeners`.
pub fn send_to(socket: &UdpSocket, hello: &Hello, listeners: &[SocketAddr]) {
    if listeners.is_empty() {
        return;
    }
    let datagram = serde_json::to_vec(hello).unwrap_or_default();
    for address in listeners {
        // A datagram may be lost in any case; the next one repeats all.
        let _ = socket.try_send_to(&datagram, *address);
    }
}

/// Forgets nodes that have ended.
fn forget_gone(node: &Node) {
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

/// What a node says of itself, in its datagram of that number.
pub fn hello(node: &Node, number: u64, started_unix_ms: u64) -> Hello {
    let now_ms = node.now_ms();
    let registry = node.registry.borrow();
    let busy = registry.servers().filter(|s| s.running.get() > 0);
    let loads = busy
        .map(|s| (s.record.id.clone(), s.running.get(), s.waiting_tokens.get()))
        .collect();
    let buckets = node.buckets.borrow();
    let mut suspects = node.suspects.borrow().export_local(SUSPECTS_MS, unix_ms());
    suspects.truncate(SUSPECTS_LIMIT);
    Hello {
        node: node.settings.node.name.clone(),
        failure_domain: node.settings.node.failure_domain.clone(),
        role: node.role(),
        stay: match node.phase.get() {
            Phase::Serving => Stay::Stays,
            Phase::Draining | Phase::Closing => Stay::Leaves,
        },
        period_ms: period_ms(node.node_count()),
        content: Content::Whole,
        boot: node.boot,
        started_unix_ms,
        number,
        unix_ms: unix_ms(),
        directory: node.directory.borrow().as_ref().map_or(0, |d| d.version),
        directory_age_ms: now_ms.saturating_sub(node.directory_confirmed_ms.get()),
        tenure: node.tenure.get(),
        registry: Told {
            revision: registry.revision,
            changed: registry.changed,
            age_ms: now_ms.saturating_sub(node.registry_confirmed_ms.get()),
        },
        loads,
        busy: node.busy_servers(),
        used: buckets
            .iter()
            .map(|(name, b)| (name.clone(), b.used().round()))
            .collect(),
        begun: node.usage.borrow().recent(),
        suspects,
        notices: gate::notices(node),
    }
}

async fn hear(node: Rc<Node>, socket: Rc<UdpSocket>) {
    let mut datagram = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((bytes, from)) = socket.recv_from(&mut datagram).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        read(&node, &datagram[..bytes], from);
    }
}

/// Takes in one datagram; bytes that are none of ours are counted and passed over.
pub fn read(node: &Rc<Node>, datagram: &[u8], from: SocketAddr) {
    match serde_json::from_slice::<Hello>(datagram) {
        Ok(hello) if hello.is_plausible() => take_in(node, hello, from),
        Ok(_) | Err(_) => node.metrics.count_platform_call("peer", "unreadable"),
    }
}

/// Takes in what a node says of itself.
pub fn take_in(node: &Rc<Node>, hello: Hello, from: SocketAddr) {
    if hello.node == node.settings.node.name {
        return;
    }
    let now_ms = node.now_ms();
    let news = node.peers.borrow_mut().heard(hello.clone(), from, now_ms);
    match news {
        News::Stale | News::TooMany => return,
        News::Continued => {}
        News::Appeared => appeared(&hello, from),
        News::Restarted(before) => {
            appeared(&hello, from);
            for bucket in node.buckets.borrow_mut().values_mut() {
                bucket.remove_peer(&before);
            }
        }
    }
    gate::apply_notices(node, &hello.notices);
    if hello.content == Content::Whole {
        take_in_whole(node, &hello, now_ms);
    }
    pull::confirm(node, &hello);
    pull::consider(node, &hello, from);
}

fn take_in_whole(node: &Rc<Node>, hello: &Hello, now_ms: Millisecond) {
    let key = hello.key();
    let silence_ms = node.peers.borrow().silence_ms(&hello.node);
    for (workspace, used) in &hello.used {
        if let Some(bucket) = node.buckets.borrow_mut().get_mut(workspace) {
            let word = PeerUsage {
                used: *used,
                age_ms: hello.age_ms(),
                silence_ms,
            };
            bucket.record_peer_usage(&key, word, now_ms);
        }
    }
    let mut usage = node.usage.borrow_mut();
    usage.heard(&key, hello.started_unix_ms, &hello.begun);
    drop(usage);
    if !hello.suspects.is_empty() {
        node.suspects.borrow_mut().merge(&hello.suspects, unix_ms());
    }
    sum_loads(node, now_ms);
}

fn appeared(hello: &Hello, from: SocketAddr) {
    let fields = PeerFields {
        peer: &hello.node,
        address: from,
        boot: hello.boot,
    };
    log::emit(events::Code::PeerAlive, &fields);
}

/// Sets what the other nodes have at each server.
fn sum_loads(node: &Node, now_ms: Millisecond) {
    let mut sums: Map<base::Name, Load> = Map::default();
    let peers = node.peers.borrow();
    for (_, peer) in peers.iter() {
        if peer.presence(now_ms) == Presence::Silent {
            continue;
        }
        for (server, running, waiting_tokens) in &peer.hello.loads {
            let sum = sums.entry(server.clone()).or_default();
            sum.running = sum.running.saturating_add(*running);
            sum.waiting_tokens = sum.waiting_tokens.saturating_add(*waiting_tokens);
        }
    }
    for server in node.registry.borrow().servers() {
        let sum = sums.get(&server.record.id).copied();
        server.others.set(sum.unwrap_or_default());
    }
}
