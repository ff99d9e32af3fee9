//! The harness itself: processes, signals and the relay.

use std::net::SocketAddr;

use proof::guard::{until, within};
use proof::process::Process;
use proof::programs::Program;
use proof::relay::{Mode, Relay};
use proof::wire::{Call, NoAnswer, Reply};
use serde_json::json;
use test_case::test_case;

async fn plain() -> (Process, SocketAddr) {
    let directory = std::env::temp_dir();
    let name = format!("apricotledge-harness-{}", std::process::id());
    let arguments = ["--journal".to_owned()];
    let mut process = Process::spawn(Program::Plain, &name, &directory, &arguments);
    let address = process.line("listening ").await.parse();
    (process, address.expect("an address"))
}

fn filing() -> Call {
    Call::post("/filings", &json!({"amount": 1})).header("x-request-id", "r1")
}

async fn effects(address: SocketAddr) -> usize {
    let log = Call::get("/effects").send(address).await.unwrap().json();
    log["effects"].as_array().unwrap().len()
}

#[tokio::test]
async fn a_killed_process_is_gone_and_its_journal_stays() {
    let (mut process, address) = plain().await;
    filing().send(address).await.unwrap();
    process.kill();
    assert!(!process.is_running());
    assert!(filing().send(address).await.is_err());
    let entries = until("both lines", async || {
        let lines = process.lines();
        let entries = lines
            .iter()
            .filter_map(|line| standin::journal::parse(line));
        let entries: Vec<_> = entries.collect();
        (entries.len() == 2).then_some(entries)
    })
    .await;
    assert!(matches!(&entries[1], standin::journal::Entry::Effect(e) if e.seq == 1));
}

#[tokio::test]
async fn a_frozen_process_answers_only_after_it_goes_on() {
    let (mut process, address) = plain().await;
    process.freeze();
    let call = tokio::spawn(async move { filing().send(address).await });
    tokio::task::yield_now().await;
    assert!(!call.is_finished());
    process.resume();
    assert_eq!(call.await.unwrap().unwrap().status, 200);
}

async fn through(relay: &Relay) -> Result<Reply, NoAnswer> {
    filing().send(relay.address()).await
}

#[test_case(Mode::Pass, true; "passed")]
#[test_case(Mode::Delay { delay_ms: 5 }, true; "delayed")]
#[test_case(Mode::Cut, false; "cut")]
#[test_case(Mode::Reset, false; "reset")]
#[tokio::test]
async fn the_relay_passes_or_cuts(mode: Mode, answered: bool) {
    let (_process, address) = plain().await;
    let relay = Relay::bind(address).await;
    relay.set(mode);
    assert_eq!(through(&relay).await.is_ok(), answered);
    assert_eq!(effects(address).await, usize::from(answered));
    relay.close().await;
}

#[tokio::test]
async fn a_held_answer_comes_after_the_effect_or_never() {
    let (_process, address) = plain().await;
    let relay = Relay::bind(address).await;
    relay.set(Mode::AnswersHeld);
    let at = relay.address();
    let call = tokio::spawn(async move { filing().send(at).await });
    until("the effect", async || {
        (effects(address).await == 1).then_some(())
    })
    .await;
    assert!(!call.is_finished());
    relay.set(Mode::Cut);
    assert!(call.await.unwrap().is_err());
    relay.close().await;
}

#[test_case(Mode::AnswersHeld, 1; "answers")]
#[test_case(Mode::RequestsHeld, 0; "requests")]
#[test_case(Mode::Held, 0; "both")]
#[tokio::test]
async fn a_caller_whose_bytes_are_held_sees_an_end_when_the_relay_is_dropped(
    mode: Mode,
    effects_held: usize,
) {
    let (_process, address) = plain().await;
    let relay = Relay::bind(address).await;
    relay.set(mode);
    let at = relay.address();
    let call = tokio::spawn(async move { filing().send(at).await });
    until("the effect", async || {
        (effects(address).await == effects_held).then_some(())
    })
    .await;
    drop(relay);
    let ended = within("the end of the connection", call).await;
    assert!(ended.unwrap().is_err());
}
