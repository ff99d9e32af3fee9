//! Runs the mixed faults for as long as asked, and prints the verdict.

use std::process::ExitCode;

use bpaf::Bpaf;
use proof::mixed::{MixedPlan, run};

/// Mixed faults over real daemons, from a seed
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, generate(options))]
struct Options {
    /// Seed of the first run
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Seeds to run, one after another
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// How long faults are injected in each run
    #[bpaf(argument("N"), fallback(30))]
    seconds: u64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options().run();
    let mut broken = 0;
    for seed in options.seed..options.seed + options.seeds {
        let report = run(MixedPlan {
            seed,
            duration_ms: options.seconds * 1_000,
        })
        .await;
        println!("{report}\n");
        broken += report.violations.len();
    }
    match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}
