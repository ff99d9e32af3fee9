//! A node that can't reach the store for a while, and catches up from other nodes and from the
//! store.

mod support;

use std::rc::Rc;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use gateway::belief::registry::ServerState;
use gateway::follow::{self, BatchScope, servers};
use gateway::node::Node;
use gateway::peer::message::{Listing, NodeHeartbeat, RegistryCopy, RegistryVersion};
use gateway::peer::pull::{self, PullRequest};
use gateway::peer::serve;
use outside::revision::pack;
use outside::{Feed, FeedBatch, FeedError, FeedRow, ReadError, Topic};
use support::{node, run_with_paused_time};
use test_case::test_case;

fn row(key: &str, body: Option<&str>) -> FeedRow {
    FeedRow {
        key: key.to_owned(),
        body: body.map(|text| text.as_bytes().to_vec()),
        revision: 0,
    }
}

fn batch(revision: u64, rows: Vec<FeedRow>) -> FeedBatch {
    FeedBatch { rows, revision }
}

fn registry_copy(revision: u64, ids: &[&str]) -> RegistryCopy {
    RegistryCopy {
        revision,
        changed: None,
        listing: Listing::All(ids.iter().map(|id| (*id).into()).collect()),
        rows: ids
            .iter()
            .map(|id| ((*id).into(), "ready".to_owned()))
            .collect(),
    }
}

fn knows(node: &Node, id: &str) -> bool {
    node.registry.borrow().server(id).is_some()
}

fn fail_store(node: &Node) {
    node.store_failed_ms.set(node.now_ms());
}

#[test]
fn servers_removed_during_an_outage_do_not_come_back() {
    let node = node("n");
    servers::apply_batch(
        &node,
        batch(10, vec![row("x", Some("ready"))]),
        BatchScope::All,
    );
    servers::adopt_copy(&node, registry_copy(20, &[]));
    assert!(!knows(&node, "x"));
    fail_store(&node);
    let replayed = vec![
        row("x", Some("ready")),
        row("y", Some("ready")),
        row("x", None),
    ];
    servers::apply_batch(&node, batch(21, replayed), BatchScope::Changes);
    assert!(!knows(&node, "x"), "the last change of a row applies");
    assert!(knows(&node, "y"));
}

#[test]
fn entries_in_their_grace_period_are_not_copied_to_others() {
    let node = node("n");
    servers::apply_batch(
        &node,
        batch(10, vec![row("x", Some("ready"))]),
        BatchScope::All,
    );
    fail_store(&node);
    servers::apply_batch(&node, batch(11, vec![row("x", None)]), BatchScope::Changes);
    assert!(
        knows(&node, "x"),
        "the server is used until the grace period ends"
    );
    let given = serve::registry_copy(&node, 0);
    let Listing::All(listed) = &given.listing else {
        panic!("a copy since revision 0 lists all entries");
    };
    let copied = (given.revision, listed.len(), given.rows.len());
    assert_eq!(copied, (11, 0, 0));
}

/// A node that follows the registry on a feed that records its queries.
fn spawn_follower() -> (Rc<Node>, Arc<RecordingFeed>) {
    let (node, feed) = (node("n"), Arc::new(RecordingFeed::default()));
    let following = follow::follow(
        node.clone(),
        feed.clone(),
        Topic::Servers,
        servers::apply_batch,
    );
    tokio::task::spawn_local(following);
    (node, feed)
}

/// A feed without changes that records the revisions from which it is queried.
#[derive(Default)]
struct RecordingFeed {
    since: Mutex<Vec<u64>>,
}

#[async_trait]
impl Feed for RecordingFeed {
    async fn snapshot(&self, _: Topic) -> Result<FeedBatch, ReadError> {
        Ok(batch(10, Vec::new()))
    }

    async fn changes(&self, _: Topic, revision: u64, _: u64) -> Result<FeedBatch, FeedError> {
        self.since.lock().unwrap().push(revision);
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        Ok(batch(revision, Vec::new()))
    }
}

#[test]
fn queries_start_after_the_revision_of_an_adopted_copy() {
    run_with_paused_time(async {
        let (node, feed) = spawn_follower();
        tokio::time::sleep(std::time::Duration::from_millis(1_250)).await;
        servers::adopt_copy(&node, registry_copy(20, &["x"]));
        tokio::time::sleep(std::time::Duration::from_millis(1_250)).await;
        let since = feed.since.lock().unwrap().clone();
        assert_eq!(since.first(), Some(&10));
        assert_eq!(since.last(), Some(&20));
    });
}

/// A node whose call about another topic is late has been served until then.
#[test]
fn a_late_call_about_the_directory_does_not_make_the_registry_queried_without_pause() {
    run_with_paused_time(async {
        let (node, feed) = spawn_follower();
        tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
        let before = feed.since.lock().unwrap().len();
        node.store_calls.begin(Topic::Directory, 0, node.now_ms());
        tokio::time::sleep(std::time::Duration::from_millis(1_650)).await;
        let late = feed.since.lock().unwrap().len() - before;
        node.store_calls.end(Topic::Directory);
        let before = before + late;
        tokio::time::sleep(std::time::Duration::from_millis(1_650)).await;
        let calm = feed.since.lock().unwrap().len() - before;
        assert!(
            late <= calm + 1,
            "{late} queries beside it, {calm} after it"
        );
    });
}

