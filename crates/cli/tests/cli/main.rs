//! The real tool against a small admin server.

mod config;
mod explain;
mod offline;
mod operate;
mod support;
