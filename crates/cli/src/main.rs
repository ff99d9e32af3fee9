//! Operators' command-line tool.

fn main() {}
