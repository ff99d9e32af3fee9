//! Entry VMs of two builds in one deployment: each is replaced by one of the other build under load.
//! Settings, configuration, ledger records and streams that one build wrote are read by the other.

use std::path::PathBuf;
use std::time::Duration;

use proof::check::{Counts, all};
use proof::deployment::{Deployment, Plan, configuration, operator_key};
use proof::history::Outcome;
use proof::load::{Requests, Running};
use proof::programs::Program;
use tokio::time::Instant;

/// Entry VMs of each build.
const ENTRIES_OF_EACH: usize = 3;

/// Tokens of a draft, which takes longer than a drain.
const TOKENS: u64 = 300;

/// Time between two replacements.
const BETWEEN: Duration = Duration::from_secs(3);

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts drafts and filings at all entry VMs for a while; each third filing repeats a key of before.
async fn load(
    deployment: &Deployment,
    requests: &mut Requests,
    running: &mut Running,
    keys: &mut Vec<String>,
) {
    let end = Instant::now() + BETWEEN;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let workspace = ["village-schools", "mountain-clinics"][number % 2];
        let caller = deployment.caller(workspace);
        running.draft(&caller, number, requests.draft(TOKENS));
        let filing = requests.filing();
        let caller = deployment.caller("village-schools");
        match keys.len() % 3 {
            2 => running.file(&caller, number, requests.filing_again(&keys[0])),
            _ => running.file(&caller, number, filing.clone()),
        }
        keys.push(filing.key);
        tokio::time::sleep(PAUSE).await;
    }
}

/// `OTHER_BUILD=PROGRAM cargo test -p proof --test builds -- --ignored --nocapture`
#[tokio::test(flavor = "multi_thread")]
#[ignore = "by hand, with the daemon of another build"]
async fn entry_vms_of_this_and_the_other_build_serve_side_by_side() {
    let other =
        std::env::var_os("OTHER_BUILD").expect("OTHER_BUILD=PROGRAM names the other daemon");
    let (own, other) = (Program::Daemon.path(), PathBuf::from(other));
    let plan = Plan {
        entries: ENTRIES_OF_EACH,
        engines: 6,
        timeouts: "drain_deadline_ms = 1500".to_owned(),
        ..Plan::default()
    };
    let mut deployment = Deployment::open(plan).await;
    deployment.daemon = other.clone();
    for _ in 0..ENTRIES_OF_EACH {
        deployment.add_entry().await;
    }
    deployment.ready().await;
    let mut requests = Requests::seeded(1);
    let (mut running, mut keys) = (Running::default(), Vec::new());
    let mut version = 1;
    for place in 0..2 * ENTRIES_OF_EACH {
        load(&deployment, &mut requests, &mut running, &mut keys).await;
        deployment.daemon = match place < ENTRIES_OF_EACH {
            true => other.clone(),
            false => own.clone(),
        };
        deployment.add_entry().await;
        deployment.ready().await;
        let applied = deployment
            .apply(place, version, &configuration(), operator_key())
            .await;
        version = applied.expect("the configuration is accepted");
        deployment.retire_entry(place).await;
    }
    load(&deployment, &mut requests, &mut running, &mut keys).await;
    let outcomes = running.outcomes().await;
    for entry in &mut deployment.entries[..2 * ENTRIES_OF_EACH] {
        entry.process.ended().await;
    }
    let unreadable = deployment.lines_with("record_damaged");
    let events = deployment.history();
    deployment.close().await;
    let whole = |o: &&Outcome| matches!(o, Outcome::Draft { .. } | Outcome::Filing { .. });
    let whole = outcomes.iter().filter(whole).count();
    println!(
        "{} requests, {whole} answered whole: {:?}",
        outcomes.len(),
        Counts::of(&events)
    );
    let mut rest: Vec<&Outcome> = outcomes.iter().collect();
    rest.retain(|o| !matches!(o, Outcome::Draft { .. } | Outcome::Filing { .. }));
    println!("others: {rest:?}");
    assert_eq!(all(&events), []);
    assert_eq!(unreadable, Vec::<String>::new());
    assert!(
        rest.iter().all(|o| matches!(o, Outcome::Refused { .. })),
        "{rest:?}"
    );
}
