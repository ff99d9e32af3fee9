//! Idempotency keys, row keys and fingerprints: which requests count as the same call.

use ledger::{Fingerprint, IdempotencyKey, KeyError, Scope};
use test_case::test_case;

#[test_case("k", None; "one character")]
#[test_case(&"k".repeat(255), None; "longest")]
#[test_case("a b/c%~", None; "all of printable ASCII")]
#[test_case("", Some(KeyError::Empty); "empty")]
#[test_case(&"k".repeat(256), Some(KeyError::TooLong { size_bytes: 256 }); "too long")]
#[test_case("a\tb", Some(KeyError::BadCharacter { position: 1 }); "control character")]
#[test_case("clé", Some(KeyError::BadCharacter { position: 2 }); "not ASCII")]
fn keys(text: &str, want: Option<KeyError>) {
    assert_eq!(text.parse::<IdempotencyKey>().err(), want);
}

fn row(workspace: &str, service: &str, key: &str) -> outside::Key {
    let scope = Scope {
        workspace: workspace.into(),
        service: service.into(),
        key: key.parse().unwrap(),
    };
    scope.row_key()
}

#[test]
fn no_two_scopes_share_a_row() {
    let rows = [
        row("a", "b", "c"),
        row("a/b", "b", "c"),
        row("a", "b/c", "d"),
        row("a", "b", "c/d"),
        row("a%2Fb", "b", "c"),
        row("a", "b%2Fc", "d"),
    ];
    for (at, row) in rows.iter().enumerate() {
        assert!(!rows[at + 1..].contains(row), "{row:?}");
    }
}

struct Call {
    method: &'static str,
    path: &'static str,
    content_type: Option<&'static str>,
    body: &'static [u8],
}

const CALL: Call = Call {
    method: "POST",
    path: "/filings?a=1&b=2",
    content_type: Some("application/json"),
    body: b"{}",
};

fn fingerprint(call: &Call) -> Fingerprint {
    let content_type = call.content_type.map(str::as_bytes);
    let header = |name: &str| match name {
        "content-type" => content_type,
        "x-trace" => Some(&b"changes"[..]),
        _ => None,
    };
    Fingerprint::of(call.method, call.path, header, call.body)
}

#[test_case(Call { method: "post", ..CALL }, true; "case of the method")]
#[test_case(Call { method: "PUT", ..CALL }, false; "method")]
#[test_case(Call { path: "/filings?b=2&a=1", ..CALL }, false; "order of the query")]
#[test_case(Call { content_type: None, ..CALL }, false; "no header")]
#[test_case(Call { content_type: Some(""), ..CALL }, false; "empty header")]
#[test_case(Call { body: b"{ }", ..CALL }, false; "white space in the body")]
#[test_case(Call { body: b"\xff", ..CALL }, false; "bytes that are no text")]
fn same_call(call: Call, same: bool) {
    assert_eq!(fingerprint(&call) == fingerprint(&CALL), same);
}

#[test]
fn an_empty_header_is_not_an_absent_one() {
    let with = |content_type| {
        let call = Call {
            content_type,
            ..CALL
        };
        fingerprint(&call)
    };
    assert_ne!(with(None), with(Some("")));
}
