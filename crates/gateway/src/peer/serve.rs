//! Answers the pulls of other nodes.

use std::collections::VecDeque;
use std::rc::Rc;

use base::Name;
use bytes::Bytes;

use super::message::{
    DIRECTORY_PATH, Listing, PULLED_BY, REGISTRY_PATH, Referral, RegistryCopy, USAGE_PATH,
};
use super::pack;
use crate::decide::source::may_promise;
use crate::http::RequestHead;
use crate::node::Node;

/// Nodes that a busy node names as other sources.
const REFERRED_NODES: usize = 4;

/// What this node passes on to others.
#[derive(Debug, Default)]
pub struct Serving {
    /// Bytes of the answers that are being sent.
    promised_bytes: usize,
    /// Nodes that have the directory from here, the latest last, and its version.
    receivers: VecDeque<Name>,
    directory: u64,
    /// The packed row of a directory and its version.
    packed: Option<(u64, Bytes)>,
}

impl Serving {
    /// Keeps the packed row of a directory, as another node sent it.
    pub fn keep_packed(&mut self, version: u64, packed: Bytes) {
        self.packed = Some((version, packed));
    }
}

/// Answer to a pull.
pub struct Answer {
    pub status: u16,
    pub body: Bytes,
    /// Content coding of the body.
    pub coding: Option<&'static str>,
    /// Held until the other node has the whole answer; `None` if this node is too busy to send it.
    pub promise: Option<Promise>,
}

/// The part of the link that an answer takes.
pub struct Promise {
    node: Rc<Node>,
    bytes: usize,
    /// Node and version of the directory that it gets.
    directory_to: Option<(Name, u64)>,
}

impl Promise {
    /// Records that the other node has the whole answer.
    pub fn complete(mut self) {
        let Some((name, version)) = self.directory_to.take() else {
            return;
        };
        let mut serving = self.node.serving.borrow_mut();
        if serving.directory != version {
            serving.directory = version;
            serving.receivers.clear();
        }
        if serving.receivers.len() >= REFERRED_NODES {
            serving.receivers.pop_front();
        }
        serving.receivers.push_back(name);
    }
}

impl Drop for Promise {
    fn drop(&mut self) {
        self.node.serving.borrow_mut().promised_bytes -= self.bytes;
    }
}

/// The answer to a pull. A node whose link is full of answers names others instead.
pub fn answer(node: &Rc<Node>, head: &RequestHead) -> Answer {
    let (status, body) = content(node, head);
    let packed = match head.path() == DIRECTORY_PATH && accepts_packed(head) {
        true => packed_directory(node, &body),
        false => None,
    };
    let (body, coding) = match packed {
        Some(packed) => (packed, Some(pack::CODING)),
        None => (body.into(), None),
    };
    let answer = Answer {
        status,
        body,
        coding,
        promise: None,
    };
    match head.fields.text(PULLED_BY) {
        Some(pulled_by) => promise(node, head, pulled_by, answer),
        // Older builds don't say who they are, and take any answer for the content.
        None => answer,
    }
}

/// The answer with the part of the link that it takes, or a referral if the link is full.
fn promise(node: &Rc<Node>, head: &RequestHead, pulled_by: &str, answer: Answer) -> Answer {
    let mut serving = node.serving.borrow_mut();
    let (link_mbps, bytes) = (node.settings.limits.link_mbps, answer.body.len());
    if !may_promise(link_mbps, serving.promised_bytes, bytes) {
        let referral = Referral {
            directory: serving.directory,
            nodes: serving.receivers.iter().cloned().collect(),
        };
        return Answer {
            status: 503,
            body: serde_json::to_vec(&referral).unwrap_or_default().into(),
            coding: None,
            promise: None,
        };
    }
    serving.promised_bytes += bytes;
    let is_directory = head.path() == DIRECTORY_PATH;
    let promise = Promise {
        node: node.clone(),
        bytes,
        directory_to: is_directory.then(|| (pulled_by.into(), node.directory_version())),
    };
    Answer {
        promise: Some(promise),
        ..answer
    }
}

fn accepts_packed(head: &RequestHead) -> bool {
    head.fields.contains_token("accept-encoding", pack::CODING)
}

/// The packed row of the directory in force, packed once for each version; `None` if it is short.
fn packed_directory(node: &Node, row: &[u8]) -> Option<Bytes> {
    let version = node.directory_version();
    let mut serving = node.serving.borrow_mut();
    if let Some((of, packed)) = &serving.packed
        && *of == version
    {
        return Some(packed.clone());
    }
    let packed = Bytes::from(pack::pack(row)?);
    serving.keep_packed(version, packed.clone());
    Some(packed)
}

/// Status and body of the response to a pull.
fn content(node: &Node, head: &RequestHead) -> (u16, Vec<u8>) {
    let path = head.path();
    if let Some(since) = path.strip_prefix(REGISTRY_PATH) {
        return match since.parse() {
            Ok(since) => (200, registry(node, since)),
            Err(_) => (404, Vec::new()),
        };
    }
    match path {
        DIRECTORY_PATH => (200, node.directory_row.borrow().clone()),
        USAGE_PATH => (200, usage(node)),
        _ => (404, Vec::new()),
    }
}

fn registry(node: &Node, since: u64) -> Vec<u8> {
    serde_json::to_vec(&registry_copy(node, since)).unwrap_or_default()
}

fn usage(node: &Node) -> Vec<u8> {
    let copy = node.usage.borrow().all_lives(&node.key());
    serde_json::to_vec(&copy).unwrap_or_default()
}

/// Copy of the registry for a node that knows it up to revision `since`.
pub fn registry_copy(node: &Node, since: u64) -> RegistryCopy {
    let registry = node.registry.borrow();
    let rows = registry.stored_since(since);
    // Entries in the registry were decoded as JSON, so they are UTF-8.
    let text = |row: &[u8]| String::from_utf8_lossy(row).into_owned();
    RegistryCopy {
        revision: registry.revision,
        changed: Some(registry.changed),
        listing: match registry.gone_since(since) {
            Some(gone) => Listing::Since {
                revision: since,
                gone: gone.into_iter().collect(),
            },
            None => Listing::All(registry.listed().cloned().collect()),
        },
        rows: rows.map(|(id, row)| (id.clone(), text(row))).collect(),
    }
}
