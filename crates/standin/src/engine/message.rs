//! Messages of the engine's interface.

use base::units::{Millisecond, TokenCount};
use serde::{Deserialize, Serialize};

use super::words::{Position, position_after, position_in};

/// Tokens generated when a request does not say how many.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Body of a chat or text completion.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct CompletionBody {
    /// Model name, echoed.
    #[serde(default)]
    pub model: String,
    /// Chat messages.
    #[serde(default)]
    pub messages: Vec<ChatMessage>,
    /// Text prompt.
    #[serde(default)]
    pub prompt: String,
    /// Whether tokens are sent as they are made.
    #[serde(default)]
    pub stream: bool,
    /// Options of the stream.
    #[serde(default)]
    pub stream_options: Option<StreamOptions>,
    /// Bound of the answer.
    #[serde(default)]
    pub max_tokens: Option<u64>,
    /// Lower goes first.
    #[serde(default)]
    pub priority: i64,
    /// Whether the last message is the start of the answer.
    #[serde(default)]
    pub continue_final_message: bool,
}

/// A message of a chat.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ChatMessage {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    #[serde(default)]
    pub content: String,
}

/// Options of a streamed answer.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct StreamOptions {
    /// Whether the last chunk states the usage.
    #[serde(default)]
    pub include_usage: bool,
}

/// Which of the two calls it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl CompletionBody {
    /// The whole text the engine must have processed before the next token.
    pub fn text(&self, form: Form) -> String {
        match form {
            Form::Chat => self.chat_text(),
            Form::Text => self.prompt.clone(),
        }
    }

    fn chat_text(&self) -> String {
        let (before, partial) = self.split_partial();
        format!("{}assistant:{partial}", render(before))
    }

    fn split_partial(&self) -> (&[ChatMessage], &str) {
        match self.messages.split_last() {
            Some((last, before)) if self.continue_final_message && last.role == "assistant" => {
                (before, &last.content)
            }
            _ => (&self.messages, ""),
        }
    }

    /// Where the answer starts or goes on.
    pub fn position(&self, form: Form) -> Position {
        if form == Form::Text {
            return position_in(&self.prompt);
        }
        let (before, partial) = self.split_partial();
        position_after(&render(before), partial)
    }

    /// Number of tokens to generate.
    pub fn count(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Whether the stream ends with a usage chunk.
    pub fn wants_usage(&self) -> bool {
        self.stream_options
            .is_some_and(|options| options.include_usage)
    }
}

/// A chat as one text; a test's expected answer starts from it.
pub fn render(messages: &[ChatMessage]) -> String {
    let lines = messages
        .iter()
        .map(|m| format!("{}: {}\n", m.role, m.content));
    lines.collect()
}

/// `usage` of an answer.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens generated.
    pub completion_tokens: TokenCount,
    /// Sum of both.
    pub total_tokens: TokenCount,
    /// Share of the prompt that was cached.
    pub prompt_tokens_details: PromptDetails,
}

/// Details of the prompt's tokens.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct PromptDetails {
    /// Tokens that were not recomputed.
    pub cached_tokens: TokenCount,
}

/// `GET /load`.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Load {
    /// Sequences in the batch.
    pub running: u64,
    /// Requests that wait.
    pub waiting: u64,
    /// Memory in use.
    pub kv_used_tokens: TokenCount,
    /// Memory in all.
    pub kv_total_tokens: TokenCount,
    /// Decoding speed of one sequence now.
    pub tokens_per_s: f64,
    /// Size of the batch.
    pub slots: u64,
}

/// `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The command.
    pub kind: OrderKind,
    /// To which model, adapter or role.
    pub name: String,
    /// Fencing number of the sender's lease.
    pub fence: u64,
}

/// Kind of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model.
    LoadModel,
    /// Load an adapter.
    LoadAdapter,
    /// Unload either.
    Unload,
    /// Change role.
    SetRole,
}

/// Whether orders with an old fencing number are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// 409 for a number below the highest seen.
    #[default]
    Checked,
    /// Every order is followed.
    Ignored,
}

/// End of a truncated stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Truncation {
    /// The body ends as if complete, without `finish_reason` and `[DONE]`.
    #[default]
    Clean,
    /// The body ends with `[DONE]`, without `finish_reason`.
    Marked,
    /// The connection is cut.
    Cut,
}

/// Switches, as `POST /faults` takes them; absent fields keep their value, `null` switches off.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Age of the load report.
    pub load_lag_ms: Millisecond,
    /// Delay of cache events.
    pub cache_event_lag_ms: Millisecond,
    /// Every n-th cache event is lost.
    pub cache_event_lost_every: Option<u64>,
    /// The engine vanishes when a prompt contains this text.
    pub crash_on: Option<String>,
    /// Streams end after so many tokens.
    pub truncate_after_tokens: Option<u64>,
    /// How a truncated stream ends.
    pub truncation: Truncation,
    /// Streams stop sending after so many tokens, and stay open.
    pub hang_after_tokens: Option<u64>,
    /// Times by which everything takes longer.
    pub slow_factor: Option<f64>,
    /// New requests get 503.
    pub refuse_new: bool,
    /// A request whose caller left is generated to its end all the same.
    pub answer_after_cancel: bool,
    /// Whether calls with old fencing numbers are rejected.
    pub fencing: Fencing,
    /// The engine vanishes now.
    pub exit: bool,
}

/// `GET /stats`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Times each `x-request-id` arrived.
    pub requests: std::collections::BTreeMap<String, u64>,
    /// Requests received in all.
    pub received: u64,
    /// Requests answered to their end.
    pub finished: u64,
    /// Requests whose caller left first.
    pub cancelled: u64,
    /// Requests refused with 503.
    pub refused: u64,
    /// Prompt tokens processed.
    pub prompt_tokens_computed: TokenCount,
    /// Prompt tokens found in the cache.
    pub prompt_tokens_cached: TokenCount,
    /// Tokens generated.
    pub tokens_generated: TokenCount,
    /// Requests that went on from a partial answer.
    pub resumed: u64,
    /// Of these, with a partial answer that is not this prompt's.
    pub resumed_foreign: u64,
    /// Orders followed.
    pub orders: Vec<Order>,
    /// Orders refused for an old fencing number.
    pub orders_refused: u64,
}
