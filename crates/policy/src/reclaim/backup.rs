//! Decision whether to copy a prefix to a second server before any reclaim notice.

use base::units::TokenCount;

/// A prefix that only one server holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnreplicatedPrefix {
    /// Length of the prefix.
    pub tokens: TokenCount,
    /// Requests per hour that use the prefix.
    pub uses_per_h: f64,
    /// Reclaims per hour of a VM of the same kind as the holder's.
    pub reclaims_per_h: f64,
    /// Time for which the prefix stays in use.
    pub lifetime_h: f64,
    /// Processor or accelerator time to send the cache of one token, as a fraction of the time to
    /// compute it.
    pub copy_cost_ratio: f64,
}

/// Decision about a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackupDecision {
    /// Copy the prefix: this costs less than the recomputation that it is expected to save.
    Copy,
    /// Leave the prefix on one server: its expected loss costs less.
    Leave,
}

/// Compares the cost of one copy now with the expected cost of recomputing the prefix after a loss.
/// A prefix that is not used after the loss is not recomputed.
pub fn decide_backup(prefix: &UnreplicatedPrefix) -> BackupDecision {
    let tokens = prefix.tokens as f64;
    let losses = 1.0 - (-prefix.reclaims_per_h * prefix.lifetime_h).exp();
    let used_after = 1.0 - (-prefix.uses_per_h * prefix.lifetime_h / 2.0).exp();
    let saved_tokens = losses * used_after * tokens;
    let spent_tokens = prefix.copy_cost_ratio * tokens;
    match saved_tokens > spent_tokens {
        true => BackupDecision::Copy,
        false => BackupDecision::Leave,
    }
}
