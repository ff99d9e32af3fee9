//! The plain service's stand-in over HTTP.

mod support;

use serde_json::json;
use standin::hash::fnv_hex;
use standin::plain::{EffectLog, bind, options};
use support::{call, get, post};
use test_case::test_case;

#[test_case("none", true, 1; "no fault")]
#[test_case("unavailable", true, 0; "refused")]
#[test_case("drop_before", false, 0; "dropped before the effect")]
#[test_case("lose_answer", false, 1; "dropped after the effect")]
#[test_case("error_after", true, 1; "failed after the effect")]
#[test_case("slow", true, 1; "slow")]
#[tokio::test]
async fn each_fault_has_its_effect(kind: &str, answered: bool, effects: usize) {
    let options = options().run_inner(&[] as &[&str]).unwrap();
    let service = bind(&options).await.unwrap();
    let faults = json!({"fault": {"kind": kind, "delay_ms": 1, "next": 1}});
    post(service.address(), "/faults", &faults).await;
    let body = json!({"donor": "d", "amount": 12});
    let reply = call(service.address(), "POST", "/filings", &body).await;
    assert_eq!(reply.is_ok(), answered);
    let log = get(service.address(), "/effects").await;
    let log: EffectLog = serde_json::from_slice(&log.bytes).unwrap();
    assert_eq!(log.received, 1);
    assert_eq!(log.effects.len(), effects);
    for effect in &log.effects {
        assert_eq!(effect.body_hash, fnv_hex(body.to_string().as_bytes()));
        assert_eq!(effect.idempotency_key.as_deref(), Some("k1"));
    }
    post(service.address(), "/filings", &body).await;
    service.close().await;
}
