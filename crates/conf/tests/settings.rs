//! Settings: defaults, and faults named by file, key and mend.

use std::path::Path;

use conf::settings::{Settings, SettingsError};
use test_case::test_case;

const EXAMPLE: &str = include_str!("../../../examples/entry-1.toml");

fn parse(text: &str) -> Result<Settings, SettingsError> {
    Settings::parse(Path::new("entry-1.toml"), text)
}

fn message(text: &str) -> String {
    parse(text).expect_err("faulty").to_string()
}

#[test]
fn example_states_the_defaults() {
    let full = parse(EXAMPLE).expect("valid");
    let (head, _) = EXAMPLE.split_once("[limits]").expect("a section");
    let short = parse(head).expect("valid");
    assert_eq!(full.limits, short.limits);
    assert_eq!(full.timeouts, short.timeouts);
    assert_eq!(full.routing, short.routing);
    assert_eq!(full.log_level, short.log_level);
    assert_eq!(full.log_format, short.log_format);
    assert_eq!(full.node.cores, 4.0);
    assert_eq!(full.peers.seeds.len(), 2);
    assert!(full.peers.secret.matches("replace-this-demo-secret"));
}

#[test_case("drain_deadline_ms = 25000", "drain_deadline_s = 25", "timeouts: The key `drain_deadline_s` is unknown. Write `drain_deadline_ms`"; "other unit")]
#[test_case("drain_deadline_ms = 25000", "drain_deadline_ms = \"25s\"", "timeouts.drain_deadline_ms: The value \"25s\" has the wrong type. Write a whole number"; "unit in the value")]
#[test_case("connect_ms = 1000", "connect_ms = 0", "timeouts.connect_ms: The value 0 is too small. Use 1 or more"; "zero")]
#[test_case("cores = 4", "cores = 4\ncolour = 1", "node: The key `colour` is unknown. Remove `colour`"; "unknown key")]
#[test_case("[log]", "[logs]", "top level: The key `logs` is unknown."; "unknown section")]
#[test_case("name = \"entry-1\"", "", "node: The key \"name\" is missing. Add \"name\"."; "missing key")]
#[test_case("admin = \"127.0.0.1:8081\"", "admin = \"127.0.0.1:8080\"", "listen.admin: The port 8080 is also that of `listen.callers`"; "same port")]
#[test_case("admin = \"127.0.0.1:8081\"", "admin = \"0.0.0.0:8080\"", "listen.admin: The port 8080 is also that of `listen.callers`"; "same port on every address")]
#[test_case("admin = \"127.0.0.1:8081\"", "admin = \"localhost:8081\"", "listen.admin: `localhost:8081` is no address. Write IP:PORT"; "host name")]
#[test_case("peers = \"127.0.0.1:8082\"", "peers = \"0.0.0.0:8082\"", "listen.advertised_peers: `listen.peers` is 0.0.0.0:8082"; "nothing to advertise")]
#[test_case("url = \"http://127.0.0.1:9000\"", "url = \"https://store.example\"", "platform.url: This is not a base URL with an IP number. Write http://IP:PORT"; "platform by name")]
#[test_case("seeds = [\"127.0.0.1:8082\",", "seeds = [\"here\",", "peers.seeds[0]: `here` is no address."; "bad seed")]
#[test_case("secret = \"replace-this-demo-secret\"", "", "peers: The peers' secret is not given exactly once."; "no secret")]
#[test_case("secret = \"replace-this-demo-secret\"", "secret = \"short\"", "peers.secret: The peers' secret is too short."; "short secret")]
#[test_case("level = \"info\"", "level = \"loud\"", "log.level: The value \"loud\" is not one of the choices."; "unknown level")]
#[test_case("policy = \"cost\"", "policy = \"best\"", "routing.policy: The value \"best\" is not one of the choices."; "unknown routing policy")]
#[test_case("[node]", "[node", "The file is not TOML"; "malformed")]
fn fault_names_file_key_and_mend(part: &str, faulty: &str, expected: &str) {
    assert!(EXAMPLE.contains(part));
    let message = message(&EXAMPLE.replacen(part, faulty, 1));
    assert!(message.contains(expected), "{message}");
    assert!(message.starts_with("entry-1.toml: "), "{message}");
}

#[test]
fn every_fault_is_reported_at_once() {
    let text = EXAMPLE
        .replace("cores = 4", "cores = 0")
        .replace("127.0.0.1:8081", "127.0.0.1:8080")
        .replace("connect_ms = 1000", "connect_s = 1");
    let message = message(&text);
    assert_eq!(message.lines().count(), 3, "{message}");
}

#[test]
fn port_zero_never_clashes() {
    let mut text = EXAMPLE.to_owned();
    for port in ["127.0.0.1:8080", "127.0.0.1:8081", "127.0.0.1:8082"] {
        text = text.replace(port, "127.0.0.1:0");
    }
    assert!(parse(&text).is_ok());
}

#[test]
fn secret_is_read_from_a_file_beside_the_settings() {
    let folder = std::env::temp_dir().join(format!("apricotledge-conf-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("peer.secret"), "a-secret-in-a-file\n").expect("written");
    let text = EXAMPLE.replace(
        "secret = \"replace-this-demo-secret\"",
        "secret_file = \"peer.secret\"",
    );
    let settings = Settings::parse(&folder.join("entry-1.toml"), &text);
    let missing = parse(&text).expect_err("no such file").to_string();
    std::fs::remove_dir_all(&folder).expect("removed");
    let settings = settings.expect("valid");
    assert!(settings.peers.secret.matches("a-secret-in-a-file"));
    assert!(
        missing.contains("peer.secret could not be read"),
        "{missing}"
    );
}

#[test]
fn settings_never_print_the_secret() {
    let settings = parse(EXAMPLE).expect("valid");
    assert!(!format!("{settings:?}").contains("replace-this-demo-secret"));
    let faulty = EXAMPLE.replace("secret = \"replace-this-demo-secret\"", "secret = 31337");
    assert!(!message(&faulty).contains("31337"));
    let unquoted = EXAMPLE.replace("\"replace-this-demo-secret\"", "replace-this-demo-secret");
    let message = message(&unquoted);
    assert!(!message.contains("demo-secret"), "{message}");
    assert!(message.contains("at line 18"), "{message}");
}
