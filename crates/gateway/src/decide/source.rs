//! Which other nodes are asked for a version that this node lacks, and when it asks the store itself.
//!
//! A node must not depend on one source: it may be killed, stand still, be cut off, or have a link
//! that is full. Sources of the own failure domain come first, as traffic between domains costs
//! money; among them those with wide links. The next source is asked beside one that hasn't answered
//! soon. A source that passes on as much as its link bears refuses at once and names others.

use std::hash::{Hash, Hasher};

use base::units::Millisecond;

/// Time without a whole answer after which the next source is asked too.
pub const NEXT_SOURCE_MS: Millisecond = 200;

/// Most sources that a node asks at the same time.
pub const SOURCES_AT_ONCE: usize = 3;

/// A source whose pull failed isn't asked again for this time.
const FAILED_PAUSE_MS: Millisecond = 1_000;

/// The same for a source that was busy: about half of the time that it may take for what it sends.
const BUSY_PAUSE_MS: Millisecond = 100;

/// Head start of the first node of a failure domain before the others ask other domains: two
/// heartbeat periods and a pull.
const FIRST_NODE_HEAD_START_MS: Millisecond = 300;

/// A source may promise as much as its link carries in this time.
const PROMISED_MS: f64 = 200.0;

/// Link that is assumed of a node whose build doesn't tell, in Mbit/s: the thinnest planned.
pub const DEFAULT_LINK_MBPS: f64 = 10.0;

/// Where a source is, seen from this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    SameDomain,
    OtherDomain,
}

/// Outcome of a pull.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullOutcome {
    /// The source sent what it has.
    Answered,
    /// The source sends as much as it can to others.
    Busy,
    /// No answer, a broken one, or one that was no newer than what the node had.
    Failed,
}

/// What this node last had to do with a source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Contact {
    #[default]
    None,
    /// A pull from it is under way.
    Pulling,
    Ended {
        outcome: PullOutcome,
        ago_ms: Millisecond,
    },
}

impl Contact {
    fn may_be_asked(self) -> bool {
        match self {
            Self::None => true,
            Self::Pulling => false,
            Self::Ended { outcome, ago_ms } => match outcome {
                PullOutcome::Answered => true,
                PullOutcome::Busy => ago_ms >= BUSY_PAUSE_MS,
                PullOutcome::Failed => ago_ms >= FAILED_PAUSE_MS,
            },
        }
    }
}

/// A node that has a version which this node lacks.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    pub name: &'a str,
    pub place: Place,
    pub link_mbps: f64,
    pub contact: Contact,
}

/// How a node that is behind stands among the nodes of its failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Time for which the node has known that it is behind.
    pub behind_ms: Millisecond,
    /// Time within which a change must be in force.
    pub bound_ms: Millisecond,
    /// Other nodes of its domain that are heard and come before it by name.
    pub position: usize,
    /// Other nodes of its domain that are heard.
    pub neighbours: usize,
}

impl Standing {
    /// A point in time between `from_ms` and `to_ms`, by the node's position, so that the nodes of a
    /// domain don't act at the same instant.
    fn by_position(&self, from_ms: Millisecond, to_ms: Millisecond) -> Millisecond {
        let share = self.position as f64 / (self.neighbours + 1) as f64;
        from_ms + (to_ms.saturating_sub(from_ms) as f64 * share) as Millisecond
    }

    /// Whether the node may ask sources of other domains.
    pub fn may_ask_other_domains(&self) -> bool {
        if self.position == 0 || self.neighbours == 0 {
            return true;
        }
        let first_ms = FIRST_NODE_HEAD_START_MS.min(self.bound_ms / 8);
        self.behind_ms >= self.by_position(first_ms, self.bound_ms / 4)
    }

    /// Whether the node asks the store itself, whoever else does. `since_last_ms` is the time since
    /// it last did.
    pub fn asks_store(&self, since_last_ms: Millisecond) -> bool {
        let due_ms = self.by_position(self.bound_ms / 4, self.bound_ms * 3 / 8);
        self.behind_ms >= due_ms && since_last_ms >= self.bound_ms / 4
    }
}

/// A pull that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Transfer {
    /// Time since it began.
    pub since_ms: Millisecond,
    pub received_bytes: usize,
    /// Length of the answer; `None` before its head has come.
    pub total_bytes: Option<usize>,
}

impl Transfer {
    /// Whether it will end soon at its pace so far.
    fn ends_soon(&self) -> bool {
        let Some(total_bytes) = self.total_bytes else {
            return false;
        };
        let missing = total_bytes.saturating_sub(self.received_bytes) as u64;
        missing * self.since_ms <= self.received_bytes as u64 * NEXT_SOURCE_MS
    }
}

/// The next step of a node that is behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask the source with this index.
    Ask(usize),
    /// The same in place of the pull with the index `ends`, which has received least.
    Replace {
        ends: usize,
        source: usize,
    },
    Wait,
}

/// The next step of the node `own`, which lacks what `sources` have.
pub fn next_step(
    own: &str,
    standing: Standing,
    sources: &[Source<'_>],
    under_way: &[Transfer],
) -> Step {
    let latest_ms = under_way.iter().map(|t| t.since_ms).min();
    let is_soon = latest_ms.is_some_and(|ms| ms < NEXT_SOURCE_MS);
    if is_soon || under_way.iter().any(Transfer::ends_soon) {
        return Step::Wait;
    }
    let Some(source) = best_source(own, standing, sources) else {
        return Step::Wait;
    };
    if under_way.len() < SOURCES_AT_ONCE {
        return Step::Ask(source);
    }
    // The furthest pull is never given up, or none would end where the node's own link is full.
    let least = under_way.iter().enumerate();
    let least = least.min_by_key(|(_, t)| (t.received_bytes, std::cmp::Reverse(t.since_ms)));
    match least {
        Some((ends, _)) => Step::Replace { ends, source },
        None => Step::Wait,
    }
}

fn best_source(own: &str, standing: Standing, sources: &[Source<'_>]) -> Option<usize> {
    let best_of = |place: Place| {
        let open = sources.iter().enumerate();
        let open = open.filter(|(_, s)| s.place == place && s.contact.may_be_asked());
        let best = open.min_by(|(_, a), (_, b)| wait(own, a).total_cmp(&wait(own, b)));
        best.map(|(index, _)| index)
    };
    best_of(Place::SameDomain).or_else(|| {
        let is_allowed = standing.may_ask_other_domains();
        is_allowed.then(|| best_of(Place::OtherDomain)).flatten()
    })
}

/// Draws a source with a chance in proportion to its link: the least of exponential variates. The
/// draw is fixed for a pair of nodes, so that the nodes of a domain spread over their sources.
fn wait(own: &str, source: &Source<'_>) -> f64 {
    let mut hasher = rustc_hash::FxHasher::default();
    (own, source.name).hash(&mut hasher);
    let drawn = ((hasher.finish() >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    -drawn.ln() / source.link_mbps
}

/// Whether a node with a link of `link_mbps` may promise another `bytes`, while it sends
/// `promised_bytes` to others. One answer may always be sent.
pub fn may_promise(link_mbps: f64, promised_bytes: usize, bytes: usize) -> bool {
    const BYTES_PER_MBIT: f64 = 125_000.0;
    let limit_bytes = link_mbps * BYTES_PER_MBIT * PROMISED_MS / 1_000.0;
    promised_bytes == 0 || (promised_bytes + bytes) as f64 <= limit_bytes
}
