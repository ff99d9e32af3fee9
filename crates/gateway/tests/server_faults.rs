//! Requests to servers that are gone, and servers that are avoided for no reason.

use std::collections::VecDeque;
use std::rc::Rc;

use base::Name;
use gateway::backend::server_faults;
use gateway::belief::registry::ServerState;
use gateway::belief::{Server, ServerRecord};
use gateway::decide::fault_report::REPORTS_LIMIT;
use gateway::decide::outcome::FailureCause;
use gateway::decide::reach::Reach;
use gateway::decide::server_faults::{
    FaultChange, FaultKind, FaultReport, Sender, ServerFaults, Standing, Weight, avoidance_ms,
    drawn_node,
};
use gateway::node::Node;
use gateway::peer::message::NodeHeartbeat;
use outside::Purchase;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

mod support;

const NODES: usize = 67;
const SERVERS: usize = 112;
const STEP_MS: u64 = 5;
/// Requests of all nodes together: those of the first deployment to model servers and plain ones.
const REQUESTS_PER_S: f64 = 860.0;
const CRASH_MS: u64 = 10_000;
/// The thinnest link, of 10 Mbit/s.
const LINK_BYTES_PER_S: usize = 1_250_000;
/// Size of a pulse without reports.
const PULSE_BYTES: usize = 560;

/// Whether nodes report faults to each other.
#[derive(Clone, Copy, PartialEq)]
enum Reports {
    None,
    Sent,
}

/// One server as a node sees it: the soft avoidance after own failures, and the reported faults.
#[derive(Default)]
struct View {
    faults: ServerFaults,
    own_failures: u32,
    avoided_until_ms: u64,
    last_byte_ms: u64,
}

impl View {
    fn fail(&mut self, kind: FaultKind, now_ms: u64) {
        self.own_failures += 1;
        self.avoided_until_ms = now_ms + avoidance_ms(self.own_failures);
        self.faults.record_own(kind, now_ms);
    }

    fn succeed(&mut self, now_ms: u64) {
        self.own_failures = 0;
        self.last_byte_ms = now_ms;
        self.faults.record_own_answer(now_ms);
    }

    fn is_avoided(&self, reports: Reports, now_ms: u64) -> bool {
        let reported = reports == Reports::Sent && self.faults.is_avoided(now_ms);
        self.avoided_until_ms > now_ms || reported
    }
}

struct Outcome {
    /// Requests sent to servers that were gone.
    lost_attempts: usize,
    /// Longest time from a server's first answer to its use by the last node.
    slowest_return_ms: u64,
    /// Time and size of each pulse. Each node receives all of them but its own.
    pulses: Vec<(u64, usize)>,
}

impl Outcome {
    /// Bytes of the pulses in the worst second.
    fn most_pulse_bytes(&self) -> usize {
        let in_second = |from_ms: u64| {
            let within = |at_ms: u64| (from_ms..from_ms + 1_000).contains(&at_ms);
            let pulses = self.pulses.iter().filter(|(at_ms, _)| within(*at_ms));
            pulses.map(|(_, bytes)| bytes).sum()
        };
        let sums = self.pulses.iter().map(|(at_ms, _)| in_second(*at_ms));
        sums.max().unwrap_or(0)
    }
}

