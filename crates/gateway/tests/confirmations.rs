//! What nodes tell each other of the age of their copies of the store.

mod support;

use std::rc::Rc;
use std::time::Duration;

use gateway::follow::BatchScope;
use gateway::follow::{directory, servers};
use gateway::node::Node;
use gateway::peer::exchange::heartbeat;
use outside::{FeedBatch, FeedRow};

/// Time that a heartbeat is on its way.
const WAY: Duration = Duration::from_millis(30);

/// Largest error of an age: three ways, and a rounded millisecond each.
const ERROR_MS: u64 = 3 * (30 + 1);

fn read_store(node: &Rc<Node>) {
    let batch = |key: &str, body: &str| FeedBatch {
        rows: vec![FeedRow {
            key: key.to_owned(),
            body: Some(body.as_bytes().to_vec()),
            revision: 0,
        }],
        revision: 5,
    };
    servers::apply_batch(node, batch("x", "ready"), BatchScope::All);
    directory::apply_batch(node, batch("directory", "1"), BatchScope::All);
}

/// Sends a heartbeat that takes its time.
async fn tell(from: &Rc<Node>, to: &Rc<Node>, number: u64) {
    let sent = heartbeat(from, number, 1);
    tokio::time::sleep(WAY).await;
    confirm(to, &sent);
}

fn confirm(node: &Rc<Node>, sent: &gateway::peer::message::NodeHeartbeat) {
    servers::confirm(node, sent.registry);
    directory::confirm(node, sent.directory, sent.directory_age_ms);
}

#[tokio::test(start_paused = true)]
async fn nodes_that_confirm_each_other_do_not_take_old_copies_for_young() {
    let nodes = [support::node("a"), support::node("b"), support::node("c")];
    nodes.iter().for_each(read_store);
    let started = tokio::time::Instant::now();
    for round in 0..50 {
        for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
            tell(&nodes[from], &nodes[to], round).await;
        }
    }
    let true_ms = started.elapsed().as_millis() as u64;
    for node in &nodes {
        let age_ms = |confirmed_ms: u64| node.now_ms() - confirmed_ms;
        let registry_ms = age_ms(node.registry_confirmed_ms.get());
        let directory_ms = age_ms(node.directory_confirmed_ms.get());
        assert!(
            registry_ms + ERROR_MS >= true_ms,
            "{registry_ms} of {true_ms}"
        );
        assert!(
            directory_ms + ERROR_MS >= true_ms,
            "{directory_ms} of {true_ms}"
        );
    }
}
