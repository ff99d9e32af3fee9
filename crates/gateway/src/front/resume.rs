//! Streams that callers resume: they go on only at servers of the software version that began them.

use base::Name;
use base::units::Millisecond;
use policy::suspect::RequestDigest;
use serde::Serialize;
use tokio::time::Instant;

use super::job::Job;
use super::local_reply::LocalReply;
use super::version_lookup::find_version;
use crate::belief::RouteKind;
use crate::decide::begun_streams::{UnsavedStream, stream_key};
use crate::decide::not_run::NotRunProof;
use crate::decide::stream_version::{Lookup, VersionSource};
use crate::peer::streams::announce_begin;

/// `Retry-After` of a stream whose version is unknown: the store may answer again.
const UNKNOWN_RETRY_MS: Millisecond = 1_000;

/// Outcome of a lookup as logged.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case", untagged)]
enum SourceField {
    Found(VersionSource),
    NotFound(NotFoundReason),
}

/// Why no version was found.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum NotFoundReason {
    NoServer,
    Lost,
    Unknown,
}

#[derive(Serialize)]
struct TakenUpFields<'a> {
    request: Option<&'a str>,
    resumes: Option<&'a str>,
    after_event: &'a str,
    version: Option<&'a str>,
    source: SourceField,
    asked: usize,
    answered: usize,
    registry_age_ms: Option<Millisecond>,
    waited_ms: Millisecond,
    left_ms: Millisecond,
}

/// Restricts a resumable stream to the version that began it, if the caller resumes one.
///
/// # Errors
///
/// Returns the reply if the version is unknown.
pub async fn pin_version(job: &Job<'_>) -> Result<(), LocalReply> {
    let names = &job.node.dialect.names;
    let Some(after_event) = job.request.head.fields.text(names.last_event) else {
        return Ok(());
    };
    if job.route.kind != RouteKind::ResumableStream {
        return Ok(());
    }
    let started = Instant::now();
    let key = resumed_id(job).map(|id| key(job, id));
    let report = find_version(job, key).await;
    let (version, source) = match &report.outcome {
        Lookup::Found(version, source) => (Some(version), SourceField::Found(*source)),
        Lookup::NoServer => (None, SourceField::NotFound(NotFoundReason::NoServer)),
        Lookup::Lost => (None, SourceField::NotFound(NotFoundReason::Lost)),
        Lookup::Unreachable | Lookup::Pending => {
            (None, SourceField::NotFound(NotFoundReason::Unknown))
        }
    };
    let fields = TakenUpFields {
        request: job.id(),
        resumes: resumed_id(job),
        after_event,
        version: version.map(|v| &**v),
        source,
        asked: report.asked,
        answered: report.answered,
        registry_age_ms: report.registry_age_ms,
        waited_ms: started.elapsed().as_millis() as Millisecond,
        left_ms: job.left_ms(),
    };
    crate::log::emit(events::Code::StreamTakenUp, &fields);
    match report.outcome {
        Lookup::Found(version, _) => job.pin_version(&version),
        Lookup::NoServer => {}
        Lookup::Lost => return Err(lost_stream()),
        Lookup::Unreachable | Lookup::Pending => return Err(unknown_version()),
    }
    Ok(())
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
    let is_new = job.node.begun_streams.borrow_mut().begin(stream, now_ms);
    if is_new {
        announce_begin(job.node, key, version);
    }
}

fn unknown_version() -> LocalReply {
    let text = "The software version that began this stream can't be found out now; send the \
                request again later, or without Last-Event-Id.";
    let proof = NotRunProof::unsent();
    LocalReply::later(proof, 503, "stream_version_unknown", text, UNKNOWN_RETRY_MS)
}

fn lost_stream() -> LocalReply {
    let text = "Nobody can tell any more which software version began this stream; begin it anew, \
                without Last-Event-Id.";
    LocalReply::refusal(NotRunProof::unsent(), 503, "stream_lost", text)
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