#[test]
fn a_node_that_the_store_answers_pulls_no_registry() {
    let node = node("n");
    servers::apply_batch(&node, batch(10, Vec::new()), BatchScope::All);
    let now_ms = node.now_ms();
    node.store_ok_ms.set(now_ms);
    let heartbeat = heartbeat(12);
    assert_eq!(pull::pulls_needed(&node, &heartbeat), Vec::new());
    // A query waits up to a second for changes, so a silence of that length is no failure.
    node.store_ok_ms.set(now_ms.saturating_sub(950));
    assert_eq!(pull::pulls_needed(&node, &heartbeat), Vec::new());
    fail_store(&node);
    let wanted = pull::pulls_needed(&node, &heartbeat);
    assert_eq!(wanted, vec![PullRequest::Registry { since: 10 }]);
}

#[test]
fn a_failure_domain_cut_off_from_the_store_pulls_from_another_one() {
    run_with_paused_time(async {
        let node = node("n");
        servers::apply_batch(&node, batch(10, Vec::new()), BatchScope::All);
        let far = NodeHeartbeat {
            failure_domain: "b".into(),
            ..heartbeat(12)
        };
        let neighbour = || {
            let address = "127.0.0.1:2".parse().unwrap();
            let mut peers = node.peers.borrow_mut();
            let number = node.now_ms();
            let heartbeat = NodeHeartbeat {
                number,
                ..heartbeat(10)
            };
            peers.record_heartbeat(heartbeat, address, node.now_ms());
        };
        neighbour();
        fail_store(&node);
        assert_eq!(
            pull::pulls_needed(&node, &far),
            Vec::new(),
            "nodes of the same failure domain may know"
        );
        tokio::time::sleep(std::time::Duration::from_millis(1_200)).await;
        neighbour();
        fail_store(&node);
        let wanted = pull::pulls_needed(&node, &far);
        assert_eq!(wanted, vec![PullRequest::Registry { since: 10 }]);
    });
}

#[test]
fn heartbeats_of_servers_cause_no_pull() {
    let (from, to) = (node("n"), node("m"));
    servers::apply_batch(
        &from,
        batch(10, vec![row("x", Some("ready"))]),
        BatchScope::All,
    );
    fail_store(&to);
    servers::adopt_copy(&to, serve::registry_copy(&from, 0));
    let unchanged_row = batch(15, vec![row("x", Some("ready"))]);
    servers::apply_batch(&from, unchanged_row, BatchScope::Changes);
    let heartbeat = heartbeat_of(&from);
    assert_eq!(pull::pulls_needed(&to, &heartbeat), Vec::new());
    pull::confirm(&to, &heartbeat);
    assert_eq!(to.registry.borrow().revision, 15);
}

#[test]
fn a_partial_copy_holds_only_changed_entries() {
    let (from, to) = (node("n"), node("m"));
    let both = vec![row("x", Some("ready")), row("y", Some("ready"))];
    servers::apply_batch(&from, batch(10, both), BatchScope::All);
    fail_store(&to);
    servers::adopt_copy(&to, serve::registry_copy(&from, 0));
    let rows = vec![
        row("x", None),
        row("y", Some("ready")),
        row("z", Some("ready")),
    ];
    servers::apply_batch(&from, batch(12, rows), BatchScope::Changes);
    assert_eq!(
        pull::pulls_needed(&to, &heartbeat_of(&from)),
        vec![PullRequest::Registry { since: 10 }]
    );
    let part = serve::registry_copy(&from, 10);
    assert_eq!(part.rows.len(), 1);
    assert_eq!(servers::adopt_copy(&to, part), servers::CopyOutcome::Taken);
    assert!(knows(&to, "y") && knows(&to, "z") && !knows(&to, "x"));
}

#[test]
fn a_partial_copy_with_a_gap_is_not_adopted() {
    let (from, to) = (node("n"), node("m"));
    let both = vec![row("x", Some("ready")), row("y", Some("ready"))];
    servers::apply_batch(&from, batch(10, both), BatchScope::All);
    let part = serve::registry_copy(&from, 10);
    let part = RegistryCopy {
        revision: 11,
        ..part
    };
    assert_eq!(servers::adopt_copy(&to, part), servers::CopyOutcome::Gap);
    assert_eq!(to.registry.borrow().revision, 0);
}

