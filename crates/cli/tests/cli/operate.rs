//! Status, drain and requests; daemons that fail.

use serde_json::json;
use test_case::test_case;

use crate::support::{Admin, Tool};

const ID: &str = "0123456789abcdef0123456789abcdef";

fn error(code: &str) -> serde_json::Value {
    json!({"error": {"code": code, "message": "An explanation."}})
}

#[test]
fn status_shows_vms_and_servers() {
    let vm = json!({"name": "e2", "incarnation": 3, "state": "suspect", "config_version": 7});
    let server = json!({"id": "b1", "service": "drafting", "address": "127.0.0.1:9",
                        "failure_domain": "vake", "state": "leaving", "running": 4});
    let status = json!({"node": "e1\u{1b}[2J", "program_version": "0.1.0", "config_version": 7,
                        "in_flight": 12, "entry_vms": [vm], "backend_servers": [server]});
    let admin = Admin::bind().reply("GET /admin/status", 200, status.clone());
    let run = Tool::new("status")
        .admin(&admin)
        .key("k")
        .run()
        .expect_code(0);
    assert!(
        run.stdout.contains("e2        3            suspect  7"),
        "{}",
        run.stdout
    );
    assert!(
        run.stdout
            .contains("b1              drafting  127.0.0.1:9  vake            leaving  4")
    );
    assert!(!run.stdout.contains('\u{1b}'));
    let run = Tool::new("status --json").admin(&admin).key("k").run();
    assert_eq!(run.expect_code(0).json(), status);
    admin.close();
}

#[test]
fn the_next_daemon_is_asked_when_one_does_not_answer() {
    let silent = Admin::bind().cut("GET /admin/config/history");
    let working = Admin::bind().reply("GET /admin/config/history", 200, json!({"entries": []}));
    let run = Tool::new("config history")
        .admin(&silent)
        .admin(&working)
        .key("k")
        .run();
    run.expect_code(0);
    silent.close();
    working.close();
}

#[test]
fn drain_reports_the_deadline() {
    let reply = json!({"node": "e1", "in_flight": 3, "deadline_ms": 25_000});
    let admin = Admin::bind().reply("POST /admin/drain", 200, reply);
    let run = Tool::new("drain")
        .admin(&admin)
        .key("k")
        .run()
        .expect_code(0);
    assert!(
        run.stdout
            .contains("e1 drains: 3 request(s) in flight, at most 25000 ms")
    );
    admin.close();
}

#[test]
fn request_show() {
    let view = json!({"id": ID, "workspace": "archive", "service": "drafting", "state": "relaying",
                      "run_state": "ran", "entry_vm": "e1", "attempts": ["b1", "b2"],
                      "accepted_at_ms": 0, "relayed_bytes": 99});
    let admin = Admin::bind().reply(&format!("GET /admin/requests/{ID}"), 200, view);
    let run = Tool::new("request show")
        .arg(ID)
        .admin(&admin)
        .key("k")
        .run();
    let run = run.expect_code(0);
    assert!(
        run.stdout.contains("backend servers tried  b1, b2"),
        "{}",
        run.stdout
    );
    assert!(
        run.stdout
            .contains("accepted               1970-01-01T00:00:00Z")
    );
    admin.close();
}

#[test_case(401, 4, "did not take the operator key"; "unauthorized")]
#[test_case(403, 4, "did not take the operator key"; "forbidden")]
#[test_case(404, 8, "An explanation."; "not found")]
#[test_case(503, 1, "An explanation."; "unavailable")]
#[test_case(200, 1, "could not be read"; "answer of another shape")]
fn failures_have_their_exit_code(status: u16, code: i32, expected: &str) {
    let admin = Admin::bind().reply("GET /admin/status", status, error("x"));
    let run = Tool::new("status")
        .admin(&admin)
        .key("top-secret-key")
        .run()
        .expect_code(code);
    assert!(run.stderr.contains(expected), "{}", run.stderr);
    assert!(run.stdout.is_empty());
    assert!(!run.stderr.contains("top-secret-key"));
    admin.close();
}

#[test]
fn no_answer_is_unreachable() {
    let admin = Admin::bind().cut("GET /admin/status");
    let run = Tool::new("status")
        .admin(&admin)
        .key("k")
        .run()
        .expect_code(3);
    assert!(
        run.stderr.contains("No daemon answered: 127.0.0.1:"),
        "{}",
        run.stderr
    );
    admin.close();
}
