//! Small stand-ins for what surrounds the system: a model engine, a plain service and the platform.
//!
//! Each has a `bind` that runs it inside the current runtime, and a program that runs it alone.

pub mod engine;
pub mod fault;
pub mod hash;
pub mod journal;
pub mod plain;
pub mod platform;
pub mod server;
pub mod users;
