//! The committed inputs, and a fixed number of changes of them.

use std::path::PathBuf;

use fuzz::corpus::inputs;
use fuzz::mutate::mutate;
use fuzz::target::{ALL, Target};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

/// Changed inputs that each target reads in one run of the tests.
const ROUNDS: u64 = 30_000;

fn corpus(target: Target) -> Vec<(String, Vec<u8>)> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("corpus");
    inputs(&folder.join(target.label())).unwrap()
}

#[test]
fn every_committed_input_keeps_the_properties() {
    for target in ALL {
        let inputs = corpus(target);
        assert!(inputs.len() >= 3, "{} has few inputs", target.label());
        for (path, input) in inputs {
            assert_eq!(target.check(&input), Ok(()), "{path}");
        }
    }
}

#[test_case(Target::Requests)]
#[test_case(Target::Responses)]
#[test_case(Target::Chunks)]
#[test_case(Target::Events)]
#[test_case(Target::Config)]
#[test_case(Target::Registry)]
#[test_case(Target::Datagrams)]
fn changed_inputs_keep_the_properties(target: Target) {
    let known: Vec<Vec<u8>> = corpus(target).into_iter().map(|(_, input)| input).collect();
    let mut rng = SmallRng::seed_from_u64(1);
    for round in 0..ROUNDS {
        let input = mutate(&known, &mut rng);
        let text = || String::from_utf8_lossy(&input).into_owned();
        assert_eq!(target.check(&input), Ok(()), "round {round}: {:?}", text());
    }
}
