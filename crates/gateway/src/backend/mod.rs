//! Connections to backend servers, and single exchanges over them.

pub mod attempt;
pub mod exchange;
pub mod gate;
pub mod lost;
pub mod pool;
pub mod seen;
