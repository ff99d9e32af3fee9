//! A whole deployment as child processes: platform, backend servers and entry VMs.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

use base::secret::key_digest_hex;
use base::units::Millisecond;
use serde_json::{Value, json};
use standin::fault::Fault;
use standin::journal::{self, Entry as JournalEntry, unix_ms};
use standin::platform::{Area, Control, Vm, VmRole};

use crate::caller::{Balancer, Caller};
use crate::guard;
use crate::history::{EffectSeen, Event, Recorder};
use crate::process::Process;
use crate::programs::Program;
use crate::relay::Relay;
use crate::wire::Call;

/// Failure domains of the example configuration.
const FAILURE_DOMAINS: [&str; 3] = ["vake", "saburtalo", "didube"];

/// Secret of the entry VMs; works as the operator's key until a configuration is in force.
const SECRET: &str = "the-secret-of-the-proofs";

/// The operator's key.
const OPERATOR_KEY: &str = "the-operator-key-of-the-proofs";

/// What to start.
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

/// A running backend server.
#[derive(Debug)]
pub struct Backend {
    /// Its VM's identifier.
    pub vm: String,
    /// Its process.
    pub process: Process,
    /// Where its own process listens.
    pub address: SocketAddr,
    /// What stands between it and the entry VMs.
    pub relay: Relay,
}

/// A running entry VM.
#[derive(Debug)]
pub struct Entry {
    /// Its VM's identifier.
    pub vm: String,
    /// Its process.
    pub process: Process,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub admin: SocketAddr,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Whether the platform lists it.
    pub listing: Listing,
}

