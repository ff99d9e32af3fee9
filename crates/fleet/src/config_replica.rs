//! A node's replica of the configuration, and its transfer between nodes.
//!
//! A node only moves to higher versions. A document is sent whole, or as one replaced range of a
//! version that the receiver has; it is adopted only if the result matches the digest.

use std::collections::VecDeque;
use std::sync::Arc;

use base::secret;

use crate::wire::{ConfigDocument, ConfigPatch, ConfigTransfer};

/// Older documents kept as bases of patches.
const OLDER_VERSIONS_MAX: usize = 4;

/// Result of offering a document to a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The document is in force now.
    Adopted,
    /// The document is not newer than the one in force.
    Older,
    /// The text does not match its digest, or the patch does not apply to this node's document.
    Mismatch,
}

/// The configuration in force at one node, with a few older versions.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    current: Option<Arc<ConfigDocument>>,
    older: VecDeque<Arc<ConfigDocument>>,
}

impl ConfigReplica {
    pub fn current(&self) -> Option<&Arc<ConfigDocument>> {
        self.current.as_ref()
    }

    /// Version in force; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |document| document.version)
    }

    /// Adopts a document if it is newer than the one in force and matches its digest.
    pub fn adopt(&mut self, document: ConfigDocument) -> Adoption {
        if document.version <= self.version() {
            return Adoption::Older;
        }
        if secret::key_digest_hex(&document.text) != document.digest {
            return Adoption::Mismatch;
        }
        if let Some(old) = self.current.replace(Arc::new(document)) {
            self.older.push_back(old);
        }
        if self.older.len() > OLDER_VERSIONS_MAX {
            self.older.pop_front();
        }
        Adoption::Adopted
    }

    /// Adopts a document that a peer sent whole or as a patch.
    pub fn adopt_transfer(&mut self, transfer: ConfigTransfer) -> Adoption {
        match transfer {
            ConfigTransfer::Whole(document) => self.adopt(document),
            ConfigTransfer::Patch(patch) => {
                if patch.version <= self.version() {
                    return Adoption::Older;
                }
                let Some(text) = self.apply_patch(&patch) else {
                    return Adoption::Mismatch;
                };
                self.adopt(ConfigDocument {
                    version: patch.version,
                    digest: patch.digest,
                    text: text.into(),
                })
            }
        }
    }

    /// The transfer that brings a peer from version `have` to this node's version; `None` if the peer
    /// is not behind.
    pub fn transfer(&self, have: u64) -> Option<ConfigTransfer> {
        let current = self.current.as_ref().filter(|c| c.version > have)?;
        let base = self.older.iter().find(|old| old.version == have);
        Some(match base {
            Some(base) => ConfigTransfer::Patch(make_patch(base, current)),
            None => ConfigTransfer::Whole(ConfigDocument::clone(current)),
        })
    }

    fn apply_patch(&self, patch: &ConfigPatch) -> Option<String> {
        let current = self.current.as_ref();
        let base = current.filter(|base| base.version == patch.base_version)?;
        let prefix = base.text.get(..patch.prefix_bytes)?;
        let suffix_start = base.text.len().checked_sub(patch.suffix_bytes)?;
        let suffix = base.text.get(suffix_start..)?;
        Some([prefix, &patch.middle, suffix].concat())
    }
}

fn make_patch(base: &ConfigDocument, next: &ConfigDocument) -> ConfigPatch {
    let (old, new) = (&*base.text, &*next.text);
    let mut prefix = common_len(old.bytes(), new.bytes());
    while !(old.is_char_boundary(prefix) && new.is_char_boundary(prefix)) {
        prefix -= 1;
    }
    let (old_rest, new_rest) = (&old[prefix..], &new[prefix..]);
    let mut suffix = common_len(old_rest.bytes().rev(), new_rest.bytes().rev());
    while !new_rest.is_char_boundary(new_rest.len() - suffix) {
        suffix -= 1;
    }
    ConfigPatch {
        version: next.version,
        digest: next.digest.clone(),
        base_version: base.version,
        prefix_bytes: prefix,
        suffix_bytes: suffix,
        middle: new_rest[..new_rest.len() - suffix].to_owned(),
    }
}

fn common_len(left: impl Iterator<Item = u8>, right: impl Iterator<Item = u8>) -> usize {
    left.zip(right).take_while(|(a, b)| a == b).count()
}
