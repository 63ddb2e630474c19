//! Hash collections with a fast hasher without protection against crafted keys, used by all tables.

use std::collections;

use rustc_hash::FxBuildHasher;

/// A hash map for keys that callers cannot freely choose.
pub type Map<K, V> = collections::HashMap<K, V, FxBuildHasher>;

/// A hash set for keys that callers cannot freely choose.
pub type Set<K> = collections::HashSet<K, FxBuildHasher>;
