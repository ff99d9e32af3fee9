//! The running attempt of an answer, and values derived from requests and stream chunks.

use base::units::Millisecond;
use engine::chat::{Choice, Usage};
use engine::stream::ChunkStream;
use policy::route::{self, RouteRequest};

use super::leaving::Pace;
use super::reclaim::ListGuard;
use super::suspicion::RunningRequest;
use crate::backends::InFlightAttempt;

pub(super) struct LiveAttempt {
    pub(super) flight: InFlightAttempt,
    pub(super) _running: Option<RunningRequest>,
    pub(super) stream: Option<ChunkStream>,
    pub(super) usage: Option<Usage>,
    pub(super) finish_reason: Option<String>,
    pub(super) tokens_before: u64,
    pub(super) got_token: bool,
    pub(super) pace: Pace,
    pub(super) _list_guard: Option<ListGuard>,
}

pub(super) fn choice_text(choice: &mut Choice) -> String {
    if let Some(text) = choice.text.take() {
        return text;
    }
    match &mut choice.delta {
        Some(delta) => delta.content.take().unwrap_or_default(),
        None => String::new(),
    }
}

pub(super) fn total_usage(live: &LiveAttempt, tokens: u64) -> Usage {
    let last = live.usage.unwrap_or_default();
    let prompt_tokens = last.prompt_tokens.saturating_sub(live.tokens_before);
    let completion_tokens = match last.completion_tokens {
        0 => tokens,
        counted => counted + live.tokens_before,
    };
    Usage {
        prompt_tokens,
        completion_tokens,
        total_tokens: prompt_tokens + completion_tokens,
        prompt_tokens_details: last.prompt_tokens_details,
    }
}

impl super::Flow {
    /// Time to the first token of an answer when no request is queued; 0 if it is not known.
    pub fn expected_first_token_ms(&self, record: &super::Record) -> Millisecond {
        let request = route_request(record, 0);
        let expected_ms = self.backends.expected_first_token_ms(&request);
        expected_ms.unwrap_or(0)
    }
}

pub(super) fn route_request(record: &super::Record, priority: u8) -> RouteRequest {
    let prompt = record.request.prompt_text();
    RouteRequest {
        service: record.service.clone(),
        blocks: route::blocks(&prompt),
        prompt_tokens: prompt.split_whitespace().count() as u64,
        output_tokens: record.request.max_tokens.unwrap_or(OUTPUT_TOKENS_ASSUMED),
        priority,
        effect: route::Effect::Idempotent,
        excluded: Vec::new(),
    }
}

/// Answer length assumed when the caller sets no `max_tokens`.
const OUTPUT_TOKENS_ASSUMED: u64 = 512;
