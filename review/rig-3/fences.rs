//! Kills and planned restarts in a fleet of thirteen machines, while the store refuses the writes of the holder
//! of the duties.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::json::Json;
use crate::node::{Node, Place, free_port};
use crate::platform::{Cloud, Store, Treatment};
use crate::{Verdict, has_trouble, record, sleep, wait_until};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"status","host":"town.example","prefix":"/status/","routeType":"idempotent","timeoutMs":800,"targetLatencyMs":150,"priority":2,"service":"desk","maxAttempts":2,"public":false}],"services":[{"name":"desk","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"team","apiKeys":["k1"],"priority":1}]}"#;

/// Machines in each zone.
const ZONES: [(&str, u8); 3] = [("a", 5), ("b", 4), ("c", 4)];

/// Longest time for which the store refuses the holder's writes.
const REFUSED_S: f64 = 7.0;

/// How long the killed machines are down.
const KILLED_S: f64 = 2.0;

/// Times between the kill and the planned restart of the holder. Which machine takes over depends on when each
/// one looks at the lease, so that several times are tried.
const DELAYS_S: [f64; 12] = [
    0.6, 0.8, 0.5, 0.7, 0.9, 0.55, 0.75, 0.65, 0.85, 0.45, 0.95, 0.4,
];

struct Fleet {
    store: Arc<Store>,
    cloud: Arc<Cloud>,
    nodes: Vec<Node>,
    /// Zone of each machine, and its place there.
    places: Vec<(&'static str, u8)>,
    /// When machines that have ended start again.
    starts: Vec<(Instant, usize)>,
}

impl Fleet {
    /// Starts the machines whose processes have ended, a fifth of a second after their end.
    fn tend(&mut self) {
        let now = Instant::now();
        for number in 0..self.nodes.len() {
            let waits = self.starts.iter().any(|(_, waiting)| *waiting == number);
            if !waits && self.nodes[number].has_ended() {
                record(&format!("{} has ended", self.nodes[number].name));
                self.starts.push((now + Duration::from_millis(200), number));
            }
        }
        let due: Vec<usize> = self
            .starts
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, number)| *number)
            .collect();
        self.starts.retain(|(at, _)| *at > now);
        due.into_iter()
            .for_each(|number| self.nodes[number].start());
    }

    fn tend_until(&mut self, limit_s: f64, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(limit_s);
        loop {
            self.tend();
            if holds(self) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn holder(&self) -> Option<usize> {
        let row = Json::read(&self.store.own_row("lease", "duties")?)?;
        self.nodes
            .iter()
            .position(|node| node.name == row.get("holder").text())
    }

    /// The machine at a place of a zone.
    fn at(&self, zone: &str, place: u8) -> usize {
        self.places
            .iter()
            .position(|at| *at == (zone, place))
            .expect("a machine")
    }
}

pub fn run(folder: &Path) -> Verdict {
    let mut fleet = start(folder);
    if !wait_until(30.0, || fleet.nodes.iter().all(Node::is_ready)) {
        return Verdict::Unfit("the machines didn't become ready".to_owned());
    }
    sleep(4.0);
    if has_trouble() {
        match take_over_by_third(&mut fleet) {
            Some(holder) => refuse(&mut fleet, holder),
            None => {
                return Verdict::Unfit(
                    "no third machine of a zone came to hold the duties".to_owned(),
                );
            }
        }
    }
    fleet.tend_until(6.0, |_| false);
    judge(&fleet.cloud)
}

fn start(folder: &Path) -> Fleet {
    let store = Store::new();
    store.put("op", "config", CONFIG);
    let row = r#"{"service":"desk","address":"127.0.0.1:9","zone":"a","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1700000000000}"#;
    store.put("servers", "da", row);
    let cloud = Arc::new(Cloud::default());
    let mut places = Vec::new();
    for (zone, count) in ZONES {
        places.extend((1..=count).map(|place| (zone, place)));
    }
    let ips: Vec<(u8, u8)> = (0..places.len())
        .map(|number| (34, number as u8 + 1))
        .collect();
    let port = free_port(&ips);
    let seeds: Vec<String> = [1, 6, 10]
        .iter()
        .map(|ip| format!("127.0.34.{ip}:{port}"))
        .collect();
    let mut nodes = Vec::new();
    for (number, (zone, place)) in places.iter().enumerate() {
        let (machine, store_address) = store.open();
        let place = Place {
            name: &format!("entry-{zone}-{place}"),
            zone,
            ip: ips[number],
            port,
            seeds: &seeds,
            store: store_address,
            cloud: cloud.open(machine),
        };
        nodes.push(Node::new(folder, &place));
    }
    nodes.iter_mut().for_each(Node::start);
    Fleet {
        store,
        cloud,
        nodes,
        places,
        starts: Vec::new(),
    }
}

/// Kills the first two machines of each zone but for the holder, which is restarted as planned, until the third
/// machine of another zone than the holder's holds the duties.
fn take_over_by_third(fleet: &mut Fleet) -> Option<usize> {
    for delay_s in DELAYS_S {
        let mut holder = None;
        fleet.tend_until(10.0, |fleet| {
            holder = fleet.holder();
            holder.is_some()
        });
        let before = holder?;
        let firsts = ZONES
            .iter()
            .flat_map(|(zone, _)| [fleet.at(zone, 1), fleet.at(zone, 2)]);
        let others: Vec<usize> = firsts.filter(|n| *n != before).collect();
        record(&format!(
            "herd_kill: {} machines for {KILLED_S} s; roll_term: {}",
            others.len(),
            fleet.nodes[before].name
        ));
        let back = Instant::now() + Duration::from_secs_f64(KILLED_S);
        for number in others {
            fleet.nodes[number].kill();
            fleet.starts.push((back, number));
        }
        fleet.tend_until(delay_s, |_| false);
        fleet.nodes[before].signal("TERM");
        let mut next = before;
        fleet.tend_until(8.0, |fleet| {
            next = fleet.holder().unwrap_or(before);
            next != before
        });
        if fleet.places[next].1 == 3 && fleet.places[next].0 != fleet.places[before].0 {
            return Some(next);
        }
        // All are back before the next ones are killed.
        fleet.tend_until(4.5, |_| false);
    }
    None
}

/// Refuses the holder's writes, and restarts the first two machines of its zone once more when they are back.
fn refuse(fleet: &mut Fleet, holder: usize) {
    let began = Instant::now();
    let left_s = |limit_s: f64| (limit_s - began.elapsed().as_secs_f64()).max(0.0);
    record(&format!(
        "{} holds the duties; its writes get 429 for {REFUSED_S} s",
        fleet.nodes[holder].name
    ));
    fleet.store.treat(holder, Treatment::WritesRefused);
    let zone = fleet.places[holder].0;
    let pair = [fleet.at(zone, 1), fleet.at(zone, 2)];
    let is_back = |fleet: &Fleet| {
        pair.iter()
            .all(|n| fleet.starts.is_empty() && fleet.nodes[*n].is_ready())
    };
    fleet.tend_until(left_s(5.0), is_back);
    record("both machines before it are back");
    fleet.tend_until(0.5, |_| false);
    pair.iter().for_each(|n| fleet.nodes[*n].signal("TERM"));
    let limit_s = left_s(REFUSED_S);
    fleet.tend_until(limit_s, |_| false);
    fleet.store.treat(holder, Treatment::Served);
    record("its writes are served again");
}

fn judge(cloud: &Cloud) -> Verdict {
    let mut first: BTreeMap<(String, u64), usize> = BTreeMap::new();
    let mut counts: BTreeMap<String, String> = BTreeMap::new();
    let mut broken = 0;
    for call in cloud.calls() {
        let machine = *first
            .entry((call.subject.clone(), call.fence))
            .or_insert(call.machine);
        if machine != call.machine {
            record(&format!(
                "fence {} of {} was sent by machine {machine} and by machine {}",
                call.fence, call.subject, call.machine
            ));
            broken += 1;
        }
        let window = call.body.split(',').next().unwrap_or_default().to_owned();
        if call.status == 200 && *counts.entry(window).or_insert(call.body.clone()) != call.body {
            record(&format!("two reports of one window: {}", call.body));
            broken += 1;
        }
    }
    match broken {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    }
}
