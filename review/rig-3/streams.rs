//! Streams of consumers on kept channels, while a change of the config moves a route to their service.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Channel, End};
use crate::node::{Node, Place, free_port};
use crate::platform::{Cloud, Store};
use crate::runner::{Engine, Runner};
use crate::{Verdict, has_trouble, record, sleep, wait_until};

/// What differs between the cases.
pub struct Case {
    pub resumable: bool,
    pub engine: Engine,
    /// Tokens of an answer, and the time of a step.
    pub tokens: u64,
    pub step_ms: u64,
    pub runners: usize,
    /// Consumers at each machine, on the route that stays and on both.
    pub usual: usize,
    pub all: usize,
}

/// Events hold more than one token when many requests run at a runner.
pub const LARGE_EVENTS: Case = Case {
    resumable: false,
    engine: Engine::Batches(11),
    tokens: 40,
    step_ms: 25,
    runners: 2,
    usual: 6,
    all: 10,
};

/// The memory of runners runs out.
pub const PREEMPTED: Case = Case {
    resumable: true,
    engine: Engine::Memory(24),
    tokens: 160,
    step_ms: 40,
    runners: 3,
    usual: 20,
    all: 34,
};

/// Size of the answers of the service from which the route is moved.
const OTHERS: (u64, u64) = (8, 25);

/// `configApplyMs`, and the second after it in which a cut request counts.
const PLANNED: Duration = Duration::from_millis(3_000);

/// The config, in which the route of notes leads to a service.
fn config(case: &Case, version: u64, notes: &str) -> String {
    let (resumable, attempts) = (case.resumable, if case.resumable { 2 } else { 1 });
    let route = |name: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"town.example","prefix":"/{name}/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":250,"priority":1,"service":"{service}","maxAttempts":{attempts},"public":false,"sticky":true,"resumable":{resumable},"gapTargetMs":200}}"#
        )
    };
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/healthz","maxConnections":290,"protocol":"h1","tls":false,"engine":{{"slots":48,"kvCapacity":650536,"kvTokenBytes":192512,"linkMbps":1500000.0,"moves":false,"backups":false,"stride":1,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"team","apiKeys":["k1"],"priority":1}}]}}"#,
        route("chat", "writers"),
        route("notes", notes),
        service("writers"),
        service("others"),
    )
}

/// Time that a consumer takes after a failure until its next request.
const THOUGHT: Duration = Duration::from_secs(2);

/// Longest pause that a consumer bears.
const PATIENCE: Duration = Duration::from_secs(2);

/// How the answer to a request ended at its consumer.
#[derive(Clone, Debug, PartialEq)]
enum Answer {
    Whole,
    /// The channel ended before the answer did.
    Cut {
        after: String,
    },
    /// The consumer left after a pause of two seconds.
    Left {
        after: String,
    },
    Status(String),
    Other(String),
}

struct Outcome {
    node: usize,
    answer: Answer,
    ended: Instant,
}

