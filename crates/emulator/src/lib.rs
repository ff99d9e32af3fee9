//! A model of what the gateway's decisions serve: callers, nodes that know each other's loads late,
//! and model engines, in virtual time. The decisions are the gateway's own code.

pub mod account;
pub mod callers;
pub mod crossing;
pub mod engine;
pub mod experiment;
pub mod figures;
pub mod node;
mod orders;
pub mod requests;
pub mod schedule;
pub mod supply;
mod troubles;
pub mod world;
