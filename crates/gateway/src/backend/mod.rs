//! Connections to backend servers, and request attempts over them.

pub mod answer_summary;
pub mod attempt;
pub mod crash_check;
pub mod domains;
pub mod exchange;
pub mod gate;
pub mod load_report;
pub mod pool;
pub mod quarantine;
pub mod queues;
pub mod reach;
pub mod server_faults;
