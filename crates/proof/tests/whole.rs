//! Whole answers of an entry VM that leaves: found by their number at another one.

use proof::caller::Draft;
use proof::deployment::{Deployment, Plan, workspace_key};
use proof::wire::{Call, Reply};
use serde_json::json;

const TOKENS: u64 = 150;

fn content(reply: &Reply) -> String {
    let text = &reply.json()["choices"][0]["message"]["content"];
    text.as_str().unwrap_or_default().to_owned()
}

#[tokio::test]
async fn a_whole_answer_of_a_leaving_entry_vm_is_found_at_another() {
    let plan = Plan {
        timeouts: "drain_deadline_ms = 300".into(),
        ..Plan::default()
    };
    let mut deployment = Deployment::open(plan).await;
    let draft = Draft {
        request_id: String::new(),
        prompt: "the ledger of the women's workshop".into(),
        tokens: TOKENS,
    };
    let key = workspace_key("village-schools");
    let body = json!({
        "model": "drafting", "max_tokens": TOKENS,
        "messages": [{"role": "user", "content": draft.prompt}],
    });
    let call = Call::post("/v1/chat/completions", &body).bearer(&key);
    let address = deployment.entries[0].callers;
    let waiting = tokio::spawn(async move { call.send(address).await });
    deployment.busy_engine().await;
    deployment.entries[0].process.terminate();
    let moved = waiting.await.expect("no panic").expect("an answer");
    assert_eq!(moved.json()["error"]["code"], "moved");
    let number = moved.headers["x-request-id"].to_str().expect("text");
    let stranger = workspace_key("mountain-clinics");
    let ask = |key: &str| {
        Call::get(format!("/v1/requests/{number}"))
            .bearer(key)
            .header("accept", "application/json")
    };
    let refused = ask(&stranger).send(deployment.entries[2].callers).await;
    assert_eq!(refused.expect("an answer").status, 404);
    let rest = ask(&key).send(deployment.entries[1].callers).await;
    let rest = rest.expect("an answer");
    assert_eq!(rest.status, 200);
    assert_eq!(content(&rest), draft.expected());
    deployment.close().await;
}
