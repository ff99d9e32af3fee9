//! Streams that callers resume: they go on only at servers of the software version that began them.

use std::time::Duration;

use base::Name;
use base::units::Millisecond;
use policy::suspect::RequestDigest;
use serde::Serialize;
use tokio::time::Instant;

use super::job::Job;
use super::local_reply::LocalReply;
use crate::belief::RouteKind;
use crate::decide::begun_streams::{UnsavedStream, stream_key};
use crate::decide::not_run::NotRunProof;
use crate::decide::version_history::StreamVersions;
use crate::follow;
use crate::follow::streams::own_save_period_ms;
use crate::node::Node;

/// Time between two reads of a row that another node may not have written yet.
const READ_PERIOD: Duration = Duration::from_millis(120);

/// Time that a row takes to be written after a save period has ended.
const WRITE_MARGIN_MS: Millisecond = 150;

/// `Retry-After` of a stream whose version is unknown: the store may answer again.
const UNKNOWN_RETRY_MS: Millisecond = 1_000;

/// How the version of a stream became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum VersionSource {
    /// This node relayed the stream, or has looked it up before.
    Memory,
    /// No other version has served for as long as streams live.
    OnlyVersion,
    Store,
    /// The service has no server, so that there is nothing to choose from.
    NoServer,
    Unknown,
}

#[derive(Serialize)]
struct TakenUpFields<'a> {
    request: Option<&'a str>,
    resumes: Option<&'a str>,
    after_event: &'a str,
    version: Option<&'a str>,
    source: VersionSource,
    waited_ms: Millisecond,
    left_ms: Millisecond,
}

/// Restricts a resumable stream to the version that began it, if the caller resumes one.
///
/// # Errors
///
/// Returns the reply if the version is unknown while several may have begun the stream.
pub async fn pin_version(job: &Job<'_>) -> Result<(), LocalReply> {
    let names = &job.node.dialect.names;
    let Some(after_event) = job.request.head.fields.text(names.last_event) else {
        return Ok(());
    };
    if job.route.kind != RouteKind::ResumableStream {
        return Ok(());
    }
    let started = Instant::now();
    let (version, source) = find_version(job).await;
    let fields = TakenUpFields {
        request: job.id(),
        resumes: resumed_id(job),
        after_event,
        version: version.as_deref(),
        source,
        waited_ms: started.elapsed().as_millis() as Millisecond,
        left_ms: job.left_ms(),
    };
    crate::log::emit(events::Code::StreamTakenUp, &fields);
    if let Some(version) = version {
        job.pin_version(&version);
        return Ok(());
    }
    match source {
        VersionSource::NoServer => Ok(()),
        _ => Err(unknown_version()),
    }
}

/// Records the version of a resumable stream at its first event.
pub fn record_version(job: &Job<'_>, version: &Name) {
    if job.route.kind != RouteKind::ResumableStream {
        return;
    }
    job.pin_version(version);
    let Some(key) = begun_key(job) else {
        return;
    };
    let stream = UnsavedStream {
        key,
        service: job.service.name.clone(),
        version: version.clone(),
    };
    let now_ms = job.node.now_ms();
    job.node.begun_streams.borrow_mut().begin(stream, now_ms);
}

async fn find_version(job: &Job<'_>) -> (Option<Name>, VersionSource) {
    let node = job.node;
    let key = resumed_id(job).map(|id| key(job, id));
    if let Some(version) = key.and_then(|key| remembered(node, &key)) {
        return (Some(version), VersionSource::Memory);
    }
    follow::versions::observe(node);
    let versions = node
        .version_history
        .borrow()
        .stream_versions(&job.service.name);
    match versions {
        StreamVersions::Only(version) => return (Some(version), VersionSource::OnlyVersion),
        StreamVersions::None => return (None, VersionSource::NoServer),
        StreamVersions::Several | StreamVersions::Unknown => {}
    }
    let Some(key) = key else {
        return (None, VersionSource::Unknown);
    };
    match read_version(job, key).await {
        Some(version) => {
            let now_ms = node.now_ms();
            let mut streams = node.begun_streams.borrow_mut();
            streams.remember(key, &version, now_ms);
            (Some(version), VersionSource::Store)
        }
        None => (None, VersionSource::Unknown),
    }
}

/// Reads the version from the store, until the node that began the stream must have written it.
async fn read_version(job: &Job<'_>, key: RequestDigest) -> Option<Name> {
    let rows = job.node.stream_rows.get()?;
    let wait_ms = own_save_period_ms(job.node) + WRITE_MARGIN_MS;
    let until = Instant::now() + Duration::from_millis(wait_ms.min(job.left_ms() / 2));
    loop {
        let read = tokio::time::timeout_at(until, rows.version(key)).await;
        if let Ok(Ok(Some(version))) = read {
            return Some(version);
        }
        if Instant::now() + READ_PERIOD >= until {
            return None;
        }
        tokio::time::sleep(READ_PERIOD).await;
    }
}

fn remembered(node: &Node, key: &RequestDigest) -> Option<Name> {
    node.begun_streams.borrow().version(key).cloned()
}

fn unknown_version() -> LocalReply {
    let text = "The software version that began this stream is unknown; send the request again \
                without Last-Event-Id.";
    let proof = NotRunProof::unsent();
    LocalReply::later(proof, 503, "stream_version_unknown", text, UNKNOWN_RETRY_MS)
}

/// Key of the stream that this request begins or resumes.
fn begun_key(job: &Job<'_>) -> Option<RequestDigest> {
    let names = &job.node.dialect.names;
    let resumes = job.request.head.fields.text(names.last_event).is_some();
    let id = match resumes {
        true => resumed_id(job).or_else(|| job.id()),
        false => job.id(),
    };
    id.map(|id| key(job, id))
}

fn key(job: &Job<'_>, id: &str) -> RequestDigest {
    stream_key(&job.workspace_name(), &job.service.name, id)
}

/// The request that the caller names as the one that began the stream; `None` if it names none or
/// several.
fn resumed_id<'a>(job: &'a Job<'_>) -> Option<&'a str> {
    let names = &job.node.dialect.names;
    let fields = &job.request.head.fields;
    match fields.count(names.resumes) {
        1 => fields.text(names.resumes),
        _ => None,
    }
}
