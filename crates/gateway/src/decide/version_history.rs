//! Which software versions of each service have servers, or had some a short while ago.

use base::units::Millisecond;
use base::{Map, Name, Set};
use serde::{Deserialize, Serialize};

/// Longest time over which a caller resumes a stream. A version counts for as long after its last
/// server has left.
pub const STREAM_LIFE_MS: Millisecond = 60_000;

/// Whether a version has servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    Serving,
    /// The last server has left at this fleet time.
    GoneSince(Millisecond),
}

impl Presence {
    fn counts(self, fleet_ms: Millisecond) -> bool {
        match self {
            Self::Serving => true,
            Self::GoneSince(gone_ms) => fleet_ms.saturating_sub(gone_ms) < STREAM_LIFE_MS,
        }
    }

    /// The one that makes the version count for longer.
    fn later(self, other: Self) -> Self {
        match (self, other) {
            (Self::GoneSince(a), Self::GoneSince(b)) => Self::GoneSince(a.max(b)),
            (Self::Serving, _) | (_, Self::Serving) => Self::Serving,
        }
    }

    fn is_same_kind(self, other: Self) -> bool {
        (self == Self::Serving) == (other == Self::Serving)
    }
}

/// The versions of one service.
pub type Versions = Map<Name, Presence>;

/// Versions by service, as nodes tell each other.
pub type VersionReport = Vec<(Name, Vec<(Name, Presence)>)>;

/// What can be said of the version of a stream that is known only by its service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamVersions {
    /// All recent streams are of this version.
    Only(Name),
    /// The stream may be of any of several versions.
    Several,
    /// No version has served, as far as is known.
    None,
    /// It is not known which versions served before this process started.
    Unknown,
}

/// The versions of all services.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    services: Map<Name, Versions>,
    past: Past,
}

/// Whether the time before the start of the process is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Past {
    Known,
    #[default]
    Unknown,
}

impl VersionHistory {
    /// Whether the store or another node has told which versions served before the process started.
    pub fn is_known(&self) -> bool {
        self.past == Past::Known
    }

    /// Merges what the store or another node knows, and takes the past for known.
    pub fn merge(&mut self, report: &VersionReport, fleet_ms: Millisecond) {
        self.past = Past::Known;
        self.add(report, fleet_ms);
    }

    /// Merges what another node knows of some services.
    pub fn add(&mut self, report: &VersionReport, fleet_ms: Millisecond) {
        for (service, versions) in report {
            let known = self.services.entry(service.clone()).or_default();
            for (version, presence) in versions.iter().filter(|(_, p)| p.counts(fleet_ms)) {
                let entry = known.entry(version.clone()).or_insert(*presence);
                *entry = entry.later(*presence);
            }
        }
    }

    /// Records which versions have servers now, by service. The others are gone.
    pub fn observe(&mut self, serving: &Map<Name, Set<Name>>, fleet_ms: Millisecond) {
        for (service, versions) in &mut self.services {
            let now = serving.get(service);
            for (version, presence) in versions.iter_mut() {
                let serves = now.is_some_and(|now| now.contains(version));
                if !serves && *presence == Presence::Serving {
                    *presence = Presence::GoneSince(fleet_ms);
                }
            }
            versions.retain(|_, presence| presence.counts(fleet_ms));
        }
        for (service, now) in serving {
            let versions = self.services.entry(service.clone()).or_default();
            versions.extend(now.iter().map(|v| (v.clone(), Presence::Serving)));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// What is known of the version of a recent stream of a service.
    pub fn stream_versions(&self, service: &str) -> StreamVersions {
        if self.past == Past::Unknown {
            return StreamVersions::Unknown;
        }
        let Some(versions) = self.services.get(service) else {
            return StreamVersions::None;
        };
        let mut names = versions.keys();
        match (names.next(), names.next()) {
            (None, _) => StreamVersions::None,
            (Some(only), None) => StreamVersions::Only(only.clone()),
            (Some(_), Some(_)) => StreamVersions::Several,
        }
    }

    /// Whether streams of any service may be of several versions, as far as this node knows.
    pub fn has_any_several(&self) -> bool {
        self.services.values().any(|versions| versions.len() > 1)
    }

    /// Whether streams of a service may be of several versions, as far as this node knows.
    pub fn has_several(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|v| v.len() > 1)
    }

    /// All services with their versions.
    pub fn services(&self) -> impl Iterator<Item = (&Name, &Versions)> {
        self.services.iter()
    }

    /// The versions of one service, for other nodes; `None` if the past is unknown.
    pub fn report_of(&self, service: &Name) -> Option<VersionReport> {
        let versions = self.services.get(service).into_iter().flatten();
        let versions = versions.map(|(v, p)| (v.clone(), *p)).collect();
        self.is_known().then(|| vec![(service.clone(), versions)])
    }

    /// The services with several versions, for other nodes. These observe single ones themselves.
    pub fn report(&self) -> VersionReport {
        let several = self.services.iter().filter(|(_, v)| v.len() > 1);
        several
            .map(|(service, versions)| {
                let versions = versions.iter().map(|(v, p)| (v.clone(), *p));
                (service.clone(), versions.collect())
            })
            .collect()
    }
}

/// Whether two views of a service's versions differ in more than the times at which versions left.
pub fn differ(one: &Versions, other: &Versions) -> bool {
    let same = |(version, presence): (&Name, &Presence)| {
        other
            .get(version)
            .is_some_and(|p| p.is_same_kind(*presence))
    };
    one.len() != other.len() || !one.iter().all(same)
}
