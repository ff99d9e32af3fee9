//! Table client against the stand-in and against servers that violate the protocol.

mod support;

use outside::{CommitError, Condition, Key, Table, Write};
use serde_json::json;
use support::{Outcome, PlatformStandIn, endpoint, outcome, put};
use test_case::test_case;

#[test_case("none", Outcome::Applied, 1; "no fault")]
#[test_case("slow", Outcome::Applied, 1; "slow")]
#[test_case("throttle", Outcome::NotApplied, 0; "throttled")]
#[test_case("unavailable", Outcome::Unknown, 0; "plain 503")]
#[test_case("drop_before", Outcome::Unknown, 0; "dropped before the effect")]
#[test_case("lose_answer", Outcome::Unknown, 1; "dropped after the effect")]
#[test_case("cut_answer", Outcome::Unknown, 1; "answer cut")]
#[test_case("error_after", Outcome::Unknown, 1; "500 after the effect")]
#[test_case("hang", Outcome::Unknown, 0; "no answer and no effect")]
#[test_case("hang_after", Outcome::Unknown, 1; "no answer after the effect")]
#[tokio::test]
async fn a_commit_under_a_fault_has_a_true_outcome(kind: &str, expected: Outcome, rows: usize) {
    let platform = PlatformStandIn::start().await;
    let table = platform.table();
    let fault = json!({"kind": kind, "delay_ms": 5, "next": 1});
    let control = json!({"action": "fault", "area": "table_writes", "fault": fault});
    platform.control(&control).await;
    let result = table.commit(vec![put("a", "1", Condition::Absent)]).await;
    assert_eq!(outcome(&result), expected);
    let found = table.scan("p", "", 10).await.unwrap();
    assert_eq!(found.len(), rows);
    platform.close().await;
}

#[test_case(Condition::Absent, false, Outcome::Applied; "absent, and it is")]
#[test_case(Condition::Absent, true, Outcome::Conflict; "absent, and it is there")]
#[test_case(Condition::VersionIs(1), true, Outcome::Applied; "the version")]
#[test_case(Condition::VersionIs(2), true, Outcome::Conflict; "another version")]
#[test_case(Condition::VersionIs(1), false, Outcome::Conflict; "a version of nothing")]
#[test_case(Condition::Any, true, Outcome::Applied; "any")]
#[tokio::test]
async fn conditions_hold_or_stop_the_whole_commit(
    condition: Condition,
    exists: bool,
    expected: Outcome,
) {
    let platform = PlatformStandIn::start().await;
    let table = platform.table();
    if exists {
        let first = table.commit(vec![put("a", "1", Condition::Any)]).await;
        assert_eq!(outcome(&first), Outcome::Applied);
    }
    let writes = vec![put("b", "2", Condition::Any), put("a", "3", condition)];
    assert_eq!(outcome(&table.commit(writes).await), expected);
    let other = table.get(&Key::new("p", "b")).await.unwrap();
    assert_eq!(other.is_some(), expected == Outcome::Applied);
    let row = table.get(&Key::new("p", "a")).await.unwrap();
    let version = row.map_or(0, |row| row.version);
    let applied = u64::from(expected == Outcome::Applied);
    assert_eq!(version, u64::from(exists) + applied);
    platform.close().await;
}

#[tokio::test]
async fn checks_and_deletes_take_part_in_a_commit() {
    let platform = PlatformStandIn::start().await;
    let table = platform.table();
    let key = Key::new("p", "a");
    table
        .commit(vec![put("a", "1", Condition::Absent)])
        .await
        .unwrap();
    let check = Write::Check {
        key: key.clone(),
        condition: Condition::VersionIs(2),
    };
    let refused = table
        .commit(vec![check, put("b", "2", Condition::Any)])
        .await;
    assert_eq!(refused, Err(CommitError::Conflict));
    let delete = Write::Delete {
        key: key.clone(),
        condition: Condition::VersionIs(1),
    };
    table.commit(vec![delete]).await.unwrap();
    assert_eq!(table.get(&key).await.unwrap(), None);
    platform.close().await;
}

