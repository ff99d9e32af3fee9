//! Tells other nodes which versions began streams, and asks them.

use std::net::SocketAddr;
use std::rc::Rc;

use base::{Map, Name};
use policy::suspect::RequestDigest;
use tokio::sync::Notify;

use super::stream_message::{StreamAnswer, StreamDatagram, StreamMessage, StreamQuestion};
use crate::decide::begun_streams::stream_key;
use crate::decide::stream_nodes::{drawn_nodes, nodes_to_ask};
use crate::decide::version_history::VersionReport;
use crate::follow;
use crate::node::Node;

/// Most nodes that are asked for one stream.
const ASKED_NODES_LIMIT: usize = 12;

/// Most questions that wait for answers at a time.
const QUESTIONS_LIMIT: usize = 1_024;

/// Questions that wait for answers, by their numbers.
pub type Questions = Map<u64, OpenQuestion>;

#[derive(Debug)]
pub struct OpenQuestion {
    /// The nodes that were asked, with their answers.
    asked: Vec<(SocketAddr, Option<StreamAnswer>)>,
    answered: Rc<Notify>,
}

/// A question of this node, which is closed when it is dropped.
pub struct Question<'a> {
    node: &'a Node,
    message: StreamQuestion,
    answered: Rc<Notify>,
}

/// Tells the nodes that the stream's key draws which version began it.
pub fn announce_begin(node: &Node, key: RequestDigest, version: &Name) {
    let peers = node.peers.borrow();
    let addresses = drawn_nodes(key, &peers.candidates(node.now_ms()));
    let version = version.clone();
    send(node, StreamMessage::Begin { key, version }, &addresses);
}

/// Asks other nodes for a stream of a service, or only for the versions of the service; `None` if
/// too many questions are open.
pub fn ask<'a>(node: &'a Node, key: Option<RequestDigest>, service: &Name) -> Option<Question<'a>> {
    let addresses = {
        let peers = node.peers.borrow();
        let draw_key = key.unwrap_or_else(|| stream_key("", service, ""));
        nodes_to_ask(
            draw_key,
            &peers.candidates(node.now_ms()),
            ASKED_NODES_LIMIT,
        )
    };
    let mut questions = node.questions.borrow_mut();
    if questions.len() >= QUESTIONS_LIMIT {
        return None;
    }
    let answered = Rc::new(Notify::new());
    let number = node.random_number();
    let open = OpenQuestion {
        asked: addresses.into_iter().map(|a| (a, None)).collect(),
        answered: answered.clone(),
    };
    questions.insert(number, open);
    drop(questions);
    let question = Question {
        node,
        message: StreamQuestion {
            number,
            key,
            service: service.clone(),
        },
        answered,
    };
    question.send();
    Some(question)
}

impl Question<'_> {
    /// Sends the question to the nodes that have not answered.
    pub fn send(&self) {
        let silent = self.with_asked(|asked| {
            let silent = asked.iter().filter(|(_, answer)| answer.is_none());
            silent.map(|(address, _)| *address).collect::<Vec<_>>()
        });
        let message = StreamMessage::Question(self.message.clone());
        send(self.node, message, &silent);
    }

    /// Number of nodes that were asked.
    pub fn asked(&self) -> usize {
        self.with_asked(<[_]>::len)
    }

    /// The answers that have arrived.
    pub fn answers(&self) -> Vec<StreamAnswer> {
        self.with_asked(|asked| asked.iter().filter_map(|(_, a)| a.clone()).collect())
    }

    /// Waits for the next answer.
    pub async fn answered(&self) {
        self.answered.notified().await;
    }

    fn with_asked<T>(&self, read: impl FnOnce(&[(SocketAddr, Option<StreamAnswer>)]) -> T) -> T {
        let questions = self.node.questions.borrow();
        let open = questions.get(&self.message.number);
        read(open.map_or(&[], |open| &open.asked))
    }
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.node
            .questions
            .borrow_mut()
            .remove(&self.message.number);
    }
}

/// Applies a datagram about a stream. Unreadable ones and those that don't come from a node are
/// counted and ignored.
pub fn receive(node: &Node, datagram: &[u8], from: SocketAddr) {
    let read = serde_json::from_slice::<StreamDatagram>(datagram);
    let Some(read) = read.ok().filter(StreamDatagram::is_plausible) else {
        node.metrics.count_platform_call("peer", "unreadable");
        return;
    };
    if !node.peers.borrow().addresses().contains(&from) {
        node.metrics.count_platform_call("peer", "unknown_sender");
        return;
    }
    match read.stream {
        StreamMessage::Begin { key, version } => {
            let now_ms = node.now_ms();
            let mut streams = node.streams_of_others.borrow_mut();
            streams.remember(key, &version, now_ms);
        }
        StreamMessage::Question(question) => {
            let answer = StreamAnswer {
                number: question.number,
                version: question.key.and_then(|key| node.stream_version(&key)),
                versions: versions_of(node, &question.service),
                registry_age_ms: node.registry_age_ms(),
            };
            send(node, StreamMessage::Answer(answer), &[from]);
        }
        StreamMessage::Answer(answer) => record_answer(node, answer, from),
    }
}

fn record_answer(node: &Node, answer: StreamAnswer, from: SocketAddr) {
    let mut questions = node.questions.borrow_mut();
    let Some(open) = questions.get_mut(&answer.number) else {
        return;
    };
    let place = open.asked.iter_mut().find(|(address, _)| *address == from);
    if let Some((_, place)) = place {
        if let Some(versions) = &answer.versions {
            let fleet_ms = node.fleet_ms();
            node.version_history.borrow_mut().add(versions, fleet_ms);
        }
        place.get_or_insert(answer);
        open.answered.notify_one();
    }
}

fn versions_of(node: &Node, service: &Name) -> Option<VersionReport> {
    if node.registry_confirmed_ms.get() == 0 {
        return None;
    }
    follow::versions::observe(node);
    node.version_history.borrow().report_of(service)
}

fn send(node: &Node, stream: StreamMessage, addresses: &[SocketAddr]) {
    let datagram = StreamDatagram { stream }.encode();
    if let (Some(socket), Some(datagram)) = (node.peer_socket.get(), datagram) {
        for address in addresses {
            // A lost question is sent again, and a lost message of a begun stream is made up for by
            // questions.
            let _ = socket.try_send_to(&datagram, *address);
        }
    }
}
