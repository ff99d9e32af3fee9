//! Command line of the engine stand-in.

use std::net::SocketAddr;

use base::units::{Millisecond, TokenCount};
use bpaf::Bpaf;

use super::message::Fencing;
use crate::journal::Journal;

/// Stand-in for a model engine.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(options))]
pub struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDR"), fallback(SocketAddr::from(([127, 0, 0, 1], 0))))]
    pub listen: SocketAddr,
    /// Prompt tokens processed a second; 0 is without limit
    #[bpaf(argument("N"), fallback(0.0))]
    pub prefill_tokens_per_s: f64,
    /// Tokens generated a second by one sequence; 0 is without limit
    #[bpaf(argument("N"), fallback(0.0))]
    pub decode_tokens_per_s: f64,
    /// Sequences in the batch
    #[bpaf(argument("N"), fallback(32))]
    pub slots: usize,
    /// Sequences beyond which decoding speed is shared
    #[bpaf(argument("N"), fallback(16))]
    pub saturation: usize,
    /// Memory for cached prefixes
    #[bpaf(argument("N"), fallback(262_144))]
    pub kv_total_tokens: TokenCount,
    /// Tokens of a cached block
    #[bpaf(argument("N"), fallback(64))]
    pub block_tokens: usize,
    /// Age of load reports
    #[bpaf(argument("MS"), fallback(0))]
    pub load_lag_ms: Millisecond,
    /// Delay of cache events
    #[bpaf(argument("MS"), fallback(0))]
    pub cache_event_lag_ms: Millisecond,
    /// Follow orders with an old fencing number
    pub ignore_fences: bool,
    /// Write arrivals and effects to standard output
    #[bpaf(long, flag(Journal::On, Journal::Off))]
    pub journal: Journal,
}

impl Options {
    /// Whether fencing numbers are checked at the start.
    pub fn fencing(&self) -> Fencing {
        match self.ignore_fences {
            true => Fencing::Ignored,
            false => Fencing::Checked,
        }
    }
}

impl Default for Options {
    fn default() -> Self {
        options()
            .run_inner(&[] as &[&str])
            .expect("every option has a fallback")
    }
}
