//! What the nodes that follow the store of a large fleet tell of it, between their whole datagrams.
//!
//! Whole datagrams go round a large fleet in seconds. News of the store must be everywhere within a
//! part of the bounds on it, and the others must know how old their knowledge is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use tokio::net::UdpSocket;

use super::exchange::{hello, send_to};
use super::message::{Content, Hello, Tenure};
use super::role::{PERIOD_MS, Role, SMALL_FLEET};
use crate::node::Node;

/// Time between two pulses to the other nodes that follow the store.
const PULSE: Duration = Duration::from_millis(PERIOD_MS);

/// Neighbours that only listen get each third pulse, and each one that has news.
const NEAR_ROUNDS: u64 = 3;

/// News is told to neighbours in so many pulses: some may be lost.
const NEWS_ROUNDS: u64 = 3;

/// News in the pulses of a node: versions of the directory and the registry, and who holds the duties.
type News = (u64, u64, Tenure);

/// Pulses for as long as the process lives.
pub async fn tell(node: Rc<Node>, socket: Rc<UdpSocket>, started_unix_ms: u64) {
    let mut rounds = Rounds::default();
    loop {
        tokio::time::sleep(PULSE).await;
        if node.node_count() <= SMALL_FLEET || node.role() == Role::Listens {
            rounds = Rounds::default();
            continue;
        }
        let domain = &node.settings.node.failure_domain;
        let (followers, near) = node.peers.borrow().followers_and_near(domain);
        let mut pulse = hello(&node, node.next_datagram_number(), started_unix_ms);
        send(&socket, &mut pulse, PERIOD_MS, &followers);
        if rounds.near_is_due((pulse.directory, pulse.registry.changed, pulse.tenure)) {
            send(&socket, &mut pulse, PERIOD_MS * NEAR_ROUNDS, &near);
        }
    }
}

fn send(socket: &UdpSocket, pulse: &mut Hello, period_ms: Millisecond, listeners: &[SocketAddr]) {
    pulse.content = Content::Pulse { period_ms };
    pulse.loads.clear();
    pulse.busy.clear();
    pulse.used.clear();
    pulse.begun.clear();
    pulse.suspects.clear();
    send_to(socket, pulse, listeners);
}

/// Which pulses go to neighbours, too.
#[derive(Default)]
struct Rounds {
    told: Option<News>,
    number: u64,
    with_news: u64,
}

impl Rounds {
    fn near_is_due(&mut self, news: News) -> bool {
        self.number += 1;
        if self.told != Some(news) {
            self.told = Some(news);
            self.with_news = NEWS_ROUNDS;
        }
        let has_news = self.with_news > 0;
        self.with_news = self.with_news.saturating_sub(1);
        has_news || self.number.is_multiple_of(NEAR_ROUNDS)
    }
}
