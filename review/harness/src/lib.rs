//! Stand-ins of the users' platform, and what scenarios share. Standard library only.

pub mod cloud;
pub mod consumers;
pub mod daemon;
pub mod http;
pub mod json;
pub mod record;
pub mod runner;
pub mod store;

use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

/// Loopback addresses of one run: 127.A.B.0/24, where A and B come from the process number.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    a: u8,
    b: u8,
}

impl Network {
    /// Draws addresses on which the ports of a deployment are free.
    pub fn free() -> Self {
        let pid = std::process::id();
        for attempt in 0..200u32 {
            let number = pid.wrapping_mul(7).wrapping_add(attempt * 131);
            let a = 16 + (number / 250 % 200) as u8;
            let b = 1 + (number % 250) as u8;
            let network = Self { a, b };
            let ports = [
                daemon::CALLERS_PORT,
                daemon::READY_PORT,
                daemon::PEERS_PORT,
                daemon::METRICS_PORT,
            ];
            let is_free = (1..=20).all(|host| {
                let free = |port| std::net::TcpListener::bind((network.ip(host), port)).is_ok();
                ports.iter().all(|port| free(*port))
            });
            if is_free {
                return network;
            }
        }
        give_up("no free loopback addresses");
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.a, self.b, host)
    }
}

/// Ends the process with 2: the case could not run.
pub fn give_up(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

/// Waits until a condition holds; false if it doesn't in time.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Whether the disruption of the case is wanted.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |d| d.as_millis() as u64)
}
