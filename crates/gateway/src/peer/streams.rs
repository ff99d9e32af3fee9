//! Tells other nodes which versions began streams, and asks them.

use std::net::SocketAddr;
use std::rc::Rc;

use base::{Map, Name};
use policy::suspect::RequestDigest;
use tokio::sync::Notify;

use super::role::SMALL_FLEET_NODES;
use super::stream_message::{StreamAnswer, StreamDatagram, StreamMessage, StreamQuestion};
use crate::decide::stream_nodes::{drawn_nodes, nodes_to_ask};
use crate::node::Node;

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
pub fn tell_begun(node: &Node, key: RequestDigest, version: &Name) {
    let peers = node.peers.borrow();
    let addresses = drawn_nodes(key, &peers.candidates(node.now_ms()));
    let version = version.clone();
    send(node, StreamMessage::Begun { key, version }, &addresses);
}

/// Asks other nodes for a stream; `None` if too many questions are open.
pub fn ask(node: &Node, key: RequestDigest) -> Option<Question<'_>> {
    let addresses = {
        let peers = node.peers.borrow();
        nodes_to_ask(key, &peers.candidates(node.now_ms()), SMALL_FLEET_NODES)
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
        message: StreamQuestion { number, key },
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

    /// Whether a node that is heard has not answered.
    pub fn is_awaited(&self) -> bool {
        let heard = self.node.peers.borrow().heard_addresses(self.node.now_ms());
        self.with_asked(|asked| {
            asked
                .iter()
                .any(|(at, a)| a.is_none() && heard.contains(at))
        })
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
        StreamMessage::Begun { key, version } => {
            let now_ms = node.now_ms();
            let mut streams = node.streams_of_others.borrow_mut();
            streams.remember(key, &version, now_ms);
        }
        StreamMessage::Question(question) => {
            let answer = StreamAnswer {
                number: question.number,
                version: node.stream_version(&question.key),
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
        place.get_or_insert(answer);
        open.answered.notify_one();
    }
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
