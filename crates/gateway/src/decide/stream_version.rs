//! Which software version a stream is of that a caller takes up at a node that doesn't remember it.

use base::Name;
use base::units::Millisecond;
use serde::Serialize;

use super::version_history::StreamVersions;

/// How the version of a stream became known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VersionSource {
    /// This node relayed the stream, has looked it up before, or was told of its begin.
    Memory,
    /// Another node remembers the stream.
    OtherNode,
    /// No other version has served for as long as streams live, as confirmed after the request
    /// arrived.
    OnlyVersion,
    Store,
}

/// What the store says of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredStream {
    /// The caller doesn't name the stream, so that there is no row.
    Unnamed,
    /// The store has not been asked, or has not answered.
    Unread,
    /// The node that began the stream must have written it by now, and the store doesn't have it.
    Absent,
    Version(Name),
}

/// The nodes that were asked for a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskedNodes {
    /// Answers may still be in transit.
    Awaited,
    /// No node has answered in time.
    Silent,
    /// A node has not answered in time, or doesn't know the versions before its start. It may have
    /// begun the stream.
    Overdue,
    /// All nodes that were asked have answered; there are more.
    Asked,
    /// All nodes that are known have answered, or there is no other node.
    All,
}

/// Whether the store has confirmed the registry by a query that was sent after the request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RegistryCheck {
    Confirmed,
    Unconfirmed,
}

/// Greatest ages of the youngest registry among the answers.
#[derive(Clone, Copy, Debug)]
pub struct RegistryBounds {
    /// If all nodes that were asked have answered: the age that no node in step exceeds.
    pub asked_ms: Millisecond,
    /// If all nodes that are known have answered: the time for which an ended node stays known. A
    /// node that has begun streams of a version which is unknown to all others is among them.
    pub all_ms: Millisecond,
}

/// Whether more may become known in the time that the caller leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupTime {
    Left,
    Over,
}

/// What is known of a stream.
#[derive(Clone, Debug)]
pub struct Evidence {
    /// Versions that may have begun it.
    pub versions: StreamVersions,
    pub stored: StoredStream,
    pub asked: AskedNodes,
    pub registry: RegistryCheck,
    /// Age of the youngest registry among the answers of nodes that know the versions before their
    /// start.
    pub youngest_ms: Option<Millisecond>,
    pub bounds: RegistryBounds,
    /// Version that another node remembers.
    pub remembered: Option<Name>,
    pub time: LookupTime,
}

/// Outcome of a lookup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// More has to become known.
    Pending,
    Found(Name, VersionSource),
    /// The service has no server, so that there is nothing to choose from.
    NoServer,
    /// Who may know the version can't be asked now.
    Unreachable,
    /// Nobody can tell, now or later.
    Lost,
}

impl Evidence {
    /// The version of the stream, as far as the evidence shows it.
    pub fn conclude(&self) -> Lookup {
        if let Some(version) = &self.remembered {
            return Lookup::Found(version.clone(), VersionSource::OtherNode);
        }
        if let StoredStream::Version(version) = &self.stored {
            return Lookup::Found(version.clone(), VersionSource::Store);
        }
        match &self.versions {
            StreamVersions::Only(version) if self.is_current() => {
                return Lookup::Found(version.clone(), VersionSource::OnlyVersion);
            }
            StreamVersions::None if self.is_current() => return Lookup::NoServer,
            StreamVersions::Only(_) | StreamVersions::None => {}
            StreamVersions::Several if self.stored == StoredStream::Unnamed => return Lookup::Lost,
            StreamVersions::Several | StreamVersions::Unknown => {}
        }
        if self.time == LookupTime::Left {
            return Lookup::Pending;
        }
        match (&self.stored, self.asked) {
            (StoredStream::Absent, AskedNodes::Asked | AskedNodes::All) => Lookup::Lost,
            _ => Lookup::Unreachable,
        }
    }

    /// Whether the versions are known as of the arrival of the request: a node that is cut off, or
    /// has stood still, doesn't know of a version that other nodes have begun streams on.
    fn is_current(&self) -> bool {
        let is_younger = |bound_ms| self.youngest_ms.is_some_and(|age_ms| age_ms <= bound_ms);
        match (self.asked, self.registry) {
            (AskedNodes::Awaited, _) => false,
            (_, RegistryCheck::Confirmed) => true,
            (AskedNodes::All, RegistryCheck::Unconfirmed) => is_younger(self.bounds.all_ms),
            (AskedNodes::Asked, RegistryCheck::Unconfirmed) => is_younger(self.bounds.asked_ms),
            (AskedNodes::Silent | AskedNodes::Overdue, RegistryCheck::Unconfirmed) => false,
        }
    }

    /// Whether the store has to be asked for the stream's row; rows are written only while several
    /// versions serve.
    pub fn needs_row(&self) -> bool {
        match self.versions {
            StreamVersions::Several | StreamVersions::Unknown => true,
            StreamVersions::Only(_) | StreamVersions::None => false,
        }
    }

    /// Whether the store has to be asked for the registry, as the answers don't do.
    pub fn needs_registry(&self) -> bool {
        self.asked != AskedNodes::Awaited && !self.needs_row()
    }
}
