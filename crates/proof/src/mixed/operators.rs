//! Two operators who race each other, and a watcher of the versions in force.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinSet;

use super::Stage;
use crate::caller::Balancer;
use crate::deployment::{Deployment, configuration, operator_key};
use crate::guard;
use crate::history::{Event, Recorder};
use crate::wire::{Call, Reply};

/// Pause between two proposals of one operator.
const PROPOSAL_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two looks at one entry VM.
const WATCH_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for one answer of the admin interface.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts both operators and the watcher.
pub(super) fn spawn(deployment: &Deployment, stage: watch::Receiver<Stage>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    for number in 0..2 {
        let admins = deployment.admins.clone();
        let recorder = deployment.recorder.clone();
        tasks.spawn(propose(number, admins, recorder, stage.clone()));
    }
    let admins = deployment.admins.clone();
    tasks.spawn(look(admins, deployment.recorder.clone(), stage));
    tasks
}

async fn propose(
    number: usize,
    admins: Balancer,
    recorder: Recorder,
    stage: watch::Receiver<Stage>,
) {
    let mut at = number;
    while *stage.borrow() == Stage::Running {
        tokio::time::sleep(PROPOSAL_PAUSE).await;
        at += 1;
        let admin = admins.pick(at);
        let Some(base) = version(admin).await else {
            continue;
        };
        let mut document = configuration();
        document["workspaces"][0]["share"] = (10 + at % 50).into();
        let call = Call::post(format!("/admin/config?base={base}"), &document);
        let Some(reply) = ask(call, admin).await else {
            continue;
        };
        if reply.status == 200 {
            let version = base + 1;
            recorder.record(Event::ConfigAccepted { version });
        }
    }
}

async fn look(admins: Balancer, recorder: Recorder, stage: watch::Receiver<Stage>) {
    while *stage.borrow() == Stage::Running {
        for admin in admins.all() {
            let Some(version) = version(admin).await else {
                continue;
            };
            let node = admin.to_string();
            recorder.record(Event::ConfigInForce { node, version });
        }
        tokio::time::sleep(WATCH_PAUSE).await;
    }
}

/// Records as accepted what the store holds and no operator was told; an answer may be lost.
pub(super) async fn record_history(deployment: &Deployment) {
    let newest = guard::until("an entry VM to tell its version", async || {
        version(deployment.admins.pick(0)).await
    })
    .await;
    let mut told = base::Set::default();
    for event in deployment.recorder.events() {
        if let Event::ConfigAccepted { version } = event {
            told.insert(version);
        }
    }
    for version in (1..=newest).filter(|version| !told.contains(version)) {
        deployment
            .recorder
            .record(Event::ConfigAccepted { version });
    }
}

async fn version(admin: SocketAddr) -> Option<u64> {
    let reply = ask(Call::get("/admin/config"), admin).await?;
    reply.json()["version"].as_u64()
}

async fn ask(call: Call, admin: SocketAddr) -> Option<Reply> {
    let call = call.bearer(operator_key());
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, call.send(admin)).await;
    answer.ok()?.ok()
}
