//! A small deployment on loopback: store, duties, runners as stand-ins, and daemons as processes.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Conn, Message};
use crate::store::{self, Store};

/// Time between two entries of a runner, `heartbeatMs` of the deployments.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

pub const ZONES: [&str; 3] = ["vake", "saburtalo", "didube"];

/// Random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// From 0 to 1.
    pub fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Below `end`.
    pub fn below(&mut self, end: usize) -> usize {
        (self.fraction() * end as f64) as usize
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// What was sent, answered and run, in `record.txt` of the case's folder.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn open(folder: &str) -> io::Result<Arc<Self>> {
        let file = Mutex::new(File::create(format!("{folder}/record.txt"))?);
        Ok(Arc::new(Self {
            file,
            started: Instant::now(),
        }))
    }

    /// Seconds since the start of the script.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// A line that also stands on the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

/// What a runner does with a request; whether it keeps the channel.
pub type Behaviour = dyn Fn(&mut Conn, &Message) -> io::Result<()> + Send + Sync;

/// Starts a runner, which registers itself under `id` and reports every heartbeat.
pub fn start_runner(
    store: &Arc<Store>,
    id: &str,
    service: &str,
    zone: &str,
    slots: u32,
    behaviour: Arc<Behaviour>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
    let address = listener
        .local_addr()
        .expect("the address of a bound listener");
    let own = id.to_owned();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (behaviour, own) = (behaviour.clone(), own.clone());
            thread::spawn(move || {
                let mut conn = Conn::new(stream);
                while let Ok(request) = conn.request() {
                    let done = match request.field("apricotledge-expect-instance") {
                        Some(expected) if expected != own => conn.send(
                            format!(
                                "HTTP/1.1 421 Misdirected Request\r\n\
                                 Apricotledge-Instance-Id: {own}\r\nContent-Length: 0\r\n\r\n"
                            )
                            .as_bytes(),
                        ),
                        _ => behaviour(&mut conn, &request),
                    };
                    if done.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let (store, id, born) = (store.clone(), id.to_owned(), unix_ms());
    let (service, zone) = (service.to_owned(), zone.to_owned());
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\
                 \"sequence\":{sequence},\"born\":{born}}}"
            );
            store.put("servers", &id, &entry);
            thread::sleep(HEARTBEAT);
        }
    });
    address
}

/// A route of the config.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    /// Whether a stream may be resumed, and so go to a second runner.
    pub resumable: bool,
}

/// The operator's config with these routes, in one host, for one tenant without a rate limit.
pub fn config(routes: &[Route], services: &[&str]) -> String {
    let routes = routes.iter().map(|route| {
        let Route {
            name,
            kind,
            service,
            timeout_ms,
            target_ms,
            resumable,
        } = route;
        let attempts = 1 + u32::from(*resumable);
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"prefix\":\"/{name}/\",\
             \"routeType\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\
             \"priority\":1,\"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false,\
             \"resumable\":{resumable},\"gapTargetMs\":200}}"
        )
    });
    let routes: Vec<String> = routes.collect();
    let services = services.iter().map(|name| {
        format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":96}}")
    });
    let services: Vec<String> = services.collect();
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"school\",\"apiKeys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// One entry machine: its address and its daemon.
pub struct Entry {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Mutex<Child>,
}

impl Entry {
    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    /// Sends SIGTERM to the daemon.
    pub fn terminate(&self) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill").args(["-TERM", &pid]).status();
    }

    /// Whether the daemon still runs.
    pub fn runs(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(None))
    }

    /// The answer to the readiness check that the platform makes.
    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut conn = Conn::new(stream);
            conn.send(b"GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
            Ok(conn.head()?.status() == 200)
        };
        ask().unwrap_or(false)
    }
}

/// Process ids of the daemons.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the daemons and this process if the script is not over in time.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &pid.to_string()])
                .status();
        }
        eprintln!("the script is not over after {} s", limit.as_secs());
        std::process::exit(2);
    });
}

/// The daemons, which end with the script.
pub struct Entries {
    pub all: Vec<Arc<Entry>>,
    folder: PathBuf,
}

