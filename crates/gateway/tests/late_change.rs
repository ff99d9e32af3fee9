//! Changes of the directory and of the registry whose first source does not pass them on in time.
//!
//! The sources are real listeners on the loopback interface; the node hears their heartbeats.

mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use base::units::Millisecond;
use gateway::follow;
use gateway::node::Node;
use gateway::peer::exchange::apply_heartbeat;
use gateway::peer::message::{DIRECTORY_PATH, NodeHeartbeat, Referral, RegistryVersion};
use gateway::peer::role::Role;
use gateway::peer::{pack, serve};
use outside::{Feed, FeedBatch, FeedError, FeedRow, ReadError, Topic};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

const VERSION: u64 = 7;

/// Digits of the directory's row: the size of one with about 1,400 routes.
const ROW_BYTES: usize = 250_000;

/// Time between two heartbeats of a source.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(120);

/// How a source treats the nodes that pull from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Treatment {
    Answers,
    /// Sends 60 KB a second: a link of 10 Mbit/s that twenty nodes share.
    Drips,
    /// Accepts the connection and never answers: a process that stands still.
    Hangs,
    /// The address refuses connections: a process that was killed.
    Refuses,
    /// Ends the connection in the middle of the answer.
    BreaksOff,
}

/// A listener that answers every pull with the same directory.
struct Source {
    name: &'static str,
    address: SocketAddr,
    revision: u64,
}

impl Source {
    async fn start(name: &'static str, treatment: Treatment) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        if treatment != Treatment::Refuses {
            tokio::task::spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    tokio::task::spawn_local(answer(stream, treatment));
                }
            });
        }
        Self {
            name,
            address,
            revision: 0,
        }
    }

    fn heartbeat(&self, number: u64) -> NodeHeartbeat {
        NodeHeartbeat {
            node: self.name.into(),
            failure_domain: "a".into(),
            period_ms: 120,
            boot: 1,
            number,
            directory: VERSION,
            registry: RegistryVersion {
                revision: self.revision,
                changed: self.revision,
                age_ms: 0,
            },
            ..NodeHeartbeat::default()
        }
    }
}