/// Whether the platform lists a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// It does.
    Listed,
    /// No more.
    Removed,
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
    /// Where callers reach the entry VMs.
    pub balancer: Balancer,
    /// Where operators reach the entry VMs.
    pub admins: Balancer,
    /// The history of the run.
    pub recorder: Recorder,
    platform_address: SocketAddr,
    plan: Plan,
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

    /// Starts one more model engine and lists it.
    pub async fn add_engine(&mut self) {
        let number = self.engines.len() + 1;
        let rate = self.plan.decode_tokens_per_s.to_string();
        let arguments = ["--journal", "--decode-tokens-per-s", &rate];
        let vm = format!("runner-{number}");
        let backend = self.start(Program::Engine, vm, &arguments).await;
        self.list(&backend, number, "runner-medium", "drafting")
            .await;
        self.engines.push(backend);
    }

    /// Starts one more plain service and lists it.
    pub async fn add_desk(&mut self) {
        let number = self.desks.len() + 1;
        let vm = format!("desk-{number}");
        let backend = self.start(Program::Plain, vm, &["--journal"]).await;
        self.list(&backend, number, "app-small", "filing-desk")
            .await;
        self.desks.push(backend);
    }

    async fn start(&self, program: Program, vm: String, arguments: &[&str]) -> Backend {
        let arguments: Vec<String> = arguments.iter().map(|text| text.to_string()).collect();
        let mut process = Process::spawn(program, &vm, &self.directory, &arguments);
        let address = listening(&mut process).await;
        Backend {
            vm,
            process,
            address,
            relay: Relay::bind(address).await,
        }
    }

    async fn list(&self, backend: &Backend, number: usize, class: &str, service: &str) {
        self.control(&Control::PutVm {
            vm: Vm {
                id: backend.vm.clone(),
                address: backend.relay.address(),
                failure_domain: failure_domain(number).to_owned(),
                class: class.to_owned(),
                role: VmRole::Backend,
                service: Some(service.to_owned()),
            },
        })
        .await;
    }

    /// Starts one more entry VM, which knows the first one, and lists it.
    pub async fn add_entry(&mut self) {
        let number = self.entries.len() + 1;
        let vm = format!("entry-{number}");
        let settings = self.directory.join(format!("{vm}.toml"));
        std::fs::write(&settings, self.settings(number)).expect("the directory can be written");
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let mut process = Process::spawn(Program::Daemon, &vm, &self.directory, &arguments);
        let line = process.line("listening ").await;
        let entry = Entry {
            callers: field(&line, "callers="),
            admin: field(&line, "admin="),
            peers: field(&line, "peers="),
            vm,
            process,
            listing: Listing::Listed,
        };
        self.control(&Control::PutVm {
            vm: Vm {
                id: entry.vm.clone(),
                address: entry.peers,
                failure_domain: failure_domain(number).to_owned(),
                class: "app-small".to_owned(),
                role: VmRole::Entry,
                service: None,
            },
        })
        .await;
        self.balancer.add(entry.callers);
        self.admins.add(entry.admin);
        self.entries.push(entry);
    }

    /// Asks an entry VM to leave; the balancer sends nothing more to it.
    pub async fn retire_entry(&mut self, index: usize) {
        let entry = &mut self.entries[index];
        self.balancer.remove(entry.callers);
        self.admins.remove(entry.admin);
        entry.process.terminate();
    }

    /// Takes entry VMs that have ended off the platform's list.
    pub async fn retire_ended_entries(&mut self) {
        let mut ended = Vec::new();
        for entry in &mut self.entries {
            if !entry.process.is_running() && entry.listing == Listing::Listed {
                entry.listing = Listing::Removed;
                ended.push(entry.vm.clone());
            }
        }
        for id in ended {
            self.control(&Control::RemoveVm { id }).await;
        }
    }

    /// Indices of the entry VMs that the balancer knows.
    pub fn serving_entries(&self) -> Vec<usize> {
        let known = self.balancer.all();
        let entries = self.entries.iter().enumerate();
        entries
            .filter_map(|(index, entry)| known.contains(&entry.callers).then_some(index))
            .collect()
    }

    fn settings(&self, number: usize) -> String {
        let seeds: Vec<String> = self.entries.iter().map(|e| e.peers.to_string()).collect();
        format!(
            "[node]\nname = \"entry-{number}\"\nfailure_domain = \"{}\"\ncores = {}\n\
             [listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [platform]\nurl = \"http://{}\"\nbucket = \"apricotledge\"\n\
             [peers]\nsecret = \"{SECRET}\"\nseeds = {seeds:?}\n\
             [timeouts]\n{}\n",
            failure_domain(number),
            1 + number % 3,
            self.platform_relay.address(),
            self.plan.timeouts,
        )
    }

    /// Gives the platform an order.
    ///
    /// # Panics
    ///
    /// Panics if the platform does not take it.
    pub async fn control(&self, control: &Control) {
        let body = serde_json::to_value(control).expect("an order is plain data");
        let reply = Call::post("/control", &body)
            .send(self.platform_address)
            .await;
        assert_eq!(reply.expect("the platform answers").status, 200);
    }

    /// Gives a VM notice and records it.
    pub async fn reclaim(&self, vm: &str, remaining_ms: Millisecond) {
        self.recorder.record(Event::NoticeGiven {
            vm: vm.to_owned(),
            at_unix_ms: unix_ms(),
        });
        let id = vm.to_owned();
        self.control(&Control::Reclaim { id, remaining_ms }).await;
    }

    /// Proposes a configuration at an entry VM; answers the version it became, or the status.
    pub async fn apply(
        &self,
        entry: usize,
        base: u64,
        document: &Value,
        key: &str,
    ) -> Result<u64, u16> {
        let call = Call::post(format!("/admin/config?base={base}"), document).bearer(key);
        let reply = call
            .send(self.entries[entry].admin)
            .await
            .map_err(|_| 0_u16)?;
        if reply.status != 200 {
            return Err(reply.status.as_u16());
        }
        let version = base + 1;
        self.recorder.record(Event::ConfigAccepted { version });
        Ok(version)
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

    /// Sets switches of a backend server.
    ///
    /// # Panics
    ///
    /// Panics if the backend server does not take them.
    pub async fn set_faults(&self, backend: &Backend, faults: &Value) {
        let reply = Call::post("/faults", faults).send(backend.address).await;
        assert_eq!(reply.expect("the stand-in answers").status, 200);
    }

    /// Sets a fault of one of the platform's services.
    pub async fn set_platform_fault(&self, area: Area, fault: Fault) {
        self.control(&Control::Fault { area, fault }).await;
    }

    /// Waits until an engine has sent tokens of a running stream, and returns its index.
    pub async fn busy_engine(&self) -> usize {
        guard::until("an engine amid a stream", async || {
            for (index, engine) in self.engines.iter().enumerate() {
                let reply = Call::get("/load").send(engine.address).await.ok()?;
                let stats = Call::get("/stats").send(engine.address).await.ok()?;
                let generated = stats.json()["tokens_generated"].as_u64()?;
                if reply.json()["running"].as_u64()? > 0 && generated > 10 {
                    return Some(index);
                }
            }
            None
        })
        .await
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

    /// Adds what the backend servers' journals hold of the recorded operations to the history, and
    /// returns it. Call it once, at the end.
    pub fn history(&self) -> Vec<Event> {
        for backend in self.engines.iter().chain(&self.desks) {
            for line in backend.process.lines() {
                let Some(entry) = journal::parse(&line) else {
                    continue;
                };
                self.record_journal(&backend.vm, entry);
            }
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

    /// Directory of settings and logs.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    /// Ends every process and removes settings and logs.
    pub async fn close(mut self) {
        for entry in &mut self.entries {
            entry.process.kill();
        }
        for backend in self.engines.iter_mut().chain(&mut self.desks) {
            backend.process.kill();
        }
        self.platform.kill();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The operator's key.
pub fn operator_key() -> &'static str {
    OPERATOR_KEY
}

/// Bearer key of a workspace.
pub fn workspace_key(workspace: &str) -> String {
    format!("the-key-of-{workspace}")
}

/// The example configuration with the keys of the proofs.
pub fn configuration() -> Value {
    let text = include_str!("../../../examples/cooperative.json");
    let mut document: Value = serde_json::from_str(text).expect("the example is JSON");
    for workspace in document["workspaces"].as_array_mut().expect("a list") {
        let name = workspace["name"].as_str().expect("a name").to_owned();
        workspace["key_digests"] = json!([key_digest_hex(&workspace_key(&name))]);
    }
    document["operators"][0]["key_digest"] = json!(key_digest_hex(OPERATOR_KEY));
    document
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

fn field(line: &str, name: &str) -> SocketAddr {
    let mut words = line.split(' ');
    let value = words.find_map(|word| word.strip_prefix(name));
    let value = value.unwrap_or_else(|| panic!("`{line}` has no {name}"));
    value.parse().expect("the daemon says its addresses")
}