impl Drop for Entries {
    fn drop(&mut self) {
        for entry in &self.all {
            let mut child = entry.child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Ports that are free at each of the addresses.
fn free_ports(addresses: &[String]) -> [u16; 4] {
    let mut random = Random::new(unix_ms() ^ u64::from(std::process::id()));
    loop {
        let base = 20_000 + random.below(10_000) as u16;
        let ports = [base, base + 1, base + 2, base + 3];
        let free = |port: &u16| {
            addresses
                .iter()
                .all(|a| TcpListener::bind((a.as_str(), *port)).is_ok())
        };
        if ports.iter().all(free) {
            return ports;
        }
    }
}

/// Starts `count` daemons by the command of the deploy file, with the settings of a small deployment.
pub fn start_entries(count: usize, store: SocketAddr) -> io::Result<Entries> {
    let duties = store::start_duties();
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    // Loopback addresses of this process alone: scripts that start at once can't take each other's ports.
    let pid = std::process::id();
    let (high, low) = (1 + pid / 250 % 250, pid % 250);
    let addresses: Vec<String> = (0..count)
        .map(|i| format!("127.{high}.{low}.{}", 11 + i))
        .collect();
    let [callers, ready, peers, metrics] = free_ports(&addresses);
    let seeds: Vec<String> = addresses
        .iter()
        .take(3)
        .map(|a| format!("\"{a}:{ready}\""))
        .collect();
    let seeds = seeds.join(",");
    let mut entries = Entries {
        all: Vec::new(),
        folder: folder.clone(),
    };
    for (number, ip) in addresses.iter().enumerate() {
        let zone = ZONES[number % ZONES.len()];
        let name = format!("edge-{zone}-{}", 1 + number / ZONES.len());
        let settings = format!(
            "[node]\nname = \"{name}\"\nfailure_domain = \"{zone}\"\nfirst_start = \"yes\"\n\n\
             [listen]\ncallers = \"{ip}:{callers}\"\nready = \"{ip}:{ready}\"\n\
             peers = \"{ip}:{peers}\"\nmetrics = \"{ip}:{metrics}\"\n\n\
             [peers]\nseeds = [{seeds}]\nseed_port = {peers}\n\n\
             [store]\naddress = \"{store}\"\nwrites_per_s = 400\nacross = true\n\n\
             [duties]\naddress = \"{duties}\"\n\n\
             [bounds]\nshutdown_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\n\
             retry_slack = 52\ndrain_ms = 2000\ndirectory_ms = 2000\nlease_ms = 3000\n\
             usage_window_s = 5\nusage_due_s = 10\n\n\
             [limits]\nmemory_mb = 260\nlink_mbps = 1000.0\n"
        );
        let path = folder.join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/apricotledged")
            .args(["--interface", "routed"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("APRICOTLEDGE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        entries.all.push(Arc::new(Entry {
            name,
            callers: address(callers),
            ready: address(ready),
            child: Mutex::new(child),
        }));
    }
    let until = Instant::now() + Duration::from_secs(15);
    while !entries.all.iter().all(|entry| entry.is_ready()) {
        if Instant::now() > until {
            return Err(io::Error::other("the daemons aren't ready after 15 s"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    // What answered above must be these daemons.
    if !entries.all.iter().all(|entry| entry.runs()) {
        return Err(io::Error::other("a daemon ended at its start"));
    }
    Ok(entries)
}

/// Asks each daemon once a second whether it is ready, as the platform does; two misses take it out.
pub struct Balancer {
    misses: Vec<AtomicU64>,
}

impl Balancer {
    pub fn start(entries: &[Arc<Entry>]) -> Arc<Self> {
        let misses = entries.iter().map(|_| AtomicU64::new(0)).collect();
        let balancer = Arc::new(Self { misses });
        for (number, entry) in entries.iter().enumerate() {
            let (entry, balancer) = (entry.clone(), balancer.clone());
            thread::spawn(move || loop {
                match entry.is_ready() {
                    true => balancer.misses[number].store(0, Ordering::Relaxed),
                    false => {
                        balancer.misses[number].fetch_add(1, Ordering::Relaxed);
                    }
                }
                thread::sleep(Duration::from_secs(1));
            });
        }
        balancer
    }

    /// A daemon in rotation, drawn at random.
    pub fn draw(&self, random: &mut Random) -> Option<usize> {
        let in_rotation = |n: &usize| self.misses[*n].load(Ordering::Relaxed) < 2;
        let open: Vec<usize> = (0..self.misses.len()).filter(in_rotation).collect();
        (!open.is_empty()).then(|| open[random.below(open.len())])
    }
}

/// The runs of each request: when each began, and at which runner.
#[derive(Default)]
pub struct Runs(Mutex<HashMap<String, Vec<(f64, String)>>>);

impl Runs {
    pub fn add(&self, request: &str, at: f64, runner: &str) -> usize {
        let mut runs = self.0.lock().unwrap();
        let of_request = runs.entry(request.to_owned()).or_default();
        of_request.push((at, runner.to_owned()));
        of_request.len()
    }

    pub fn of(&self, request: &str) -> Vec<(f64, String)> {
        self.0
            .lock()
            .unwrap()
            .get(request)
            .cloned()
            .unwrap_or_default()
    }

    pub fn twice(&self) -> Vec<(String, Vec<(f64, String)>)> {
        let runs = self.0.lock().unwrap();
        let twice = runs.iter().filter(|(_, runs)| runs.len() > 1);
        twice.map(|(id, runs)| (id.clone(), runs.clone())).collect()
    }

    pub fn count(&self) -> usize {
        self.0.lock().unwrap().len()
    }
}

/// A consumer's channel to a daemon.
pub fn connect(entry: &Entry, patience: Duration) -> io::Result<Conn> {
    let stream = TcpStream::connect_timeout(&entry.callers, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    Ok(Conn::new(stream))
}

/// A request of a consumer with a number of its own.
pub fn post(path: &str, id: &str, deadline_ms: u64, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nHost: desk.example\r\nApricotledge-Request-Id: {id}\r\n\
         Apricotledge-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token key-1\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}
