//! Which software version a stream is of that a caller takes up at a node that doesn't remember it.

use base::Name;
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
    /// No other version has served for as long as streams live.
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
    /// No node has answered.
    Silent,
    /// A node that is heard has not answered.
    Awaited,
    /// All nodes that are heard have answered, or there is no other node.
    Answered,
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
            StreamVersions::Only(version) => {
                return Lookup::Found(version.clone(), VersionSource::OnlyVersion);
            }
            StreamVersions::None => return Lookup::NoServer,
            StreamVersions::Several if self.stored == StoredStream::Unnamed => return Lookup::Lost,
            StreamVersions::Several | StreamVersions::Unknown => {}
        }
        match (self.time, &self.stored, self.asked) {
            (LookupTime::Left, _, _) => Lookup::Pending,
            (LookupTime::Over, StoredStream::Absent, AskedNodes::Answered) => Lookup::Lost,
            (LookupTime::Over, _, _) => Lookup::Unreachable,
        }
    }
}
