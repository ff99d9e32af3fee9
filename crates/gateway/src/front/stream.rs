//! Streams: events are passed on as they come, and a stream that may be resumed goes on at another
//! server after the last event that the caller has.

use std::rc::Rc;
use std::time::Duration;

use base::units::Millisecond;
use bytes::BytesMut;
use serde::Serialize;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, timeout_at};

use super::answer::{BodyKind, Verdict, judge, write_head};
use super::attempts::Attempts;
use super::job::Job;
use super::serve::{Out, Served};
use crate::backend::attempt::Attempt;
use crate::backend::exchange::{Answer, Outgoing, after, send};
use crate::decide::outcome::Cause;
use crate::decide::patience::Patience;
use crate::http::put_chunk;
use crate::node::Node;
use crate::sse::EventReader;

/// A stream that may be resumed goes on elsewhere after a pause of so many times the one owed.
const PAUSE_TARGETS: u64 = 5;

/// That pause where none is named.
const UNNAMED_PAUSE_MS: Millisecond = 1_000;

/// How far the caller's answer has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Nothing has been written.
    Nothing,
    /// The head has been written.
    Head,
}

/// How one server's part of a stream ended.
enum End {
    /// The caller has the whole answer, with this status.
    Whole(u16),
    /// The server failed.
    Failed(Cause),
    /// The time is over.
    TimedOut,
    /// The caller takes no more.
    CallerGone,
}

struct Stream<'a, 'b, 'c> {
    job: &'a Job<'b>,
    out: &'a mut Out<'c>,
    progress: Progress,
    last_event: Option<String>,
    /// How long the server in use is waited for.
    patience: Patience,
    until: Instant,
}

#[derive(Serialize)]
struct ResumedFields<'a> {
    request: Option<&'a str>,
    server: &'a str,
    after_event: Option<&'a str>,
    left_ms: Millisecond,
}

/// Serves a request whose answer is a stream.
pub async fn serve(node: &Rc<Node>, job: &Job<'_>, out: &mut Out<'_>) -> Served {
    let mut attempts = Attempts::new(node, job);
    let mut stream = Stream {
        job,
        out,
        progress: Progress::Nothing,
        last_event: None,
        patience: Patience::ToTheEnd,
        until: after(job.left_ms()),
    };
    loop {
        let mut attempt = match attempts.place().await {
            Ok(attempt) => attempt,
            Err(reply) => return stream.give_up(Served::Own(reply)),
        };
        stream.report(&attempt);
        stream.patience = attempts.patience(&attempt);
        let cause = match stream.run(&mut attempt).await {
            End::Whole(status) => return Served::Passed { status },
            End::CallerGone => return Served::CallerGone,
            End::TimedOut => return stream.give_up(Served::Own(attempts.timed_out())),
            End::Failed(cause) => cause,
        };
        if let Err(reply) = attempts.failed(&attempt, cause) {
            return stream.give_up(Served::Own(reply));
        }
    }
}

