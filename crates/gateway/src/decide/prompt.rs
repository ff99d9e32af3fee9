//! Prompts as lists of parts, and the token counts that a request names.

use std::hash::{Hash, Hasher};

use base::units::TokenCount;
use rustc_hash::FxHasher;

/// A part of a prompt. A cached part can be used only after the same preceding parts, so it is
/// identified together with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
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
            let Ok(tokens) = tokens.parse() else {
                continue;
            };
            id.hash(&mut hasher);
            let chain = hasher.finish();
            prompt.parts.push(PromptPart { chain, tokens });
        }
        let (input, output) = usage.and_then(|u| u.split_once(',')).unwrap_or_default();
        prompt.input_tokens = input.trim().parse().unwrap_or(0);
        prompt.output_tokens = output.trim().parse().unwrap_or(0);
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

    /// Hash of the longest prefix that other requests may share: all parts but the last, or the
    /// only part.
    pub fn shared_chain(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|p| p.chain)
    }
}
