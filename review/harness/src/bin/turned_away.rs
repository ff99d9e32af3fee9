//! The store turns a third of the entry nodes away for some seconds: those that ask it for all
//! others. Meanwhile the operator takes a key away. No node that reaches the store may let a
//! request with that key run that was sent later than `configApplyMs` after the store's answer to
//! the operator.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use review_harness::cloud::Cloud;
use review_harness::consumers::{SERVICE, Sent, ZONES, config_of, send};
use review_harness::daemon::{Daemon, Options};
use review_harness::record::Record;
use review_harness::runner::Runner;
use review_harness::store::Store;
use review_harness::{Network, sleep_ms, trouble};

/// `configApplyMs` of the deployment.
const CONFIG_APPLY_MS: u64 = 2_000;

const NODES_PER_ZONE: usize = 6;

/// Nodes of each zone that are turned away: 6 of 18, a share of 0.33.
const AWAY_PER_ZONE: usize = 2;

/// For how long they are turned away.
const AWAY_MS: u64 = 8_000;

/// Time between two requests at a node.
const PACE_MS: u64 = 150;

const REVOKED: &str = "key-2";

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let temporary = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| "/tmp".to_owned()));
    let record = Record::create(&folder.join("record.txt"));
    let network = Network::free();
    let store = Store::start(network.ip(50));
    let cloud = Cloud::start(network.ip(51), record.clone(), Arc::new(|_, _, _| ()));
    store.put("op", "config", &config_of(1, "", &["key-1", REVOKED]));
    let runners: Vec<Runner> = (0..9)
        .map(|n| {
            let zone = ZONES[n as usize % ZONES.len()];
            let ip = network.ip(100 + n);
            Runner::start(ip, &format!("i-a{n}"), SERVICE, zone, 30, &store, &record)
        })
        .collect();
    let is_turned_away: Arc<AtomicBool> = Arc::default();
    let mut daemons = Vec::new();
    for place in 0..NODES_PER_ZONE {
        for (number, zone) in ZONES.iter().enumerate() {
            let host = 1 + (place * ZONES.len() + number) as u8;
            let away = match place < AWAY_PER_ZONE {
                true => is_turned_away.clone(),
                false => Arc::default(),
            };
            let options = Options {
                name: format!("edge-{zone}-{}", place + 1),
                zone: (*zone).to_owned(),
                host,
                seeds: vec![1, 2, 3],
                store: store.front(network.ip(50), away),
                cloud: cloud.address,
            };
            daemons.push(Daemon::start(network, &temporary, options));
        }
    }
    daemons.iter().for_each(Daemon::wait_ready);
    record.say(&format!("all {} nodes are ready", daemons.len()));

    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let requests: Arc<Mutex<BTreeMap<String, (Sent, &str)>>> = Arc::default();
    let mut consumers = Vec::new();
    for (node, daemon) in daemons.iter().enumerate() {
        for key in ["key-1", REVOKED] {
            let address = daemon.callers;
            let name = daemon.options.name.clone();
            let (stop, number) = (stop.clone(), number.clone());
            let (requests, record) = (requests.clone(), record.clone());
            consumers.push(std::thread::spawn(move || {
                sleep_ms(8 * node as u64);
                let mut kept = None;
                while !stop.load(Ordering::SeqCst) {
                    let id = format!("r{:08x}", number.fetch_add(1, Ordering::SeqCst));
                    let at_ms = record.now_ms();
                    let status = send(&mut kept, address, &id, key);
                    record.line(&format!(
                        "{name}: {id} with {key} sent at {at_ms}: {status}"
                    ));
                    let sent = Sent {
                        node,
                        at_ms,
                        status,
                    };
                    requests
                        .lock()
                        .expect("the requests")
                        .insert(id, (sent, key));
                    sleep_ms(PACE_MS);
                }
            }));
        }
    }
    sleep_ms(8_000);
    // `ONE_OUTAGE` is a time in ms that stands in for the first outage, to compare.
    let one_outage = std::env::var("ONE_OUTAGE")
        .ok()
        .and_then(|ms| ms.parse().ok());
    if let Some(ms) = one_outage {
        sleep_ms(ms);
    } else if trouble() {
        is_turned_away.store(true, Ordering::SeqCst);
        record.say("the store turns 2 nodes of each zone away (429), the first time");
        sleep_ms(AWAY_MS);
        is_turned_away.store(false, Ordering::SeqCst);
        record.say("the store serves all nodes again");
    }
    sleep_ms(10_000);

    is_turned_away.store(trouble(), Ordering::SeqCst);
    if trouble() {
        record.say("the store turns 2 nodes of each zone away (429)");
    }
    sleep_ms(500);
    store.put("op", "config", &config_of(2, "", &["key-1"]));
    let acked_ms = record.now_ms();
    record.say("the store has accepted version 2, without key-2");
    sleep_ms(AWAY_MS - 500);
    is_turned_away.store(false, Ordering::SeqCst);
    let back_ms = record.now_ms();
    if trouble() {
        record.say("the store serves all nodes again");
    }
    sleep_ms(3_000);
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }

    let requests = requests.lock().expect("the requests");
    let ran: BTreeMap<String, u64> = runners
        .iter()
        .flat_map(|runner| runner.runs())
        .map(|run| (run.id, run.at_ms))
        .collect();
    let (mut late, mut last_ms) = (0, 0);
    let mut by_node: BTreeMap<&str, u32> = BTreeMap::new();
    for (id, (sent, key)) in requests.iter() {
        let name = &daemons[sent.node].options.name;
        // Nodes that the store turns away are not judged.
        let is_judged = sent.node >= AWAY_PER_ZONE * ZONES.len();
        let is_late = sent.at_ms > acked_ms + CONFIG_APPLY_MS;
        if *key == REVOKED && is_judged && is_late && ran.contains_key(id) {
            late += 1;
            last_ms = last_ms.max(sent.at_ms - acked_ms);
            *by_node.entry(name).or_default() += 1;
            record.line(&format!(
                "late: {id} with {key} sent through {name} {} ms after version 2 was accepted, ran \
                 at {} ms, answered {}",
                sent.at_ms - acked_ms,
                ran[id],
                sent.status
            ));
        }
    }
    record.say(&format!("{} requests, {} ran", requests.len(), ran.len()));
    record.say(&format!(
        "requests with the key that was taken away, sent later than {CONFIG_APPLY_MS} ms after \
         version 2 was accepted through nodes that reach the store, that ran: {late}, through {} \
         nodes, the last {last_ms} ms after it (all nodes are served again after {} ms)",
        by_node.len(),
        back_ms - acked_ms
    ));
    drop(daemons);
    std::process::exit(i32::from(late > 0));
}
