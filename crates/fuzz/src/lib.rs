//! What reads bytes from outside, with what must hold for any of them, and changes of known inputs.

pub mod corpus;
pub mod event_client;
pub mod mutate;
pub mod target;
