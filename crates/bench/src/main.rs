//! Measurements: slopes of the decisions, and figures of the running daemon.

mod latency;
mod load;
mod slope;

use bpaf::Bpaf;

/// Measurement and its options.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Cost of a decision or protocol against the size of what it works on
    #[bpaf(command)]
    Slope {
        /// Seed of the random source
        #[bpaf(argument("SEED"), fallback(1))]
        seed: u64,
        #[bpaf(external(slope::subject))]
        subject: slope::Subject,
    },
    /// Added latency, throughput and memory of one daemon on one thread
    #[bpaf(command)]
    Latency,
    /// A named load over real daemons
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
}

fn main() {
    match command().run() {
        Command::Slope { seed, subject } => slope::run(subject, seed),
        Command::Latency => latency::run(),
        Command::Load(options) => load::run(&options),
    }
}
