//! Whether a prefix is worth copying to a second server before any notice.

use base::units::TokenCount;

/// A prefix held by one server only.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnreplicatedPrefix {
    /// Its length.
    pub tokens: TokenCount,
    /// Requests an hour that use it.
    pub uses_per_h: f64,
    /// Reclaims an hour of a VM like its holder's.
    pub reclaims_per_h: f64,
    /// Hours for which it stays in use.
    pub life_h: f64,
    /// Processor or accelerator time of sending one token's cache, as a part of computing it.
    pub copy_cost: f64,
}

/// The judgement on a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackupDecision {
    /// Copying costs less than the recomputation it is expected to save.
    Copy,
    /// Losing it costs less.
    Leave,
}

/// Weighs one copy now against computing the prefix once after an expected loss. A prefix that is
/// not used again after the loss is not computed again.
pub fn decide_backup(prefix: &UnreplicatedPrefix) -> BackupDecision {
    let tokens = prefix.tokens as f64;
    let losses = 1.0 - (-prefix.reclaims_per_h * prefix.life_h).exp();
    let used_after = 1.0 - (-prefix.uses_per_h * prefix.life_h / 2.0).exp();
    let saved_tokens = losses * used_after * tokens;
    let spent_tokens = prefix.copy_cost * tokens;
    match saved_tokens > spent_tokens {
        true => BackupDecision::Copy,
        false => BackupDecision::Leave,
    }
}
