//! Pulls what other nodes have and this one lacks, from one source beside the other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use base::{Map, Name};
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, abortable};
use futures_util::stream::FuturesUnordered;
use outside::Topic;

use super::pull::{self, Choice, Progress};
use super::role::Presence;
use crate::decide::source::{
    Contact, DEFAULT_LINK_MBPS, Place, PullOutcome, Source, Step, Transfer, next_step,
};
use crate::node::Node;

/// How often a node that is behind looks for another source: a quarter of the time after which it
/// asks the next one.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Time after which the outcome of a pull no longer matters.
const RETENTION_MS: Millisecond = 10_000;

/// Pulls from other nodes.
#[derive(Debug, Default)]
pub struct PullLog {
    /// Topics that are being pulled.
    running: Vec<Topic>,
    by_source: Map<Name, SourceRecord>,
}

#[derive(Debug, Default)]
struct SourceRecord {
    under_way: u32,
    ended: Option<(PullOutcome, Millisecond)>,
}

impl PullLog {
    fn contact(&self, source: &Name, now_ms: Millisecond) -> Contact {
        let Some(record) = self.by_source.get(source) else {
            return Contact::None;
        };
        match record.ended {
            _ if record.under_way > 0 => Contact::Pulling,
            None => Contact::None,
            Some((outcome, at_ms)) => Contact::Ended {
                outcome,
                ago_ms: now_ms.saturating_sub(at_ms),
            },
        }
    }

    fn begin(&mut self, source: &Name, now_ms: Millisecond) {
        self.by_source.retain(|_, record| {
            let is_recent = |(_, at_ms)| now_ms.saturating_sub(at_ms) < RETENTION_MS;
            record.under_way > 0 || record.ended.is_some_and(is_recent)
        });
        self.by_source.entry(source.clone()).or_default().under_way += 1;
    }

    fn end(&mut self, source: &Name, outcome: Option<PullOutcome>, now_ms: Millisecond) {
        let Some(record) = self.by_source.get_mut(source) else {
            return;
        };
        record.under_way -= 1;
        if let Some(outcome) = outcome {
            record.ended = Some((outcome, now_ms));
        }
    }
}

/// Marks a topic as being pulled until it is dropped, also on a panic.
struct Running {
    node: Rc<Node>,
    topic: Topic,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut pulls = self.node.pulls.borrow_mut();
        pulls.running.retain(|topic| *topic != self.topic);
    }
}

/// Marks a source as being asked until it is dropped, also if the pull is given up.
struct Asking {
    node: Rc<Node>,
    source: Name,
    outcome: Option<PullOutcome>,
}

