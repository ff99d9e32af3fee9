//! Messages between entry VMs. Field names are short because they repeat on every heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Name;
use serde::{Deserialize, Serialize};

use crate::piggyback::{Demand, Fingerprint};

/// Health of a member, in the order in which records of one incarnation override each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Answers.
    #[serde(rename = "a")]
    Alive,
    /// Did not answer someone, and has not refuted yet.
    #[serde(rename = "s")]
    Suspect,
    /// Did not refute in time; still tried now and then.
    #[serde(rename = "g")]
    Gone,
    /// Said that it leaves.
    #[serde(rename = "l")]
    Left,
}

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The entry VM's identifier.
    #[serde(rename = "n")]
    pub name: Name,
    /// Its peer address.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// The failure domain it stands in.
    #[serde(rename = "d")]
    pub failure_domain: Name,
    /// Number that a member raises at each start and each refutation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Its health.
    #[serde(rename = "h")]
    pub health: Health,
}

/// Whether a node may vouch for others' knowledge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FreshnessLevel {
    /// Knows what the fleet knows.
    #[serde(rename = "f")]
    Fresh,
    /// Was paused, and nothing that is fresh answered since.
    #[serde(rename = "d")]
    Degraded,
    /// Starting, or awake after a pause, and not synced yet.
    #[serde(rename = "s")]
    Stale,
}

/// Digest of the set of leaving marks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetDigest {
    /// Number of marks.
    #[serde(rename = "c")]
    pub count: u32,
    /// Exclusive or of the marks' hashes.
    #[serde(rename = "x")]
    pub xor: u64,
}

/// Heartbeat, and the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "f")]
    pub from: MemberRecord,
    /// The sender's standing.
    #[serde(rename = "s")]
    pub standing: FreshnessLevel,
    /// Configuration version in force at the sender; 0 for none.
    #[serde(rename = "v")]
    pub config_version: u64,
    /// The sender's leaving marks.
    #[serde(rename = "l")]
    pub leaving: SetDigest,
    /// News of members, bounded.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberRecord>,
    /// What the sender believes of the receiver, when that is not good.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub about_you: Option<MemberRecord>,
    /// The sender's own demand, bounded.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<Demand>,
    /// Fingerprints that still spread, bounded.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub fingerprints: Vec<Fingerprint>,
}

/// News that is sent on at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The sender.
    pub from: MemberRecord,
    /// Configuration version in force at the sender.
    pub config_version: u64,
    /// Backend servers that are leaving, bounded.
    pub leaving: Vec<Name>,
    /// Fingerprints, bounded.
    pub fingerprints: Vec<Fingerprint>,
}

/// Answer to a push.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushReply {
    /// Configuration version in force at the answering node.
    pub config_version: u64,
}

/// Asks for what the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The sender.
    pub from: MemberRecord,
    /// Configuration version in force at the sender.
    pub config_version: u64,
    /// Digests of the sender's marks, one for each bucket.
    pub buckets: Vec<SetDigest>,
    /// Members are wanted from this name on.
    pub members_after: Name,
}

/// Answer to [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The answering node.
    pub from: MemberRecord,
    /// Its standing.
    pub standing: FreshnessLevel,
    /// Its configuration version.
    pub config_version: u64,
    /// The document, where the asker's is older.
    pub config: Option<ConfigTransfer>,
    /// Marks in the buckets that differ, bounded.
    pub leaving: Vec<Name>,
    /// Whether `leaving` is all of them.
    pub leaving_part: Completeness,
    /// A page of members, by name.
    pub members: Vec<MemberRecord>,
}

/// Whether a bounded answer holds everything.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Completeness {
    /// Everything.
    Whole,
    /// More is there; ask again.
    Partial,
}

/// A configuration document on its way, whole or as one replaced range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigTransfer {
    /// The whole document.
    Whole(ConfigDocument),
    /// The document as a change of an older one.
    Patch(ConfigPatch),
}

/// One accepted version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Version, counted from 1.
    pub version: u64,
    /// SHA-256 of the text, in hexadecimal.
    pub digest: String,
    /// The document.
    pub text: Arc<str>,
}

/// A document that differs from an older one in one range of bytes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// Version that the patch leads to.
    pub version: u64,
    /// SHA-256 of the text it leads to.
    pub digest: String,
    /// Version that the patch starts from.
    pub base_version: u64,
    /// Bytes kept from the start of the older text.
    pub prefix_bytes: usize,
    /// Bytes kept from its end.
    pub suffix_bytes: usize,
    /// Text between them.
    pub middle: String,
}
