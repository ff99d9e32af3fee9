//! Prompts as lists of parts, and the token counts that a request names.

use std::hash::{Hash, Hasher};

use base::units::TokenCount;
use policy::suspect::PartId;
use rustc_hash::FxHasher;

/// Most parts of one prompt that are watched for crashes.
const SHARED_PARTS_LIMIT: usize = 64;

/// Most tokens that one number of a request stands for; sums over many requests stay in range.
const TOKENS_LIMIT: TokenCount = u32::MAX as TokenCount;

/// A part of a prompt. A cached part can be used only after the same preceding parts, so it is
/// identified together with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part by itself, which doesn't depend on the parts before it.
    pub id: PartId,
    /// Hash of this part and all parts before it.
    pub chain: u64,
    pub tokens: TokenCount,
}

/// The prompt's parts and the token counts, as named by the request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub input_tokens: TokenCount,
    /// Highest number of tokens of the answer.
    pub output_tokens: TokenCount,
}

impl Prompt {
    /// Parses a list of `ID:TOKENS` and a pair `INPUT,OUTPUT`. Invalid values are skipped, as the
    /// prompt only guides the choice of a server.
    pub fn parse(parts: Option<&str>, usage: Option<&str>) -> Self {
        let mut prompt = Self::default();
        let mut hasher = FxHasher::default();
        for part in parts.unwrap_or_default().split(',') {
            let Some((id, tokens)) = part.trim().split_once(':') else {
                continue;
            };
            let Some(tokens) = parse_tokens(tokens) else {
                continue;
            };
            id.hash(&mut hasher);
            let chain = hasher.finish();
            let id = PartId::parse(id);
            prompt.parts.push(PromptPart { id, chain, tokens });
        }
        let (input, output) = usage.and_then(|u| u.split_once(',')).unwrap_or_default();
        prompt.input_tokens = parse_tokens(input.trim()).unwrap_or(0);
        prompt.output_tokens = parse_tokens(output.trim()).unwrap_or(0);
        prompt
    }

    /// Tokens that count against an allowance; `None` if the request names none.
    pub fn used_tokens(&self) -> Option<TokenCount> {
        let tokens = self.input_tokens + self.output_tokens;
        (tokens > 0).then_some(tokens)
    }

    /// Tokens that an engine reads if nothing is cached.
    pub fn read_tokens(&self) -> TokenCount {
        let listed: TokenCount = self.parts.iter().map(|p| p.tokens).sum();
        listed.max(self.input_tokens)
    }

    /// Identifiers of the parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> Vec<PartId> {
        let shared = self.parts.len().saturating_sub(1);
        let shared = &self.parts[..shared.min(SHARED_PARTS_LIMIT)];
        shared.iter().map(|part| part.id).collect()
    }

    /// Hash of the longest prefix that other requests may share: all parts but the last, or the
    /// only part.
    pub fn shared_chain(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|p| p.chain)
    }
}

fn parse_tokens(text: &str) -> Option<TokenCount> {
    let tokens: TokenCount = text.parse().ok()?;
    Some(tokens.min(TOKENS_LIMIT))
}
