//! Entry VMs of a deployment.

use std::net::SocketAddr;

use standin::platform::{Control, Vm, VmRole};

use super::document::SECRET;
use super::{Deployment, failure_domain};
use crate::process::Process;

/// A running entry VM.
#[derive(Debug)]
pub struct Entry {
    /// Its VM's identifier.
    pub vm: String,
    /// Its process.
    pub process: Process,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
    pub listing: Listing,
}

/// Whether the platform lists a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Listed,
    /// No more.
    Removed,
}

impl Deployment {
    /// Starts one more entry VM, which knows the first one, and lists it.
    ///
    /// # Panics
    ///
    /// Panics if the settings cannot be written, if the entry VM does not start, or if the platform
    /// does not list it.
    pub async fn add_entry(&mut self) {
        let number = self.entries.len() + 1;
        let vm = format!("entry-{number}");
        let settings = self.directory.join(format!("{vm}.toml"));
        std::fs::write(&settings, self.settings(number)).expect("the directory can be written");
        let arguments = ["--settings".to_owned(), settings.display().to_string()];
        let mut process = Process::spawn_at(&self.daemon, &vm, &self.directory, &arguments);
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

    /// Lines of all entry VMs' logs that hold a text.
    ///
    /// # Panics
    ///
    /// Panics if a log cannot be read.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let mut found = Vec::new();
        for entry in &self.entries {
            let log = self.directory.join(format!("{}.log", entry.vm));
            let log = std::fs::read_to_string(log).expect("a started entry VM has a log");
            let lines = log.lines().filter(|line| line.contains(text));
            found.extend(lines.map(|line| format!("{} {line}", entry.vm)));
        }
        found
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
}

fn field(line: &str, name: &str) -> SocketAddr {
    let mut words = line.split(' ');
    let value = words.find_map(|word| word.strip_prefix(name));
    let value = value.unwrap_or_else(|| panic!("`{line}` has no {name}"));
    value.parse().expect("the daemon says its addresses")
}
