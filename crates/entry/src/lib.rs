//! The daemon `apricotledged`: HTTP towards callers and operators, and the flow of each request.

pub mod admin;
pub mod backends;
pub mod clock;
pub mod flow;
pub mod front;
pub mod metrics;
pub mod passage;
pub mod peers;
pub mod state;