pub fn run(folder: &Path, case: &Case) -> Verdict {
    let store = Store::new();
    store.put("op", "config", &config(case, 7, "others"));
    let cloud = Arc::new(Cloud::default());
    let ids = ["ra", "rb", "rc"]
        .iter()
        .zip(["a", "b", "c"])
        .take(case.runners);
    let size = (case.tokens, case.step_ms);
    let runners: Vec<_> = ids
        .map(|(id, zone)| Runner::start(id, "writers", zone, case.engine, size, &store))
        .collect();
    for (id, zone) in [("oa", "a"), ("ob", "b"), ("oc", "c")] {
        Runner::start(id, "others", zone, Engine::Memory(1_000), OTHERS, &store);
    }
    let ips = [(31, 1), (31, 2), (31, 3)];
    let port = free_port(&ips);
    let mut nodes = Vec::new();
    for (number, ip) in ips.into_iter().enumerate() {
        let (machine, store_address) = store.open();
        let cloud_address = cloud.open(machine);
        let seeds = [format!("127.0.31.1:{port}")];
        let place = Place {
            name: &format!("entry-{}", number + 1),
            zone: ["a", "b", "c"][number],
            ip,
            port,
            seeds: &seeds,
            store: store_address,
            cloud: cloud_address,
        };
        nodes.push(Node::new(folder, &place));
    }
    nodes.iter_mut().for_each(Node::start);
    if !wait_until(20.0, || nodes.iter().all(Node::is_ready)) {
        return Verdict::Unfit("the machines didn't become ready".to_owned());
    }
    // Machines are in touch `contactMs` (3 s) after their start.
    sleep(4.0);
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let stop = Arc::new(AtomicBool::new(false));
    let numbers = Arc::new(AtomicUsize::new(0));
    let mut consumers = Vec::new();
    let add = |node: usize, address: SocketAddr, route: &'static str| {
        let (outcomes, stop, numbers) = (outcomes.clone(), stop.clone(), numbers.clone());
        std::thread::spawn(move || consume(node, address, route, &outcomes, &stop, &numbers))
    };
    for (number, node) in nodes.iter().enumerate() {
        for place in 0..case.all {
            consumers.push(add(
                number,
                node.callers,
                if place < case.usual { "chat" } else { "notes" },
            ));
            sleep(0.05);
        }
    }
    sleep(12.0);
    let before = outcomes.lock().unwrap().len();
    record(&format!(
        "{before} requests answered so far; most at one runner: {:?}",
        most(&runners)
    ));
    let changed = Instant::now();
    if has_trouble() {
        record("config_change: version 8 moves the route of notes from others to writers");
        store.put("op", "config", &config(case, 8, "writers"));
    }
    sleep(4.0);
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    record(&format!("most at one runner: {:?}", most(&runners)));
    let ended = nodes.iter_mut().any(Node::has_ended);
    judge(&outcomes.lock().unwrap(), changed, ended)
}

fn most(runners: &[Arc<Runner>]) -> Vec<usize> {
    runners
        .iter()
        .map(|r| r.most_running.load(Ordering::SeqCst))
        .collect()
}

