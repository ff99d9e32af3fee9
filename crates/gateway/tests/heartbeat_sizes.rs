//! Size of the fields by which nodes share speeds and loads, at 300 nodes and 3,000 servers.

use base::Name;
use gateway::decide::server_factor::{self, ServerFactor};
use gateway::decide::server_load::{self, LoadReport, ServerLoad};
use gateway::decide::service_speeds::{FirstByte, ServiceSpeeds};
use gateway::decide::speed::{Sample, Work};
use gateway::peer::message::NodeHeartbeat;

/// What a node has received of one server.
fn received(report: LoadReport, factor: f64, now_ms: u64) -> (ServerLoad, ServerFactor) {
    let (mut load, mut server_factor) = (ServerLoad::default(), ServerFactor::default());
    load.record_own(report, now_ms);
    server_factor.record(factor, now_ms);
    (load, server_factor)
}

fn speeds(services: &[&str], now_ms: u64) -> ServiceSpeeds {
    let mut speeds = ServiceSpeeds::default();
    for service in services {
        let sample = Sample {
            work: Work::default(),
            after_ms: 300,
            factor: 1.0,
        };
        speeds.record(&(*service).into(), FirstByte::Event, &sample, now_ms);
    }
    speeds
}

fn added_bytes(heartbeat: &NodeHeartbeat) -> usize {
    let bytes = |h: &NodeHeartbeat| serde_json::to_vec(h).unwrap().len();
    bytes(heartbeat) - bytes(&NodeHeartbeat::default())
}

/// Guards against heartbeats that grow with the number of servers: a datagram holds 60 KB, and a
/// node of 300 sends one to each other node every 3 s.
#[test]
fn the_fields_are_bounded_at_3_000_servers() {
    let (mut loads, mut factors) = (Vec::new(), Vec::new());
    for n in 0..3_000_u64 {
        let id: Name = format!("model-server-reports-{n:04}").as_str().into();
        let report = LoadReport {
            running: 24,
            waiting: 100,
            slots: 24,
            pace: 250,
        };
        let (load, factor) = received(report, 1.6, n);
        loads.extend(load.shared(&id, 1_500, 3_000));
        factors.extend(factor.report(&id, 1_796_000_000_000, 3_000, 3_000));
    }
    let services: Vec<String> = (0..10).map(|n| format!("service-{n}")).collect();
    let services: Vec<&str> = services.iter().map(String::as_str).collect();
    let heartbeat = NodeHeartbeat {
        speeds: speeds(&services, 0).reports(3_000),
        server_loads: server_load::newest(loads),
        server_factors: server_factor::newest(factors),
        ..NodeHeartbeat::default()
    };
    assert!(heartbeat.is_plausible());
    let added = added_bytes(&heartbeat);
    println!("{added} bytes");
    assert!(added < 8_000, "{added} bytes");
    assert_eq!(heartbeat.server_loads[0].age_ms, 1);
}

/// Guards against heartbeats that fill the links of 10 Mbit/s of the first deployment: each of 67
/// nodes receives 66 of them in 0.72 s, and callers' requests wait behind them.
#[test]
fn the_fields_leave_nine_tenths_of_a_thin_link_free() {
    const LINK_BYTES_PER_S: f64 = 1_250_000.0;
    const HEARTBEAT_MS: u64 = 720;
    // The node's share of 640 requests in a second, by which it hears of 112 servers in turn.
    const REQUEST_MS: u64 = 67 * 1_000 / 640;
    let now_ms = 112 * REQUEST_MS;
    let (mut loads, mut factors) = (Vec::new(), Vec::new());
    for n in 0..112 {
        let id: Name = format!("i-40a{n:07}").as_str().into();
        let at_ms = n * REQUEST_MS;
        let report = LoadReport {
            running: 20,
            waiting: 0,
            slots: 24,
            pace: 100,
        };
        let (load, factor) = received(report, 1.6, at_ms);
        loads.extend(load.shared(&id, HEARTBEAT_MS / 2, now_ms));
        factors.extend(factor.report(&id, 1_796_000_000_000, HEARTBEAT_MS, now_ms));
    }
    let heartbeat = NodeHeartbeat {
        speeds: speeds(&["model-server", "plain-server"], now_ms).reports(now_ms),
        server_loads: server_load::newest(loads),
        server_factors: server_factor::newest(factors),
        ..NodeHeartbeat::default()
    };
    let added = added_bytes(&heartbeat);
    let received_per_s = 66.0 * added as f64 * 1_000.0 / HEARTBEAT_MS as f64;
    println!("{added} bytes, {received_per_s:.0} bytes/s");
    assert!(received_per_s <= LINK_BYTES_PER_S / 10.0, "{added} bytes");
}
