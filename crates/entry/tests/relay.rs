//! A relay gives its caller one complete answer when its attempts fail, stall or have to move.

mod support;

use base::outcome::RunState;
use entry::flow::{AnswerEvent, Drain, Relay};
use entry::front::ErrorCode;
use entry::peers::to_stream;
use entry::takeover::from_stream;
use policy::route::LoadReport;
use support::Script::{Crash, NotSent, Status, Unanswered, Words};
use support::StreamEnd::{Broken, NoMarker, NoReason, Silent, Truncated, Whole};
use support::{Bench, KvTransfer, Script, read_all};
use test_case::test_case;

const FIRST_HALF: &[&str] = &["a", "b"];
const SECOND_HALF: &[&str] = &["c", "d"];
const WHOLE_TEXT: &[&str] = &["a", "b", "c", "d"];

#[test_case(&[Words(WHOLE_TEXT, Whole)]; "one attempt")]
#[test_case(&[Words(WHOLE_TEXT, NoMarker)]; "finish reason without an end marker")]
#[test_case(&[NotSent, Words(WHOLE_TEXT, Whole)]; "no connection at first")]
#[test_case(&[Unanswered, Words(WHOLE_TEXT, Whole)]; "no head at first")]
#[test_case(&[Status(503), Words(WHOLE_TEXT, Whole)]; "overloaded at first")]
#[test_case(&[Words(FIRST_HALF, Broken), Words(SECOND_HALF, Whole)]; "broken connection")]
#[test_case(&[Words(FIRST_HALF, Truncated), Words(SECOND_HALF, Whole)]; "orderly end without a finish reason")]
#[test_case(&[Words(FIRST_HALF, NoReason), Words(SECOND_HALF, Whole)]; "end marker without a finish reason")]
#[test_case(&[Words(FIRST_HALF, Silent), Words(SECOND_HALF, Whole)]; "stalled stream")]
#[test_case(&[Words(FIRST_HALF, Broken), NotSent, Words(&["c"], Broken), Words(&["d"], Whole)]; "three failures")]
#[tokio::test(start_paused = true)]
async fn the_answer_is_whole(scripts: &[Script]) {
    let bench = Bench::open(4, scripts);
    let mut relay = bench.relay(Some(16));
    let (text, last) = read_all(&mut relay).await;
    assert_eq!(text, "abcd");
    assert!(matches!(last, AnswerEvent::Finish { .. }), "{last:?}");
    assert_eq!(bench.backend.attempts().len(), scripts.len());
}

#[tokio::test(start_paused = true)]
async fn a_resumed_attempt_goes_on_from_the_relayed_text() {
    let bench = Bench::open(2, &[Words(FIRST_HALF, Broken), Words(SECOND_HALF, Whole)]);
    read_all(&mut bench.relay(Some(16))).await;
    let attempts = bench.backend.attempts();
    assert_ne!(
        attempts[0].0, attempts[1].0,
        "the same server was used again"
    );
    let resumed = &attempts[1].1;
    assert_eq!(resumed["max_tokens"], 14);
    assert_eq!(resumed["continue_final_message"], true);
    assert_eq!(resumed["messages"][1]["content"], "ab");
}

#[tokio::test(start_paused = true)]
async fn nothing_is_generated_beyond_the_callers_bound() {
    let bench = Bench::open(2, &[Words(WHOLE_TEXT, Broken), Words(&["e"], Whole)]);
    let (text, last) = read_all(&mut bench.relay(Some(4))).await;
    assert_eq!(text, "abcd");
    let AnswerEvent::Finish { reason, .. } = last else {
        panic!("not finished: {last:?}");
    };
    assert_eq!(reason, "length");
    assert_eq!(bench.backend.attempts().len(), 1);
}

#[test_case(&[], ErrorCode::BackendFailed, RunState::NotRun; "no connection to any")]
#[test_case(&[NotSent, Unanswered], ErrorCode::BackendFailed, RunState::Unknown; "one attempt may have run")]
#[test_case(&[Status(400)], ErrorCode::BackendRejected, RunState::Ran; "refused for its content")]
#[tokio::test(start_paused = true)]
async fn a_failed_request_reports_its_run_state(
    scripts: &[Script],
    code: ErrorCode,
    run_state: RunState,
) {
    let bench = Bench::open(8, scripts);
    let error = bench.relay(None).begin().await.expect_err("an error");
    assert_eq!((error.code, error.run_state), (code, run_state));
}

