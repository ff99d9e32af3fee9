//! Types that every other crate shares: names, units, collections, identifiers and outcomes.

pub mod backoff;
pub mod ids;
pub mod outcome;
pub mod secret;
pub mod units;

use std::sync::Arc;

/// Hash map with a fast, non-cryptographic hasher; keys must not be chosen by an attacker.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the hasher of [`Map`].
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// Shared immutable name of a service, workspace, VM, failure domain or model.
pub type Name = Arc<str>;
