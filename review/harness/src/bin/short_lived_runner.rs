//! While a release goes on, runners register and are taken away again as soon as one entry node
//! has read their entry. They go on serving for some seconds. No node may send them a request
//! later than `drainMs` after their entry was removed.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use review_harness::cloud::Cloud;
use review_harness::consumers::{Requests, SERVICE, ZONES, config, start_consumers};
use review_harness::daemon::{Daemon, Options};
use review_harness::record::Record;
use review_harness::runner::Runner;
use review_harness::store::Store;
use review_harness::{Network, give_up, sleep_ms, trouble, wait_for};

/// `drainMs` of the deployment.
const DRAIN_MS: u64 = 2_000;

/// Time between two replacements of the release.
const RELEASE_GAP_MS: u64 = 1_200;

/// How long runners go on serving after they have left: `drainMs` and some seconds.
const SERVES_MS: u64 = 6_000;

/// Within this time after `SERVES_MS` a runner ends.
const EXIT_WINDOW_MS: u64 = 1_000;

/// Short-lived runners, one for every third replacement.
const SHORT_LIVED: u64 = 4;

/// How long such a runner stays registered without trouble.
const CALM_MS: u64 = 1_000;

/// Runners that serve at any time, so that one is less than 0.13 of them.
const RUNNERS: u64 = 8;

/// Time after which a runner that drains is let go.
const DRAINED: Duration = Duration::from_millis(DRAIN_MS + 1_000);

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let temporary = PathBuf::from(std::env::args().nth(2).unwrap_or_else(|| "/tmp".to_owned()));
    let record = Record::create(&folder.join("record.txt"));
    let network = Network::free();
    let store = Store::start(network.ip(50));
    let cloud = Cloud::start(network.ip(51), record.clone(), Arc::new(|_, _, _| ()));
    store.put("op", "config", &config(""));
    let started = AtomicU64::new(0);
    let start_runner = |id: &str| {
        let number = started.fetch_add(1, Ordering::SeqCst);
        let zone = ZONES[number as usize % ZONES.len()];
        let ip = network.ip(100 + number as u8);
        Runner::start(ip, id, SERVICE, zone, 30, &store, &record)
    };
    let mut serving: Vec<Runner> = (0..RUNNERS)
        .map(|n| start_runner(&format!("i-a{n}")))
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
    let requests = Requests::default();
    let stop = Arc::new(AtomicBool::new(false));
    let consumers = start_consumers(&daemons, &requests, &stop, &record);

    // The release: each step starts a runner, drains the oldest one, and lets those go that have
    // drained.
    let mut draining: VecDeque<(Runner, Instant)> = VecDeque::new();
    let mut short_lived: Vec<(Runner, u64, String)> = Vec::new();
    let steps = 3 * SHORT_LIVED;
    for step in 0..steps {
        let began = Instant::now();
        serving.push(start_runner(&format!("i-b{step}")));
        let oldest = serving.remove(0);
        oldest.drain();
        draining.push_back((oldest, began));
        while draining
            .front()
            .is_some_and(|(_, since)| since.elapsed() > DRAINED)
        {
            if let Some((runner, _)) = draining.pop_front() {
                runner.leave_unannounced();
                runner.exit();
            }
        }
        if step % 3 == 2 {
            // The nodes have learned of the step when the new runner comes.
            sleep_ms(650);
            let id = format!("i-short{}", short_lived.len());
            let runner = start_runner(&id);
            let version = runner.version();
            let is_read = wait_for(Duration::from_secs(2), || store.listed() >= version);
            if !is_read {
                give_up("no node reads the table of runners");
            }
            if !trouble() {
                sleep_ms(CALM_MS);
            }
            runner.leave_unannounced();
            let removed_ms = record.now_ms();
            record.say(&format!(
                "the entry of {id} is removed; it serves for {SERVES_MS} ms more"
            ));
            let leaving = runner.clone();
            std::thread::spawn(move || {
                sleep_ms(SERVES_MS);
                // It ends at its time, also in the midst of a request that reached it too late.
                wait_for(Duration::from_millis(EXIT_WINDOW_MS), || leaving.is_busy());
                leaving.exit();
            });
            short_lived.push((runner, removed_ms, id));
            sleep_ms(500);
        }
        let left = Duration::from_millis(RELEASE_GAP_MS).saturating_sub(began.elapsed());
        std::thread::sleep(left);
    }
    sleep_ms(SERVES_MS + EXIT_WINDOW_MS + 1_000);
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
    let mut late_in_all = 0;
    for (runner, removed_ms, id) in &short_lived {
        let runs = runner.runs();
        let late = runs.iter().filter(|run| run.at_ms > removed_ms + DRAIN_MS);
        let (mut count, mut last_ms, mut by_node, mut cut) = (0, 0, [0; 3], Vec::new());
        for run in late {
            let after_ms = run.at_ms - removed_ms;
            count += 1;
            last_ms = after_ms;
            let Some(request) = requests.get(&run.id) else {
                continue;
            };
            by_node[request.node] += 1;
            record.line(&format!(
                "late: {} sent at {} ms through edge-{}-1 reached {id} {after_ms} ms after its removal",
                run.id, request.at_ms, ZONES[request.node]
            ));
            if !run.finished {
                cut.push(format!("{} (answer {})", run.id, request.status));
            }
        }
        late_in_all += count;
        record.say(&format!(
            "{id}: {count} requests later than {DRAIN_MS} ms after its removal {by_node:?}, the \
             last after {last_ms} ms; cut by its end: {}",
            match cut.is_empty() {
                true => "none".to_owned(),
                false => cut.join(", "),
            }
        ));
    }
    drop(daemons);
    std::process::exit(i32::from(late_in_all > 0));
}