fn judge(outcomes: &[Outcome], changed: Instant, ended: bool) -> Verdict {
    let planned = changed..changed + PLANNED;
    let first = outcomes.iter().map(|o| o.ended).min().unwrap_or(changed);
    let last = outcomes.iter().map(|o| o.ended).max().unwrap_or(changed);
    let planned_s = PLANNED.as_secs_f64();
    let other_s = ((last - first).as_secs_f64() - planned_s).max(1.0);
    let mut is_broken = false;
    for node in 0..3 {
        let of_node: Vec<_> = outcomes.iter().filter(|o| o.node == node).collect();
        let count = |is_counted: &dyn Fn(&Outcome) -> bool| {
            of_node.iter().filter(|o| is_counted(o)).count()
        };
        let whole = count(&|o| o.answer == Answer::Whole);
        let cut = count(&|o| o.is_cut());
        let beside = count(&|o| o.is_cut() && planned.contains(&o.ended));
        let left = count(&|o| matches!(o.answer, Answer::Left { .. }));
        record(&format!(
            "machine {}: {} requests, {whole} whole; {cut} channels closed without a complete answer, {beside} of them \
             beside the config; {left} consumers left; {} others",
            node + 1,
            of_node.len(),
            of_node.len() - whole - cut - left,
        ));
        // "it counts only if the machine cuts requests over three times as often then as at other times"
        is_broken |= beside as f64 / planned_s > 3.0 * (cut - beside) as f64 / other_s;
    }
    if ended {
        return Verdict::Unfit("a process ended".to_owned());
    }
    match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

impl Outcome {
    fn is_cut(&self) -> bool {
        matches!(self.answer, Answer::Cut { .. })
    }
}

/// Sends one request after the other on a kept channel.
fn consume(
    node: usize,
    address: SocketAddr,
    route: &str,
    outcomes: &Mutex<Vec<Outcome>>,
    stop: &AtomicBool,
    numbers: &AtomicUsize,
) {
    let mut channel: Option<Channel> = None;
    while !stop.load(Ordering::SeqCst) {
        let number = numbers.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("{number:016x}");
        let mut open = match channel.take().map_or_else(|| Channel::open(address), Ok) {
            Ok(open) => open,
            Err(error) => {
                record(&format!(
                    "{id}: no channel to machine {}: {error}",
                    node + 1
                ));
                std::thread::sleep(Duration::from_millis(100));
                continue;
            }
        };
        record(&format!("{id}: sent to machine {}, /{route}/", node + 1));
        let (answer, retry_after) = ask(&mut open, route, &id);
        record(&format!("{id}: {answer:?}"));
        let is_over = answer == Answer::Whole || matches!(answer, Answer::Status(_));
        if is_over {
            channel = Some(open);
        }
        outcomes.lock().unwrap().push(Outcome {
            node,
            answer,
            ended: Instant::now(),
        });
        std::thread::sleep(retry_after);
        if !is_over || retry_after > Duration::ZERO {
            std::thread::sleep(THOUGHT);
        }
    }
}

fn ask(channel: &mut Channel, route: &str, id: &str) -> (Answer, Duration) {
    let request = format!(
        "POST /{route}/x HTTP/1.1\r\nHost: town.example\r\nApricotledge-Request-Id: {id}\r\nApricotledge-Model: m\r\n\
         Apricotledge-Token-Usage: 20,160\r\nApricotledge-Prefix-Hash: {id}:20\r\n\
         Apricotledge-Deadline-Ms: 15000\r\nAuthorization: Token k1\r\nContent-Length: 2\r\n\r\nhi"
    );
    if channel.send(request.as_bytes()).is_err() {
        return (
            Answer::Other("the request couldn't be sent".to_owned()),
            Duration::ZERO,
        );
    }
    let patience = || Some(Instant::now() + PATIENCE);
    let ended = |end: End, after: String| match end {
        End::Late => Answer::Left { after },
        End::Closed | End::Reset => Answer::Cut {
            after: format!("{after}, {end:?}"),
        },
    };
    let head = match channel.head(patience()) {
        Ok(head) => head,
        Err(end) => return (ended(end, "no head".to_owned()), Duration::ZERO),
    };
    let status = head.first.get(1).cloned().unwrap_or_default();
    if status != "200" {
        let mut answer = head;
        let body = channel.body(&mut answer, patience());
        let seconds: f64 = answer
            .field("retry-after")
            .and_then(|s| s.parse().ok())
            .unwrap_or(0.1);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let answer = match body {
            Ok(()) => Answer::Status(format!("{status} {text}")),
            Err(end) => ended(end, "the head of an error".to_owned()),
        };
        return (answer, Duration::from_secs_f64(seconds.clamp(0.05, 5.0)));
    }
    let mut words = Vec::new();
    let mut last = "no event".to_owned();
    loop {
        let chunk = match chunk(channel, patience()) {
            Ok(chunk) => chunk,
            Err(end) => return (ended(end, last), Duration::ZERO),
        };
        let Some(chunk) = chunk else {
            break;
        };
        for line in chunk.lines() {
            if let Some(id) = line.strip_prefix("id: ") {
                last = format!("event {id}");
            }
            if let Some(data) = line.strip_prefix("data: ") {
                words.extend(data.split(' ').map(str::to_owned));
            }
        }
    }
    let mut wanted: Vec<String> = (1..words.len()).map(|n| format!("t{n}")).collect();
    wanted.push("end".to_owned());
    match words == wanted {
        true => (Answer::Whole, Duration::ZERO),
        false => (
            Answer::Other(format!("looks complete and is not: {words:?}")),
            Duration::ZERO,
        ),
    }
}

/// The next chunk of a body; `None` at its end.
fn chunk(channel: &mut Channel, until: Option<Instant>) -> Result<Option<String>, End> {
    let size = channel.line(until)?;
    let size = usize::from_str_radix(size.trim(), 16).map_err(|_| End::Reset)?;
    let part = channel.exactly(size + 2, until)?;
    match size {
        0 => Ok(None),
        size => Ok(Some(String::from_utf8_lossy(&part[..size]).into_owned())),
    }
}