#[tokio::test(start_paused = true)]
async fn without_a_server_the_refusal_is_immediate_and_not_run() {
    let bench = Bench::open(0, &[]);
    let before = tokio::time::Instant::now();
    let error = bench.relay(None).begin().await.expect_err("an error");
    assert_eq!(error.run_state, RunState::NotRun);
    assert!(error.retry_after_ms.is_some());
    assert_eq!(before.elapsed().as_millis(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_leaving_server_costs_no_part_of_the_failure_budget() {
    let mut scripts = vec![Words(&["a"], Silent); 8];
    scripts.push(Words(&["b"], Whole));
    let bench = Bench::open(9, &scripts);
    let mut relay = bench.relay(None);
    for _ in 0..8 {
        assert!(matches!(relay.next().await, AnswerEvent::Text { .. }));
        let current_server = bench
            .backend
            .attempts()
            .last()
            .expect("an attempt")
            .0
            .id
            .clone();
        bench.flow.backends.set_leaving(&current_server, 1);
    }
    let (text, last) = read_all(&mut relay).await;
    assert_eq!(text, "b");
    assert!(matches!(last, AnswerEvent::Finish { .. }), "{last:?}");
}

#[tokio::test(start_paused = true)]
async fn a_leaving_server_gets_no_new_attempt() {
    let bench = Bench::open(2, &[Words(WHOLE_TEXT, Whole)]);
    bench.flow.backends.set_leaving("runner-0", 60_000);
    read_all(&mut bench.relay(None)).await;
    assert_eq!(&*bench.backend.attempts()[0].0.id, "runner-1");
}

#[tokio::test(start_paused = true)]
async fn a_superseded_relay_writes_nothing() {
    let bench = Bench::open(2, &[Words(WHOLE_TEXT, Whole), Words(&["c", "d"], Whole)]);
    let mut first = bench.relay(None);
    first.next().await;
    first.next().await;
    let record = first.record().clone();
    let mut second = Relay::open(bench.flow.clone(), record.clone(), 0);
    assert!(matches!(first.next().await, AnswerEvent::Moved));
    let (text, _) = read_all(&mut second).await;
    assert_eq!(text, "cd");
    assert_eq!(record.lock().text, "abcd");
}

#[tokio::test(start_paused = true)]
async fn a_drained_relay_ends_only_when_peers_have_its_record() {
    let bench = Bench::open(1, &[Words(FIRST_HALF, Silent)]);
    let mut relay = bench.relay(None);
    relay.next().await;
    relay.next().await;
    bench.drain.send_replace(Drain::Cut);
    let waited = tokio::time::timeout(std::time::Duration::from_secs(1), relay.next()).await;
    assert!(waited.is_err(), "the relay ended before the handover");
    bench.drain.send_replace(Drain::HandedOver);
    assert!(matches!(relay.next().await, AnswerEvent::Moved));
    assert_eq!(relay.record().lock().text, "ab");
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_disconnected_can_resume() {
    let bench = Bench::open(2, &[Words(FIRST_HALF, Silent), Words(SECOND_HALF, Whole)]);
    let mut relay = bench.relay(None);
    relay.next().await;
    relay.next().await;
    let id = relay.record().lock().id;
    drop(relay);
    let kept = bench.flow.store.find(id).expect("the record is kept");
    let (text, last) = read_all(&mut Relay::open(bench.flow.clone(), kept, 0)).await;
    assert_eq!(text, "cd");
    assert!(matches!(last, AnswerEvent::Finish { .. }));
}

#[tokio::test(start_paused = true)]
async fn a_request_is_quarantined_after_crashing_two_servers() {
    let bench = Bench::open(6, &[Crash, Crash, Words(WHOLE_TEXT, Whole)]);
    let error = bench
        .relay_of(1, "deadly")
        .begin()
        .await
        .expect_err("an error");
    assert_eq!(error.code, ErrorCode::Quarantined);
    assert_eq!(error.run_state, RunState::Unknown);
    let again = bench
        .relay_of(2, "deadly")
        .begin()
        .await
        .expect_err("an error");
    assert_eq!(again.code, ErrorCode::Quarantined);
    assert_eq!(again.run_state, RunState::NotRun);
    assert_eq!(bench.backend.attempts().len(), 2);
    let (text, _) = read_all(&mut bench.relay_of(3, "harmless")).await;
    assert_eq!(text, "abcd");
}

#[tokio::test(start_paused = true)]
async fn a_broken_connection_to_a_running_server_is_no_crash() {
    let scripts = [Unanswered, Unanswered, Unanswered, Words(WHOLE_TEXT, Whole)];
    let bench = Bench::open(6, &scripts);
    let (text, _) = read_all(&mut bench.relay_of(1, "harmless")).await;
    assert_eq!(text, "abcd");
}

/// Relays two tokens, then announces that the server stops in `remaining_ms`, and reads the rest.
async fn reclaim(bench: &Bench, max_tokens: u64, remaining_ms: u64) -> (String, AnswerEvent) {
    for server in 0..3 {
        let load = LoadReport {
            running: 0,
            waiting: 0,
            kv_used_tokens: 0,
            kv_total_tokens: 1_000_000,
            tokens_per_s: 0.0,
            slots: 8,
            age_ms: 0,
        };
        let server = format!("runner-{server}");
        bench.flow.backends.set_load(&server, Some(load), 0);
    }
    let prompt = "a line of the ledger ".repeat(2_000);
    let mut relay = bench.relay_for(&prompt, Some(max_tokens));
    relay.next().await;
    relay.next().await;
    let server = bench.backend.attempts()[0].0.id.clone();
    let gone_ms = bench.flow.clock.now_ms() + remaining_ms;
    bench.flow.backends.set_leaving(&server, gone_ms);
    read_all(&mut relay).await
}

#[test_case(KvTransfer::Moves; "with its cache")]
#[test_case(KvTransfer::Unsupported; "by computing it again")]
#[tokio::test(start_paused = true)]
async fn a_long_stream_moves_to_a_live_server(kv: KvTransfer) {
    let bench = Bench::open(3, &[Words(FIRST_HALF, Silent), Words(SECOND_HALF, Whole)]);
    bench.backend.set_kv(kv);
    let (text, last) = reclaim(&bench, 4_000, 5_000).await;
    assert_eq!(text, "cd");
    assert!(matches!(last, AnswerEvent::Finish { .. }), "{last:?}");
    let attempts = bench.backend.attempts();
    let transfers = bench.backend.transfers();
    assert_eq!(
        transfers[0],
        (attempts[0].0.id.clone(), "/kv/export".to_owned())
    );
    match kv {
        KvTransfer::Moves => assert_eq!(
            transfers[1],
            (attempts[1].0.id.clone(), "/kv/import".to_owned())
        ),
        KvTransfer::Unsupported => assert_eq!(transfers.len(), 1),
    }
}

#[tokio::test(start_paused = true)]
async fn a_short_stream_finishes_on_the_leaving_server() {
    let bench = Bench::open(3, &[Words(WHOLE_TEXT, Whole)]);
    let (text, last) = reclaim(&bench, 4, 5_000).await;
    assert_eq!(text, "cd");
    assert!(matches!(last, AnswerEvent::Finish { .. }), "{last:?}");
    assert_eq!(bench.backend.attempts().len(), 1);
    assert!(bench.backend.transfers().is_empty());
}

#[tokio::test(start_paused = true)]
async fn failed_attempts_count_after_a_handover() {
    let bench = Bench::open(8, &[NotSent, Unanswered, Words(FIRST_HALF, Silent)]);
    let mut relay = bench.relay(Some(16));
    relay.begin().await.expect("begun at the third attempt");
    let handed = to_stream(&relay.record().lock());
    let taken = from_stream(&handed).expect("a stream of this program");
    assert_eq!(taken.failed, 2);
    let peer = Bench::open(
        8,
        &[Unanswered, Unanswered, Unanswered, Words(WHOLE_TEXT, Whole)],
    );
    let record = peer.flow.store.insert(taken).expect("a new number");
    let last = read_all(&mut Relay::open(peer.flow.clone(), record, 0))
        .await
        .1;
    assert!(matches!(last, AnswerEvent::Failed(_)), "{last:?}");
    assert_eq!(peer.backend.attempts().len(), 3);
}

#[tokio::test(start_paused = true)]
async fn an_accepted_answer_waits_while_its_only_server_refuses_connections() {
    let mut scripts = vec![Words(FIRST_HALF, Broken)];
    scripts.extend(vec![NotSent; 12]);
    scripts.push(Words(SECOND_HALF, Whole));
    let bench = Bench::open(1, &scripts);
    let (text, last) = read_all(&mut bench.relay(None)).await;
    assert_eq!(text, "abcd");
    assert!(matches!(last, AnswerEvent::Finish { .. }), "{last:?}");
}
