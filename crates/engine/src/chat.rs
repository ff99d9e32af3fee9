//! Wire types of the OpenAI-compatible API.
//!
//! Only the fields that the system reads are modelled. Other fields of a request are forwarded
//! unchanged.

use base::ids::RequestId;
use base::units::TokenCount;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use serde_json::{Map, Value, json};

/// The completion endpoint that a request calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Completions,
}

impl Call {
    /// URL path of the endpoint.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }

    /// Looks up the endpoint by its URL path.
    pub fn from_path(path: &str) -> Option<Self> {
        [Self::Chat, Self::Completions]
            .into_iter()
            .find(|call| call.path() == path)
    }

    fn chunk_object(self) -> &'static str {
        match self {
            Self::Chat => "chat.completion.chunk",
            Self::Completions => "text_completion",
        }
    }
}

/// Body of a completion request. Fields that the system does not read are in `rest`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Requested service.
    pub model: String,
    /// Limit of generated tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<TokenCount>,
    /// Whether the caller asked for server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Number of completions requested; only 1 is supported.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub n: Option<u32>,
    /// Chat messages, for [`Call::Chat`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<Value>>,
    /// Prompt, for [`Call::Completions`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<String>,
    /// All other fields, as received from the caller.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl CompletionRequest {
    /// Whole prompt as text, for token estimates and prefix hashing.
    pub fn prompt_text(&self) -> String {
        if let Some(prompt) = &self.prompt {
            return prompt.clone();
        }
        let mut text = String::new();
        for message in self.messages.iter().flatten() {
            text.push_str(message["role"].as_str().unwrap_or_default());
            text.push_str(": ");
            push_content(&mut text, &message["content"]);
            text.push('\n');
        }
        text.push_str("assistant:");
        text
    }

    /// Builds the body of one attempt at a backend server.
    ///
    /// `relayed` is the text that the caller already has and `tokens` its number of tokens. A resumed
    /// attempt appends that text to the prompt and lowers `max_tokens` accordingly.
    pub fn attempt_body(
        &self,
        call: Call,
        relayed: &str,
        tokens: TokenCount,
        priority: u8,
    ) -> Vec<u8> {
        let mut request = self.clone();
        request.stream = true;
        let options = json!({"include_usage": true});
        request.rest.insert("stream_options".into(), options);
        request.rest.insert("priority".into(), priority.into());
        if !relayed.is_empty() {
            request.max_tokens = self.max_tokens.map(|max| max.saturating_sub(tokens).max(1));
            request.append_relayed(call, relayed);
        }
        serde_json::to_vec(&request).unwrap_or_default()
    }

    fn append_relayed(&mut self, call: Call, relayed: &str) {
        match call {
            Call::Completions => {
                let prompt = self.prompt.get_or_insert_default();
                prompt.push_str(relayed);
            }
            Call::Chat => {
                let messages = self.messages.get_or_insert_default();
                messages.push(json!({"role": "assistant", "content": relayed}));
                self.rest
                    .insert("continue_final_message".into(), true.into());
                self.rest
                    .insert("add_generation_prompt".into(), false.into());
            }
        }
    }
}

fn push_content(text: &mut String, content: &Value) {
    match content {
        Value::String(part) => text.push_str(part),
        Value::Array(parts) => {
            for part in parts {
                push_content(text, &part["text"]);
            }
        }
        _ => {}
    }
}

