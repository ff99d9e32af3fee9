//! Deletes stored answers of non-idempotent calls after their retention period.

use std::sync::Arc;
use std::time::Duration;

use base::Name;
use base::units::Millisecond;
use events::Code;
use ledger::Ledger;
use rand::Rng;
use serde::Serialize;
use tokio::task::JoinHandle;

use crate::state::DaemonState;

/// Days for which the answer to a non-idempotent call is kept; its ledger record stays.
pub const ANSWER_RETENTION_DAYS: u32 = 30;

/// Range of the random time between two sweeps of one entry VM.
const SWEEP_PERIOD_MS: std::ops::Range<Millisecond> = 3_600_000..7_200_000;

/// Pause between two pages, which keeps the sweep a small share of the store's writes.
const PAGE_PAUSE_MS: Millisecond = 5_000;

#[derive(Serialize)]
struct SweptLog<'a> {
    workspace: &'a str,
    dropped: u32,
}

/// Starts a task that sweeps all workspaces at random intervals until it is aborted. Entry VMs may
/// sweep the same workspace without coordination.
pub fn spawn(ledger: Ledger, daemon: Arc<DaemonState>) -> JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            let period_ms = rand::rng().random_range(SWEEP_PERIOD_MS);
            tokio::time::sleep(Duration::from_millis(period_ms)).await;
            for workspace in workspaces(&daemon) {
                sweep(&ledger, &workspace).await;
            }
        }
    })
}

fn workspaces(daemon: &DaemonState) -> Vec<Name> {
    let in_force = daemon.config.borrow();
    let Some(in_force) = &*in_force else {
        return Vec::new();
    };
    in_force.config.workspaces.keys().cloned().collect()
}

/// Sweeps one workspace; if the store fails on a page, the rest waits for the next sweep.
async fn sweep(ledger: &Ledger, workspace: &str) {
    let mut after = String::new();
    let mut dropped = 0;
    while let Ok(page) = ledger
        .sweep_page(workspace, &after, ANSWER_RETENTION_DAYS)
        .await
    {
        dropped += page.dropped;
        let Some(next) = page.next else {
            break;
        };
        after = next;
        tokio::time::sleep(Duration::from_millis(PAGE_PAUSE_MS)).await;
    }
    if dropped > 0 {
        events::emit(Code::LedgerSwept, &SweptLog { workspace, dropped });
    }
}
