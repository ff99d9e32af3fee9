//! Targets: readers of bytes from outside, each with its properties.

use std::net::SocketAddr;
use std::path::Path;
use std::str::FromStr;

use bytes::BytesMut;
use gateway::decide::event_order::{EventPosition, Resumption};
use gateway::http::{Body, Framing, HeadWriter, Progress, request_head, response_head};
use gateway::node::Node;
use gateway::peer::exchange;
use gateway::settings::Settings;
use gateway::sse::EventReader;
use platform::DIALECT;
use tokio::task::LocalSet;

use crate::event_client::EventClient;

/// Limit of heads, in bytes.
const HEAD_LIMIT_BYTES: usize = 4_096;

/// A reader of bytes from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// Heads of requests.
    Requests,
    /// Heads of responses.
    Responses,
    /// Bodies in chunks.
    Chunks,
    /// Event streams.
    Events,
    /// The operator's config.
    Config,
    /// Entries of the registry.
    Registry,
    /// Datagrams of other nodes.
    Datagrams,
}

pub const ALL: [Target; 7] = [
    Target::Requests,
    Target::Responses,
    Target::Chunks,
    Target::Events,
    Target::Config,
    Target::Registry,
    Target::Datagrams,
];

impl Target {
    /// Its name, and that of its corpus.
    pub fn label(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Responses => "responses",
            Self::Chunks => "chunks",
            Self::Events => "events",
            Self::Config => "config",
            Self::Registry => "registry",
            Self::Datagrams => "datagrams",
        }
    }

    /// Reads an input and says which property it breaks, if any; a panic is the caller's to catch.
    ///
    /// # Errors
    ///
    /// The property that does not hold.
    pub fn check(self, input: &[u8]) -> Result<(), &'static str> {
        match self {
            Self::Requests => requests(input),
            Self::Responses => responses(input),
            Self::Chunks => chunks(input),
            Self::Events => events(input),
            Self::Config => config(input),
            Self::Registry => registry(input),
            Self::Datagrams => datagrams(input),
        }
    }
}

impl FromStr for Target {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = ALL.into_iter().find(|target| target.label() == text);
        found.ok_or_else(|| {
            let names: Vec<&str> = ALL.iter().map(|target| target.label()).collect();
            format!("`{text}` is no target; give one of {}", names.join(", "))
        })
    }
}

/// Bytes in pieces of one to seven, by the input itself.
fn pieces(input: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut rest = input;
    std::iter::from_fn(move || {
        let first = *rest.first()?;
        let length = (usize::from(first) % 7 + 1).min(rest.len());
        let (piece, after) = rest.split_at(length);
        rest = after;
        Some(piece)
    })
}

/// What a reader makes of an input, all at once and piece by piece.
type Read = Option<Result<(String, Vec<u8>), String>>;

fn request(buf: &mut BytesMut) -> Read {
    let head = match request_head(buf, HEAD_LIMIT_BYTES) {
        Ok(None) => return None,
        Ok(Some(head)) => head,
        Err(error) => return Some(Err(error.to_string())),
    };
    let fields: Vec<(&str, &[u8])> = head.fields.iter().collect();
    let told = format!(
        "{} {} {fields:?} {:?}",
        head.method, head.target, head.framing
    );
    Some(Ok((told, buf.to_vec())))
}

fn requests(input: &[u8]) -> Result<(), &'static str> {
    let whole = request(&mut BytesMut::from(input));
    same_in_pieces(input, &whole, request)?;
    let Some(head) = whole_request(input) else {
        return Ok(());
    };
    let lengths = head.fields.count("content-length");
    let codings = head.fields.count("transfer-encoding");
    if lengths > 0 && codings > 0 {
        return Err("a head with a length and a coding was taken");
    }
    // What is passed on reads as what came.
    let mut out = BytesMut::new();
    let mut writer = HeadWriter::request(&mut out, &head.method, &head.target);
    for (name, value) in head.fields.iter() {
        writer = writer.field(name, value);
    }
    writer.end();
    let Some(again) = whole_request(&out) else {
        return Err("what was passed on cannot be read");
    };
    let same = again.method == head.method
        && again.target == head.target
        && again.fields.iter().eq(head.fields.iter());
    match same {
        true => Ok(()),
        false => Err("what was passed on reads otherwise"),
    }
}

fn whole_request(input: &[u8]) -> Option<gateway::http::RequestHead> {
    // Twice the limit: what is written again may be a little longer.
    request_head(&mut BytesMut::from(input), 2 * HEAD_LIMIT_BYTES)
        .ok()
        .flatten()
}

fn response(buf: &mut BytesMut) -> Read {
    let head = match response_head(buf, HEAD_LIMIT_BYTES, "GET") {
        Ok(None) => return None,
        Ok(Some(head)) => head,
        Err(error) => return Some(Err(error.to_string())),
    };
    let fields: Vec<(&str, &[u8])> = head.fields.iter().collect();
    let told = format!("{} {fields:?} {:?}", head.status, head.framing);
    Some(Ok((told, buf.to_vec())))
}

fn responses(input: &[u8]) -> Result<(), &'static str> {
    let whole = response(&mut BytesMut::from(input));
    same_in_pieces(input, &whole, response)
}

