//! Six unequal entry VMs, twenty unequal runners and the platform, as processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use base::secret::key_digest_hex;
use proof::guard;
use proof::process::Process;
use proof::programs::Program;
use proof::wire::Call;
use serde_json::{Value, json};
use standin::platform::{Control, Vm, VmRole};

const SECRET: &str = "the-secret-of-the-measurements";
/// Cores of the entry VMs; they differ.
const ENTRY_CORES: [u32; 6] = [1, 4, 4, 2, 2, 2];
const KV_TOKENS: f64 = 40_000.0;
const LOAD_LAG_MS: u32 = 200;
const CACHE_EVENT_LAG_MS: u32 = 500;

/// Whose deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// The Cooperative.
    Cooperative,
    /// The Consortium.
    Consortium,
}

impl User {
    fn example(self) -> &'static str {
        match self {
            Self::Cooperative => include_str!("../../../../examples/cooperative.json"),
            Self::Consortium => include_str!("../../../../examples/consortium.json"),
        }
    }

    /// Name of the model service.
    pub fn service(self) -> &'static str {
        match self {
            Self::Cooperative => "drafting",
            Self::Consortium => "atelier-llm",
        }
    }
}

/// Sizes and speeds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// Model runners.
    pub runners: usize,
    /// Entry VMs.
    pub entries: usize,
    /// Prompt tokens a second of a runner of speed 1; 0 is without limit.
    pub prefill_tokens_per_s: f64,
    /// Tokens a second of one sequence at a runner of speed 1; 0 is without limit.
    pub decode_tokens_per_s: f64,
    /// Sequences at once at a runner of speed 1.
    pub slots: f64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            runners: 20,
            entries: ENTRY_CORES.len(),
            prefill_tokens_per_s: 4_000.0,
            decode_tokens_per_s: 60.0,
            slots: 4.0,
        }
    }
}

/// A running engine.
pub struct Runner {
    /// Its VM.
    pub vm: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its class.
    pub class: &'static str,
    /// Its reclaimable price an hour.
    pub price_per_h: f64,
    /// Its process.
    pub process: Process,
    /// Address on which it listens.
    pub address: SocketAddr,
}

/// Everything that runs.
pub struct Deployment {
    /// Whose.
    pub user: User,
    /// The configuration document.
    pub document: Value,
    /// Engines.
    pub runners: Vec<Runner>,
    /// Addresses of the entry VMs for callers.
    pub entries: Vec<SocketAddr>,
    daemons: Vec<Process>,
    admin: SocketAddr,
    peers: Vec<SocketAddr>,
    platform: Process,
    platform_address: SocketAddr,
    directory: PathBuf,
}

/// Bearer key of a workspace.
pub fn key_of(workspace: &str) -> String {
    format!("the-key-of-{workspace}")
}

