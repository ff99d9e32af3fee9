//! The project's daemon, started with the command of the deploy file.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::Conn;
use crate::{Network, give_up, wait_for};

pub const CALLERS_PORT: u16 = 8221;
pub const READY_PORT: u16 = 8224;
pub const PEERS_PORT: u16 = 7600;
pub const METRICS_PORT: u16 = 9464;

/// What a daemon is started with.
#[derive(Clone, Debug)]
pub struct Options {
    pub name: String,
    pub zone: String,
    /// Last byte of its address.
    pub host: u8,
    /// Last bytes of the addresses of the seeds.
    pub seeds: Vec<u8>,
    pub store: SocketAddr,
    pub cloud: SocketAddr,
}

pub struct Daemon {
    pub options: Options,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Daemon {
    /// Starts the daemon with the settings that the template gives for a small deployment.
    pub fn start(network: Network, folder: &Path, options: Options) -> Self {
        let root = std::env::var("REVIEW_ROOT").unwrap_or_else(|_| ".".to_owned());
        let ip = network.ip(options.host);
        let seeds: Vec<String> = options
            .seeds
            .iter()
            .map(|host| format!("\"{}:8229\"", network.ip(*host)))
            .collect();
        let settings = format!(
            "[node]\nname = \"{}\"\nfailure_domain = \"{}\"\nfirst_start = \"yes\"\n\n\
             [listen]\ncallers = \"{ip}:{CALLERS_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
             peers = \"{ip}:{PEERS_PORT}\"\nmetrics = \"{ip}:{METRICS_PORT}\"\n\n\
             [peers]\nseeds = [{}]\nseed_port = {PEERS_PORT}\n\n\
             [store]\naddress = \"{}\"\nwrites_per_s = 400\nacross = true\n\n\
             [duties]\naddress = \"{}\"\n\n\
             [bounds]\nshutdown_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 52\n\
             drain_ms = 2000\ndirectory_ms = 2000\nlease_ms = 3000\nusage_window_s = 5\n\
             usage_due_s = 10\n\n[limits]\nmemory_mb = 260\n",
            options.name,
            options.zone,
            seeds.join(","),
            options.store,
            options.cloud,
        );
        let file = folder.join(format!("{}.toml", options.name));
        std::fs::write(&file, settings).expect("the settings file");
        let log = std::fs::File::create(folder.join(format!("{}.log", options.name)));
        let log = log.expect("the log file");
        let program = PathBuf::from(&root).join("target/release/apricotledged");
        let child = Command::new(&program)
            .args(["--interface", "routed"])
            .current_dir(&root)
            .env("APRICOTLEDGE_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|e| give_up(&format!("{}: {e}", program.display())));
        // The script ends what is left if this process is killed.
        let pids = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("pids"));
        let _ = writeln!(pids.expect("the list of processes"), "{}", child.id());
        Self {
            options,
            callers: SocketAddr::new(ip.into(), CALLERS_PORT),
            ready: SocketAddr::new(ip.into(), READY_PORT),
            child,
        }
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self) {
        let ready = || {
            let Ok(mut conn) = Conn::open(self.ready, Duration::from_millis(300)) else {
                return false;
            };
            let head = "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            conn.send(head.as_bytes()).is_ok()
                && conn
                    .answer(Instant::now() + Duration::from_millis(500))
                    .is_ok_and(|(answer, _)| answer.status() == 200)
        };
        if !wait_for(Duration::from_secs(15), ready) {
            give_up(&format!("{} does not get ready", self.options.name));
        }
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id();
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {pid}")])
            .status();
        if !sent.is_ok_and(|status| status.success()) {
            give_up(&format!("kill -{name}"));
        }
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