/// A head that is whole at once is the same when its bytes come one after the other.
fn same_in_pieces(
    input: &[u8],
    whole: &Read,
    read: fn(&mut BytesMut) -> Read,
) -> Result<(), &'static str> {
    let Some(Ok((told, rest))) = whole else {
        return Ok(());
    };
    let mut buf = BytesMut::new();
    let mut taken = 0;
    for piece in pieces(input) {
        buf.extend_from_slice(piece);
        taken += piece.len();
        match read(&mut buf) {
            None => continue,
            Some(Err(_)) => return Err("refused in pieces, and taken at once"),
            Some(Ok((piecewise, left))) => {
                let left = left.len() + input.len() - taken;
                let same = piecewise == *told && left == rest.len();
                return match same {
                    true => Ok(()),
                    false => Err("read otherwise in pieces"),
                };
            }
        }
    }
    Err("taken at once, and never in pieces")
}

fn chunks(input: &[u8]) -> Result<(), &'static str> {
    let mut whole = BytesMut::new();
    let mut rest = BytesMut::from(input);
    let Ok(progress) = Body::new(Framing::Chunked).read(&mut rest, &mut whole) else {
        return Ok(());
    };
    let (mut buf, mut out) = (BytesMut::new(), BytesMut::new());
    let mut body = Body::new(Framing::Chunked);
    let mut last = Progress::More;
    for piece in pieces(input) {
        buf.extend_from_slice(piece);
        if last == Progress::Done {
            continue;
        }
        last = match body.read(&mut buf, &mut out) {
            Ok(progress) => progress,
            Err(_) => return Err("refused in pieces, and taken at once"),
        };
    }
    match (last == progress, out == whole) {
        (true, true) => Ok(()),
        (false, _) => Err("ends otherwise in pieces"),
        (_, false) => Err("other bytes in pieces"),
    }
}

fn events(input: &[u8]) -> Result<(), &'static str> {
    let mut at_once = EventReader::default();
    let whole = at_once.take(BytesMut::from(input)).unwrap_or_default();
    let mut in_pieces = EventReader::default();
    let mut out = Vec::new();
    for piece in pieces(input) {
        let Ok(taken) = in_pieces.take(BytesMut::from(piece)) else {
            break;
        };
        out.extend_from_slice(&taken);
        if in_pieces.fault().is_some() {
            break;
        }
    }
    let same = out == whole[..]
        && in_pieces.fault() == at_once.fault()
        && in_pieces.position() == at_once.position()
        && in_pieces.event_count() == at_once.event_count();
    if !same {
        return Err("other events in pieces");
    }
    if !input.starts_with(&out) {
        return Err("events are passed on changed");
    }
    read_by_client(&out, at_once.position())
}

/// A client that reads the relayed bytes is at the position from which a stream is resumed.
fn read_by_client(relayed: &[u8], position: &EventPosition) -> Result<(), &'static str> {
    let client = EventClient::read(relayed);
    let last_id = client.last_id.trim_ascii();
    match position.resumption() {
        Resumption::FromStart if !client.events.is_empty() => Err("an event before the first one"),
        Resumption::After(id) if id != last_id => Err("the client is at another event"),
        Resumption::FromStart | Resumption::After(_) | Resumption::Impossible => Ok(()),
    }
}

fn config(input: &[u8]) -> Result<(), &'static str> {
    let first = (DIALECT.directory)(input).map(|directory| directory.version);
    let second = (DIALECT.directory)(input).map(|directory| directory.version);
    match first.ok() == second.ok() {
        true => Ok(()),
        false => Err("decoded otherwise the second time"),
    }
}

fn registry(input: &[u8]) -> Result<(), &'static str> {
    match (DIALECT.server)("i-1", input) {
        Ok(record) if record.slots == 0 => Err("a server without places"),
        Ok(_) | Err(_) => Ok(()),
    }
}

/// A node that hears nothing else; a datagram must not end it, nor change what it says of itself.
fn datagrams(input: &[u8]) -> Result<(), &'static str> {
    // What is asked because of a datagram is not carried out.
    let tasks = LocalSet::new();
    let _entered = tasks.enter();
    let node = Node::new(settings(), DIALECT);
    let from = SocketAddr::from(([127, 0, 0, 1], 7));
    for part in input.split(|byte| *byte == b'\n') {
        exchange::receive_datagram(&node, part, from);
    }
    node.clock_offset_ms();
    node.usage.borrow().total(0);
    let own = exchange::heartbeat(&node, 1, 1);
    match own.directory == 0 && own.registry.revision == 0 && node.node_count() <= 1 + input.len() {
        true => Ok(()),
        false => Err("a datagram alone changed what is known of the store"),
    }
}

fn settings() -> Settings {
    let text = "[node]\nname = \"own\"\nfailure_domain = \"a\"\n[listen]\n\
                callers = \"127.0.0.1:0\"\nready = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n\
                metrics = \"127.0.0.1:0\"\n[store]\naddress = \"127.0.0.1:9\"\n[bounds]\n";
    Settings::parse(text, Path::new("fuzz")).expect("these settings are valid")
}
