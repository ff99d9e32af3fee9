//! Waiting until a version is in force at every entry VM.

use std::io::{IsTerminal, Write};
use std::time::Duration;

use base::units::Millisecond;
use conf::admin::{NodeState, Status};
use tokio::time::Instant;

use crate::client::Client;
use crate::exit::Exit;
use crate::output::{Applied, Laggard};

/// Time between two looks at the status.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Waits, with a progress line on standard error, until `version` is in force everywhere or the
/// time is over.
pub async fn until_in_force(
    client: &Client,
    version: u64,
    wait_ms: Millisecond,
) -> (Exit, Applied) {
    let deadline = Instant::now() + Duration::from_millis(wait_ms);
    let mut progress = Progress::new(version);
    let mut entry_vms = Vec::new();
    loop {
        let looked = tokio::time::timeout_at(deadline, client.get::<Status>("/admin/status")).await;
        if let Ok(Ok(status)) = looked {
            entry_vms = laggards(&status, version);
            progress.show(
                status.entry_vms.len() - entry_vms.len(),
                status.entry_vms.len(),
            );
            if entry_vms.is_empty() && !status.entry_vms.is_empty() {
                progress.close();
                return (Exit::Success, Applied::InForce { version });
            }
        }
        if Instant::now() + POLL_PERIOD >= deadline {
            break;
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    progress.close();
    let lagging = Applied::Lagging {
        version,
        waited_ms: wait_ms,
        entry_vms,
    };
    (Exit::NotInForce, lagging)
}

/// Entry VMs that take new work, or may, and have an older version.
fn laggards(status: &Status, version: u64) -> Vec<Laggard> {
    let mut lagging = Vec::new();
    for vm in &status.entry_vms {
        if vm.config_version >= version || vm.state == NodeState::Leaving {
            continue;
        }
        lagging.push(Laggard {
            name: vm.name.to_string(),
            state: vm.state,
            config_version: vm.config_version,
        });
    }
    lagging
}

/// The progress line: rewritten in place on a terminal, a line for each change elsewhere.
struct Progress {
    version: u64,
    shown: String,
}

impl Progress {
    fn new(version: u64) -> Self {
        Self {
            version,
            shown: String::new(),
        }
    }

    fn show(&mut self, in_force: usize, total: usize) {
        let version = self.version;
        let line = format!("version {version} is in force at {in_force} of {total} entry VMs");
        if line == self.shown {
            return;
        }
        let mut stderr = std::io::stderr();
        let ends = if stderr.is_terminal() {
            ("\r\x1b[K", "")
        } else {
            ("", "\n")
        };
        // A lost progress line changes nothing about the outcome.
        let _ = write!(stderr, "{}{line}{}", ends.0, ends.1);
        self.shown = line;
    }

    fn close(self) {
        if !self.shown.is_empty() && std::io::stderr().is_terminal() {
            eprintln!();
        }
    }
}
