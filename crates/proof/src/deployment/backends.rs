//! Backend servers of a deployment.

use std::net::SocketAddr;

use serde_json::Value;
use standin::platform::{Control, Vm, VmRole};

use super::{Deployment, failure_domain, listening};
use crate::guard;
use crate::process::Process;
use crate::programs::Program;
use crate::relay::Relay;
use crate::wire::Call;

/// A running backend server.
#[derive(Debug)]
pub struct Backend {
    /// Its VM's identifier.
    pub vm: String,
    /// Its process.
    pub process: Process,
    /// Address of its process, behind the relay.
    pub address: SocketAddr,
    /// What stands between it and the entry VMs.
    pub relay: Relay,
}

impl Deployment {
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

    /// Sets switches of a backend server.
    ///
    /// # Panics
    ///
    /// Panics if the backend server does not take them.
    pub async fn set_faults(&self, backend: &Backend, faults: &Value) {
        let reply = Call::post("/faults", faults).send(backend.address).await;
        assert_eq!(reply.expect("the stand-in answers").status, 200);
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
}