impl Deployment {
    /// Starts everything and waits until every entry VM serves.
    pub async fn open(user: User, policy: &str, plan: Plan) -> Self {
        let directory =
            std::env::temp_dir().join(format!("apricotledge-bench-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the temporary directory can be written");
        let mut platform = Process::spawn(Program::Platform, "platform", &directory, &[]);
        let platform_address = listening(&mut platform).await;
        let mut deployment = Self {
            user,
            document: document(user),
            runners: Vec::new(),
            entries: Vec::new(),
            daemons: Vec::new(),
            admin: platform_address,
            peers: Vec::new(),
            platform,
            platform_address,
            directory,
        };
        for number in 0..plan.runners {
            deployment.add_runner(number, plan).await;
        }
        for number in 0..plan.entries {
            deployment.add_entry(number, policy).await;
        }
        let apply = Call::post("/admin/config?base=0", &deployment.document).bearer(SECRET);
        let reply = apply
            .send(deployment.admin)
            .await
            .expect("the daemon answers");
        assert_eq!(reply.status, 200, "{:?}", reply.body);
        deployment.ready().await;
        deployment
    }

    async fn add_runner(&mut self, number: usize, plan: Plan) {
        let (class, speed) = match number % 5 {
            0 => ("runner-large", 2.0),
            1 | 2 => ("runner-medium", 1.0),
            _ => ("runner-small", 0.5),
        };
        let option = |name: &str, value: f64| [format!("--{name}"), value.to_string()];
        let mut arguments = Vec::new();
        arguments.extend(option(
            "prefill-tokens-per-s",
            plan.prefill_tokens_per_s * speed,
        ));
        arguments.extend(option(
            "decode-tokens-per-s",
            plan.decode_tokens_per_s * speed,
        ));
        arguments.extend(option("slots", plan.slots * speed));
        arguments.extend(option("saturation", plan.slots * speed));
        arguments.extend(option("kv-total-tokens", KV_TOKENS * speed));
        arguments.extend(option("load-lag-ms", f64::from(LOAD_LAG_MS)));
        arguments.extend(option("cache-event-lag-ms", f64::from(CACHE_EVENT_LAG_MS)));
        let vm = format!("runner-{number:02}");
        let mut process = Process::spawn(Program::Engine, &vm, &self.directory, &arguments);
        let address = listening(&mut process).await;
        let failure_domain = self.failure_domain(number);
        let service = Some(self.user.service().to_owned());
        self.list(&vm, address, number, class, VmRole::Backend, service)
            .await;
        let price_per_h = self.price_per_h(class, &failure_domain);
        self.runners.push(Runner {
            vm,
            failure_domain,
            class,
            price_per_h,
            process,
            address,
        });
    }

    async fn add_entry(&mut self, number: usize, policy: &str) {
        let vm = format!("entry-{number}");
        let seeds: Vec<String> = self.peers.iter().map(|peer| peer.to_string()).collect();
        let cores = ENTRY_CORES[number];
        let settings = format!(
            "[node]\nname = \"{vm}\"\nfailure_domain = \"{}\"\ncores = {cores}\n\
             [listen]\ncallers = \"127.0.0.1:0\"\nadmin = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
             [platform]\nurl = \"http://{}\"\nbucket = \"apricotledge\"\n\
             [peers]\nsecret = \"{SECRET}\"\nseeds = {seeds:?}\n\
             [routing]\npolicy = \"{policy}\"\n",
            self.failure_domain(number),
            self.platform_address,
        );
        let file = self.directory.join(format!("{vm}.toml"));
        std::fs::write(&file, settings).expect("the directory can be written");
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let mut process = Process::spawn(Program::Daemon, &vm, &self.directory, &arguments);
        let line = process.line("listening ").await;
        self.entries.push(field(&line, "callers="));
        self.admin = field(&line, "admin=");
        let peers = field(&line, "peers=");
        self.list(&vm, peers, number, "app-small", VmRole::Entry, None)
            .await;
        self.peers.push(peers);
        self.daemons.push(process);
    }

    async fn list(
        &self,
        id: &str,
        address: SocketAddr,
        number: usize,
        class: &str,
        role: VmRole,
        service: Option<String>,
    ) {
        let vm = Vm {
            id: id.to_owned(),
            address,
            failure_domain: self.failure_domain(number),
            class: class.to_owned(),
            role,
            service,
        };
        self.control(&Control::PutVm { vm }).await;
    }

    /// Gives the platform an order.
    pub async fn control(&self, control: &Control) {
        let body = serde_json::to_value(control).expect("an order is plain data");
        let reply = Call::post("/control", &body)
            .send(self.platform_address)
            .await;
        assert_eq!(reply.expect("the platform answers").status, 200);
    }

    async fn ready(&self) {
        let body = json!({
            "model": self.user.service(), "max_tokens": 1,
            "messages": [{"role": "user", "content": "ready?"}],
        });
        let workspace = self.workspaces().remove(0);
        let probe = Call::post("/v1/chat/completions", &body).bearer(&key_of(&workspace));
        for entry in &self.entries {
            guard::until("an entry VM to serve", async || {
                let reply = probe.send(*entry).await.ok()?;
                (reply.status == 200).then_some(())
            })
            .await;
        }
    }

    /// Names of the workspaces.
    pub fn workspaces(&self) -> Vec<String> {
        let list = self.document["workspaces"].as_array().expect("a list");
        list.iter()
            .map(|w| w["name"].as_str().unwrap_or_default().to_owned())
            .collect()
    }

    /// Name of a failure domain; numbers wrap around.
    pub fn failure_domain(&self, number: usize) -> String {
        let list = self.document["failure_domains"].as_array().expect("a list");
        list[number % list.len()]["name"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    fn price_per_h(&self, class: &str, failure_domain: &str) -> f64 {
        let list = self.document["vm_classes"].as_array().expect("a list");
        let found = list
            .iter()
            .find(|c| c["name"] == class)
            .expect("a known class");
        found["prices"][failure_domain]["reclaimable_per_hour"]
            .as_f64()
            .unwrap_or(0.0)
    }

    /// Process identifier of an entry VM.
    pub fn entry_pid(&self, number: usize) -> u32 {
        self.daemons[number].id()
    }

    /// Ends every process and removes what was written.
    pub fn close(mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        for runner in &mut self.runners {
            runner.process.kill();
        }
        self.platform.kill();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn document(user: User) -> Value {
    let mut document: Value = serde_json::from_str(user.example()).expect("the example is JSON");
    for workspace in document["workspaces"].as_array_mut().expect("a list") {
        let name = workspace["name"].as_str().unwrap_or_default().to_owned();
        workspace["key_digests"] = json!([key_digest_hex(&key_of(&name))]);
    }
    document
}

async fn listening(process: &mut Process) -> SocketAddr {
    let line = process.line("listening ").await;
    line.parse().expect("a stand-in says its address")
}

fn field(line: &str, name: &str) -> SocketAddr {
    let value = line.split(' ').find_map(|word| word.strip_prefix(name));
    let value = value.expect("the daemon names its addresses");
    value.parse().expect("the daemon says its addresses")
}
