//! A runner leaves without a report: its entry is removed, and it goes on serving. One of its
//! earlier heartbeats had got no answer, and the store performs it just after the removal. The
//! entry expires after three intervals of silence. No node may send the runner a request later
//! than `drainMs` after the removal.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use review_harness::cloud::Cloud;
use review_harness::consumers::{Requests, SERVICE, ZONES, config, start_consumers};
use review_harness::daemon::{Daemon, Options};
use review_harness::record::Record;
use review_harness::runner::{HEARTBEAT_MS, Runner};
use review_harness::store::Store;
use review_harness::{Network, sleep_ms, trouble};

const DRAIN_MS: u64 = 2_000;

/// Runners that serve at first, so that one is less than 0.13 of them.
const RUNNERS: u64 = 9;

/// How long a runner goes on serving after its entry was removed.
const SERVES_MS: u64 = 6_000;

/// Time from the removal to the late heartbeat. `LATE_MS` sets another one, to compare.
const LATE_MS: u64 = 40;

const LEAVING: usize = 3;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let temporary = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| "/tmp".to_owned()));
    let record = Record::create(&folder.join("record.txt"));
    let network = Network::free();
    let store = Store::start(network.ip(50));
    let cloud = Cloud::start(network.ip(51), record.clone(), Arc::new(|_, _, _| ()));
    store.put("op", "config", &config(""));
    let runners: Vec<Runner> = (0..RUNNERS)
        .map(|n| {
            let zone = ZONES[n as usize % ZONES.len()];
            let ip = network.ip(100 + n as u8);
            Runner::start(ip, &format!("i-a{n}"), SERVICE, zone, 30, &store, &record)
        })
        .collect();
    let daemons: Vec<Daemon> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let options = Options {
                name: format!("edge-{zone}-1"),
                zone: (*zone).to_owned(),
                host: number as u8 + 1,
                seeds: vec![1, 2, 3],
                store: store.address,
                cloud: cloud.address,
            };
            Daemon::start(network, &temporary, options)
        })
        .collect();
    daemons.iter().for_each(Daemon::wait_ready);
    record.say("all nodes are ready");
    let late_ms = std::env::var("LATE_MS").ok().and_then(|ms| ms.parse().ok());
    let late_ms: u64 = late_ms.unwrap_or(LATE_MS);
    let requests = Requests::default();
    let stop = Arc::new(AtomicBool::new(false));
    let consumers = start_consumers(&daemons, &requests, &stop, &record);
    sleep_ms(6_000);

    let mut late_in_all = 0;
    for (number, runner) in runners.iter().enumerate().take(LEAVING) {
        let id = format!("i-a{number}");
        runner.leave_unannounced();
        let removed_ms = record.now_ms();
        record.say(&format!(
            "the entry of {id} is removed; it serves for {SERVES_MS} ms more"
        ));
        if trouble() {
            sleep_ms(late_ms);
            // The last heartbeat but one, which had got no answer 1.2 to 2.4 s ago.
            runner.repeat_entry(1);
            record.say(&format!("an earlier heartbeat of {id} is performed"));
            sleep_ms(3 * HEARTBEAT_MS);
            store.remove("servers", &id);
            record.say(&format!("the entry of {id} has expired"));
            sleep_ms(SERVES_MS.saturating_sub(3 * HEARTBEAT_MS + late_ms));
        } else {
            sleep_ms(SERVES_MS);
        }
        runner.exit();
        let requests = requests.lock().expect("the requests");
        let (mut count, mut last_ms, mut by_node) = (0, 0, [0; 3]);
        for run in runner
            .runs()
            .iter()
            .filter(|r| r.at_ms > removed_ms + DRAIN_MS)
        {
            count += 1;
            last_ms = run.at_ms - removed_ms;
            if let Some(request) = requests.get(&run.id) {
                by_node[request.node] += 1;
                record.line(&format!(
                    "late: {} sent at {} ms through edge-{}-1 reached {id} {last_ms} ms after its removal",
                    run.id, request.at_ms, ZONES[request.node]
                ));
            }
        }
        late_in_all += count;
        record.say(&format!(
            "{id}: {count} requests later than {DRAIN_MS} ms after its removal {by_node:?}, the \
             last after {last_ms} ms"
        ));
    }
    stop.store(true, Ordering::SeqCst);
    for consumer in consumers {
        let _ = consumer.join();
    }
    let requests = requests.lock().expect("the requests");
    let answered = requests.values().filter(|s| s.status == 200).count();
    record.say(&format!(
        "{} requests, {answered} answered with 200",
        requests.len()
    ));
    drop(daemons);
    std::process::exit(i32::from(late_in_all > 0));
}
