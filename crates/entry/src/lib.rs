//! The daemon `apricotledged`: HTTP servers for callers and operators, and the handling of requests.

pub mod admin;
pub mod backends;
pub mod clock;
pub mod daemon;
pub mod drain;
pub mod flow;
pub mod follow;
pub mod front;
pub mod metrics;
pub mod options;
pub mod peers;
pub mod placement;
pub mod plain_call;
pub mod routed;
pub mod state;
pub mod sweep;
pub mod takeover;
