//! Changes known inputs at random until one breaks a property, and keeps that one.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long, positional};
use fuzz::corpus;
use fuzz::mutate::mutate;
use fuzz::target::Target;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snafu::{ResultExt, Snafu};

/// Rounds if none are named.
const ROUNDS: u64 = 1_000_000;

#[derive(Clone, Debug)]
struct Options {
    rounds: u64,
    seed: u64,
    corpus: PathBuf,
    target: Target,
}

#[derive(Debug, Snafu)]
enum FuzzError {
    #[snafu(display("--corpus: {} cannot be read or written: {source}.", path.display()))]
    Corpus {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("Round {round}: {what}. The input is kept as {}.", path.display()))]
    Broken {
        round: u64,
        what: String,
        path: PathBuf,
    },
}

fn main() -> ExitCode {
    let options = parser().run();
    match run(&options) {
        Ok(()) => {
            println!("{} rounds, nothing broken", options.rounds);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn parser() -> OptionParser<Options> {
    let rounds = long("rounds")
        .help("Inputs to try")
        .argument("COUNT")
        .fallback(ROUNDS);
    let seed = long("seed")
        .help("Seed of the changes")
        .argument("SEED")
        .fallback(0);
    let corpus = long("corpus")
        .help("Folder of known inputs, one folder for each target")
        .argument("DIR")
        .fallback(PathBuf::from("crates/fuzz/corpus"));
    let target = positional("TARGET").help("What is to read them");
    construct!(Options {
        rounds,
        seed,
        corpus,
        target
    })
    .to_options()
    .descr("Looks for bytes from outside that break a reader's properties.")
}

fn run(options: &Options) -> Result<(), FuzzError> {
    let folder = options.corpus.join(options.target.label());
    let known = corpus::inputs(&folder).context(CorpusSnafu { path: &folder })?;
    let known: Vec<Vec<u8>> = known.into_iter().map(|(_, input)| input).collect();
    let mut rng = SmallRng::seed_from_u64(options.seed);
    for round in 0..options.rounds {
        let input = mutate(&known, &mut rng);
        let target = options.target;
        let checked = std::panic::catch_unwind(|| target.check(&input));
        let what = match checked {
            Ok(Ok(())) => continue,
            Ok(Err(property)) => property.to_owned(),
            Err(_) => "a panic".to_owned(),
        };
        let path = folder.join(format!("found-{}-{round}", options.seed));
        std::fs::write(&path, &input).context(CorpusSnafu { path: &path })?;
        return BrokenSnafu { round, what, path }.fail();
    }
    Ok(())
}
