//! Streams of consumers on kept channels, while more users come at once.

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
    /// Consumers at each machine, usually and in the burst.
    pub usual: usize,
    pub burst: usize,
    /// Length of the burst.
    pub burst_s: f64,
}

/// Events hold more than one token when many requests run at a runner.
pub const LARGE_EVENTS: Case = Case {
    resumable: false,
    engine: Engine::Batches(11),
    tokens: 40,
    step_ms: 25,
    runners: 2,
    usual: 6,
    burst: 10,
    burst_s: 3.0,
};

/// The memory of runners runs out.
pub const PREEMPTED: Case = Case {
    resumable: true,
    engine: Engine::Memory(24),
    tokens: 160,
    step_ms: 40,
    runners: 3,
    usual: 20,
    burst: 34,
    burst_s: 3.0,
};

fn config(case: &Case) -> String {
    let (resumable, attempts) = (case.resumable, if case.resumable { 2 } else { 1 });
    format!(
        r#"{{"version":7,"routes":[{{"name":"chat","host":"town.example","prefix":"/chat/","routeType":"streaming","timeoutMs":15000,"targetLatencyMs":250,"priority":1,"service":"writers","maxAttempts":{attempts},"public":false,"sticky":true,"resumable":{resumable},"gapTargetMs":200}}],"services":[{{"name":"writers","healthPath":"/healthz","maxConnections":290,"protocol":"h1","tls":false,"engine":{{"slots":48,"kvCapacity":650536,"kvTokenBytes":192512,"linkMbps":1500000.0,"moves":false,"backups":false,"stride":1,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"team","apiKeys":["k1"],"priority":1}}]}}"#
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
    Cut { after: String },
    /// The consumer left after a pause of two seconds.
    Left { after: String },
    Status(String),
    Other(String),
}

struct Outcome {
    node: usize,
    id: String,
    answer: Answer,
}

pub fn run(folder: &Path, case: &Case) -> Verdict {
    let store = Store::new();
    store.put("op", "config", &config(case));
    let cloud = Arc::new(Cloud::default());
    let ids = ["ra", "rb", "rc"].iter().zip(["a", "b", "c"]).take(case.runners);
    let size = (case.tokens, case.step_ms);
    let runners: Vec<_> = ids.map(|(id, zone)| Runner::start(id, "writers", zone, case.engine, size, &store)).collect();
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
    let add = |node: usize, address: SocketAddr| {
        let (outcomes, stop, numbers) = (outcomes.clone(), stop.clone(), numbers.clone());
        let tokens = case.tokens;
        std::thread::spawn(move || consume(node, address, tokens, &outcomes, &stop, &numbers))
    };
    for (number, node) in nodes.iter().enumerate() {
        for _ in 0..case.usual {
            consumers.push(add(number, node.callers));
            sleep(0.1);
        }
    }
    sleep(12.0);
    let before = outcomes.lock().unwrap().len();
    record(&format!("{before} requests answered before the burst; most at one runner: {:?}", most(&runners)));
    if has_trouble() {
        record(&format!("burst: {} consumers instead of {} at each machine, for {} s", case.burst, case.usual, case.burst_s));
        let mut more = Vec::new();
        for (number, node) in nodes.iter().enumerate() {
            for _ in case.usual..case.burst {
                more.push(add(number, node.callers));
            }
        }
        consumers.append(&mut more);
    }
    sleep(case.burst_s);
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    record(&format!("most at one runner: {:?}", most(&runners)));
    let ended = nodes.iter_mut().any(Node::has_ended);
    judge(&outcomes.lock().unwrap(), ended)
}

fn most(runners: &[Arc<Runner>]) -> Vec<usize> {
    runners.iter().map(|r| r.most_running.load(Ordering::SeqCst)).collect()
}

fn judge(outcomes: &[Outcome], ended: bool) -> Verdict {
    let mut worst = 0;
    for node in 0..3 {
        let of_node: Vec<_> = outcomes.iter().filter(|o| o.node == node).collect();
        let whole = of_node.iter().filter(|o| o.answer == Answer::Whole).count();
        let cut: Vec<_> = of_node.iter().filter(|o| matches!(o.answer, Answer::Cut { .. })).collect();
        let others: Vec<_> = of_node.iter().filter(|o| !matches!(o.answer, Answer::Whole | Answer::Cut { .. })).collect();
        record(&format!("machine {}: {} requests, {whole} whole, {} channels closed without the end of the answer, others: {}",
            node + 1, of_node.len(), cut.len(), others.len()));
        worst = worst.max(cut.len());
    }
    if ended {
        return Verdict::Unfit("a process ended".to_owned());
    }
    match worst > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}

/// Sends one request after the other on a kept channel.
fn consume(node: usize, address: SocketAddr, tokens: u64, outcomes: &Mutex<Vec<Outcome>>, stop: &AtomicBool, numbers: &AtomicUsize) {
    let mut channel: Option<Channel> = None;
    while !stop.load(Ordering::SeqCst) {
        let number = numbers.fetch_add(1, Ordering::SeqCst) + 1;
        let id = format!("{number:016x}");
        let mut open = match channel.take().map_or_else(|| Channel::open(address), Ok) {
            Ok(open) => open,
            Err(error) => {
                record(&format!("{id}: no channel to machine {}: {error}", node + 1));
                std::thread::sleep(Duration::from_millis(100));
                continue;
            }
        };
        record(&format!("{id}: sent to machine {}", node + 1));
        let (answer, retry_after) = ask(&mut open, &id, tokens);
        record(&format!("{id}: {answer:?}"));
        let is_over = answer == Answer::Whole || matches!(answer, Answer::Status(_));
        if is_over {
            channel = Some(open);
        }
        outcomes.lock().unwrap().push(Outcome { node, id, answer });
        std::thread::sleep(retry_after);
        if !is_over || retry_after > Duration::ZERO {
            std::thread::sleep(THOUGHT);
        }
    }
}

fn ask(channel: &mut Channel, id: &str, tokens: u64) -> (Answer, Duration) {
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nHost: town.example\r\nApricotledge-Request-Id: {id}\r\nApricotledge-Model: m\r\n\
         Apricotledge-Token-Usage: 20,{tokens}\r\nApricotledge-Prefix-Hash: {id}:20\r\n\
         Apricotledge-Deadline-Ms: 15000\r\nAuthorization: Token k1\r\nContent-Length: 2\r\n\r\nhi"
    );
    if channel.send(request.as_bytes()).is_err() {
        return (Answer::Other("the request couldn't be sent".to_owned()), Duration::ZERO);
    }
    let patience = || Some(Instant::now() + PATIENCE);
    let ended = |end: End, after: String| match end {
        End::Late => Answer::Left { after },
        End::Closed | End::Reset => Answer::Cut { after: format!("{after}, {end:?}") },
    };
    let head = match channel.head(patience()) {
        Ok(head) => head,
        Err(end) => return (ended(end, "no head".to_owned()), Duration::ZERO),
    };
    let status = head.first.get(1).cloned().unwrap_or_default();
    if status != "200" {
        let mut answer = head;
        let body = channel.body(&mut answer, patience());
        let seconds: f64 = answer.field("retry-after").and_then(|s| s.parse().ok()).unwrap_or(0.1);
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
    let wanted: Vec<String> = (1..=tokens).map(|n| format!("t{n}")).collect();
    match words == wanted {
        true => (Answer::Whole, Duration::ZERO),
        false => (Answer::Other(format!("looks complete and is not: {words:?}")), Duration::ZERO),
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
