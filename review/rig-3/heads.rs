//! Consumers that ask with HEAD on kept channels, while keys are taken away.

use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{Channel, Message, answer, serve};
use crate::node::{Node, Place, free_port};
use crate::platform::{Cloud, Store};
use crate::{Verdict, has_trouble, record, sleep, wait_until};

const BODY: &str = "{\"status\":\"filed\"}";

fn config(version: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"status","host":"town.example","prefix":"/status/","routeType":"idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"public":false}}],"services":[{{"name":"desk","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"team","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}

/// Starts a runner of the plain service, which answers GET and HEAD.
fn start_runner(id: &'static str, store: &Arc<Store>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    serve(listener, move |channel, message: Message| {
        if message
            .field("apricotledge-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            return channel.send(&answer(421, "", "")).is_ok();
        }
        let request = message.field("apricotledge-request-id").unwrap_or_default();
        let method = message.first.first().map_or("", String::as_str);
        record(&format!(
            "{id}: runs {request}, {method} {}",
            message.path()
        ));
        let fields = format!(
            "Apricotledge-Request-Id: {request}\r\nApricotledge-Server-Signature: s.{request}\r\n"
        );
        let mut bytes = answer(200, &fields, BODY);
        if method == "HEAD" {
            bytes.truncate(bytes.len() - BODY.len());
        }
        channel.send(&bytes).is_ok()
    });
    let store = store.clone();
    std::thread::spawn(move || {
        for sequence in 1.. {
            let row = format!(
                "{{\"service\":\"desk\",\"address\":\"{address}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\
                 \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":1700000000000}}"
            );
            store.put("servers", id, &row);
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
}

pub fn run(folder: &Path) -> Verdict {
    let store = Store::new();
    store.put("op", "config", &config(7, "\"k1\",\"k2\""));
    let cloud = Arc::new(Cloud::default());
    ["da", "db", "dc"]
        .iter()
        .for_each(|id| start_runner(id, &store));
    let ips = [(33, 1), (33, 2), (33, 3)];
    let port = free_port(&ips);
    let mut nodes = Vec::new();
    for (number, ip) in ips.into_iter().enumerate() {
        let (machine, store_address) = store.open();
        let seeds = [format!("127.0.33.1:{port}")];
        let place = Place {
            name: &format!("entry-{}", number + 1),
            zone: ["a", "b", "c"][number],
            ip,
            port,
            seeds: &seeds,
            store: store_address,
            cloud: cloud.open(machine),
        };
        nodes.push(Node::new(folder, &place));
    }
    nodes.iter_mut().for_each(Node::start);
    if !wait_until(20.0, || nodes.iter().all(Node::is_ready)) {
        return Verdict::Unfit("the machines didn't become ready".to_owned());
    }
    sleep(4.0);
    let opened: Result<Vec<Channel>, _> = nodes
        .iter()
        .map(|node| Channel::open(node.callers))
        .collect();
    let Ok(mut channels) = opened else {
        return Verdict::Unfit("no channel to a machine".to_owned());
    };
    for (number, channel) in channels.iter_mut().enumerate() {
        for (method, key) in [("HEAD", "k1"), ("GET", "k1")] {
            if let Seen::Other(text) = ask(channel, number, 0, method, key) {
                return Verdict::Unfit(format!("before the disruption: {text}"));
            }
        }
    }
    if has_trouble() {
        record("revoke: the config 8 has no key k1");
        store.put("op", "config", &config(8, "\"k2\""));
    }
    // `configApplyMs` is 2 s.
    sleep(3.0);
    let mut broken = 0;
    for (number, channel) in channels.iter_mut().enumerate() {
        for (place, (method, key)) in [("HEAD", "k1"), ("GET", "k2")].into_iter().enumerate() {
            if let Seen::Other(text) = ask(channel, number, place + 1, method, key) {
                record(&format!("machine {}: {text}", number + 1));
                broken += 1;
                break;
            }
        }
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}

enum Seen {
    /// An answer in the protocol.
    Answer,
    Other(String),
}

/// Sends a request on a kept channel, and reads its answer as HTTP/1.1 says.
fn ask(channel: &mut Channel, node: usize, place: usize, method: &str, key: &str) -> Seen {
    let id = format!(
        "{:08x}{place:08x}",
        node + 1 + 16 * usize::from(method == "HEAD")
    );
    let request = format!(
        "{method} /status/7 HTTP/1.1\r\nHost: town.example\r\nApricotledge-Request-Id: {id}\r\n\
         Apricotledge-Deadline-Ms: 1000\r\nAuthorization: Token {key}\r\n\r\n"
    );
    record(&format!(
        "{id}: {method} /status/7 with {key} sent to machine {} on its kept channel",
        node + 1
    ));
    if channel.send(request.as_bytes()).is_err() {
        return Seen::Other("the request couldn't be sent".to_owned());
    }
    let until = Some(Instant::now() + Duration::from_secs(2));
    let mut read = match channel.head(until) {
        Ok(read) => read,
        Err(end) => return Seen::Other(format!("no answer: {end:?}")),
    };
    let first = read.first.join(" ");
    record(&format!("{id}: first line of what came: {first}"));
    let echoed = read
        .field("apricotledge-request-id")
        .unwrap_or_default()
        .to_owned();
    if !first.starts_with("HTTP/1.1 ") || echoed != id {
        return Seen::Other(format!(
            "bytes that are no answer in the protocol stand before the answer to {id}: {first}"
        ));
    }
    // The answer to a HEAD request ends with its head.
    if method == "HEAD" {
        return Seen::Answer;
    }
    match channel.body(&mut read, until) {
        Ok(()) => {
            record(&format!("{id}: {}", String::from_utf8_lossy(&read.body)));
            Seen::Answer
        }
        Err(end) => Seen::Other(format!("the answer ended early: {end:?}")),
    }
}
