//! Fingerprints of requests, by which a request is recognised when it is sent again.

use xxhash_rust::xxh3;

/// Returns the hash of a request's method, path and body. Whatever else distinguishes two requests
/// is part of `path`.
pub fn of_request(method: &str, path: &str, body: &[u8]) -> u64 {
    let seed = xxh3::xxh3_64(format!("{method} {path}").as_bytes());
    xxh3::xxh3_64_with_seed(body, seed)
}
