//! Placement under a lease: no VM is bought twice when answers are lost or the lease changes
//! hands.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use engine::{Attempt, Backend, HttpBackend, HttpBackendOptions, Target};
use entry::placement::{PlacementSnapshot, Round};
use fleet::LeaseHolder;
use fleet::lease::LeaseTerms;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use outside::http::{Endpoint, HttpCloud, HttpTable};
use policy::place::{Offer, PlaceConfig, Purchase, ServiceNeed, VmKind};
use rand::SeedableRng;
use rand::rngs::StdRng;
use standin::fault::{Fault, FaultKind};
use standin::platform::{Area, Control, PlatformStats};
use standin::server::Server;
use test_case::test_case;

/// VMs that [`snapshot`] needs: a demand of 100 per second that must survive the loss of one of two
/// failure domains, at 50 per second and VM, with the headroom of the default settings.
const EXPECTED_VMS: u64 = 6;

struct TestPlatform {
    platform: Server,
    backend: HttpBackend,
}

impl TestPlatform {
    async fn open() -> Self {
        let options = standin::platform::Options::default();
        let platform = standin::platform::bind(&options)
            .await
            .expect("a free port");
        Self {
            platform,
            backend: HttpBackend::open(HttpBackendOptions::default()),
        }
    }

    async fn call(&self, method: Method, path: &str, body: Vec<u8>) -> Vec<u8> {
        let target = Target {
            id: "platform".into(),
            address: self.platform.address(),
        };
        let attempt = Attempt {
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: body.into(),
            head_timeout_ms: 10_000,
        };
        let answer = self.backend.send(&target, attempt).await.expect("answers");
        assert_eq!(answer.status, StatusCode::OK);
        let body = answer.body.collect().await.expect("whole");
        body.to_bytes().to_vec()
    }

    async fn fault(&self, area: Area, kind: FaultKind, next: Option<u32>) {
        let fault = Fault {
            kind,
            delay_ms: 0,
            next,
        };
        let control = Control::Fault { area, fault };
        let body = serde_json::to_vec(&control).expect("plain data");
        self.call(Method::POST, "/control", body).await;
    }

    async fn bought(&self) -> u64 {
        let body = self.call(Method::GET, "/stats", Vec::new()).await;
        let stats: PlatformStats = serde_json::from_slice(&body).expect("stats");
        stats.vms_bought
    }

    fn holder(&self, node: &str, seed: u64) -> (LeaseHolder, Round) {
        let endpoint = Endpoint {
            address: self.platform.address(),
            connect_timeout_ms: 1_000,
            call_timeout_ms: 1_000,
        };
        let table = Arc::new(HttpTable::open(endpoint, "t"));
        let node = Name::from(node);
        let lease = LeaseHolder::spawn("placement", node, table.clone(), LeaseTerms::default());
        let round = Round {
            lease: lease.handle(),
            rng: StdRng::seed_from_u64(seed),
            config: PlaceConfig::default(),
            table,
            cloud: Arc::new(HttpCloud::open(endpoint)),
        };
        (lease, round)
    }
}

async fn until_held(round: &Round) {
    for _ in 0..600 {
        if round.lease.permit().is_some() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("the lease was not acquired within 30 seconds");
}

fn snapshot() -> PlacementSnapshot {
    let mut snapshot = PlacementSnapshot::default();
    snapshot.input.needs.push(ServiceNeed {
        service: "drafting".into(),
        demand_per_s: 100.0,
        on_demand_floor: 0.0,
    });
    for failure_domain in ["vake", "didube"] {
        snapshot.input.offers.push(Offer {
            service: "drafting".into(),
            kind: VmKind {
                class: "runner-medium".into(),
                failure_domain: failure_domain.into(),
                purchase: Purchase::Reclaimable,
            },
            price_micros_per_h: 1_000_000,
            capacity_per_s: 50.0,
        });
    }
    snapshot
}

#[test_case(Area::Cloud, FaultKind::LoseAnswer, Some(2); "two answers of the cloud are lost")]
#[test_case(Area::Cloud, FaultKind::ErrorAfter, Some(3); "the cloud fails after the effect")]
#[test_case(Area::TableWrites, FaultKind::LoseAnswer, Some(1); "the answer to a store write is lost")]
#[test_case(Area::Cloud, FaultKind::DropBefore, Some(2); "two orders never arrive")]
#[tokio::test]
async fn a_need_is_bought_once(area: Area, kind: FaultKind, next: Option<u32>) {
    let world = TestPlatform::open().await;
    let (lease, mut round) = world.holder("entry-1", 1);
    until_held(&round).await;
    world.fault(area, kind, next).await;
    for _ in 0..4 {
        round.run(|_| Some(snapshot())).await;
    }
    // The snapshot never lists the VMs that were bought, so only the stored state prevents buying
    // them again.
    assert_eq!(world.bought().await, EXPECTED_VMS);
    lease.close().await;
}

#[tokio::test]
async fn a_successor_buys_nothing_that_was_bought() {
    let world = TestPlatform::open().await;
    let (first_lease, mut first) = world.holder("entry-1", 1);
    until_held(&first).await;
    // Two orders take effect but their answers are lost, so the first holder doesn't know their
    // outcome when it releases the lease.
    world
        .fault(Area::Cloud, FaultKind::LoseAnswer, Some(2))
        .await;
    first.run(|_| Some(snapshot())).await;
    first_lease.close().await;
    let (second_lease, mut second) = world.holder("entry-2", 2);
    until_held(&second).await;
    for _ in 0..3 {
        second.run(|_| Some(snapshot())).await;
        first.run(|_| Some(snapshot())).await;
    }
    assert_eq!(world.bought().await, EXPECTED_VMS);
    second_lease.close().await;
}

#[tokio::test]
async fn without_the_store_nothing_is_bought() {
    let world = TestPlatform::open().await;
    let (lease, mut round) = world.holder("entry-1", 1);
    until_held(&round).await;
    world
        .fault(Area::TableWrites, FaultKind::Unavailable, None)
        .await;
    round.run(|_| Some(snapshot())).await;
    assert_eq!(world.bought().await, 0);
    lease.close().await;
}
