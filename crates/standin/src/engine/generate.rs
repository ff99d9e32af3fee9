//! One completion: wait for a slot, process the prompt, generate, send.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::cache::block_hashes;
use super::framing::{Framing, Piece, streamed_answer, whole_answer};
use super::message::{CompletionBody, Faults, Form, PromptDetails, Truncation, Usage};
use super::state::Engine;
use super::words::{Origin, Position, word};
use crate::server::{Answer, Dropped, header_text, read_json, text};

/// Tokens that may wait for a slow reader.
const CHANNEL_TOKENS: usize = 64;

/// A request in progress.
struct Job {
    engine: Arc<Engine>,
    request_id: String,
    form: Form,
    body: CompletionBody,
    position: Position,
    prompt: String,
}

/// Result of generating a token or of waiting.
enum Reader {
    Present,
    Gone,
}

/// Answers one completion call.
pub async fn complete(engine: Arc<Engine>, form: Form, request: Request<Incoming>) -> Answer {
    let request_id = header_text(&request, "x-request-id").unwrap_or_default();
    let body: CompletionBody = match read_json(request).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    engine.count_arrival(&request_id);
    engine.options.journal.arrival(&request_id);
    let faults = engine.faults();
    if faults.refuse_new {
        engine.count(|stats| stats.refused += 1);
        return text(StatusCode::SERVICE_UNAVAILABLE, "not taking requests");
    }
    let prompt = body.text(form);
    if faults
        .crash_on
        .is_some_and(|deadly| prompt.contains(&deadly))
    {
        engine.crash.now();
        return Err(Dropped);
    }
    let job = Job {
        position: body.position(form),
        engine,
        request_id,
        form,
        body,
        prompt,
    };
    job.count_resume();
    respond(job).await
}

async fn respond(job: Job) -> Answer {
    let frame = Framing {
        id: format!("cmpl-{}", job.request_id),
        model: job.body.model.clone(),
        form: job.form,
        usage: job.body.wants_usage(),
    };
    let streamed = job.body.stream;
    let (sender, receiver) = mpsc::channel(CHANNEL_TOKENS);
    tokio::spawn(generate(job, sender));
    match streamed {
        true => Ok(streamed_answer(frame, receiver)),
        false => whole_answer(frame, receiver).await,
    }
}

async fn generate(job: Job, sender: mpsc::Sender<Piece>) {
    let engine = job.engine.clone();
    if let Reader::Gone = job.run(&sender).await {
        engine.count(|stats| stats.cancelled += 1);
    }
}

impl Job {
    fn count_resume(&self) {
        if self.position.next_index == 0 {
            return;
        }
        let foreign = u64::from(self.position.origin == Origin::Foreign);
        self.engine.count(|stats| {
            stats.resumed += 1;
            stats.resumed_foreign += foreign;
        });
    }

    async fn run(self, sender: &mpsc::Sender<Piece>) -> Reader {
        let queued = self.engine.slots.take(self.body.priority);
        let _slot = tokio::select! {
            slot = queued => slot,
            () = sender.closed() => return Reader::Gone,
        };
        let Some(usage) = self.process_prompt(sender).await else {
            return Reader::Gone;
        };
        let mut due = Instant::now();
        let mut made = String::new();
        for sent in 0..self.body.count() {
            let faults = self.engine.faults();
            if let Reader::Gone = self.strike(&faults, sent, sender).await {
                return Reader::Gone;
            }
            due += self.engine.decode_step();
            if let Reader::Gone = self.pause_until(due, sender).await {
                return Reader::Gone;
            }
            let token = word(self.position.prompt_digest, self.position.next_index + sent);
            made.push_str(&token);
            self.engine.count(|stats| stats.tokens_generated += 1);
            let sent = sender.send(Piece::Token(token)).await;
            if sent.is_err() && !self.engine.faults().answer_after_cancel {
                return Reader::Gone;
            }
        }
        self.finish(usage, &made, sender).await
    }

    /// Applies a stream fault that is due before token `sent`.
    async fn strike(&self, faults: &Faults, sent: u64, sender: &mpsc::Sender<Piece>) -> Reader {
        if faults.hang_after_tokens.is_some_and(|after| sent >= after) {
            sender.closed().await;
            return Reader::Gone;
        }
        if faults
            .truncate_after_tokens
            .is_none_or(|after| sent < after)
        {
            return Reader::Present;
        }
        let last = match faults.truncation {
            Truncation::Clean => return Reader::Gone,
            Truncation::Marked => Piece::Marker,
            Truncation::Cut => Piece::Cut,
        };
        let _ = sender.send(last).await;
        Reader::Gone
    }

    async fn pause_until(&self, due: Instant, sender: &mpsc::Sender<Piece>) -> Reader {
        if due <= Instant::now() {
            return Reader::Present;
        }
        if self.engine.faults().answer_after_cancel {
            tokio::time::sleep_until(due).await;
            return Reader::Present;
        }
        tokio::select! {
            () = tokio::time::sleep_until(due) => Reader::Present,
            () = sender.closed() => Reader::Gone,
        }
    }

    async fn process_prompt(&self, sender: &mpsc::Sender<Piece>) -> Option<Usage> {
        let words: Vec<&str> = self.prompt.split_whitespace().collect();
        let block_tokens = self.engine.options.block_tokens;
        let hashes = block_hashes(&words, block_tokens);
        let _turn = self.engine.prefill.lock().await;
        let cached_tokens = (self.engine.matched(&hashes) * block_tokens) as u64;
        let prompt_tokens = words.len() as u64;
        let computed = prompt_tokens - cached_tokens;
        let time: Duration = self.engine.prefill_time(computed);
        if let Reader::Gone = self.pause_until(Instant::now() + time, sender).await {
            return None;
        }
        self.engine.store(&self.request_id, hashes);
        self.engine.count(|stats| {
            stats.prompt_tokens_computed += computed;
            stats.prompt_tokens_cached += cached_tokens;
        });
        Some(Usage {
            prompt_tokens,
            completion_tokens: 0,
            total_tokens: prompt_tokens,
            prompt_tokens_details: PromptDetails { cached_tokens },
        })
    }

    async fn finish(self, mut usage: Usage, made: &str, sender: &mpsc::Sender<Piece>) -> Reader {
        let whole = format!("{}{made}", self.prompt.trim_end());
        let words: Vec<&str> = whole.split_whitespace().collect();
        let hashes = block_hashes(&words, self.engine.options.block_tokens);
        self.engine.store(&self.request_id, hashes);
        usage.completion_tokens = self.body.count();
        usage.total_tokens += usage.completion_tokens;
        match sender.send(Piece::Finished(usage)).await {
            Ok(()) => {
                self.engine.count(|stats| stats.finished += 1);
                Reader::Present
            }
            Err(_) => Reader::Gone,
        }
    }
}