impl Asking {
    fn finish(mut self, outcome: PullOutcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Asking {
    fn drop(&mut self) {
        let now_ms = self.node.now_ms();
        let mut pulls = self.node.pulls.borrow_mut();
        pulls.end(&self.source, self.outcome, now_ms);
    }
}

/// A node that has what this one lacks.
struct Candidate {
    name: Name,
    address: SocketAddr,
    place: Place,
    link_mbps: f64,
    contact: Contact,
}

impl Candidate {
    fn source(&self) -> Source<'_> {
        Source {
            name: &self.name,
            place: self.place,
            link_mbps: self.link_mbps,
            contact: self.contact,
        }
    }
}

/// A pull that is under way.
struct RunningPull {
    began_ms: Millisecond,
    progress: Rc<Progress>,
    abort: AbortHandle,
}

impl RunningPull {
    fn transfer(&self, now_ms: Millisecond) -> Transfer {
        Transfer {
            since_ms: now_ms.saturating_sub(self.began_ms),
            received_bytes: self.progress.received_bytes.get(),
            total_bytes: self.progress.total_bytes.get(),
        }
    }
}

/// Pulls a topic on the current local task set until this node has what the others have, unless it
/// is being pulled already.
pub fn start(node: &Rc<Node>, topic: Topic) {
    let mut pulls = node.pulls.borrow_mut();
    if pulls.running.contains(&topic) {
        return;
    }
    pulls.running.push(topic);
    drop(pulls);
    let running = Running {
        node: node.clone(),
        topic,
    };
    tokio::task::spawn_local(async move { catch_up(&running.node, running.topic).await });
}

async fn catch_up(node: &Rc<Node>, topic: Topic) {
    let mut ends = FuturesUnordered::new();
    let mut running: Vec<RunningPull> = Vec::new();
    loop {
        let candidates = candidates(node, topic);
        if !pull::is_behind(node, topic) || candidates.is_empty() && running.is_empty() {
            return;
        }
        let step = next(node, topic, &candidates, &running);
        if let Step::Replace { ends, .. } = step {
            running.remove(ends).abort.abort();
        }
        if let Step::Ask(source) | Step::Replace { source, .. } = step {
            let choice = Choice {
                sources: candidates.len(),
                under_way: running.len(),
            };
            let (pull, end) = ask(node, topic, &candidates[source], choice);
            running.push(pull);
            ends.push(end);
            continue;
        }
        tokio::select! {
            Some(ended) = ends.next(), if !ends.is_empty() => {
                running.retain(|pull| !Rc::ptr_eq(&pull.progress, &ended));
            }
            () = tokio::time::sleep(CHECK_PERIOD) => {}
        }
    }
}

/// The other nodes that are heard and have what this one lacks.
fn candidates(node: &Node, topic: Topic) -> Vec<Candidate> {
    let (now_ms, domain) = (node.now_ms(), &node.settings.node.failure_domain);
    let (peers, pulls) = (node.peers.borrow(), node.pulls.borrow());
    let sources = peers.iter().filter(|(_, peer)| {
        peer.presence(now_ms) == Presence::Fresh && pull::has_newer(node, &peer.heartbeat, topic)
    });
    sources
        .map(|(name, peer)| Candidate {
            name: name.clone(),
            address: peer.address,
            place: match peer.heartbeat.failure_domain == *domain {
                true => Place::SameDomain,
                false => Place::OtherDomain,
            },
            link_mbps: peer.heartbeat.link_mbps.unwrap_or(DEFAULT_LINK_MBPS),
            contact: pulls.contact(name, now_ms),
        })
        .collect()
}

fn next(node: &Node, topic: Topic, candidates: &[Candidate], running: &[RunningPull]) -> Step {
    if !pull::may_pull(node, topic) {
        return Step::Wait;
    }
    let sources: Vec<Source<'_>> = candidates.iter().map(Candidate::source).collect();
    let now_ms = node.now_ms();
    let under_way: Vec<Transfer> = running.iter().map(|p| p.transfer(now_ms)).collect();
    let own = &node.settings.node.name;
    next_step(own, pull::standing(node, topic), &sources, &under_way)
}

/// Begins a pull. Its end resolves to its progress, by which it is found among the running ones.
fn ask(
    node: &Rc<Node>,
    topic: Topic,
    candidate: &Candidate,
    choice: Choice,
) -> (RunningPull, impl Future<Output = Rc<Progress>> + use<>) {
    let now_ms = node.now_ms();
    node.pulls.borrow_mut().begin(&candidate.name, now_ms);
    let asking = Asking {
        node: node.clone(),
        source: candidate.name.clone(),
        outcome: None,
    };
    let progress = Rc::new(Progress::default());
    let (address, received) = (candidate.address, progress.clone());
    let (pull, abort) = abortable(async move {
        let outcome = pull::pull(&asking.node, address, topic, choice, &received).await;
        asking.finish(outcome);
    });
    let running = RunningPull {
        began_ms: now_ms,
        progress: progress.clone(),
        abort,
    };
    let end = async move {
        // A pull that was given up ends like any other.
        let _ = pull.await;
        progress
    };
    (running, end)
}
