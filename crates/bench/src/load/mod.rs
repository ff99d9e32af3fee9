//! Named loads over real daemons and unequal stand-ins, with the policies side by side.

pub mod deploy;
mod drive;
mod plot;
mod tally;
mod work;

use std::path::PathBuf;

use bpaf::Bpaf;

use deploy::{Deployment, Plan, User};
use tally::Summary;

/// Requests of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Below the capacity.
    Calm,
    /// Half as much again as the capacity.
    Overload,
    /// As calm, with a failure domain reclaimed on the way.
    Reclaimed,
}

/// Options of `bench load`.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// cooperative-peak or consortium-counter
    #[bpaf(argument::<String>("LOAD"), fallback("cooperative-peak".to_owned()), parse(parse_user))]
    load: User,
    /// calm, overload or reclaimed
    #[bpaf(argument::<String>("SCENARIO"), fallback("calm".to_owned()), parse(parse_scenario))]
    scenario: Scenario,
    /// Routing policies, separated by commas
    #[bpaf(
        argument("POLICIES"),
        fallback("random,round_robin,least_outstanding,prefix_hash,cost".to_owned())
    )]
    policies: String,
    /// Seeds of the load, from 1
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Time for which requests are sent
    #[bpaf(argument("SECONDS"), fallback(15))]
    seconds: u64,
    /// File for a plot
    #[bpaf(argument("FILE"), optional)]
    svg: Option<PathBuf>,
}

fn parse_user(text: String) -> Result<User, String> {
    match text.as_str() {
        "cooperative-peak" => Ok(User::Cooperative),
        "consortium-counter" => Ok(User::Consortium),
        _ => Err(format!(
            "`{text}` is not cooperative-peak or consortium-counter"
        )),
    }
}

fn parse_scenario(text: String) -> Result<Scenario, String> {
    match text.as_str() {
        "calm" => Ok(Scenario::Calm),
        "overload" => Ok(Scenario::Overload),
        "reclaimed" => Ok(Scenario::Reclaimed),
        _ => Err(format!("`{text}` is not calm, overload or reclaimed")),
    }
}

/// Runs every seed under every policy and prints one JSON object for each.
pub fn run(options: &Options) {
    let runtime = tokio::runtime::Runtime::new().expect("threads can be started");
    let mut summaries = Vec::new();
    for seed in 1..=options.seeds {
        for policy in options.policies.split(',') {
            let summary = runtime.block_on(run_once(options, policy, seed));
            println!("{}", serde_json::to_string(&summary).expect("plain data"));
            summaries.push(summary);
        }
    }
    let Some(file) = &options.svg else {
        return;
    };
    if let Err(error) = std::fs::write(file, plot::svg(&summaries)) {
        eprintln!("{} could not be written: {error}.", file.display());
    }
}

async fn run_once(options: &Options, policy: &str, seed: u64) -> Summary {
    let mut deployment = Deployment::open(options.load, policy, Plan::default()).await;
    let requests = work::draw(options.load, options.scenario, options.seconds, seed);
    let results = drive::run(
        &mut deployment,
        &requests,
        options.scenario,
        options.seconds,
    )
    .await;
    let summary = tally::summarise(&deployment, &requests, &results, policy, seed).await;
    deployment.close();
    summary
}
