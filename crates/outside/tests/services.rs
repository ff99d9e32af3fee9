//! Clients of the object store, the VM list and the cloud API, under faults of the platform.

mod support;

use bytes::Bytes;
use outside::{Cloud, CloudError, Objects, Purchase, VmOrder, VmRole, VmState, Vms};
use serde_json::json;
use support::PlatformStandIn;
use test_case::test_case;

async fn fault(platform: &PlatformStandIn, area: &str, kind: &str) {
    let fault = json!({"kind": kind, "delay_ms": 5, "next": 1});
    let control = json!({"action": "fault", "area": area, "fault": fault});
    platform.control(&control).await;
}

#[test_case("none", true; "no fault")]
#[test_case("slow", true; "slow")]
#[test_case("unavailable", false; "refused")]
#[test_case("lose_answer", false; "answer lost")]
#[test_case("cut_answer", false; "answer cut")]
#[test_case("hang", false; "no answer")]
#[tokio::test]
async fn an_object_is_read_whole_or_not_at_all(kind: &str, readable: bool) {
    let platform = PlatformStandIn::start().await;
    let objects = platform.objects();
    let body = Bytes::from_static(b"{\"version\":7}");
    objects.put("config/7", body.clone()).await.unwrap();
    fault(&platform, "objects", kind).await;
    let read = objects.get("config/7").await;
    assert_eq!(read.is_ok(), readable);
    if let Ok(read) = read {
        assert_eq!(read, Some(body));
    }
    assert_eq!(objects.get("config/8").await, Ok(None));
    platform.close().await;
}

#[test_case(""; "empty")]
#[test_case("a b"; "a space")]
#[test_case("a/../b?c"; "a query")]
#[test_case("/a"; "an empty part")]
#[tokio::test]
async fn a_path_that_cannot_stand_in_a_url_is_refused(path: &str) {
    let platform = PlatformStandIn::start().await;
    let result = platform.objects().put(path, Bytes::new()).await;
    assert!(result.unwrap_err().reason.contains("object's path"));
    platform.close().await;
}

fn vm(id: &str) -> serde_json::Value {
    json!({"action": "put_vm", "vm": {
        "id": id, "address": "127.0.0.1:9", "failure_domain": "vake",
        "class": "large", "role": "backend", "service": "drafting",
    }})
}

#[tokio::test]
async fn the_list_and_the_notice_tell_of_a_reclaim() {
    let platform = PlatformStandIn::start().await;
    let vms = platform.vms();
    platform.control(&vm("vm-1")).await;
    let listed = vms.list().await.unwrap();
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].role, VmRole::Backend);
    assert_eq!(listed[0].service.as_deref(), Some("drafting"));
    assert_eq!(listed[0].state, VmState::Live);
    assert_eq!(vms.notice("vm-1").await, Ok(None));

    let reclaim = json!({"action": "reclaim", "id": "vm-1", "remaining_ms": 30_000});
    platform.control(&reclaim).await;
    let listed = vms.list().await.unwrap();
    assert!(matches!(listed[0].state, VmState::Leaving { remaining_ms } if remaining_ms <= 30_000));
    assert!(vms.notice("vm-1").await.unwrap().is_some());

    platform
        .control(&json!({"action": "remove_vm", "id": "vm-1"}))
        .await;
    assert_eq!(vms.list().await, Ok(Vec::new()));
    platform.close().await;
}

#[tokio::test]
async fn the_list_lags_and_the_notice_does_not() {
    let platform = PlatformStandIn::start().await;
    let vms = platform.vms();
    platform.control(&vm("vm-1")).await;
    let lag = json!({"action": "list_lag", "lag_ms": 3_600_000});
    platform.control(&lag).await;
    let reclaim = json!({"action": "reclaim", "id": "vm-1", "remaining_ms": 30_000});
    platform.control(&reclaim).await;
    assert_eq!(vms.list().await.unwrap()[0].state, VmState::Live);
    assert!(vms.notice("vm-1").await.unwrap().is_some());
    platform.close().await;
}

#[test_case("unavailable"; "refused")]
#[test_case("cut_answer"; "answer cut")]
#[test_case("drop_before"; "dropped")]
#[test_case("hang"; "no answer")]
#[tokio::test]
async fn a_list_that_cannot_be_read_is_an_error_and_not_empty(kind: &str) {
    let platform = PlatformStandIn::start().await;
    platform.control(&vm("vm-1")).await;
    fault(&platform, "vms", kind).await;
    assert!(platform.vms().list().await.is_err());
    fault(&platform, "vms", kind).await;
    assert!(platform.vms().notice("vm-1").await.is_err());
    platform.close().await;
}

fn order() -> VmOrder {
    VmOrder {
        token: "t1".into(),
        class: "large".into(),
        failure_domain: "vake".into(),
        purchase: Purchase::Reclaimable,
        service: "drafting".into(),
    }
}

#[test_case("lose_answer", true; "bought, answer lost")]
#[test_case("drop_before", false; "dropped before")]
#[test_case("error_after", true; "500 after the purchase")]
#[test_case("hang_after", true; "no answer after the purchase")]
#[tokio::test]
async fn an_unsure_purchase_is_unknown_and_can_be_found(kind: &str, bought: bool) {
    let platform = PlatformStandIn::start().await;
    let cloud = platform.cloud();
    fault(&platform, "cloud", kind).await;
    let result = cloud.buy(&order()).await;
    assert!(matches!(result, Err(CloudError::Unknown { .. })));
    let found = cloud.find("t1").await.unwrap();
    assert_eq!(found.is_some(), bought);
    let again = cloud.buy(&order()).await.unwrap();
    if let Some(found) = found {
        assert_eq!(again, found);
    }
    cloud.release(&again.vm).await.unwrap();
    cloud.release(&again.vm).await.unwrap();
    platform.close().await;
}

#[tokio::test]
async fn a_refused_start_buys_nothing() {
    let platform = PlatformStandIn::start().await;
    platform
        .control(&json!({"action": "refuse_starts", "refuse": true}))
        .await;
    let cloud = platform.cloud();
    let result = cloud.buy(&order()).await;
    assert!(matches!(result, Err(CloudError::Refused { .. })));
    assert_eq!(cloud.find("t1").await, Ok(None));
    platform.close().await;
}

#[tokio::test]
async fn a_closed_port_buys_nothing() {
    let platform = PlatformStandIn::start().await;
    let cloud = platform.cloud();
    platform.close().await;
    let result = cloud.buy(&order()).await;
    assert!(matches!(result, Err(CloudError::Refused { .. })));
}
