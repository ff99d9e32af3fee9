//! Intervals and limits of the protocols between nodes.

use base::units::Millisecond;

/// Intervals and limits of one node; all nodes of a fleet use the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval of [`crate::node::Event::Tick`].
    pub tick_ms: Millisecond,
    /// Interval of the heartbeat rounds.
    pub heartbeat_ms: Millisecond,
    /// If more time than this passes between two ticks, the node was paused and has to sync.
    pub gap_ms: Millisecond,
    /// Time in which a suspected peer may refute the suspicion before it is declared gone.
    pub suspect_ms: Millisecond,
    /// Time after which a gone peer or a leaving mark that the VM list no longer shows is dropped.
    pub forget_ms: Millisecond,
    /// Timeout of a call to a peer.
    pub call_ms: Millisecond,
    /// Reads of the configuration row per second by the whole fleet, whatever its size.
    pub store_reads_per_s: u32,
    /// Reads of the VM list per second by the whole fleet, whatever its size.
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