#[test]
fn a_partial_copy_of_a_large_registry_is_small() {
    let (from, to) = (node("n"), node("m"));
    let ids: Vec<String> = (0..3_000).map(|n| format!("server-{n}")).collect();
    let rows = ids.iter().map(|id| row(id, Some("ready"))).collect();
    servers::apply_batch(&from, batch(10, rows), BatchScope::All);
    servers::adopt_copy(&to, serve::registry_copy(&from, 0));
    let gone = vec![row("server-7", None), row("new", Some("ready"))];
    servers::apply_batch(&from, batch(12, gone), BatchScope::Changes);
    let part = serve::registry_copy(&from, 10);
    let bytes = serde_json::to_vec(&part).unwrap().len();
    assert!(bytes < 500, "{bytes} bytes for two changes");
    assert_eq!(servers::adopt_copy(&to, part), servers::CopyOutcome::Taken);
    assert!(knows(&to, "new") && !knows(&to, "server-7") && knows(&to, "server-8"));
}

#[test]
fn a_partial_copy_is_not_adopted_while_an_entry_may_come_back() {
    let (from, to) = (node("n"), node("m"));
    let both = vec![row("x", Some("ready")), row("y", Some("ready"))];
    servers::apply_batch(&from, batch(10, both), BatchScope::All);
    servers::adopt_copy(&to, serve::registry_copy(&from, 0));
    to.store_failed_ms.set(to.now_ms().max(1));
    servers::apply_batch(&to, batch(11, vec![row("x", None)]), BatchScope::Changes);
    let more = vec![row("z", Some("ready"))];
    servers::apply_batch(&from, batch(12, more), BatchScope::Changes);
    let part = serve::registry_copy(&from, 11);
    assert_eq!(servers::adopt_copy(&to, part), servers::CopyOutcome::Gap);
    let whole = serve::registry_copy(&from, 0);
    assert_eq!(servers::adopt_copy(&to, whole), servers::CopyOutcome::Taken);
    assert!(knows(&to, "x"));
}

#[test]
fn an_announced_change_is_queried_at_once() {
    run_with_paused_time(async {
        let (node, feed) = spawn_follower();
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        node.store_ok_ms.set(node.now_ms());
        let query_count = || feed.since.lock().unwrap().len();
        assert_eq!(query_count(), 0, "the next query is not due yet");
        assert_eq!(pull::pulls_needed(&node, &heartbeat(12)), Vec::new());
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
        assert_eq!(query_count(), 1);
    });
}

/// The feed answers with the revision that it was asked for, as no row changed.
#[test]
fn an_announced_change_without_a_row_is_not_queried_at_each_heartbeat() {
    run_with_paused_time(async {
        let (node, feed) = spawn_follower();
        for _ in 0..10 {
            tokio::time::sleep(std::time::Duration::from_millis(120)).await;
            node.store_ok_ms.set(node.now_ms());
            pull::pulls_needed(&node, &heartbeat(12));
        }
        let query_count = feed.since.lock().unwrap().len();
        assert!(query_count <= 3, "{query_count} queries in 1.2 s");
        servers::confirm(&node, heartbeat(12).registry);
        assert_eq!(node.registry.borrow().revision, 12);
    });
}

fn heartbeat_of(node: &Node) -> NodeHeartbeat {
    let registry = node.registry.borrow();
    NodeHeartbeat {
        registry: RegistryVersion {
            revision: registry.revision,
            changed: registry.changed,
            age_ms: 0,
        },
        ..heartbeat(0)
    }
}

fn heartbeat(registry: u64) -> NodeHeartbeat {
    NodeHeartbeat {
        node: "m".into(),
        failure_domain: "a".into(),
        period_ms: 120,
        boot: 1,
        registry: RegistryVersion {
            revision: registry,
            changed: registry,
            age_ms: 0,
        },
        ..NodeHeartbeat::default()
    }
}

#[test_case("draining 5 9", "ready 5 7"; "it drained")]
#[test_case("gone", "ready 5 7"; "it was gone")]
fn a_server_that_left_is_in_use_again_after_the_store_was_restored(left: &str, restored: &str) {
    let node = node("n");
    let rows = |row_text| vec![row("x", Some(row_text)), row("y", Some("ready 1 1"))];
    servers::apply_batch(
        &node,
        batch(pack(1, 10), rows("ready 5 8")),
        BatchScope::All,
    );
    let leaving = match left {
        "gone" => row("x", None),
        _ => row("x", Some(left)),
    };
    servers::apply_batch(
        &node,
        batch(pack(1, 20), vec![leaving]),
        BatchScope::Changes,
    );
    servers::apply_batch(&node, batch(pack(2, 9), rows(restored)), BatchScope::All);
    assert!(
        !is_ready(&node, "x"),
        "an entry from before the server left"
    );
    assert!(is_ready(&node, "y"));
    // A copy from a node that started after the restoration.
    let mut copy = registry_copy(pack(2, 11), &["x", "y"]);
    copy.rows[0].1 = restored.to_owned();
    servers::adopt_copy(&node, copy);
    assert!(!is_ready(&node, "x"), "the same entry from another node");
    let again = vec![row("x", Some("ready 5 10"))];
    servers::apply_batch(&node, batch(pack(2, 12), again), BatchScope::Changes);
    assert!(is_ready(&node, "x"), "the server registered again");
}

fn is_ready(node: &Node, id: &str) -> bool {
    let registry = node.registry.borrow();
    let server = registry.server(id);
    server.is_some_and(|s| s.record.state == ServerState::Ready)
}
