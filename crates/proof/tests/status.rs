//! What a daemon's status says of the other daemons' configuration is not out of date.

use conf::admin::{ConfigView, Status};
use proof::deployment::{Deployment, Plan, configuration, operator_key};
use proof::guard::until;
use proof::wire::Call;
use serde_json::json;

/// Configurations applied one after the other.
const APPLIES: u64 = 4;

async fn version_at(deployment: &Deployment, entry: usize) -> u64 {
    let call = Call::get("/admin/config").bearer(operator_key());
    let reply = call.send(deployment.entries[entry].admin).await.unwrap();
    let view: ConfigView = serde_json::from_value(reply.json()).unwrap();
    view.version
}

async fn status_at(deployment: &Deployment, entry: usize) -> Status {
    let call = Call::get("/admin/status").bearer(operator_key());
    let reply = call.send(deployment.entries[entry].admin).await.unwrap();
    serde_json::from_value(reply.json()).unwrap()
}

#[tokio::test]
async fn status_shows_a_version_as_soon_as_it_is_in_force() {
    let deployment = Deployment::open(Plan::default()).await;
    let entries = deployment.entries.len();
    let mut base = version_at(&deployment, 0).await;
    for apply in 0..APPLIES {
        let mut document = configuration();
        document["workspaces"][0]["share"] = json!(40 + apply);
        let at = apply as usize % entries;
        let applied = deployment.apply(at, base, &document, operator_key()).await;
        base = applied.expect("accepted");
        for entry in 0..entries {
            until("the version in force", async || {
                (version_at(&deployment, entry).await >= base).then_some(())
            })
            .await;
        }
        let status = status_at(&deployment, at).await;
        assert_eq!(status.entry_vms.len(), entries);
        for vm in &status.entry_vms {
            assert_eq!(
                vm.config_version, base,
                "{} as entry VM {at} sees it",
                vm.name
            );
        }
    }
    deployment.close().await;
}
