//! Checks of settings that a schema cannot express: addresses and the secret.

use std::net::SocketAddr;
use std::path::Path;

use base::secret::Secret;
use serde_json::Value;
use snafu::ResultExt;

use super::{Listen, SettingsError, UnreadableSnafu};
use crate::fault::Fault;

/// Shortest secret that is taken.
const MIN_SECRET_CHARS: usize = 16;

/// Addresses that have been read.
pub(super) struct Addresses {
    pub(super) listen: Listen,
    pub(super) platform_url: String,
    pub(super) seeds: Vec<SocketAddr>,
}

/// Reads all addresses; nothing when one is missing or malformed.
pub(super) fn check(settings: &Value, faults: &mut Vec<Fault>) -> Option<Addresses> {
    let callers = address(settings, "listen.callers", faults);
    let admin = address(settings, "listen.admin", faults);
    let peers = address(settings, "listen.peers", faults);
    let advertised_peers = address(settings, "listen.advertised_peers", faults);
    let platform_url = platform_url(settings, faults);
    let seeds = seeds(settings, faults);
    check_clashes(
        &[
            ("listen.callers", callers),
            ("listen.admin", admin),
            ("listen.peers", peers),
        ],
        faults,
    );
    check_advertised(peers, advertised_peers, faults);
    Some(Addresses {
        listen: Listen {
            callers: callers?,
            admin: admin?,
            peers: peers?,
            advertised_peers,
        },
        platform_url: platform_url?,
        seeds,
    })
}

fn text<'a>(settings: &'a Value, key: &str) -> Option<&'a str> {
    let pointer = format!("/{}", key.replace('.', "/"));
    settings.pointer(&pointer)?.as_str()
}

fn address(settings: &Value, key: &str, faults: &mut Vec<Fault>) -> Option<SocketAddr> {
    parse_address(text(settings, key)?, key, faults)
}

fn parse_address(text: &str, key: &str, faults: &mut Vec<Fault>) -> Option<SocketAddr> {
    let parsed = text.parse().ok();
    if parsed.is_none() {
        faults.push(Fault::new(
            key,
            format!("`{text}` is no address."),
            "Write IP:PORT, such as 10.0.0.5:8080; names are not looked up.",
        ));
    }
    parsed
}

fn seeds(settings: &Value, faults: &mut Vec<Fault>) -> Vec<SocketAddr> {
    let listed = settings.pointer("/peers/seeds").and_then(Value::as_array);
    let mut seeds = Vec::new();
    for (index, seed) in listed.into_iter().flatten().enumerate() {
        let Some(text) = seed.as_str() else {
            continue;
        };
        let key = format!("peers.seeds[{index}]");
        seeds.extend(parse_address(text, &key, faults));
    }
    seeds
}

fn platform_url(settings: &Value, faults: &mut Vec<Fault>) -> Option<String> {
    let url = text(settings, "platform.url")?.trim_end_matches('/');
    let authority = url.strip_prefix("http://");
    let by_number = authority.is_some_and(|text| text.parse::<SocketAddr>().is_ok());
    if !by_number {
        faults.push(Fault::new(
            "platform.url",
            "This is not a base URL with an IP number.",
            "Write http://IP:PORT, such as http://10.0.0.9:9000.",
        ));
        return None;
    }
    Some(url.to_owned())
}

fn check_clashes(listeners: &[(&str, Option<SocketAddr>)], faults: &mut Vec<Fault>) {
    for (index, (key, address)) in listeners.iter().enumerate() {
        for (earlier_key, earlier) in &listeners[..index] {
            let (Some(address), Some(earlier)) = (address, earlier) else {
                continue;
            };
            if !clash(*address, *earlier) {
                continue;
            }
            faults.push(Fault::new(
                *key,
                format!(
                    "The port {} is also that of `{earlier_key}`.",
                    address.port()
                ),
                "Choose another port, or 0 for a free one.",
            ));
        }
    }
}

fn clash(a: SocketAddr, b: SocketAddr) -> bool {
    let same_ip = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    same_ip && a.port() == b.port() && a.port() != 0
}

fn check_advertised(
    listen: Option<SocketAddr>,
    advertised: Option<SocketAddr>,
    faults: &mut Vec<Fault>,
) {
    let key = "listen.advertised_peers";
    let mend = "Write the IP:PORT at which the other entry VMs reach this one.";
    match (listen, advertised) {
        (_, Some(address)) if address.ip().is_unspecified() || address.port() == 0 => {
            faults.push(Fault::new(
                key,
                format!("Nobody can reach {address}."),
                mend,
            ));
        }
        (Some(address), None) if address.ip().is_unspecified() => {
            let problem = format!("`listen.peers` is {address}, which nobody can reach.");
            faults.push(Fault::new(key, problem, mend));
        }
        _ => {}
    }
}

/// Takes the secret from its key or its file; nothing, with a fault, when it is unfit.
pub(super) fn secret(
    file: &Path,
    settings: &Value,
    faults: &mut Vec<Fault>,
) -> Result<Option<Secret>, SettingsError> {
    let inline = text(settings, "peers.secret");
    let secret_file = text(settings, "peers.secret_file");
    let (key, secret) = match (inline, secret_file) {
        (Some(secret), None) => ("peers.secret", secret.to_owned()),
        (None, Some(path)) => ("peers.secret_file", read_secret(file, path)?),
        _ => {
            faults.push(Fault::new(
                "peers",
                "The peers' secret is not given exactly once.",
                "Set either `secret` or `secret_file`.",
            ));
            return Ok(None);
        }
    };
    if secret.chars().count() < MIN_SECRET_CHARS {
        faults.push(Fault::new(
            key,
            "The peers' secret is too short.",
            format!("Use {MIN_SECRET_CHARS} characters or more."),
        ));
        return Ok(None);
    }
    Ok(Some(Secret::new(secret)))
}

fn read_secret(settings_file: &Path, path: &str) -> Result<String, SettingsError> {
    let folder = settings_file.parent().unwrap_or(Path::new(""));
    let file = folder.join(path);
    let text = std::fs::read_to_string(&file).context(UnreadableSnafu { file })?;
    Ok(text.trim().to_owned())
}