/// Plays the crash of a share of the servers, which come back after 2 to 4 s.
fn crash(share: f64, loss: f64, reports: Reports, seed: u64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let names: Vec<Name> = (0..NODES).map(|n| format!("node-{n}").into()).collect();
    let crashed = (SERVERS as f64 * share) as usize;
    let back_ms: Vec<u64> = (0..SERVERS)
        .map(|s| match s < crashed {
            true => CRASH_MS + rng.random_range(2_000..4_000),
            false => 0,
        })
        .collect();
    let mut views: Vec<Vec<View>> = (0..NODES)
        .map(|_| (0..SERVERS).map(|_| View::default()).collect())
        .collect();
    // When each node sends its next pulse, and from when on it may plan another one.
    let mut pulse_ms = vec![(0, 0); NODES];
    let mut messages: VecDeque<(u64, usize, usize, Vec<FaultReport>)> = VecDeque::new();
    let mut first_ms = vec![None; crashed];
    let mut outcome = Outcome {
        lost_attempts: 0,
        slowest_return_ms: 0,
        pulses: Vec::new(),
    };
    // Running streams: 20 at each node.
    let streams: Vec<Vec<usize>> = (0..NODES)
        .map(|_| (0..20).map(|_| rng.random_range(0..SERVERS)).collect())
        .collect();
    let mut now_ms = CRASH_MS;
    while now_ms < CRASH_MS + 8_000 {
        let is_up = |server: usize| now_ms >= back_ms[server];
        for node in 0..NODES {
            for server in &streams[node] {
                let view = &mut views[node][*server];
                match now_ms - CRASH_MS {
                    _ if *server >= crashed => view.succeed(now_ms),
                    0 => view.fail(FaultKind::Failing, now_ms),
                    // The check of the broken connection.
                    30 => view.faults.record_own(FaultKind::Unreachable, now_ms),
                    _ => {}
                }
            }
            for server in (0..crashed).filter(|_| reports == Reports::Sent) {
                if !now_ms.is_multiple_of(40) {
                    break;
                }
                let faults = &mut views[node][server].faults;
                let Standing::OnTrial { failures, .. } = faults.standing(now_ms) else {
                    continue;
                };
                let own = &names[node];
                let able = names.iter().filter(|n| faults.sole_reporter() != Some(n));
                if drawn_node(&format!("s{server}"), failures, able) != Some(own) {
                    continue;
                }
                faults.set_drawn();
                match is_up(server) {
                    true => views[node][server].succeed(now_ms),
                    false => faults.record_own(FaultKind::Unreachable, now_ms),
                }
            }
            if rng.random::<f64>() < REQUESTS_PER_S / NODES as f64 * STEP_MS as f64 / 1_000.0 {
                let avoided = |s: &usize| views[node][*s].is_avoided(reports, now_ms);
                let usable: Vec<usize> = (0..SERVERS).filter(|s| !avoided(s)).collect();
                // Of two servers the one without work is taken: the dead one.
                let first = usable[rng.random_range(0..usable.len())];
                let server = first.min(usable[rng.random_range(0..usable.len())]);
                match is_up(server) {
                    true => views[node][server].succeed(now_ms),
                    false => {
                        views[node][server].fail(FaultKind::Unreachable, now_ms);
                        outcome.lost_attempts += 1;
                    }
                }
            }
        }
        for server in (0..crashed).filter(|s| is_up(*s)) {
            let answered = views.iter().any(|v| v[server].last_byte_ms == now_ms);
            if answered && first_ms[server].is_none() {
                first_ms[server] = Some(now_ms);
            }
            let avoided = views.iter().any(|v| v[server].is_avoided(reports, now_ms));
            if let Some(first_ms) = first_ms[server].filter(|_| avoided) {
                outcome.slowest_return_ms = outcome.slowest_return_ms.max(now_ms - first_ms);
            }
        }
        if reports == Reports::Sent {
            for node in 0..NODES {
                send(
                    &mut views,
                    node,
                    now_ms,
                    &mut pulse_ms,
                    &mut messages,
                    &mut outcome.pulses,
                    |_| rng.random::<f64>() >= loss,
                );
            }
            deliver(&mut views, &names, now_ms, &mut messages);
        }
        now_ms += STEP_MS;
    }
    outcome
}

