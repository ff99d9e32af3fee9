//! Looks up which software version began a stream that a caller takes up.

use std::time::Duration;

use base::units::Millisecond;
use policy::suspect::RequestDigest;
use tokio::time::Instant;

use super::job::Job;
use crate::decide::stream_version::{
    AskedNodes, Evidence, Lookup, LookupTime, RegistryBounds, RegistryCheck, StoredStream,
    VersionSource,
};
use crate::follow;
use crate::follow::streams::own_save_period_ms;
use crate::node::Node;
use crate::peer::NODE_EXPIRY_MS;
use crate::peer::role::HEARTBEAT_PERIOD_MS;
use crate::peer::streams::{Question, ask};

/// Time between two reads of a row that another node may not have written yet, and between two
/// questions to a node that has not answered.
const REPEAT_PERIOD: Duration = Duration::from_millis(120);

/// Time that a row takes to be written after a save period has ended.
const WRITE_MARGIN_MS: Millisecond = 150;

/// Time within which an answer of a sound node arrives.
const ANSWER_WAIT_MS: Millisecond = HEARTBEAT_PERIOD_MS;

/// Time between two looks at whether the store has confirmed the registry.
const REGISTRY_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// A finished lookup.
#[derive(Debug)]
pub struct LookupReport {
    pub outcome: Lookup,
    /// Number of other nodes that were asked, and that answered.
    pub asked: usize,
    pub answered: usize,
    /// Age of the knowledge which versions serve; `None` if it was not needed or not confirmed.
    pub registry_age_ms: Option<Millisecond>,
}

/// A lookup in progress.
struct Search<'a> {
    job: &'a Job<'a>,
    question: Option<Question<'a>>,
    stored: StoredStream,
    started_ms: Millisecond,
    until: Instant,
}

/// Looks up the version of a stream. `key` is unset if the caller doesn't name the stream.
pub async fn find_version(job: &Job<'_>, key: Option<RequestDigest>) -> LookupReport {
    let node = job.node;
    if let Some(version) = key.and_then(|key| node.stream_version(&key)) {
        return LookupReport {
            outcome: Lookup::Found(version, VersionSource::Memory),
            asked: 0,
            answered: 0,
            registry_age_ms: None,
        };
    }
    let wait_ms = own_save_period_ms(node) + WRITE_MARGIN_MS;
    let mut search = Search {
        job,
        question: ask(node, key, &job.service.name),
        stored: match key {
            Some(_) => StoredStream::Unread,
            None => StoredStream::Unnamed,
        },
        started_ms: node.now_ms(),
        until: Instant::now() + Duration::from_millis(wait_ms.min(job.left_ms() / 2)),
    };
    let (outcome, registry_age_ms) = search.run(key).await;
    if let (Some(key), Lookup::Found(version, VersionSource::OtherNode | VersionSource::Store)) =
        (key, &outcome)
    {
        let mut streams = node.begun_streams.borrow_mut();
        streams.remember(key, version, node.now_ms());
    }
    let question = search.question.as_ref();
    LookupReport {
        outcome,
        asked: question.map_or(0, Question::asked),
        answered: question.map_or(0, |q| q.answers().len()),
        registry_age_ms,
    }
}

impl Search<'_> {
    async fn run(&mut self, key: Option<RequestDigest>) -> (Lookup, Option<Millisecond>) {
        let node = self.job.node;
        let reading = read_row(node, key, self.until);
        tokio::pin!(reading);
        let mut is_read = self.stored == StoredStream::Unnamed;
        let mut send_at = Instant::now() + REPEAT_PERIOD;
        loop {
            let evidence = self.evidence();
            let outcome = evidence.conclude();
            if outcome != Lookup::Pending {
                return (outcome, self.registry_age_ms(&evidence));
            }
            let mut wake_at = send_at.min(self.until);
            if evidence.needs_registry() {
                node.peer_registry_changed.notify_waiters();
                wake_at = wake_at.min(Instant::now() + REGISTRY_CHECK_PERIOD);
            }
            tokio::select! {
                stored = &mut reading, if !is_read && evidence.needs_row() => {
                    self.stored = stored;
                    is_read = true;
                }
                () = answered(self.question.as_ref()) => {}
                () = tokio::time::sleep_until(wake_at) => {}
            }
            if Instant::now() >= send_at {
                self.question.iter().for_each(Question::send);
                send_at += REPEAT_PERIOD;
            }
        }
    }

    fn evidence(&self) -> Evidence {
        let node = self.job.node;
        follow::versions::observe(node);
        let answers = self.question.as_ref().map(Question::answers);
        let answers = answers.unwrap_or_default();
        let informed: Vec<_> = answers.iter().filter(|a| a.versions.is_some()).collect();
        let history = node.version_history.borrow();
        Evidence {
            versions: history.stream_versions(&self.job.service.name),
            stored: self.stored.clone(),
            asked: self.asked_nodes(answers.len(), informed.len()),
            registry: match node.registry_queried_ms.get() > self.started_ms {
                true => RegistryCheck::Confirmed,
                false => RegistryCheck::Unconfirmed,
            },
            youngest_ms: informed.iter().filter_map(|a| a.registry_age_ms).min(),
            bounds: RegistryBounds {
                asked_ms: node.settings.bounds.drain_ms,
                all_ms: NODE_EXPIRY_MS,
            },
            remembered: answers.into_iter().find_map(|answer| answer.version),
            time: match Instant::now() < self.until {
                true => LookupTime::Left,
                false => LookupTime::Over,
            },
        }
    }

    /// `informed` of the answers are of nodes that know the versions before their start.
    fn asked_nodes(&self, answered: usize, informed: usize) -> AskedNodes {
        let node = self.job.node;
        let Some(question) = &self.question else {
            return AskedNodes::Silent;
        };
        let waited_ms = node.now_ms().saturating_sub(self.started_ms);
        if informed >= node.peers.borrow().listed() {
            AskedNodes::All
        } else if answered < question.asked() && waited_ms < ANSWER_WAIT_MS {
            AskedNodes::Awaited
        } else if answered == 0 {
            AskedNodes::Silent
        } else if informed < question.asked() {
            AskedNodes::Overdue
        } else {
            AskedNodes::Asked
        }
    }

    fn registry_age_ms(&self, evidence: &Evidence) -> Option<Millisecond> {
        let node = self.job.node;
        match evidence.registry {
            RegistryCheck::Confirmed => {
                Some(node.now_ms().saturating_sub(node.registry_queried_ms.get()))
            }
            RegistryCheck::Unconfirmed => evidence.youngest_ms,
        }
    }
}

/// Waits for the next answer to the question; forever if there is none.
async fn answered(question: Option<&Question<'_>>) {
    match question {
        Some(question) => question.answered().await,
        None => std::future::pending().await,
    }
}

/// Reads the version from the store, until the node that began the stream must have written it.
async fn read_row(node: &Node, key: Option<RequestDigest>, until: Instant) -> StoredStream {
    let (Some(key), Some(rows)) = (key, node.stream_rows.get()) else {
        return StoredStream::Unread;
    };
    loop {
        let read = tokio::time::timeout_at(until, rows.version(key)).await;
        let is_last = Instant::now() + REPEAT_PERIOD >= until;
        match read {
            Ok(Ok(Some(version))) => return StoredStream::Version(version),
            Ok(Ok(None)) if is_last => return StoredStream::Absent,
            Ok(Err(_)) | Err(_) if is_last => return StoredStream::Unread,
            Ok(Ok(None) | Err(_)) | Err(_) => tokio::time::sleep(REPEAT_PERIOD).await,
        }
    }
}
