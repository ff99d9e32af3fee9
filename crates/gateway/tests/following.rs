//! A node that was turned away by the store and comes back.

mod support;

use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use gateway::follow::{self, Extent, servers};
use gateway::node::Node;
use gateway::peer::message::{Hello, RegistryCopy};
use gateway::peer::pull;
use gateway::peer::role::{Role, Stay};
use outside::{Batch, Feed, FeedError, FeedRow, ReadError, Topic};
use support::node;

fn row(key: &str, body: Option<&str>) -> FeedRow {
    FeedRow {
        key: key.to_owned(),
        body: body.map(|text| text.as_bytes().to_vec()),
    }
}

fn batch(revision: u64, rows: Vec<FeedRow>) -> Batch {
    Batch { rows, revision }
}

fn copy(revision: u64, ids: &[&str]) -> RegistryCopy {
    RegistryCopy {
        revision,
        rows: ids
            .iter()
            .map(|id| ((*id).into(), b"ready".to_vec()))
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
fn what_came_and_went_while_it_was_away_does_not_come_back() {
    let node = node("n");
    servers::take_in(&node, batch(10, vec![row("x", Some("ready"))]), Extent::All);
    servers::adopt_copy(&node, copy(20, &[]));
    assert!(!knows(&node, "x"));
    fail_store(&node);
    let replayed = vec![
        row("x", Some("ready")),
        row("y", Some("ready")),
        row("x", None),
    ];
    servers::take_in(&node, batch(21, replayed), Extent::Changes);
    assert!(!knows(&node, "x"), "the last of a row's changes counts");
    assert!(knows(&node, "y"));
}

#[test]
fn an_entry_that_only_may_come_back_is_not_given_to_others() {
    let node = node("n");
    servers::take_in(&node, batch(10, vec![row("x", Some("ready"))]), Extent::All);
    fail_store(&node);
    servers::take_in(&node, batch(11, vec![row("x", None)]), Extent::Changes);
    assert!(knows(&node, "x"), "it is used until its grace ends");
    let given = gateway::peer::serve::registry_copy(&node);
    assert_eq!((given.revision, given.rows.len()), (11, 0));
}

/// A feed that answers nothing and notes from which revision it is asked.
#[derive(Default)]
struct Asked {
    since: Mutex<Vec<u64>>,
}

#[async_trait]
impl Feed for Asked {
    async fn snapshot(&self, _: Topic) -> Result<Batch, ReadError> {
        Ok(batch(10, Vec::new()))
    }

    async fn changes(&self, _: Topic, revision: u64, _: u64) -> Result<Batch, FeedError> {
        self.since.lock().unwrap().push(revision);
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        Ok(batch(revision, Vec::new()))
    }
}

#[test]
fn it_asks_for_changes_since_what_it_learned_from_others() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let node = node("n");
        let feed = Arc::new(Asked::default());
        let following =
            follow::follow(node.clone(), feed.clone(), Topic::Servers, servers::take_in);
        tokio::task::spawn_local(following);
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
        servers::adopt_copy(&node, copy(20, &["x"]));
        tokio::time::sleep(std::time::Duration::from_millis(250)).await;
        let since = feed.since.lock().unwrap().clone();
        assert_eq!(since.first(), Some(&10));
        assert_eq!(since.last(), Some(&20));
    });
}

#[test]
fn a_node_that_the_store_answers_takes_no_registry_from_others() {
    let node = node("n");
    servers::take_in(&node, batch(10, Vec::new()), Extent::All);
    let now_ms = node.now_ms();
    node.store_ok_ms.set(now_ms);
    let hello = hello(12);
    assert_eq!(pull::wanted(&node, &hello), Vec::<&str>::new());
    // It waits for changes for a second: a silence of that length is no failure.
    node.store_ok_ms.set(now_ms.saturating_sub(950));
    assert_eq!(pull::wanted(&node, &hello), Vec::<&str>::new());
    fail_store(&node);
    assert_eq!(pull::wanted(&node, &hello).len(), 1);
}

fn hello(registry: u64) -> Hello {
    Hello {
        node: "m".into(),
        failure_domain: "a".into(),
        role: Role::Follows,
        stay: Stay::Stays,
        period_ms: 120,
        boot: 1,
        started_unix_ms: 1,
        number: 1,
        unix_ms: 1,
        directory: 0,
        registry,
        registry_age_ms: 0,
        loads: Vec::new(),
        busy: Vec::new(),
        used: Vec::new(),
        begun: Vec::new(),
        suspects: Vec::new(),
    }
}
