//! Looks up which software version began a stream that a caller takes up.

use std::time::Duration;

use base::units::Millisecond;
use policy::suspect::RequestDigest;
use tokio::time::Instant;

use super::job::Job;
use crate::decide::stream_version::{
    AskedNodes, Evidence, Lookup, LookupTime, StoredStream, VersionSource,
};
use crate::follow;
use crate::follow::streams::own_save_period_ms;
use crate::node::Node;
use crate::peer::streams::{Question, ask};

/// Time between two reads of a row that another node may not have written yet, and between two
/// questions to a node that has not answered.
const REPEAT_PERIOD: Duration = Duration::from_millis(120);

/// Time that a row takes to be written after a save period has ended.
const WRITE_MARGIN_MS: Millisecond = 150;

/// A finished lookup.
#[derive(Debug)]
pub struct LookupReport {
    pub outcome: Lookup,
    /// Number of other nodes that were asked, and that answered.
    pub asked: usize,
    pub answered: usize,
}

/// Looks up the version of a stream. `key` is unset if the caller doesn't name the stream.
pub async fn find_version(job: &Job<'_>, key: Option<RequestDigest>) -> LookupReport {
    let node = job.node;
    if let Some(version) = key.and_then(|key| node.stream_version(&key)) {
        return LookupReport {
            outcome: Lookup::Found(version, VersionSource::Memory),
            asked: 0,
            answered: 0,
        };
    }
    let question = key.and_then(|key| ask(node, key));
    let wait_ms = own_save_period_ms(node) + WRITE_MARGIN_MS;
    let until = Instant::now() + Duration::from_millis(wait_ms.min(job.left_ms() / 2));
    let reading = read_row(node, key, until);
    tokio::pin!(reading);
    let mut stored = None;
    let mut send_at = Instant::now() + REPEAT_PERIOD;
    let outcome = loop {
        let outcome = evidence(job, question.as_ref(), stored.as_ref(), until).conclude();
        if outcome != Lookup::Pending {
            break outcome;
        }
        tokio::select! {
            read = &mut reading, if stored.is_none() => stored = Some(read),
            () = answered(question.as_ref()) => {}
            () = tokio::time::sleep_until(send_at.min(until)) => {
                question.iter().for_each(Question::send);
                send_at += REPEAT_PERIOD;
            }
        }
    };
    if let (Some(key), Lookup::Found(version, VersionSource::OtherNode | VersionSource::Store)) =
        (key, &outcome)
    {
        let mut streams = node.begun_streams.borrow_mut();
        streams.remember(key, version, node.now_ms());
    }
    LookupReport {
        outcome,
        asked: question.as_ref().map_or(0, Question::asked),
        answered: question.map_or(0, |q| q.answers().len()),
    }
}

fn evidence(
    job: &Job<'_>,
    question: Option<&Question<'_>>,
    stored: Option<&StoredStream>,
    until: Instant,
) -> Evidence {
    let node = job.node;
    follow::versions::observe(node);
    let answers = question.map(Question::answers).unwrap_or_default();
    let history = node.version_history.borrow();
    let is_alone = node.peers.borrow().listed() == 0;
    Evidence {
        versions: history.stream_versions(&job.service.name),
        stored: stored.cloned().unwrap_or(StoredStream::Unread),
        asked: match question {
            Some(question) if question.is_awaited() => AskedNodes::Awaited,
            Some(_) if !answers.is_empty() || is_alone => AskedNodes::Answered,
            Some(_) | None => AskedNodes::Silent,
        },
        remembered: answers.into_iter().find_map(|answer| answer.version),
        time: match Instant::now() < until {
            true => LookupTime::Left,
            false => LookupTime::Over,
        },
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
    let Some(key) = key else {
        return StoredStream::Unnamed;
    };
    let Some(rows) = node.stream_rows.get() else {
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
