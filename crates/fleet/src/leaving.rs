//! Marks of backend servers that are leaving.
//!
//! A mark cannot be revoked, as VM identifiers are not reused. Once its VM has been absent from the
//! VM list for some time, the mark becomes a tombstone: it is kept for the same time again, but no
//! longer sent, so that no other node reintroduces it.

use base::units::Millisecond;
use base::{Map, Name};

use crate::hash;
use crate::wire::{Completeness, SetDigest};

/// Buckets whose digests two nodes compare in a sync.
pub const BUCKETS: usize = 16;
/// Most marks in one message.
pub const MARKS_PER_MESSAGE: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mark {
    /// Sent to peers; holds the time when the VM list showed the VM last.
    Active { last_listed_ms: Millisecond },
    /// Tombstone, which is not sent.
    Retired { retired_ms: Millisecond },
}

/// Marks that one node knows.
#[derive(Debug, Default)]
pub struct LeavingMarks {
    marks: Map<Name, Mark>,
    buckets: [SetDigest; BUCKETS],
}

impl LeavingMarks {
    /// Whether a backend server is leaving and must get no new work.
    pub fn contains(&self, vm: &str) -> bool {
        self.marks.contains_key(vm)
    }

    /// Identifiers of all marked VMs.
    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.marks.keys()
    }

    /// Marks a VM; returns false if it was marked already.
    pub fn mark(&mut self, vm: &Name, now_ms: Millisecond) -> bool {
        if self.marks.contains_key(vm) {
            return false;
        }
        self.marks.insert(
            vm.clone(),
            Mark::Active {
                last_listed_ms: now_ms,
            },
        );
        self.update_bucket(vm, 1);
        true
    }

    /// Digest of all marks except tombstones.
    pub fn digest(&self) -> SetDigest {
        let mut whole = SetDigest::default();
        for bucket in &self.buckets {
            whole.count += bucket.count;
            whole.xor ^= bucket.xor;
        }
        whole
    }

    /// Digest of each bucket.
    pub fn buckets(&self) -> Vec<SetDigest> {
        self.buckets.to_vec()
    }

    /// Marks in the buckets that differ from `theirs`, at most [`MARKS_PER_MESSAGE`]. If there are
    /// more, `page_seed` chooses which of them, so that repeated requests return different ones.
    pub fn difference(&self, theirs: &[SetDigest], page_seed: u64) -> (Vec<Name>, Completeness) {
        let differs = |bucket: usize| theirs.get(bucket) != Some(&self.buckets[bucket]);
        let mut marks: Vec<&Name> = Vec::new();
        for (name, mark) in &self.marks {
            let active = matches!(mark, Mark::Active { .. });
            if active && differs(bucket_of(name)) {
                marks.push(name);
            }
        }
        if marks.len() <= MARKS_PER_MESSAGE {
            return (marks.into_iter().cloned().collect(), Completeness::Whole);
        }
        marks.sort_by_key(|name| hash::rendezvous(name, u128::from(page_seed)));
        marks.truncate(MARKS_PER_MESSAGE);
        (marks.into_iter().cloned().collect(), Completeness::Partial)
    }

    /// Updates the marks by the identifiers on the VM list: a mark of a VM that the list has not shown
    /// for `forget_ms` becomes a tombstone, and a tombstone is dropped after another `forget_ms`.
    pub fn retain_listed<'a>(
        &mut self,
        listed: impl Iterator<Item = &'a Name>,
        now_ms: Millisecond,
        forget_ms: Millisecond,
    ) {
        for vm in listed {
            if let Some(Mark::Active { last_listed_ms }) = self.marks.get_mut(vm) {
                *last_listed_ms = now_ms;
            }
        }
        let mut retired = Vec::new();
        let mut ended = Vec::new();
        for (name, mark) in &self.marks {
            match *mark {
                Mark::Active { last_listed_ms }
                    if now_ms.saturating_sub(last_listed_ms) >= forget_ms =>
                {
                    retired.push(name.clone());
                }
                Mark::Retired { retired_ms } if now_ms.saturating_sub(retired_ms) >= forget_ms => {
                    ended.push(name.clone());
                }
                Mark::Active { .. } | Mark::Retired { .. } => {}
            }
        }
        for name in ended {
            self.marks.remove(&name);
        }
        for name in retired {
            self.update_bucket(&name, -1);
            self.marks
                .insert(name, Mark::Retired { retired_ms: now_ms });
        }
    }

    fn update_bucket(&mut self, name: &Name, count: i32) {
        let bucket = &mut self.buckets[bucket_of(name)];
        bucket.xor ^= hash::stable(name.as_bytes());
        bucket.count = bucket.count.wrapping_add_signed(count);
    }
}

fn bucket_of(name: &Name) -> usize {
    (hash::stable(name.as_bytes()) >> 32) as usize % BUCKETS
}
