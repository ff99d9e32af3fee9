//! The engine stand-in over HTTP.

mod support;

use serde_json::{Value, json};
use standin::engine::message::{ChatMessage, render};
use standin::engine::{Options, bind, words};
use support::{call, get, post};
use test_case::test_case;

fn chat(max_tokens: u64) -> Value {
    json!({
        "model": "drafting", "stream": true, "max_tokens": max_tokens,
        "stream_options": {"include_usage": true},
        "messages": [{"role": "user", "content": "Draft a report."}],
    })
}

fn expected(count: u64) -> String {
    let message = ChatMessage {
        role: "user".into(),
        content: "Draft a report.".into(),
    };
    words::answer(&render(&[message]), count)
}

fn streamed_text(body: &str) -> String {
    let mut text = String::new();
    for line in body.lines() {
        let Some(data) = line.strip_prefix("data: {") else {
            continue;
        };
        let chunk: Value = serde_json::from_str(&format!("{{{data}")).unwrap();
        let content = chunk["choices"][0]["delta"]["content"].as_str();
        text.push_str(content.unwrap_or_default());
    }
    text
}

#[tokio::test]
async fn a_stream_has_all_tokens_a_finish_a_usage_and_an_end() {
    let engine = bind(&Options::default()).await.unwrap();
    let reply = post(engine.address(), "/v1/chat/completions", &chat(5)).await;
    assert_eq!(streamed_text(&reply.text), expected(5));
    assert!(reply.text.contains("\"finish_reason\":\"length\""));
    assert!(reply.text.contains("\"completion_tokens\":5"));
    assert!(reply.text.ends_with("data: [DONE]\n\n"));
    engine.close().await;
}

#[test_case(1; "after one token")]
#[test_case(4; "after all but one")]
#[tokio::test]
async fn a_resumed_stream_equals_the_rest(relayed: u64) {
    let engine = bind(&Options::default()).await.unwrap();
    let mut body = chat(5 - relayed);
    body["continue_final_message"] = json!(true);
    let partial = json!({"role": "assistant", "content": expected(relayed)});
    body["messages"].as_array_mut().unwrap().push(partial);
    let reply = post(engine.address(), "/v1/chat/completions", &body).await;
    let whole = expected(relayed) + &streamed_text(&reply.text);
    assert_eq!(whole, expected(5));
    engine.close().await;
}

#[test_case(json!({"truncate_after_tokens": 2}), 2, true; "ends without a finish")]
#[test_case(json!({"truncate_after_tokens": 2, "truncation": "cut"}), 2, false; "cuts the connection")]
#[tokio::test]
async fn a_truncated_stream_has_no_end_marker(faults: Value, tokens: u64, whole_body: bool) {
    let engine = bind(&Options::default()).await.unwrap();
    post(engine.address(), "/faults", &faults).await;
    let reply = post(engine.address(), "/v1/chat/completions", &chat(5)).await;
    assert_eq!(reply.whole, whole_body);
    assert!(expected(tokens).starts_with(&streamed_text(&reply.text)));
    assert!(!reply.text.contains("[DONE]"));
    engine.close().await;
}

#[tokio::test]
async fn a_repeated_prompt_is_not_recomputed() {
    let engine = bind(&Options::default()).await.unwrap();
    let prompt = "word ".repeat(130);
    let body = json!({"prompt": prompt, "max_tokens": 1});
    post(engine.address(), "/v1/completions", &body).await;
    let reply = post(engine.address(), "/v1/completions", &body).await;
    let usage = &reply.json()["usage"];
    assert_eq!(usage["prompt_tokens"], 130);
    assert_eq!(usage["prompt_tokens_details"]["cached_tokens"], 128);
    let stats = get(engine.address(), "/stats").await.json();
    assert_eq!(stats["prompt_tokens_computed"], 132);
    engine.close().await;
}

#[tokio::test]
async fn a_caller_that_leaves_cancels_its_request() {
    let options = Options {
        decode_tokens_per_s: 50.0,
        ..Options::default()
    };
    let engine = bind(&options).await.unwrap();
    let stream = support::open(engine.address(), "/v1/chat/completions", &chat(100_000)).await;
    drop(stream);
    loop {
        let stats = get(engine.address(), "/stats").await.json();
        if stats["cancelled"] == 1 {
            break;
        }
        tokio::task::yield_now().await;
    }
    let load = get(engine.address(), "/load").await.json();
    assert_eq!(load["running"], 0);
    engine.close().await;
}

#[test_case("checked", 409, 1; "checked")]
#[test_case("ignored", 200, 2; "ignored")]
#[tokio::test]
async fn an_old_fencing_number_is_refused_only_where_checked(
    fencing: &str,
    status: u16,
    followed: usize,
) {
    let engine = bind(&Options::default()).await.unwrap();
    post(engine.address(), "/faults", &json!({"fencing": fencing})).await;
    let order = |fence: u64| json!({"kind": "load_model", "name": "m", "fence": fence});
    post(engine.address(), "/orders", &order(7)).await;
    let reply = post(engine.address(), "/orders", &order(6)).await;
    assert_eq!(reply.status, status);
    let stats = get(engine.address(), "/stats").await.json();
    assert_eq!(stats["orders"].as_array().unwrap().len(), followed);
    engine.close().await;
}

#[tokio::test]
async fn a_deadly_prompt_takes_the_engine_with_it() {
    let engine = bind(&Options::default()).await.unwrap();
    let address = engine.address();
    post(address, "/faults", &json!({"crash_on": "Draft"})).await;
    let answer = call(address, "POST", "/v1/chat/completions", &chat(1)).await;
    assert!(answer.is_err());
    let mut engine = engine;
    engine.ended().await;
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}

#[tokio::test]
async fn an_exported_sequence_is_cached_where_it_is_imported() {
    let first = bind(&Options::default()).await.unwrap();
    let second = bind(&Options::default()).await.unwrap();
    let body = json!({"prompt": "word ".repeat(64), "max_tokens": 1});
    post(first.address(), "/v1/completions", &body).await;
    let exported = post(first.address(), "/kv/export", &json!({"request_id": "r1"})).await;
    support::send(second.address(), "POST", "/kv/import", exported.bytes)
        .await
        .unwrap();
    let reply = post(second.address(), "/v1/completions", &body).await;
    let details = &reply.json()["usage"]["prompt_tokens_details"];
    assert_eq!(details["cached_tokens"], 64);
    first.close().await;
    second.close().await;
}
