//! What a runner does with a request.

use std::collections::BTreeMap;

/// What a runner does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers 200 with a body that names the runner.
    Answer,
    /// Answers 200 with a body of so many bytes.
    Sized(usize),
    /// Sends so many events, with so many milliseconds between two. The identifiers of those after
    /// `consecutive` go up by two.
    LeaveGaps {
        events: u32,
        consecutive: u32,
        gap_ms: u64,
    },
    /// Runs the request and answers 200, behind so many bytes of a refusal.
    AnswerBehindRefusal(usize),
    /// Runs the request and answers 500, behind so many bytes of an answer with 200.
    FailureBehindAnswer(usize),
    /// Answers 200 as to HEAD: with a head that names so many bytes, and no body.
    SizedHead(usize),
    /// Answers 200 as to HEAD: with the head of a stream, and no body.
    StreamHead,
    /// Answers after so many milliseconds.
    Late(u64),
    /// Sends so many events, with so many milliseconds between two.
    Stream(u32, u64),
    /// Sends so many events, of which `event` lacks its byte at `place`.
    LoseByte {
        events: u32,
        event: u32,
        place: usize,
    },
    /// Sends so many events whose identifiers are multiples of this number.
    Multiples(u32, u32),
    /// Sends so many events without identifiers, and closes the connection if it is told to.
    Unnumbered { events: u32, breaks: bool },
    /// Sends so many events and closes the connection in the midst of the next.
    Break(u32),
    /// Sends nothing for so many milliseconds after so many events, and then the rest.
    Stall {
        /// Events before the silence. If there are none, the head comes after it, too.
        before: u32,
        silent_ms: u64,
        /// Number of the last event.
        last: u32,
    },
    /// Says that it did not run the request.
    Refuse,
    /// Says with this status that it did not run the request, and names it.
    Marked(u16),
    /// Says that it did not run the request, and says it again where the next answer is due.
    RefuseTwice,
    /// The same, and names the request both times.
    RefuseTwiceByName,
    /// Says that it did not run the request, and never ends its answer.
    RefuseWithoutEnd,
    /// Runs the request and fails.
    Fail,
    /// Runs the request and answers with this status, without saying whether it ran.
    Bare(u16),
    /// Runs the request for so many milliseconds, also when the caller leaves.
    Detached(u64),
    /// Closes the connection without an answer.
    Vanish,
    /// Sends bytes that are no answer.
    Garble,
    /// Sends the answer of another request before its own.
    Foreign,
    /// Sends a second answer behind its own.
    Double,
    /// Answers 200 without a digest.
    Unsigned,
    /// Breaks off its answer before its length is reached.
    Short,
    /// Sends bytes of this kind without end, until the caller closes the connection.
    Endless(Endless),
    /// Sends an event, and then one byte of the next each so many milliseconds.
    Drip(u64),
    /// Says nothing until the caller closes the connection.
    Hang,
    /// Sends so many bytes of the head of an answer, and closes the connection.
    CutHead(usize),
    /// Goes down: its port refuses connections from now on.
    Crash,
    /// Goes down at a request whose prompt has this part, and answers others.
    CrashAtPart(&'static str),
}

impl Behaviour {
    /// What it means for a request with these fields.
    pub(super) fn at(self, fields: &BTreeMap<String, String>) -> Self {
        let Self::CrashAtPart(part) = self else {
            return self;
        };
        let parts = fields.get("apricotledge-prefix-hash");
        let mut parts = parts.map_or("", String::as_str).split(',');
        match parts.any(|p| p.split(':').next() == Some(part)) {
            true => Self::Crash,
            false => Self::Answer,
        }
    }
}

/// Bytes that never become an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// A header line.
    HeadLine,
    /// Heads that announce another one.
    Interim,
    /// Answers that name another request.
    Strays,
    /// The body of an answer to another request.
    StrayBody,
    /// A body that ends with the connection.
    Body,
    /// The extension of a chunk.
    Extension,
    /// Lines after the last chunk.
    Trailers,
    /// An event.
    Event,
    /// Whole events.
    Events,
}

impl Endless {
    /// What comes first, and what then is repeated.
    pub(super) fn bytes(self, id: &str) -> (String, String) {
        let named = format!(
            "HTTP/1.1 200 X\r\nApricotledge-Request-Id: {id}\r\nApricotledge-Server-Signature: s\r\n"
        );
        let chunked = format!("{named}Transfer-Encoding: chunked\r\n");
        let stray = "HTTP/1.1 200 X\r\nApricotledge-Request-Id: another\r\n";
        let filler = "x".repeat(FILLER_BYTES);
        match self {
            Self::HeadLine => (format!("{named}X-Long: "), filler),
            Self::Interim => (String::new(), "HTTP/1.1 102 X\r\n\r\n".repeat(64)),
            Self::Strays => {
                let whole = format!("{stray}Content-Length: 0\r\n\r\n");
                (String::new(), whole.repeat(64))
            }
            Self::StrayBody => (
                format!("{stray}Content-Length: 999999999999\r\n\r\n"),
                filler,
            ),
            Self::Body => (format!("{named}\r\n"), filler),
            Self::Extension => (format!("{chunked}\r\n1;"), filler),
            Self::Trailers => (
                format!("{chunked}\r\n2\r\nno\r\n0\r\n"),
                "X-T: 1\r\n".repeat(64),
            ),
            Self::Event => {
                let kind = "Content-Type: text/event-stream\r\n";
                let chunk = format!("{FILLER_BYTES:x}\r\n{filler}\r\n");
                (format!("{chunked}{kind}\r\n9\r\nid: 1\ndat\r\n"), chunk)
            }
            Self::Events => {
                let kind = "Content-Type: text/event-stream\r\n";
                let event = format!("data: {filler}\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                (format!("{chunked}{kind}\r\n"), chunk)
            }
        }
    }
}

/// Bytes that are sent at once of what has no end.
const FILLER_BYTES: usize = 4_096;
