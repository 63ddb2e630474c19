//! Hash collections with a fast hasher, which every table uses.

use std::collections;

use rustc_hash::FxBuildHasher;

/// A hash map for keys that callers cannot choose at will.
pub type Map<K, V> = collections::HashMap<K, V, FxBuildHasher>;

/// A hash set for keys that callers cannot choose at will.
pub type Set<K> = collections::HashSet<K, FxBuildHasher>;
