//! Reads the answer of an attempt into the relay's record.

use std::time::Duration;

use base::outcome::RunState;
use base::units::Millisecond;
use engine::chat::Chunk;
use engine::stream::StreamEvent;
use policy::retry::FailureCause;
use policy::route::{self};

use super::live::{choice_text, total_usage};
use super::record::Progress;
use super::relay::{AnswerEvent, Relay, drain_cut};

enum ReadOutcome {
    Event(Result<StreamEvent, engine::BodyError>),
    Stalled,
    Leaving(Millisecond),
    Drained,
}

impl Relay {
    pub(super) async fn read(&mut self) -> Option<AnswerEvent> {
        let outcome = self.next_read_outcome().await;
        match outcome {
            ReadOutcome::Event(Ok(StreamEvent::Chunk(chunk))) => self.chunk(chunk),
            ReadOutcome::Event(Ok(StreamEvent::Done)) => {
                self.stream_ended("the stream ended without a finish reason");
                None
            }
            ReadOutcome::Event(Err(error)) => {
                self.stream_ended(&error.reason);
                None
            }
            ReadOutcome::Stalled => {
                self.attempt_failed(
                    FailureCause::TimedOut,
                    RunState::Unknown,
                    "the stream stalled",
                );
                None
            }
            ReadOutcome::Leaving(gone_at_ms) => {
                self.server_leaving(gone_at_ms).await;
                None
            }
            ReadOutcome::Drained => {
                self.stop("drain");
                None
            }
        }
    }

    async fn next_read_outcome(&mut self) -> ReadOutcome {
        let stall = Duration::from_millis(self.flow.options.stall_timeout_ms);
        let Some(live) = &mut self.live else {
            return ReadOutcome::Stalled;
        };
        let Some(stream) = &mut live.stream else {
            return ReadOutcome::Stalled;
        };
        let flight = &mut live.flight;
        tokio::select! {
            biased;
            event = stream.next() => ReadOutcome::Event(event),
            gone_at_ms = flight.leaving(), if !self.route_request.excluded.contains(&flight.target().id) => ReadOutcome::Leaving(gone_at_ms),
            () = drain_cut(&mut self.drain) => ReadOutcome::Drained,
            () = tokio::time::sleep(stall) => ReadOutcome::Stalled,
        }
    }

    fn chunk(&mut self, chunk: Chunk) -> Option<AnswerEvent> {
        let live = self.live.as_mut()?;
        if let Some(usage) = chunk.usage {
            live.usage = Some(usage);
        }
        let mut choice = chunk.choices.into_iter().next()?;
        if let Some(reason) = choice.finish_reason.take() {
            live.finish_reason = Some(reason);
        }
        let text = choice_text(&mut choice);
        let tool_calls = choice
            .delta
            .as_ref()
            .is_some_and(|d| d.tool_calls.is_some());
        if text.is_empty() && !tool_calls {
            return None;
        }
        live.pace.token(self.flow.clock.now_ms());
        if !live.got_token {
            live.got_token = true;
            live.flight.first_token();
        }
        let Some(offset) = self.append(&text) else {
            self.stop("superseded");
            return None;
        };
        Some(AnswerEvent::Text {
            text,
            choice: Some(choice),
            offset,
        })
    }

    /// Appends text to the record and returns its new length; `None` if another relay writes it
    /// now.
    fn append(&mut self, text: &str) -> Option<usize> {
        let mut record = self.record.lock();
        if record.epoch != self.epoch {
            return None;
        }
        record.text.push_str(text);
        record.tokens += 1;
        Some(record.text.len())
    }

    /// Handles the end of the attempt's stream: the answer is complete if a finish reason was sent;
    /// otherwise the attempt failed with `reason`.
    fn stream_ended(&mut self, reason: &str) {
        let finished = self
            .live
            .as_ref()
            .is_some_and(|l| l.finish_reason.is_some());
        match finished {
            true => self.complete(),
            false => self.attempt_failed(FailureCause::Broken, RunState::Ran, reason),
        }
    }

    /// Whether `max_tokens` tokens were relayed already. That happens when an attempt breaks after
    /// its last token and before its finish reason.
    pub(super) fn token_limit_reached(&self) -> bool {
        let record = self.record.lock();
        let bound = record.request.max_tokens;
        record.tokens > 0 && bound.is_some_and(|max| record.tokens >= max)
    }

    pub(super) fn complete_at_token_limit(&mut self) {
        let mut record = self.record.lock();
        if record.epoch != self.epoch {
            drop(record);
            return self.stop("superseded");
        }
        record.usage.completion_tokens = record.tokens;
        record.usage.total_tokens = record.usage.prompt_tokens + record.tokens;
        record.progress = Progress::Done {
            finish_reason: "length".to_owned(),
        };
        drop(record);
        self.record_completion();
        self.phase.apply("complete");
    }

    fn complete(&mut self) {
        let Some(live) = self.live.take() else {
            return;
        };
        let mut record = self.record.lock();
        if record.epoch != self.epoch {
            drop(record);
            return self.stop("superseded");
        }
        record.usage = total_usage(&live, record.tokens);
        record.progress = Progress::Done {
            finish_reason: live.finish_reason.unwrap_or_else(|| "stop".to_owned()),
        };
        let usage = record.usage;
        drop(record);
        live.flight.close(route::AttemptUsage {
            output_tokens: usage.completion_tokens - live.tokens_before,
            cached_tokens: live.usage.map(|u| u.prompt_tokens_details.cached_tokens),
        });
        self.record_completion();
        self.phase.apply("complete");
    }
}
