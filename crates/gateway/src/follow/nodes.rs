//! The list of nodes in the store, by which a node finds the others when the seeds are down.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use outside::{Condition, Feed, Key, Table, Topic, Write};

use serde::Serialize;

use crate::decide::store_poll::PollRank;
use crate::log;
use crate::node::Node;
use crate::peer::role::Role;

/// Time between two reads of the list, on a node that hears no other node and on the one that ranks
/// first.
const LIST_PERIOD: Duration = Duration::from_secs(5);

/// Time between two reads on the other nodes. It can be long, as a new node sends heartbeats to
/// every address that it finds in the list.
const SLOW_LIST_PERIOD: Duration = Duration::from_secs(20);

/// Delay before a failed write is tried again.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Partition of the list in the store.
pub const NODES_PARTITION: &str = "nodes";

#[derive(Serialize)]
struct ListedFields<'a> {
    node: &'a str,
}

/// Registers this node in the list, then reads the addresses of other nodes from it.
pub async fn run(node: Rc<Node>, table: Arc<dyn Table>, feed: Arc<dyn Feed>) {
    while register(&node, &*table).await.is_err() {
        tokio::time::sleep(RETRY_DELAY).await;
    }
    loop {
        let alone = node.peers.borrow().count() == 0;
        if (alone || node.role() == Role::Follows)
            && let Ok(batch) = feed.snapshot(Topic::Nodes).await
        {
            let own = &*node.settings.node.name;
            let is_listed = batch.rows.iter().any(|row| row.key == own);
            // A restored store may have lost the entry. If the write fails, the next round repeats it.
            if !is_listed && register(&node, &*table).await.is_ok() {
                log::emit(events::Code::NodeListed, &ListedFields { node: own });
            }
            let rows = batch.rows.into_iter().filter_map(|row| row.body);
            let addresses = rows.filter_map(|body| parse_address(&body));
            let mut peers = node.peers.borrow_mut();
            addresses.for_each(|address| peers.add_address(address));
        }
        let is_frequent = alone || node.poll_rank() == PollRank::After(0);
        let period = if is_frequent {
            LIST_PERIOD
        } else {
            SLOW_LIST_PERIOD
        };
        tokio::time::sleep(period).await;
    }
}

async fn register(node: &Node, table: &dyn Table) -> Result<(), outside::CommitError> {
    let write = Write::Put {
        key: Key::new(NODES_PARTITION, &*node.settings.node.name),
        body: node.settings.listen.peers.to_string(),
        condition: Condition::Any,
    };
    table.commit(vec![write]).await
}

fn parse_address(body: &[u8]) -> Option<SocketAddr> {
    std::str::from_utf8(body).ok()?.parse().ok()
}
