//! Several nodes over loopback connections. Each has its own runtime, so that it can be killed.

mod rows;
mod services;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base::Name;
use base::ids::RequestId;
use base::secret::Secret;
use base::units::Millisecond;
use fleet::apply::ApplyOutcome;
use fleet::handover::{StreamRecord, StreamStatus};
use fleet::piggyback::{Demand, Fingerprint};
use fleet::timing::Timing;
use fleet::{Fleet, FleetError, FleetHandlers, FleetOptions, StreamError, StreamSink};
use services::{Health, Platform};
use test_case::test_case;
use tokio::runtime::Runtime;

const SECRET: &str = "a secret of the peers";
const POLL_ATTEMPTS_MAX: u32 = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Continues a stream with the rest of `tail`, one character at a time.
struct StreamResumer {
    tail: &'static str,
    resumed: Mutex<Vec<StreamRecord>>,
}

impl FleetHandlers for StreamResumer {
    fn resume(&self, record: StreamRecord, mut sink: StreamSink) {
        self.resumed
            .lock()
            .expect("not poisoned")
            .push(record.clone());
        let rest = self.tail.get(record.generated.len()..).unwrap_or_default();
        let rest = rest.to_owned();
        tokio::spawn(async move {
            for letter in rest.chars() {
                let text = letter.to_string();
                if sink
                    .append(&text, &text, 0, StreamStatus::Open)
                    .await
                    .is_err()
                {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let _ = sink.append("", "", 0, StreamStatus::Complete).await;
        });
    }

    fn on_reclaim_notice(&self, _remaining_ms: Millisecond) {}
}

struct RunningNode {
    fleet: Fleet,
    handlers: Arc<StreamResumer>,
    runtime: Option<Runtime>,
}

impl RunningNode {
    /// Ends the node without notice to its peers, as a crash would.
    fn kill(mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

const TAIL: &str = "the whole answer of the engine, letter by letter";

fn timing() -> Timing {
    Timing {
        tick_ms: 50,
        heartbeat_ms: 100,
        gap_ms: 5_000,
        suspect_ms: 1_000,
        call_ms: 500,
        ..Timing::default()
    }
}

fn options(name: &str, platform: &Arc<Platform>, seeds: Vec<SocketAddr>) -> FleetOptions {
    FleetOptions {
        name: name.into(),
        failure_domain: format!("domain of {name}").into(),
        peer_listen: "127.0.0.1:0".parse().expect("address"),
        peer_address: None,
        secret: Secret::new(SECRET),
        seeds,
        table: platform.clone(),
        objects: platform.clone(),
        vms: platform.clone(),
        timing: timing(),
        rng_seed: 1,
    }
}

async fn spawn(name: &str, platform: &Arc<Platform>, seeds: Vec<SocketAddr>) -> RunningNode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("runtime");
    let handlers = Arc::new(StreamResumer {
        tail: TAIL,
        resumed: Mutex::default(),
    });
    let start = Fleet::spawn(options(name, platform, seeds), handlers.clone());
    let fleet = runtime.spawn(start).await.expect("ran").expect("spawned");
    RunningNode {
        fleet,
        handlers,
        runtime: Some(runtime),
    }
}

async fn spawn_all(count: usize, platform: &Arc<Platform>) -> Vec<RunningNode> {
    let mut nodes: Vec<RunningNode> = Vec::new();
    for index in 0..count {
        let seeds = nodes.iter().map(|n| n.fleet.peer_address()).collect();
        nodes.push(spawn(&format!("n{index}"), platform, seeds).await);
    }
    nodes
}

async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..POLL_ATTEMPTS_MAX {
        if holds() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for: {what}");
}

async fn wait_until_ready(nodes: &[RunningNode], platform: &Arc<Platform>) {
    let outcome = nodes[0].fleet.apply_config("one", 0, "ana").await;
    assert_eq!(outcome, ApplyOutcome::Accepted, "{:?}", platform.rows);
    for node in nodes {
        wait_until("all nodes alive and routing", || {
            node.fleet.alive_count() == nodes.len() && node.fleet.may_route()
        })
        .await;
    }
}

fn record(relayed: usize) -> StreamRecord {
    StreamRecord {
        id: RequestId::from(77),
        workspace: "clinic".into(),
        service: "drafting".into(),
        path: "/v1/completions".to_owned(),
        body: "{}".to_owned(),
        answer: TAIL[..relayed].to_owned(),
        generated: TAIL[..relayed].to_owned(),
        tokens: relayed as u64,
        failed: 0,
        remaining_ms: 60_000,
        priority: 0,
        epoch: 0,
        owner: "".into(),
        standby: None,
        end: StreamStatus::Open,
    }
}

async fn read_all(node: &Fleet, from: usize) -> String {
    let mut reader = node.read_stream(RequestId::from(77), "clinic".into(), from);
    let mut text = String::new();
    loop {
        let chunk = reader.next().await.expect("readable");
        text.push_str(&chunk.text);
        if chunk.end != StreamStatus::Open {
            return text;
        }
    }
}

#[test_case(None, 401; "no secret")]
#[test_case(Some("Bearer wrong secret of a stranger"), 401; "wrong secret")]
#[test_case(Some("Basic a secret of the peers"), 401; "wrong scheme")]
#[test_case(Some("Bearer a secret of the peers"), 200; "right secret")]
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_rejected_before_the_body(header: Option<&'static str>, status: u16) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let platform = Arc::new(Platform::default());
    let node = spawn("n0", &platform, Vec::new()).await;
    let body = r#"{"jsonrpc":"2.0","id":1,"method":"peer_config_version","params":[]}"#;
    let auth = header.map_or(String::new(), |h| format!("authorization: {h}\r\n"));
    let head = format!(
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n{auth}content-length: {}\r\n\r\n",
        body.len()
    );
    let address = node.fleet.peer_address();
    let mut socket = tokio::net::TcpStream::connect(address)
        .await
        .expect("connected");
    socket.write_all(head.as_bytes()).await.expect("sent");
    if status == 200 {
        socket.write_all(body.as_bytes()).await.expect("sent");
    }
    let mut answer = [0; 12];
    let read = socket.read_exact(&mut answer);
    let read = tokio::time::timeout(POLL_INTERVAL * POLL_ATTEMPTS_MAX, read).await;
    read.expect("answered before the body").expect("read");
    let want = format!("HTTP/1.1 {status}");
    assert_eq!(String::from_utf8_lossy(&answer), want);
    node.kill();
}

#[tokio::test]
async fn a_short_secret_is_refused() {
    let platform = Arc::new(Platform::default());
    let mut options = options("n0", &platform, Vec::new());
    options.secret = Secret::new("");
    let handlers = Arc::new(StreamResumer {
        tail: TAIL,
        resumed: Mutex::default(),
    });
    let error = Fleet::spawn(options, handlers).await.err();
    assert!(matches!(error, Some(FleetError::ShortSecret)));
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_marks_demand_and_fingerprints_reach_all() {
    let platform = Arc::new(Platform::default());
    let nodes = spawn_all(3, &platform).await;
    wait_until_ready(&nodes, &platform).await;
    let (left, right) = tokio::join!(
        nodes[1].fleet.apply_config("two", 1, "bao"),
        nodes[2].fleet.apply_config("2", 1, "cem")
    );
    let wins = [&left, &right].map(|o| u32::from(*o == ApplyOutcome::Accepted));
    assert_eq!(wins.iter().sum::<u32>(), 1, "{left:?} {right:?}");
    let backend: Name = "backend-9".into();
    nodes[0].fleet.mark_leaving(&backend);
    let fingerprint = Fingerprint {
        key: "crash".to_owned(),
        blob: "b".to_owned(),
    };
    nodes[1].fleet.spread_fingerprint(fingerprint.clone());
    for node in &nodes {
        node.fleet.set_demand(vec![Demand {
            workspace: "clinic".into(),
            units: 5,
        }]);
    }
    for node in &nodes {
        wait_until(
            "configuration, mark, demand and fingerprint at all nodes",
            || {
                let view = node.fleet.view();
                let version = view.config.as_ref().map_or(0, |c| c.version);
                let demand = node.fleet.demand().get("clinic").copied();
                version == 2
                    && view.leaving.contains(&backend)
                    && view.fingerprints.contains(&fingerprint)
                    && demand == Some(15)
            },
        )
        .await;
    }
    assert!(nodes[0].fleet.lagging(2).await.is_empty());
    assert_eq!(nodes[0].fleet.lagging(3).await.len(), 2);
    for node in nodes {
        node.kill();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_starts_from_peers_while_the_platform_is_down() {
    let platform = Arc::new(Platform::default());
    let nodes = spawn_all(2, &platform).await;
    wait_until_ready(&nodes, &platform).await;
    platform.set_health(Health::Down);
    let late = spawn("late", &platform, vec![nodes[0].fleet.peer_address()]).await;
    assert!(!late.fleet.may_route(), "the node has no configuration yet");
    wait_until("a start from peers", || late.fleet.may_route()).await;
    let refused = late.fleet.apply_config("two", 1, "ana").await;
    assert!(
        matches!(refused, ApplyOutcome::NotAccepted(_)),
        "{refused:?}"
    );
    late.kill();
    for node in nodes {
        node.kill();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_continues_when_its_new_owner_crashes() {
    let platform = Arc::new(Platform::default());
    let mut nodes = spawn_all(4, &platform).await;
    wait_until_ready(&nodes, &platform).await;
    let leaver = nodes.remove(0);
    let given = leaver.fleet.hand_over(vec![record(5)]).await;
    let owner = given[0].owner.clone().expect("taken");
    let standby = given[0].standby.clone().expect("copied");
    assert_ne!(owner, standby);
    leaver.kill();
    let at = |nodes: &[RunningNode], name: &Name| {
        nodes.iter().position(|n| n.fleet.view().me.name == *name)
    };
    let dying = nodes.remove(at(&nodes, &owner).expect("a node"));
    wait_until("the owner to continue the stream", || {
        !dying
            .handlers
            .resumed
            .lock()
            .expect("not poisoned")
            .is_empty()
    })
    .await;
    dying.kill();
    let third = nodes.iter().find(|n| n.fleet.view().me.name != standby);
    let third = third.expect("a third node");
    assert_eq!(read_all(&third.fleet, 3).await, &TAIL[3..]);
    assert_eq!(read_all(&third.fleet, 0).await, TAIL);
    let mut stranger = third
        .fleet
        .read_stream(RequestId::from(77), "rival".into(), 0);
    assert_ne!(stranger.next().await.err(), None);
    for node in nodes {
        node.kill();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_continues_when_its_new_owner_is_reclaimed_too() {
    let platform = Arc::new(Platform::default());
    let mut nodes = spawn_all(4, &platform).await;
    wait_until_ready(&nodes, &platform).await;
    let leaver = nodes.remove(0);
    leaver.fleet.hand_over(vec![record(5)]).await;
    leaver.kill();
    for _ in 0..2 {
        let view = |n: &RunningNode| n.handlers.resumed.lock().expect("not poisoned").len();
        let index = nodes.iter().position(|n| view(n) > 0).expect("an owner");
        let next = nodes.remove(index);
        let given = next.fleet.hand_over(Vec::new()).await;
        assert_eq!(given.len(), 1);
        assert!(given[0].owner.is_some());
        next.kill();
    }
    assert_eq!(read_all(&nodes[0].fleet, 0).await, TAIL);
    for node in nodes {
        node.kill();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_stream_is_not_found() {
    let platform = Arc::new(Platform::default());
    let nodes = spawn_all(2, &platform).await;
    wait_until_ready(&nodes, &platform).await;
    let mut reader = nodes[0]
        .fleet
        .read_stream(RequestId::from(1), "clinic".into(), 0);
    assert_eq!(reader.next().await.err(), Some(StreamError::NotFound));
    for node in nodes {
        node.kill();
    }
}