impl Stream<'_, '_, '_> {
    /// Our own answer, unless a part of a server's has been written.
    fn give_up(&self, own: Served) -> Served {
        match self.progress {
            Progress::Nothing => own,
            Progress::Head => Served::BrokenOff,
        }
    }

    async fn run(&mut self, attempt: &mut Attempt<'_>) -> End {
        let answer = match self.open(attempt).await {
            Ok(answer) => answer,
            Err(end) => return end,
        };
        attempt.note_answer(answer.seen);
        match judge(self.job, &answer.head) {
            Ok(Verdict::Pass) if is_stream(&answer) => self.relay(attempt, answer).await,
            Ok(Verdict::Pass) if self.progress == Progress::Nothing => {
                self.pass_whole(attempt, answer).await
            }
            Ok(Verdict::Pass | Verdict::PassOrRepeat) => End::Failed(Cause::Failed),
            Err(cause) => {
                answer.discard(&attempt.server, self.job.node.clock).await;
                End::Failed(cause)
            }
        }
    }

    async fn open(&mut self, attempt: &mut Attempt<'_>) -> Result<Answer, End> {
        let permit = attempt.permit().map_err(End::Failed)?;
        let server = &attempt.server;
        let request = Outgoing {
            method: &self.job.request.head.method,
            request_id: self.job.id(),
            head: self.job.head_for(server, self.last_event.as_deref()),
            body: self.job.request.body.clone(),
            reuse: attempt.reuse,
        };
        let node = self.job.node;
        let sending = send(server, permit, &request, &node.dialect.names, node.clock);
        let until = match self.patience {
            Patience::For(ms) => after(ms).min(self.until),
            Patience::ToTheEnd => self.until,
        };
        match timeout_at(until, sending).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(cause)) => Err(End::Failed(cause)),
            Err(_) => Err(self.overdue()),
        }
    }

    /// What a wait without progress has come to.
    fn overdue(&self) -> End {
        match Instant::now() >= self.until {
            true => End::TimedOut,
            false => End::Failed(Cause::Silent),
        }
    }

    /// Passes on the events of one server.
    async fn relay(&mut self, attempt: &mut Attempt<'_>, mut answer: Answer) -> End {
        let mut out = BytesMut::new();
        if self.progress == Progress::Nothing {
            write_head(&mut out, &answer.head, BodyKind::Chunks, self.out);
        }
        let mut events = EventReader::after(self.last_event.as_deref());
        let mut held = self.job.node.held.part();
        let mut last = Instant::now();
        loop {
            // Counted from the last whole event: single bytes are no progress.
            let until = self.pause_end(&events, last).min(self.until);
            let data = match timeout_at(until, answer.next()).await {
                Ok(Ok(Some(data))) => data,
                Ok(Ok(None)) if events.is_at_boundary() => break,
                Ok(Ok(None)) => return End::Failed(Cause::Broken),
                Ok(Err(cause)) => return End::Failed(cause),
                Err(_) => return self.overdue(),
            };
            let Ok(whole) = events.take(data) else {
                return End::Failed(Cause::Garbled);
            };
            if held.set(events.partial_bytes()).is_err() {
                return End::Failed(Cause::Unheld);
            }
            if whole.is_empty() {
                continue;
            }
            self.saw_events(attempt, &events, &mut last);
            put_chunk(&mut out, &whole);
            self.progress = Progress::Head;
            if self.out.write.write_all(&out).await.is_err() {
                return End::CallerGone;
            }
            out.clear();
            if let Some(id) = events.last_id() {
                self.last_event = Some(id.to_owned());
            }
        }
        out.extend_from_slice(b"0\r\n\r\n");
        self.progress = Progress::Head;
        let status = answer.head.status;
        answer.finish(&attempt.server, self.job.node.now_ms());
        match self.out.write.write_all(&out).await {
            Ok(()) => End::Whole(status),
            Err(_) => End::CallerGone,
        }
    }

    fn saw_events(&self, attempt: &mut Attempt<'_>, events: &EventReader, last: &mut Instant) {
        let now = Instant::now();
        attempt.server.record_success(self.job.node.now_ms());
        if events.event_count_before() == 0 {
            attempt.first_byte();
        } else {
            let gap_ms = (now - *last).as_secs_f64() * 1_000.0;
            let taken = events.event_count() - events.event_count_before();
            attempt
                .server
                .speed
                .borrow_mut()
                .saw_gap(gap_ms / taken.max(1) as f64);
        }
        *last = now;
    }

    /// When a stream that may be resumed goes on elsewhere if nothing comes.
    fn pause_end(&self, events: &EventReader, last: Instant) -> Instant {
        let Patience::For(first_ms) = self.patience else {
            return self.until;
        };
        let pause_ms = match (events.event_count(), self.job.route.gap_target_ms) {
            (0, _) => first_ms,
            (_, Some(gap_ms)) => PAUSE_TARGETS * gap_ms,
            (_, None) => UNNAMED_PAUSE_MS,
        };
        last + Duration::from_millis(pause_ms)
    }

    /// Passes on an answer that is no stream, such as a failure.
    async fn pass_whole(&mut self, attempt: &Attempt<'_>, mut answer: Answer) -> End {
        let mut held = self.job.node.held.part();
        let body = match timeout_at(self.until, answer.whole(&mut held)).await {
            Ok(Ok(body)) => body,
            Ok(Err(cause)) => return End::Failed(cause),
            Err(_) => return End::TimedOut,
        };
        let status = answer.head.status;
        let mut out = BytesMut::new();
        write_head(
            &mut out,
            &answer.head,
            BodyKind::Whole(body.len()),
            self.out,
        );
        out.extend_from_slice(&body);
        answer.finish(&attempt.server, self.job.node.now_ms());
        self.progress = Progress::Head;
        match self.out.write.write_all(&out).await {
            Ok(()) => End::Whole(status),
            Err(_) => End::CallerGone,
        }
    }

    fn report(&self, attempt: &Attempt<'_>) {
        if self.progress == Progress::Nothing {
            return;
        }
        let fields = ResumedFields {
            request: self.job.id(),
            server: &attempt.server.record.id,
            after_event: self.last_event.as_deref(),
            left_ms: self.job.left_ms(),
        };
        crate::log::emit(events::Code::StreamResumed, &fields);
    }
}

fn is_stream(answer: &Answer) -> bool {
    let kind = answer.head.fields.text("content-type").unwrap_or_default();
    kind.starts_with("text/event-stream") && (200..300).contains(&answer.head.status)
}
