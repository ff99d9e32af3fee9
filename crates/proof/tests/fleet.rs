//! Entry VMs among themselves: frozen and awake again, racing operators, an outage at a start.

use std::time::Duration;

use base::Set;
use base::secret::key_digest_hex;
use proof::deployment::{Deployment, Plan, configuration, operator_key, workspace_key};
use proof::guard::until;
use proof::history::Event;
use proof::wire::{Call, Reply};
use serde_json::{Value, json};
use standin::fault::{Fault, FaultKind};
use standin::journal::unix_ms;
use standin::platform::Area;
use test_case::test_case;

const WORKSPACE: &str = "village-schools";
const NEW_KEY: &str = "the-new-key-of-village-schools";
const DRAFTS: usize = 30;
const PAUSE: Duration = Duration::from_millis(20);
const REMAINING_MS: u64 = 600_000;
const OUTAGE: [Area; 4] = [
    Area::TableReads,
    Area::TableWrites,
    Area::Objects,
    Area::Vms,
];

/// The example with another key for one workspace.
fn rekeyed(key: &str) -> Value {
    let mut document = configuration();
    for workspace in document["workspaces"].as_array_mut().expect("a list") {
        if workspace["name"] == WORKSPACE {
            workspace["key_digests"] = json!([key_digest_hex(key)]);
        }
    }
    document
}

async fn status(deployment: &Deployment, entry: usize) -> Option<Value> {
    let call = Call::get("/admin/status").bearer(operator_key());
    let reply = call.send(deployment.entries[entry].admin).await.ok()?;
    Some(reply.json())
}

async fn until_in_force(deployment: &Deployment, entry: usize, version: u64) {
    let what = format!("version {version} in force at entry {entry}");
    until(&what, async || {
        let status = status(deployment, entry).await?;
        (status["config_version"].as_u64()? >= version).then_some(())
    })
    .await;
}

async fn draft(deployment: &Deployment, entry: usize, key: &str) -> Option<Reply> {
    let body = json!({
        "model": "drafting", "max_tokens": 2,
        "messages": [{"role": "user", "content": format!("line {}", unix_ms())}],
    });
    let call = Call::post("/v1/chat/completions", &body).bearer(key);
    call.send(deployment.entries[entry].callers).await.ok()
}

/// State of a named thing in a list of the status.
fn state_of<'a>(status: &'a Value, list: &str, field: &str, name: &str) -> Option<&'a str> {
    let items = status[list].as_array()?;
    items.iter().find(|i| i[field] == name)?["state"].as_str()
}

#[tokio::test]
async fn a_frozen_entry_wakes_to_the_new_configuration_and_the_marks() {
    let mut deployment = Deployment::open(Plan::default()).await;
    let frozen = 2;
    let name = deployment.entries[frozen].vm.clone();
    deployment.entries[frozen].process.freeze();
    deployment.reclaim("runner-1", REMAINING_MS).await;
    let applied = deployment
        .apply(0, 1, &rekeyed(NEW_KEY), operator_key())
        .await;
    assert_eq!(applied, Ok(2));
    until_in_force(&deployment, 0, 2).await;
    until_in_force(&deployment, 1, 2).await;
    until(
        "the frozen entry VM is given up, the runner leaves",
        async || {
            let status = status(&deployment, 0).await?;
            let entry = state_of(&status, "entry_vms", "name", &name)?;
            let runner = state_of(&status, "backend_servers", "id", "runner-1")?;
            (entry == "leaving" && runner == "leaving").then_some(())
        },
    )
    .await;

    deployment.entries[frozen].process.resume();
    let woke_ms = unix_ms();
    let (mut old_key, mut new_key) = (Vec::new(), 0);
    while new_key < DRAFTS {
        let old = draft(&deployment, frozen, &workspace_key(WORKSPACE)).await;
        old_key.extend(old.map(|reply| reply.status.as_u16()));
        let new = draft(&deployment, frozen, NEW_KEY).await;
        new_key += usize::from(new.is_some_and(|reply| reply.status == 200));
        tokio::time::sleep(PAUSE).await;
    }
    let seen: Set<u16> = old_key.iter().copied().collect();
    println!(
        "answers to the old key: {}, statuses {seen:?}",
        old_key.len()
    );
    assert!(!seen.contains(&200), "the older configuration was served");

    let arrived = deployment.entries[frozen].vm.clone();
    let late = |event: &&Event| {
        matches!(event, Event::Arrived { vm, at_unix_ms, .. }
            if vm == "runner-1" && *at_unix_ms >= woke_ms)
    };
    let events = deployment.history();
    let late = events.iter().filter(late).count();
    assert_eq!(late, 0, "{arrived} sent work to a leaving runner");
    deployment.close().await;
}

#[test_case(None; "answers arrive")]
#[test_case(Some(FaultKind::LoseAnswer); "an answer is lost")]
#[test_case(Some(FaultKind::ErrorAfter); "an error after the effect")]
#[tokio::test]
async fn one_of_racing_operators_wins(kind: Option<FaultKind>) {
    const ROUNDS: u64 = 5;
    let deployment = Deployment::open(Plan::default()).await;
    for base in 1..=ROUNDS {
        if let Some(kind) = kind {
            let fault = Fault {
                kind,
                next: Some(1),
                ..Fault::default()
            };
            deployment
                .set_platform_fault(Area::TableWrites, fault)
                .await;
        }
        let documents = [0, 1, 2].map(|entry| rekeyed(&format!("key-{base}-{entry}")));
        let (first, second, third) = tokio::join!(
            deployment.apply(0, base, &documents[0], operator_key()),
            deployment.apply(1, base, &documents[1], operator_key()),
            deployment.apply(2, base, &documents[2], operator_key())
        );
        let results = [first, second, third];
        let winner = results.iter().position(|r| *r == Ok(base + 1));
        let lost = results.iter().filter(|r| **r == Err(409)).count();
        let winner = winner.unwrap_or_else(|| panic!("nobody won: {results:?}"));
        assert_eq!(lost, 2, "{results:?}");
        let key = format!("key-{base}-{winner}");
        for entry in 0..3 {
            until_in_force(&deployment, entry, base + 1).await;
            until("the winner's key is served", async || {
                let reply = draft(&deployment, entry, &key).await?;
                (reply.status == 200).then_some(())
            })
            .await;
        }
    }
    println!("races {ROUNDS}, one winner each");
    deployment.close().await;
}

#[tokio::test]
async fn an_entry_starts_from_its_peers_during_an_outage() {
    let mut deployment = Deployment::open(Plan::default()).await;
    let applied = deployment
        .apply(0, 1, &rekeyed(NEW_KEY), operator_key())
        .await;
    assert_eq!(applied, Ok(2));
    until_in_force(&deployment, 0, 2).await;
    until_in_force(&deployment, 1, 2).await;
    for area in OUTAGE {
        let fault = Fault {
            kind: FaultKind::Unavailable,
            ..Fault::default()
        };
        deployment.set_platform_fault(area, fault).await;
    }
    deployment.entries[2].process.kill();
    deployment.add_entry().await;
    until_in_force(&deployment, 3, 2).await;
    for entry in [0, 1] {
        let reply = draft(&deployment, entry, NEW_KEY).await;
        assert_eq!(reply.map(|r| r.status.as_u16()), Some(200));
    }
    let refused = draft(&deployment, 3, &workspace_key(WORKSPACE)).await;
    let refused = refused.map(|reply| reply.status.as_u16());
    assert_ne!(refused, Some(200), "the older configuration was served");
    deployment.close().await;
}
