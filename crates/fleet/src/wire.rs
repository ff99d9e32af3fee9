//! Messages between entry VMs. Serialized field names are short where they repeat on every
//! heartbeat.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Name;
use serde::{Deserialize, Serialize};

use crate::piggyback::{Demand, Fingerprint};

/// Health of a member. Among records of the same incarnation, a later variant overrides an earlier
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Health {
    /// Answers calls.
    #[serde(rename = "a")]
    Alive,
    /// Did not answer a call of some node, and has not refuted the suspicion yet.
    #[serde(rename = "s")]
    Suspect,
    /// Did not refute the suspicion in time; is still called now and then.
    #[serde(rename = "g")]
    Gone,
    /// Announced that it leaves.
    #[serde(rename = "l")]
    Left,
}

/// Gossip record of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The entry VM's identifier.
    #[serde(rename = "n")]
    pub name: Name,
    /// Address of its peer interface.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    #[serde(rename = "d")]
    pub failure_domain: Name,
    /// Raised by the member at each start and each refutation.
    #[serde(rename = "i")]
    pub incarnation: u64,
    #[serde(rename = "h")]
    pub health: Health,
}

/// Freshness of a node's state, which decides whether peers may sync with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FreshnessLevel {
    /// Synced with the fleet or the platform since its start or last pause.
    #[serde(rename = "f")]
    Fresh,
    /// Routes on stale state, because nothing fresh has answered since its last pause.
    #[serde(rename = "d")]
    Degraded,
    /// Not synced yet since its start or last pause.
    #[serde(rename = "s")]
    Stale,
}

/// Digest of a set of leaving marks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetDigest {
    /// Number of marks.
    #[serde(rename = "c")]
    pub count: u32,
    /// XOR of the marks' hashes.
    #[serde(rename = "x")]
    pub xor: u64,
}

/// A heartbeat, or the answer to one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    #[serde(rename = "f")]
    pub from: MemberRecord,
    /// Freshness of the sender.
    #[serde(rename = "s")]
    pub standing: FreshnessLevel,
    /// Configuration version in force at the sender; 0 if there is none.
    #[serde(rename = "v")]
    pub config_version: u64,
    /// Digest of the sender's leaving marks.
    #[serde(rename = "l")]
    pub leaving: SetDigest,
    /// Recent member updates; at most [`crate::member::RECORDS_PER_MESSAGE`].
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub members: Vec<MemberRecord>,
    /// The sender's record of the receiver, if the receiver should refute it.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub about_you: Option<MemberRecord>,
    /// Demand of the sender; at most [`crate::piggyback::DEMAND_ROWS_MAX`] rows.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<Demand>,
    /// At most [`crate::piggyback::FINGERPRINTS_PER_MESSAGE`].
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub fingerprints: Vec<Fingerprint>,
}

/// Sent as soon as the sender learns something new, without waiting for a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Push {
    /// The sender.
    pub from: MemberRecord,
    /// Configuration version in force at the sender.
    pub config_version: u64,
    /// Backend servers that are leaving; at most [`crate::leaving::MARKS_PER_MESSAGE`].
    pub leaving: Vec<Name>,
    /// Fingerprints that are new to the sender.
    pub fingerprints: Vec<Fingerprint>,
}

/// Answer to a push.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PushReply {
    /// Configuration version in force at the answering node.
    pub config_version: u64,
}

/// Asks for the configuration, leaving marks and members that the sender lacks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The sender.
    pub from: MemberRecord,
    /// Configuration version in force at the sender.
    pub config_version: u64,
    /// Digests of the sender's leaving marks, one for each bucket.
    pub buckets: Vec<SetDigest>,
    /// Requests the page of members whose names are above this one.
    pub members_after: Name,
}

/// Answer to [`SyncRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// The answering node.
    pub from: MemberRecord,
    /// Freshness of the answering node.
    pub standing: FreshnessLevel,
    /// Configuration version in force at the answering node.
    pub config_version: u64,
    /// The document, if the requester's is older.
    pub config: Option<ConfigTransfer>,
    /// Leaving marks in the buckets that differ; at most [`crate::leaving::MARKS_PER_MESSAGE`].
    pub leaving: Vec<Name>,
    /// Whether `leaving` holds all marks of those buckets.
    pub leaving_part: Completeness,
    /// A page of members, sorted by name.
    pub members: Vec<MemberRecord>,
}

/// Completeness of an answer of bounded size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Completeness {
    /// The answer holds everything.
    Whole,
    /// The answer was cut off; another request returns more.
    Partial,
}

/// A configuration document as sent to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigTransfer {
    Whole(ConfigDocument),
    /// A patch of an older document.
    Patch(ConfigPatch),
}

/// One accepted version of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDocument {
    /// Versions count from 1.
    pub version: u64,
    /// SHA-256 of the text, in hexadecimal.
    pub digest: String,
    pub text: Arc<str>,
}

/// A document as the replacement of one range of bytes of an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPatch {
    /// Version of the resulting document.
    pub version: u64,
    /// SHA-256 of the resulting text, in hexadecimal.
    pub digest: String,
    /// Version of the older document.
    pub base_version: u64,
    /// Bytes kept from the start of the older text.
    pub prefix_bytes: usize,
    /// Bytes kept from the end of the older text.
    pub suffix_bytes: usize,
    /// Text between the kept bytes.
    pub middle: String,
}