/// Sends the whole heartbeat to a group of nodes each 120 ms, and pulses to all of them.
fn send(
    views: &mut [Vec<View>],
    node: usize,
    now_ms: u64,
    pulse_ms: &mut [(u64, u64)],
    messages: &mut VecDeque<(u64, usize, usize, Vec<FaultReport>)>,
    sent: &mut Vec<(u64, usize)>,
    mut arrives: impl FnMut(usize) -> bool,
) {
    let phase_ms = now_ms + node as u64 * 15;
    let is_fresh = views[node].iter().any(|v| v.faults.is_fresh(now_ms));
    if is_fresh && now_ms.is_multiple_of(40) && now_ms >= pulse_ms[node].1 {
        // A delay of up to 80 ms, which the node draws.
        let drawn_ms = (now_ms / 40 + node as u64 * 37) % 16 * STEP_MS;
        pulse_ms[node] = (now_ms + drawn_ms, now_ms + 160);
    }
    let pulses = is_fresh && now_ms == pulse_ms[node].0;
    let group = (phase_ms / 120 % 6) as usize;
    let recipients: Vec<usize> = match (pulses, phase_ms.is_multiple_of(120)) {
        (true, _) => (0..NODES).collect(),
        (false, true) => (0..NODES).filter(|n| n % 6 == group).collect(),
        (false, false) => return,
    };
    let reports = views[node].iter().enumerate().filter_map(|(server, view)| {
        if pulses && !view.faults.is_fresh(now_ms) {
            return None;
        }
        let (kind, age_ms, failures) = view.faults.report(view.last_byte_ms, now_ms)?;
        Some(report(&format!("s{server}"), kind, age_ms, failures))
    });
    let mut reports: Vec<FaultReport> = reports.collect();
    reports.sort_by_key(|r| r.age_ms);
    reports.truncate(REPORTS_LIMIT);
    if pulses {
        let bytes = PULSE_BYTES + serde_json::to_vec(&reports).unwrap().len();
        sent.push((now_ms, bytes));
    }
    for to in recipients {
        if to != node && !reports.is_empty() && arrives(to) {
            messages.push_back((now_ms + 20, node, to, reports.clone()));
        }
    }
}

fn deliver(
    views: &mut [Vec<View>],
    names: &[Name],
    now_ms: u64,
    messages: &mut VecDeque<(u64, usize, usize, Vec<FaultReport>)>,
) {
    while messages.front().is_some_and(|m| m.0 <= now_ms) {
        let (_, from, to, reports) = messages.pop_front().unwrap();
        for report in reports {
            let server: usize = report.server[1..].parse().unwrap();
            let view = &mut views[to][server];
            let last_byte_ms = view.last_byte_ms;
            let full = Weight::Full;
            let faults = &mut view.faults;
            let change = faults.apply(&names[from], &report, full, last_byte_ms, now_ms, || true);
            if matches!(change, FaultChange::Returned { .. }) && view.own_failures <= 2 {
                view.avoided_until_ms = 0;
            }
        }
    }
}

fn report(server: &str, kind: FaultKind, age_ms: u64, failures: u32) -> FaultReport {
    FaultReport {
        server: server.into(),
        born_unix_ms: 1_765_000_000_000,
        kind,
        age_ms,
        failures,
    }
}

#[test_case(0.17, 0.0, 1; "a sixth crashes")]
#[test_case(0.25, 0.0, 2; "a quarter crashes")]
#[test_case(0.25, 0.2, 3; "a quarter crashes while a fifth of the datagrams is lost")]
fn dead_servers_get_few_requests_and_returned_ones_are_used_soon(share: f64, loss: f64, seed: u64) {
    let alone = crash(share, loss, Reports::None, seed);
    let together = crash(share, loss, Reports::Sent, seed);
    let (before, after) = (alone.lost_attempts, together.lost_attempts);
    let pulse_bytes = together.most_pulse_bytes();
    println!(
        "{before} -> {after}, {} ms, {pulse_bytes} bytes/s",
        together.slowest_return_ms
    );
    assert!(pulse_bytes <= LINK_BYTES_PER_S / 10, "{pulse_bytes}");
    assert!(after * 20 < before, "{after} instead of {before}");
    assert!(
        together.slowest_return_ms <= 1_000,
        "{}",
        together.slowest_return_ms
    );
}

