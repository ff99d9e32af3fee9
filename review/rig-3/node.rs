//! Processes of the system, started with the command of the deploy file and settings like those that its
//! template renders.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Channel;
use crate::record;

/// One entry machine.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Values of the settings that differ between machines.
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// Last two bytes of the loopback address.
    pub ip: (u8, u8),
    pub port: u16,
    pub seeds: &'a [String],
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

/// A port that is free for TCP and UDP at an address, as far as it can be known.
pub fn free_port(ips: &[(u8, u8)]) -> u16 {
    for _ in 0..200 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("an address").port();
        drop(listener);
        let is_free = |ip: &(u8, u8)| {
            (0..4).all(|offset| {
                let address = SocketAddr::new(loopback(*ip), port.wrapping_add(offset));
                TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
            })
        };
        if port < 60_000 && ips.iter().all(is_free) {
            return port;
        }
    }
    panic!("no free ports");
}

pub fn loopback(ip: (u8, u8)) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, ip.0, ip.1))
}

impl Node {
    /// Writes the settings of a machine. Its process doesn't run yet.
    pub fn new(folder: &Path, place: &Place<'_>) -> Self {
        let at = |offset: u16| SocketAddr::new(loopback(place.ip), place.port + offset);
        let seeds = place
            .seeds
            .iter()
            .map(|s| format!("\"{s}\""))
            .collect::<Vec<_>>()
            .join(",");
        let text = format!(
            "[node]\nname = \"{}\"\nfailure_domain = \"{}\"\nfirst_start = \"yes\"\n\
             [listen]\ncallers = \"{}\"\nready = \"{}\"\npeers = \"{}\"\nmetrics = \"{}\"\n\
             [peers]\nseeds = [{seeds}]\nseed_port = {}\n\
             [store]\naddress = \"{}\"\nwrites_per_s = 400\nacross = true\n\
             [duties]\naddress = \"{}\"\n\
             [bounds]\nshutdown_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 52\n\
             drain_ms = 2000\ndirectory_ms = 2000\nlease_ms = 3000\nusage_window_s = 5\nusage_due_s = 10\n\
             [limits]\nmemory_mb = 260\nlink_mbps = 1000.0\n",
            place.name,
            place.zone,
            at(1),
            at(2),
            at(0),
            at(3),
            place.port,
            place.store,
            place.cloud,
        );
        let settings = folder.join(format!("{}.toml", place.name));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = folder.join(format!("{}.log", place.name));
        Self {
            name: place.name.to_owned(),
            callers: at(1),
            ready: at(2),
            settings,
            log,
            child: None,
        }
    }

    /// Starts its process. Later starts are no first start of the system.
    pub fn start(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new("target/release/apricotledged")
            .args(["--interface", "routed"])
            .env_clear()
            .env("APRICOTLEDGE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the daemon starts");
        record(&format!("start of {} as process {}", self.name, child.id()));
        self.child = Some(child);
        let text = std::fs::read_to_string(&self.settings).expect("the settings can be read");
        let text = text.replace("first_start = \"yes\"", "first_start = \"no\"");
        std::fs::write(&self.settings, text).expect("the settings can be written");
    }

    /// Sends a signal to its process.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            record(&format!("SIG{signal} to {}", self.name));
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status();
        }
    }

    /// Kills its process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            record(&format!("SIGKILL to {}", self.name));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether its process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut channel) = Channel::open(self.ready) else {
            return false;
        };
        let _ = channel.send(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        let answer = channel.head(Some(Instant::now() + Duration::from_secs(1)));
        answer.is_ok_and(|head| head.first.get(1).is_some_and(|status| status == "200"))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
