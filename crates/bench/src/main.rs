//! Load and latency measurements.

fn main() {}