/// Reports of a node that lost its paths, or of one that found most of its servers faulty, would
/// take servers from all others.
#[test_case(true, Some(100), 10, 2, Weight::Full; "a sender that hears servers")]
#[test_case(false, Some(0), 10, 2, Weight::Nothing; "a sender without paths")]
#[test_case(true, Some(900), 10, 2, Weight::Nothing; "a sender that heard none since before the fault")]
#[test_case(true, None, 10, 2, Weight::Nothing; "a sender that never heard one")]
#[test_case(true, Some(0), 10, 6, Weight::NeedsWitness; "a sender with faults at most servers")]
fn senders_count_by_the_servers_that_they_reach(
    reaches: bool,
    server_silence_ms: Option<u64>,
    used: usize,
    faulty: usize,
    expected: Weight,
) {
    let sender = Sender {
        reaches,
        server_silence_ms,
        used,
        faulty,
    };
    assert_eq!(sender.weight(500), expected);
}

fn tell(
    faults: &mut ServerFaults,
    from: &str,
    kind: FaultKind,
    weight: Weight,
    now_ms: u64,
) -> FaultChange {
    let report = report("s", kind, 0, 4);
    faults.apply(&from.into(), &report, weight, 0, now_ms, || true)
}

#[test]
fn an_uncertain_sender_needs_a_second_witness() {
    let mut faults = ServerFaults::default();
    let mut say = |from, now_ms| {
        tell(
            &mut faults,
            from,
            FaultKind::Unreachable,
            Weight::NeedsWitness,
            now_ms,
        )
    };
    assert_eq!(say("a", 1_000), FaultChange::AwaitsWitness);
    assert_eq!(say("a", 1_120), FaultChange::AwaitsWitness);
    assert_eq!(say("b", 1_150), FaultChange::Avoided);
}

/// A sender that always reports the same server must not keep it from all others.
#[test]
fn a_sender_that_is_alone_does_not_prolong_an_avoidance() {
    let mut faults = ServerFaults::default();
    for now_ms in (1_000..3_000).step_by(100) {
        tell(
            &mut faults,
            "a",
            FaultKind::Unreachable,
            Weight::Full,
            now_ms,
        );
        assert!(faults.is_gone(now_ms));
    }
    let is_on_trial = matches!(faults.standing(3_000), Standing::OnTrial { .. });
    assert!(is_on_trial, "{:?}", faults.standing(3_000));
    assert_eq!(faults.sole_reporter(), Some(&"a".into()));
    let answer = tell(&mut faults, "b", FaultKind::Answered, Weight::Full, 3_050);
    let kind = FaultKind::Unreachable;
    assert_eq!(answer, FaultChange::Returned { kind });
    let again = tell(&mut faults, "a", kind, Weight::Full, 3_100);
    assert_eq!(again, FaultChange::AwaitsWitness);
}

#[test]
fn a_sender_of_false_answers_is_believed_once() {
    let mut faults = ServerFaults::default();
    faults.record_own(FaultKind::Unreachable, 1_000);
    let answer = tell(&mut faults, "a", FaultKind::Answered, Weight::Full, 1_100);
    assert!(matches!(answer, FaultChange::Returned { .. }));
    faults.record_own(FaultKind::Unreachable, 1_200);
    let again = tell(&mut faults, "a", FaultKind::Answered, Weight::Full, 1_300);
    assert_eq!(again, FaultChange::Ignored);
    assert!(faults.is_gone(1_300));
}

