//! Prompts as lists of parts, and the tokens that a request names.

use std::hash::{Hash, Hasher};

use base::units::TokenCount;
use rustc_hash::FxHasher;

/// A part of a prompt, named by itself and all parts before it: a cache can use it only after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Name of the part with all before it.
    pub chain: u64,
    /// Its tokens.
    pub tokens: TokenCount,
}

/// What a request says of its size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order.
    pub parts: Vec<PromptPart>,
    /// Tokens of the prompt.
    pub input_tokens: TokenCount,
    /// Most tokens of the answer.
    pub output_tokens: TokenCount,
}

impl Prompt {
    /// Reads a list of `ID:TOKENS` and a pair `INPUT,OUTPUT`; what cannot be read is left out, as
    /// it only guides the choice of a server.
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

    /// Tokens that count against an allowance; `None` when the request names none.
    pub fn used_tokens(&self) -> Option<TokenCount> {
        let tokens = self.input_tokens + self.output_tokens;
        (tokens > 0).then_some(tokens)
    }

    /// Tokens that an engine reads if nothing is cached.
    pub fn read_tokens(&self) -> TokenCount {
        let listed: TokenCount = self.parts.iter().map(|p| p.tokens).sum();
        listed.max(self.input_tokens)
    }

    /// The longest chain that other requests may share: all parts but the last, or the only one.
    pub fn shared_chain(&self) -> Option<u64> {
        let shared = self.parts.len().saturating_sub(2);
        self.parts.get(shared).map(|p| p.chain)
    }
}