async fn answer(mut stream: TcpStream, treatment: Treatment) {
    let mut request = vec![0; 1_024];
    let _ = stream.read(&mut request).await;
    let row = "0".repeat(ROW_BYTES - 1) + &VERSION.to_string();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {ROW_BYTES}\r\n\r\n");
    match treatment {
        Treatment::Hangs => sleep(Duration::from_secs(60)).await,
        Treatment::Refuses => {}
        Treatment::Answers => {
            let _ = stream.write_all((head + &row).as_bytes()).await;
            let _ = stream.read(&mut request).await;
        }
        Treatment::BreaksOff => {
            let _ = stream.write_all((head + &row[..1_000]).as_bytes()).await;
        }
        Treatment::Drips => {
            let _ = stream.write_all(head.as_bytes()).await;
            for part in row.as_bytes().chunks(6_000) {
                sleep(Duration::from_millis(100)).await;
                if stream.write_all(part).await.is_err() {
                    return;
                }
            }
        }
    }
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Sends the sources' heartbeats in turn until the directory is in force or `limit` has passed.
/// Returns the time that it took.
async fn wait_for_change(node: &Rc<Node>, sources: &[&Source], limit: Duration) -> Duration {
    let started = Instant::now();
    let mut number = 0;
    loop {
        number += 1;
        for source in sources {
            apply_heartbeat(node, source.heartbeat(number), source.address);
        }
        let next = Instant::now() + HEARTBEAT_PERIOD;
        while Instant::now() < next {
            if node.directory().is_some() || started.elapsed() > limit {
                return started.elapsed();
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Half of the node's bound for a change.
fn half_of_bound(node: &Node) -> Duration {
    let bound_ms: Millisecond = node.settings.bounds.directory_ms;
    Duration::from_millis(bound_ms / 2)
}

#[test_case(Treatment::Drips; "drips")]
#[test_case(Treatment::Hangs; "hangs")]
#[test_case(Treatment::Refuses; "refuses")]
#[test_case(Treatment::BreaksOff; "breaks off")]
fn a_change_does_not_wait_for_the_first_source_that_told_it(first: Treatment) {
    run(async {
        let node = support::node("n");
        let bad = Source::start("bad", first).await;
        let good = Source::start("good", Treatment::Answers).await;
        let limit = half_of_bound(&node);
        let took = wait_for_change(&node, &[&bad, &good], limit).await;
        assert!(node.directory().is_some(), "not in force after {took:?}");
    });
}

#[test]
fn a_change_is_in_force_in_time_though_three_of_four_sources_fail() {
    run(async {
        let node = support::node("n");
        let drips = Source::start("drips", Treatment::Drips).await;
        let hangs = Source::start("hangs", Treatment::Hangs).await;
        let gone = Source::start("gone", Treatment::Refuses).await;
        let good = Source::start("good", Treatment::Answers).await;
        let limit = half_of_bound(&node);
        let took = wait_for_change(&node, &[&drips, &hangs, &gone, &good], limit).await;
        assert!(node.directory().is_some(), "not in force after {took:?}");
    });
}

#[test]
fn a_change_does_not_wait_for_a_pull_of_the_registry() {
    run(async {
        let node = support::node("n");
        node.store_failed_ms.set(node.now_ms() + 1);
        let mut hangs = Source::start("hangs", Treatment::Hangs).await;
        hangs.revision = 12;
        let good = Source::start("good", Treatment::Answers).await;
        let number = 1;
        let without_directory = NodeHeartbeat {
            directory: 0,
            ..hangs.heartbeat(number)
        };
        apply_heartbeat(&node, without_directory, hangs.address);
        sleep(Duration::from_millis(20)).await;
        let took = wait_for_change(&node, &[&good], Duration::from_millis(500)).await;
        assert!(node.directory().is_some(), "not in force after {took:?}");
    });
}

/// The store, with the newest directory.
struct Store;

#[async_trait]
impl Feed for Store {
    async fn snapshot(&self, _: Topic) -> Result<FeedBatch, ReadError> {
        let row = FeedRow {
            key: "directory".to_owned(),
            body: Some(VERSION.to_string().into_bytes()),
            revision: 0,
        };
        Ok(FeedBatch {
            rows: vec![row],
            revision: VERSION,
        })
    }

    async fn changes(&self, topic: Topic, _: u64, _: Millisecond) -> Result<FeedBatch, FeedError> {
        let unanswered = |e: ReadError| FeedError::Unanswered { reason: e.reason };
        self.snapshot(topic).await.map_err(unanswered)
    }
}

#[test]
fn a_listening_node_that_no_source_answers_asks_the_store_itself() {
    run(async {
        let node = support::node("n");
        let hangs = Source::start("hangs", Treatment::Hangs).await;
        node.directory_confirmed_ms.set(node.now_ms() + 1);
        node.registry_confirmed_ms.set(node.now_ms() + 1);
        let told = |name: &str, directory: u64, number: u64| NodeHeartbeat {
            node: name.into(),
            directory,
            number,
            ..hangs.heartbeat(number)
        };
        let names: Vec<String> = (0..14).map(|n| format!("m{n:02}")).collect();
        for name in &names {
            apply_heartbeat(&node, told(name, 0, 1), hangs.address);
        }
        assert_eq!(node.role(), Role::Listens);
        let feed = Arc::new(Store);
        let apply = follow::directory::apply_batch;
        tokio::task::spawn_local(follow::follow(node.clone(), feed, Topic::Directory, apply));
        let limit = half_of_bound(&node);
        let took = wait_for_change(&node, &[&hangs], limit).await;
        assert!(node.directory().is_some(), "not in force after {took:?}");
    });
}

#[test]
fn a_slow_answer_is_kept_if_no_other_source_is_there() {
    run(async {
        let node = support::node("n");
        let drips = Source::start("drips", Treatment::Drips).await;
        let limit = Duration::from_secs(6);
        let took = wait_for_change(&node, &[&drips], limit).await;
        assert!(node.directory().is_some(), "not in force after {took:?}");
    });
}

/// A directory's row with many routes that resemble each other.
fn repetitive_row() -> Vec<u8> {
    let route =
        |n: usize| format!(r#"{{"host":"h{n}.example","path":"/p{n}/","services":["s"]}},"#);
    (0..1_400).map(route).collect::<String>().into_bytes()
}

#[test]
fn a_packed_directory_is_a_quarter_of_its_row_and_the_same_afterwards() {
    let row = repetitive_row();
    let packed = pack::pack(&row).unwrap();
    assert!(packed.len() * 4 < row.len(), "{} bytes", packed.len());
    assert_eq!(pack::unpack(&packed, row.len()), Some(row));
}

#[test]
fn a_packed_directory_that_is_too_long_or_damaged_is_refused() {
    let row = repetitive_row();
    let packed = pack::pack(&row).unwrap();
    assert_eq!(pack::unpack(&packed, row.len() - 1), None);
    assert_eq!(pack::unpack(&packed[..packed.len() / 2], row.len()), None);
    assert_eq!(pack::unpack(&row, row.len()), None);
}

#[test]
fn a_short_directory_is_sent_as_it_is() {
    assert_eq!(pack::pack(b"7"), None);
}

/// The answer of a node to a pull of its directory.
fn answer_to(node: &Rc<Node>, fields: &str) -> serve::Answer {
    let text = format!("GET {DIRECTORY_PATH} HTTP/1.1\r\n{fields}\r\n");
    let mut buf = bytes::BytesMut::from(text.as_bytes());
    let head = gateway::http::request_head(&mut buf, 4_096)
        .unwrap()
        .unwrap();
    serve::answer(node, &head)
}

/// A node whose directory has `ROW_BYTES`.
fn holder() -> Rc<Node> {
    let node = support::node("n");
    let row = "0".repeat(ROW_BYTES - 1) + &VERSION.to_string();
    follow::directory::adopt_row(&node, row.as_bytes());
    node
}

#[test]
fn a_node_whose_link_is_full_names_those_that_have_the_directory_from_it() {
    let node = holder();
    let first = answer_to(&node, "pulled-by: m1\r\n");
    assert_eq!((first.status, first.body.len()), (200, ROW_BYTES));
    let second = answer_to(&node, "pulled-by: m2\r\n");
    assert_eq!(second.status, 503, "250 kB fill 10 Mbit/s for 200 ms");
    first.promise.unwrap().complete();
    let third = answer_to(&node, "pulled-by: m3\r\n");
    assert_eq!(third.status, 200);
    let fourth = answer_to(&node, "pulled-by: m4\r\n");
    let referral: Referral = serde_json::from_slice(&fourth.body).unwrap();
    assert_eq!((fourth.status, referral.directory), (503, VERSION));
    assert_eq!(referral.nodes, vec!["m1".into()]);
    drop(third);
    assert_eq!(answer_to(&node, "pulled-by: m2\r\n").status, 200);
}

#[test]
fn a_packed_answer_takes_less_of_the_link() {
    let node = holder();
    let fields = "pulled-by: m\r\naccept-encoding: gzip\r\n";
    let answers: Vec<serve::Answer> = (0..10).map(|_| answer_to(&node, fields)).collect();
    assert!(
        answers
            .iter()
            .all(|a| a.status == 200 && a.coding.is_some())
    );
}

/// Older builds take whatever comes for the directory.
#[test]
fn a_node_of_an_older_build_gets_the_directory_as_it_is_stored() {
    let node = holder();
    let _full = answer_to(&node, "pulled-by: m1\r\n");
    let answer = answer_to(&node, "");
    assert_eq!((answer.status, answer.coding), (200, None));
    assert_eq!(answer.body.len(), ROW_BYTES);
}
