//! The configuration in force at one node, and its way between nodes.
//!
//! A node only ever moves to a higher version. Documents go whole, or as one replaced range against
//! a version that the receiver has; the digest decides whether the result is taken.

use std::collections::VecDeque;
use std::sync::Arc;

use base::secret;

use crate::wire::{ConfigDocument, ConfigPatch, ConfigTransfer};

/// Older documents kept to make patches from.
const OLDER_VERSIONS_MAX: usize = 4;

/// Whether a document was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// It is in force now.
    Adopted,
    /// It is not newer than what is in force.
    Older,
    /// The text does not fit its digest, or a patch does not fit this node's document.
    Mismatch,
}

/// The document in force at one node.
#[derive(Debug, Default)]
pub struct ConfigReplica {
    current: Option<Arc<ConfigDocument>>,
    older: VecDeque<Arc<ConfigDocument>>,
}

impl ConfigReplica {
    /// The document in force.
    pub fn current(&self) -> Option<&Arc<ConfigDocument>> {
        self.current.as_ref()
    }

    /// Version in force; 0 for none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |document| document.version)
    }

    /// Takes a document if it is newer than the one in force and fits its digest.
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

    /// Takes a document in the form in which a peer sent it.
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

    /// What a peer at version `have` needs to reach this node's; nothing if it is not behind.
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
