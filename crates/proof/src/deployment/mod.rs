//! A whole deployment as child processes: platform, backend servers and entry VMs.

mod backends;
mod document;
mod entries;
mod platform;

pub use backends::Backend;
pub use document::{configuration, operator_key, workspace_key};
pub use entries::{Entry, Listing};

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::json;
use standin::journal::{self, Entry as JournalEntry};

use crate::caller::{Balancer, Caller};
use crate::guard;
use crate::history::{EffectSeen, Event, Recorder};
use crate::process::Process;
use crate::programs::Program;
use crate::relay::Relay;
use crate::wire::Call;
use document::SECRET;

/// Failure domains of the example configuration.
const FAILURE_DOMAINS: [&str; 3] = ["vake", "saburtalo", "didube"];

/// Processes of a deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entry VMs.
    pub entries: usize,
    /// Model engines.
    pub engines: usize,
    /// Plain services.
    pub desks: usize,
    /// Decoding speed of the engines.
    pub decode_tokens_per_s: u32,
    /// Lines added to the daemons' `[timeouts]`.
    pub timeouts: String,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 3,
            desks: 2,
            decode_tokens_per_s: 100,
            timeouts: String::new(),
        }
    }
}

/// A running deployment; everything ends when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: Process,
    /// What stands between it and the entry VMs.
    pub platform_relay: Relay,
    /// Model engines.
    pub engines: Vec<Backend>,
    /// Plain services.
    pub desks: Vec<Backend>,
    /// Entry VMs.
    pub entries: Vec<Entry>,
    /// Addresses of the entry VMs for callers.
    pub balancer: Balancer,
    /// Where operators reach the entry VMs.
    pub admins: Balancer,
    /// The history of the run.
    pub recorder: Recorder,
    platform_address: SocketAddr,
    plan: Plan,
    /// Program of the entry VMs that are started from now on.
    pub daemon: PathBuf,
    directory: PathBuf,
}

impl Deployment {
    /// Starts everything, applies the configuration and waits until every entry VM serves.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start or does not become ready.
    pub async fn open(plan: Plan) -> Self {
        let directory = new_directory();
        let arguments = Vec::new();
        let mut platform = Process::spawn(Program::Platform, "platform", &directory, &arguments);
        let platform_address = listening(&mut platform).await;
        let mut deployment = Self {
            platform_relay: Relay::bind(platform_address).await,
            platform,
            engines: Vec::new(),
            desks: Vec::new(),
            entries: Vec::new(),
            balancer: Balancer::default(),
            admins: Balancer::default(),
            recorder: Recorder::default(),
            platform_address,
            plan: plan.clone(),
            daemon: Program::Daemon.path(),
            directory,
        };
        for _ in 0..plan.engines {
            deployment.add_engine().await;
        }
        for _ in 0..plan.desks {
            deployment.add_desk().await;
        }
        for _ in 0..plan.entries {
            deployment.add_entry().await;
        }
        let version = deployment.apply(0, 0, &configuration(), SECRET).await;
        assert_eq!(version, Ok(1), "the first configuration is accepted");
        deployment.ready().await;
        deployment
    }

    /// Waits until every running entry VM answers a draft and a check of the filing desk.
    pub async fn ready(&mut self) {
        let probe = Call::post(
            "/v1/chat/completions",
            &json!({
                "model": "drafting", "max_tokens": 1,
                "messages": [{"role": "user", "content": "ready?"}],
            }),
        );
        let probes = [
            probe.bearer(&workspace_key("village-schools")),
            Call::post("/services/filing-desk/check", &json!({}))
                .bearer(&workspace_key("village-schools")),
        ];
        for entry in &mut self.entries {
            if !entry.process.is_running() {
                continue;
            }
            for probe in &probes {
                let what = format!("{} to answer {}", entry.vm, probe.path);
                guard::until(&what, async || {
                    let reply = probe.send(entry.callers).await.ok()?;
                    (reply.status == 200).then_some(())
                })
                .await;
            }
        }
    }

    /// A caller of a workspace, which reaches every entry VM.
    pub fn caller(&self, workspace: &str) -> Caller {
        Caller {
            workspace: workspace.to_owned(),
            key: workspace_key(workspace),
            entries: self.balancer.clone(),
            recorder: self.recorder.clone(),
        }
    }

    /// Ends the backend servers, adds what their journals hold of the recorded operations to the
    /// history, and returns it. Call it once, at the end.
    pub fn history(&mut self) -> Vec<Event> {
        let mut entries = Vec::new();
        for backend in self.engines.iter_mut().chain(&mut self.desks) {
            // What is still in the pipe of a process that runs would be missing.
            let lines = backend.process.kill_for_lines();
            let read = lines.iter().filter_map(|line| journal::parse(line));
            entries.extend(read.map(|entry| (backend.vm.clone(), entry)));
        }
        for (vm, entry) in entries {
            self.record_journal(&vm, entry);
        }
        self.recorder.events()
    }

    fn record_journal(&self, vm: &str, entry: JournalEntry) {
        let vm = vm.to_owned();
        match entry {
            JournalEntry::Arrival(arrival) => self.recorder.record(Event::Arrived {
                vm,
                request_id: arrival.request_id,
                at_unix_ms: arrival.at_unix_ms,
            }),
            // The probes of `ready` go to another path.
            JournalEntry::Effect(effect) if effect.path.starts_with("/filings") => {
                self.recorder.record(Event::Effect(EffectSeen {
                    vm,
                    seq: effect.seq,
                    request_id: effect.request_id.unwrap_or_default(),
                    body_hash: effect.body_hash,
                }));
            }
            JournalEntry::Effect(_) => {}
        }
    }

    /// Ends every process and removes settings and logs.
    pub async fn close(mut self) {
        self.end();
        let _ = std::fs::remove_dir_all(&self.directory);
    }

    /// Ends every process, and returns the directory of their logs. It also holds the journals of the
    /// backend servers and, in `run.log`, the lines given.
    ///
    /// # Panics
    ///
    /// Panics if the directory cannot be written.
    pub async fn close_with_logs(mut self, run: &[String]) -> PathBuf {
        self.end();
        let write = |name: &str, lines: &[String]| {
            let file = self.directory.join(name);
            std::fs::write(file, lines.join("\n")).expect("the directory can be written");
        };
        for backend in self.engines.iter().chain(&self.desks) {
            write(&format!("{}.journal", backend.vm), &backend.process.lines());
        }
        write("run.log", run);
        self.directory
    }

    fn end(&mut self) {
        for entry in &mut self.entries {
            entry.process.kill();
        }
        for backend in self.engines.iter_mut().chain(&mut self.desks) {
            backend.process.kill();
        }
        self.platform.kill();
    }
}

fn failure_domain(number: usize) -> &'static str {
    FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()]
}

fn new_directory() -> PathBuf {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    let name = format!("apricotledge-proof-{}-{number}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("the temporary directory can be written");
    directory
}

async fn listening(process: &mut Process) -> SocketAddr {
    let line = process.line("listening ").await;
    line.parse().expect("a stand-in says its address")
}
