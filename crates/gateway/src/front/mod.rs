//! Callers' side: connections, requests and answers.

pub mod accept;
mod answer;
mod attempts;
mod caller;
pub mod job;
mod ready;
mod reply;
pub mod request;
mod running;
mod serve;
mod stream;
mod whole;
