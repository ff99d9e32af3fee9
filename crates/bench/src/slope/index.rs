//! Memory of the prefix index against its entries.

use base::Name;
use policy::route::PrefixIndex;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{report, resident_bytes};

const SERVERS: usize = 200;
const CHAIN_BLOCKS: usize = 50;

/// Grows one index and reads resident memory at each size.
pub fn run(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut index = PrefixIndex::new(usize::MAX);
    let servers: Vec<Name> = (0..SERVERS)
        .map(|n| Name::from(format!("runner-{n}")))
        .collect();
    for server in &servers {
        index.set_capacity(server, u64::MAX);
    }
    let empty_bytes = resident_bytes();
    let mut points = Vec::new();
    for target in [100_000, 200_000, 400_000, 800_000] {
        while index.held() < target {
            let chain: Vec<u64> = (0..CHAIN_BLOCKS).map(|_| rng.random()).collect();
            let server = rng.random_range(0..SERVERS);
            index.on_used(&servers[server], &chain);
        }
        let grown_bytes = resident_bytes().saturating_sub(empty_bytes);
        points.push((index.held() as f64, grown_bytes as f64));
    }
    report("index.memory", "entries", "bytes", points);
}