#[test_case(3, 10, 3; "fewer than wanted")]
#[test_case(12, 5, 5; "more than wanted")]
#[tokio::test]
async fn a_scan_is_in_order_and_bounded(rows: usize, limit: u32, expected: usize) {
    let platform = PlatformStandIn::start().await;
    let table = platform.table();
    for number in (0..rows).rev() {
        let sort = format!("k{number:02}");
        table
            .commit(vec![put(&sort, "x", Condition::Absent)])
            .await
            .unwrap();
    }
    let found = table.scan("p", "", limit).await.unwrap();
    let sorts: Vec<String> = found.into_iter().map(|row| row.key.sort).collect();
    let wanted: Vec<String> = (0..expected)
        .map(|number| format!("k{number:02}"))
        .collect();
    assert_eq!(sorts, wanted);
    let rest = table.scan("p", "k00", 100).await.unwrap();
    assert_eq!(rest.len(), rows - 1);
    platform.close().await;
}

#[tokio::test]
async fn a_scan_goes_on_over_pages() {
    let platform = PlatformStandIn::start().await;
    let table = platform.table();
    let body = "x".repeat(300 << 10);
    for number in 0..6 {
        let sort = format!("k{number}");
        table
            .commit(vec![put(&sort, &body, Condition::Absent)])
            .await
            .unwrap();
    }
    assert_eq!(table.scan("p", "", 6).await.unwrap().len(), 6);
    platform.close().await;
}

#[tokio::test]
async fn too_large_a_row_is_certainly_not_written() {
    let platform = PlatformStandIn::start().await;
    let body = "x".repeat(500 << 10);
    let result = platform
        .table()
        .commit(vec![put("a", &body, Condition::Any)])
        .await;
    assert_eq!(outcome(&result), Outcome::NotApplied);
    platform.close().await;
}

#[tokio::test]
async fn a_closed_port_is_certainly_not_written() {
    let platform = PlatformStandIn::start().await;
    let table = platform.table();
    table
        .commit(vec![put("a", "1", Condition::Any)])
        .await
        .unwrap();
    platform.close().await;
    let mut result = table.commit(vec![put("a", "1", Condition::Any)]).await;
    // The first call may use the pooled connection. Its loss does not prove that nothing was written.
    if outcome(&result) == Outcome::Unknown {
        result = table.commit(vec![put("a", "1", Condition::Any)]).await;
    }
    assert_eq!(outcome(&result), Outcome::NotApplied);
    assert!(table.get(&Key::new("p", "a")).await.is_err());
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

#[test_case("", Outcome::Unknown; "closed unanswered")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-le", Outcome::Unknown; "half a head")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}", Outcome::Unknown; "half a body")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{x", Outcome::Unknown; "a body that is not JSON")]
#[test_case("junk\r\n\r\n", Outcome::Unknown; "not HTTP")]
#[test_case("HTTP/1.1 503 No\r\ncontent-length: 50\r\n\r\n{\"__type\":\"com.amazonaws.dyn#ThrottlingException\"}", Outcome::NotApplied; "503 with a throttling refusal")]
#[test_case("HTTP/1.1 500 No\r\ncontent-length: 48\r\n\r\n{\"__type\":\"com.amazonaws.dyn#InternalServerErr\"}", Outcome::Unknown; "500")]
#[test_case("HTTP/1.1 302 No\r\ncontent-length: 0\r\n\r\n", Outcome::Unknown; "a redirect")]
#[test_case(OK, Outcome::Applied; "a whole answer")]
#[tokio::test]
async fn a_broken_answer_is_unknown(answer: &'static str, expected: Outcome) {
    let address = support::raw_server(answer).await;
    let table = outside::http::HttpTable::open(endpoint(address), "t");
    let result = table.commit(vec![put("a", "1", Condition::Any)]).await;
    assert_eq!(outcome(&result), expected);
}

#[tokio::test]
async fn an_answer_without_end_is_bounded() {
    let address = support::endless_server().await;
    let table = outside::http::HttpTable::open(endpoint(address), "t");
    let result = table.commit(vec![put("a", "1", Condition::Any)]).await;
    let Err(CommitError::Unknown { reason }) = result else {
        panic!("{result:?}");
    };
    assert!(reason.contains("length limit exceeded"), "{reason}");
}
