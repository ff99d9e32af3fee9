//! Periods and bounds of the fleet's protocols.

use base::units::Millisecond;

/// Periods of one node; every node of a fleet uses the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time between two ticks of a node.
    pub tick_ms: Millisecond,
    /// Time between two heartbeat rounds.
    pub heartbeat_ms: Millisecond,
    /// A longer time without a tick means that the node was paused.
    pub gap_ms: Millisecond,
    /// Time in which a suspected peer may refute.
    pub suspect_ms: Millisecond,
    /// A gone peer, or a leaving mark, absent from the VM list for so long is forgotten.
    pub forget_ms: Millisecond,
    /// Bound of one call to a peer.
    pub call_ms: Millisecond,
    /// Reads of the configuration row per second, by the whole fleet together.
    pub store_reads_per_s: u32,
    /// Reads of the VM list per second, by the whole fleet together.
    pub list_reads_per_s: u32,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            tick_ms: 500,
            heartbeat_ms: 1_000,
            gap_ms: 2_500,
            suspect_ms: 5_000,
            forget_ms: 600_000,
            call_ms: 1_500,
            store_reads_per_s: 2,
            list_reads_per_s: 4,
        }
    }
}