/// A server whose address belongs to another one gets requests of one node only.
#[test]
fn a_misdirected_server_is_tried_by_the_drawn_node() {
    let (mut drawn, mut other) = (ServerFaults::default(), ServerFaults::default());
    for faults in [&mut drawn, &mut other] {
        faults.record_own(FaultKind::Misdirected, 1_000);
    }
    assert!(drawn.is_gone(1_249) && other.is_gone(1_249));
    drawn.set_drawn();
    assert!(!drawn.is_gone(1_251) && other.is_gone(1_251));
    drawn.record_own(FaultKind::Misdirected, 1_260);
    assert!(drawn.is_gone(1_261) && !other.is_gone(1_501));
}

fn add_server(node: &Node, id: usize, port: u16, born_unix_ms: u64) -> Rc<Server> {
    let record = ServerRecord {
        id: format!("server-of-the-service-{id}").into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], port).into(),
        failure_domain: "a".into(),
        version: "v1".into(),
        slots: 24,
        state: ServerState::Ready,
        purchase: Purchase::OnDemand,
        born_unix_ms,
        sequence: 0,
    };
    let name = record.id.clone();
    let mut registry = node.registry.borrow_mut();
    registry.upsert(record, Vec::new());
    registry.server(&name).unwrap().clone()
}

const BORN_UNIX_MS: u64 = 1_765_000_000_000;

fn heartbeat(from: &str, servers: std::ops::Range<usize>) -> NodeHeartbeat {
    let reports = servers.map(|id| {
        let name = format!("server-of-the-service-{id}");
        report(&name, FaultKind::Unreachable, 0, 1)
    });
    NodeHeartbeat {
        node: from.into(),
        server_silence_ms: Some(0),
        loads: (0..100)
            .map(|n| (format!("other-{n}").into(), 1, 0))
            .collect(),
        faults: reports.collect(),
        ..NodeHeartbeat::default()
    }
}

#[test]
fn reports_take_no_more_than_half_of_a_service() {
    let node = support::node("own");
    let servers: Vec<Rc<Server>> = (0..40)
        .map(|id| add_server(&node, id, 1, BORN_UNIX_MS))
        .collect();
    for from in ["x", "y"] {
        server_faults::apply(&node, &heartbeat(from, 0..30));
    }
    assert_eq!(server_faults::avoided_count(&node), 20);
    assert_eq!(server_faults::without_gone(&node, servers).len(), 20);
}

/// Reports of an earlier life arrive after the server is back at another address.
#[test]
fn a_new_life_is_not_avoided_on_reports_of_the_earlier_one() {
    let node = support::node("own");
    for id in 1..4 {
        add_server(&node, id, 1, BORN_UNIX_MS);
    }
    let earlier = add_server(&node, 0, 1, BORN_UNIX_MS);
    server_faults::apply(&node, &heartbeat("x", 0..1));
    assert!(earlier.is_avoided(node.now_ms()));
    let later = add_server(&node, 0, 2, BORN_UNIX_MS + 3_000);
    server_faults::apply(&node, &heartbeat("y", 0..1));
    assert!(!later.is_avoided(node.now_ms()));
}

/// At 300 nodes and 3,000 servers a heartbeat with faults must stay small on slow links.
#[test]
fn reports_of_many_servers_take_few_bytes() {
    let node = support::node("own");
    for id in 0..3_000 {
        let server = add_server(&node, id, 1, BORN_UNIX_MS);
        server_faults::note_failure(&node, &server, FailureCause::Unreachable);
    }
    let reports = server_faults::reports(&node);
    assert_eq!(reports.len(), REPORTS_LIMIT);
    let bytes = serde_json::to_vec(&reports).unwrap().len();
    assert!(bytes < 2_400, "{bytes}");
    let read: Vec<FaultReport> =
        serde_json::from_slice(&serde_json::to_vec(&reports).unwrap()).unwrap();
    assert_eq!(read, reports);
    node.reach.borrow_mut().conclude(Reach::Lost, 1);
    assert!(
        server_faults::reports(&node).is_empty(),
        "lost paths convince nobody"
    );
}
