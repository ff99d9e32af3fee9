//! Size of the fields by which nodes share speeds and loads, at 300 nodes and 3,000 servers.

use base::Name;
use gateway::decide::server_factor::{self, ServerFactor};
use gateway::decide::server_load::{self, LoadReport, ServerLoad};
use gateway::decide::service_speeds::{FirstByte, ServiceSpeeds};
use gateway::decide::speed::{Sample, Work};
use gateway::peer::message::NodeHeartbeat;

/// Guards against heartbeats that grow with the number of servers: a datagram holds 60 KB, and a
/// node of 300 sends one to each other node every 3 s.
#[test]
fn the_fields_are_bounded_at_3_000_servers() {
    let (mut loads, mut factors) = (Vec::new(), Vec::new());
    for n in 0..3_000_u64 {
        let id: Name = format!("model-server-reports-{n:04}").as_str().into();
        let mut load = ServerLoad::default();
        let report = LoadReport {
            running: 24,
            waiting: 100,
            slots: 24,
            pace: 250,
        };
        load.record_own(report, n);
        loads.extend(load.shared(&id, 3_000));
        let mut factor = ServerFactor::default();
        factor.record(1.6, n);
        factors.extend(factor.report(&id, 1_796_000_000_000, 3_000));
    }
    let mut speeds = ServiceSpeeds::default();
    for service in 0..10 {
        let service = format!("service-{service}").as_str().into();
        let sample = Sample {
            work: Work::default(),
            after_ms: 300,
            factor: 1.0,
        };
        speeds.record(&service, FirstByte::Event, &sample, 0);
    }
    let heartbeat = NodeHeartbeat {
        speeds: speeds.reports(3_000),
        server_loads: server_load::newest(loads),
        server_factors: server_factor::newest(factors),
        ..NodeHeartbeat::default()
    };
    assert!(heartbeat.is_plausible());
    let bytes = |h: &NodeHeartbeat| serde_json::to_vec(h).unwrap().len();
    let added = bytes(&heartbeat) - bytes(&NodeHeartbeat::default());
    println!("{added} bytes");
    assert!(added < 8_000, "{added} bytes");
    assert_eq!(heartbeat.server_loads[0].age_ms, 1);
}