/// Event payload of a streamed completion.
#[derive(Debug, Deserialize)]
pub struct Chunk {
    /// Choices; only the first is used.
    #[serde(default)]
    pub choices: Vec<Choice>,
    /// Token counts; present on the last chunk only.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// Choice within a chunk.
#[derive(Debug, Deserialize)]
pub struct Choice {
    /// Text and tool calls, for [`Call::Chat`].
    #[serde(default)]
    pub delta: Option<Delta>,
    /// Text, for [`Call::Completions`].
    #[serde(default)]
    pub text: Option<String>,
    /// Log probabilities, forwarded unchanged.
    #[serde(default)]
    pub logprobs: Option<Box<RawValue>>,
    /// Why generation ended; present on the last chunk of the choice.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// Addition to a chat message.
#[derive(Debug, Deserialize)]
pub struct Delta {
    /// Text to append.
    #[serde(default)]
    pub content: Option<String>,
    /// Tool calls, forwarded unchanged.
    #[serde(default)]
    pub tool_calls: Option<Box<RawValue>>,
}

/// Token counts of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: TokenCount,
    /// Generated tokens.
    #[serde(default)]
    pub completion_tokens: TokenCount,
    /// Prompt tokens plus generated tokens.
    #[serde(default)]
    pub total_tokens: TokenCount,
    /// Breakdown of the prompt tokens.
    #[serde(default)]
    pub prompt_tokens_details: PromptTokensDetails,
}

/// Breakdown of [`Usage::prompt_tokens`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptTokensDetails {
    /// Prompt tokens read from the engine's prefix cache.
    #[serde(default)]
    pub cached_tokens: TokenCount,
}

/// Fields that are the same in all chunks of one response.
#[derive(Clone, Debug)]
pub struct AnswerEnvelope {
    /// Endpoint that was called.
    pub call: Call,
    /// Completion identifier, such as `chatcmpl-…`.
    pub id: String,
    /// Creation time in seconds since the Unix epoch.
    pub created_s: u64,
    /// Requested service.
    pub model: String,
}

#[derive(Serialize)]
struct ChunkOut<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [ChoiceOut<'a>; 1],
}

#[derive(Serialize)]
struct ChoiceOut<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<DeltaOut<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    logprobs: Option<&'a RawValue>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct DeltaOut<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    tool_calls: Option<&'a RawValue>,
}

impl AnswerEnvelope {
    /// Derives the completion identifier from the request identifier.
    pub fn new(call: Call, id: RequestId, created_s: u64, service: &str) -> Self {
        let prefix = match call {
            Call::Chat => "chatcmpl",
            Call::Completions => "cmpl",
        };
        Self {
            call,
            id: format!("{prefix}-{id}"),
            created_s,
            model: service.to_owned(),
        }
    }

    /// Serializes a chunk with `text`; tool calls and log probabilities are taken from `choice`.
    pub fn chunk(
        &self,
        text: &str,
        choice: Option<&Choice>,
        finish_reason: Option<&str>,
    ) -> String {
        let delta = choice.and_then(|c| c.delta.as_ref());
        let content = (!text.is_empty()).then_some(text);
        let (delta, text) = match self.call {
            Call::Chat => (
                Some(DeltaOut {
                    content,
                    tool_calls: delta.and_then(|d| d.tool_calls.as_deref()),
                }),
                None,
            ),
            Call::Completions => (None, Some(text)),
        };
        let out = ChunkOut {
            id: &self.id,
            object: self.call.chunk_object(),
            created: self.created_s,
            model: &self.model,
            choices: [ChoiceOut {
                index: 0,
                delta,
                text,
                logprobs: choice.and_then(|c| c.logprobs.as_deref()),
                finish_reason,
            }],
        };
        serde_json::to_string(&out).unwrap_or_default()
    }

    /// Serializes the last chunk, which holds the token counts and no choice.
    pub fn usage_chunk(&self, usage: Usage) -> String {
        json!({
            "id": self.id, "object": self.call.chunk_object(), "created": self.created_s,
            "model": self.model, "choices": [], "usage": usage,
        })
        .to_string()
    }

    /// Serializes a complete response that is not streamed.
    pub fn whole(&self, text: &str, finish_reason: &str, usage: Usage) -> String {
        let (object, choice) = match self.call {
            Call::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text}, "finish_reason": finish_reason}),
            ),
            Call::Completions => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": finish_reason}),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": self.created_s, "model": self.model,
            "choices": [choice], "usage": usage,
        })
        .to_string()
    }
}
