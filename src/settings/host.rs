//! What a process may take up of its host: memory for buffers, and connections.

use rustix::process::{self, Resource};
use serde::Deserialize;

use crate::direct::connections::buffers::Limits;
use crate::direct::connections::port::ConnectionLimits;
use crate::settings::{InvalidValue, common};

/// BufferSettings limit the bytes that are buffered for callers that read or send slowly.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BufferSettings {
    /// The memory that the process may use, in megabytes, if the host limits it.
    pub memory_mb: Option<u64>,
    /// Limit for all callers together, in kilobytes.
    pub total_kb: Option<u64>,
    /// Limit for one answer, in kilobytes.
    pub answer_kb: Option<u64>,
}

impl BufferSettings {
    fn total_kb(&self) -> u64 {
        let of_memory = self.memory_mb.map(|megabytes| megabytes * 1024 / MEMORY_PARTS);
        self.total_kb.or(of_memory).unwrap_or(DEFAULT_BUFFERS_KB)
    }

    fn answer_kb(&self) -> u64 {
        self.answer_kb.unwrap_or(DEFAULT_ANSWER_KB.min(self.total_kb()))
    }

    /// Returns the memory that the process may use, in bytes, as far as the settings tell.
    fn memory_bytes(&self) -> usize {
        let total = self.total_kb() * MEMORY_PARTS;
        let kilobytes = self.memory_mb.map_or(total, |megabytes| megabytes * 1024);
        usize::try_from(kilobytes * 1024).unwrap_or(usize::MAX)
    }

    /// Returns the limits in bytes.
    pub fn limits(&self) -> Limits {
        let bytes = |kilobytes: u64| usize::try_from(kilobytes * 1024).unwrap_or(usize::MAX);
        Limits { total: bytes(self.total_kb()), answer: bytes(self.answer_kb()) }
    }
}

/// ConnectionSettings limit the connections that others open to the process.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConnectionSettings {
    /// Files that the process may have open. Without it, the limit of the operating system counts.
    pub max_files: Option<u64>,
}

impl ConnectionSettings {
    /// Returns the limits for a process with these buffers.
    pub fn limits(&self, buffers: &BufferSettings) -> ConnectionLimits {
        let files = self.max_files.or_else(|| process::getrlimit(Resource::Nofile).current);
        let files = files.map_or(usize::MAX, |files| usize::try_from(files).unwrap_or(usize::MAX));
        let sockets = files.saturating_sub(OTHER_FILES).max(MIN_SOCKETS);
        let by_memory = buffers.memory_bytes() / CONNECTION_MEMORY_PARTS / CONNECTION_BYTES;
        let callers = (sockets / 10 * 3).min(by_memory);
        let part = |parts: usize, least: usize| (sockets / parts).min(by_memory / 4).max(least);
        ConnectionLimits {
            callers: callers.max(MIN_CONNECTIONS),
            checks: part(50, MIN_CONNECTIONS),
            addresses: part(20, MIN_CONNECTIONS),
            peers: part(10, MIN_CONNECTIONS),
            idle: sockets / 20 * 3,
        }
    }
}

/// The part of the memory that buffers may take is one in this many. The rest is for the buffers of the
/// kernel, which count as well, and for state.
const MEMORY_PARTS: u64 = 4;
/// A quarter of the memory of a small host.
const DEFAULT_BUFFERS_KB: u64 = 32 * 1024;
/// As large as the largest bodies of plain services usually are.
const DEFAULT_ANSWER_KB: u64 = 4 * 1024;
/// The least that one answer needs: a document that is kept until it is whole, and the beginning of
/// an event.
const MIN_ANSWER_KB: u64 = 512;
/// Most files that a process can have open.
const MAX_FILES: u64 = 1 << 30;
/// Most memory that a host can have.
const MAX_MEMORY_MB: u64 = 1024 * 1024;

/// Connections may take up one part in this many of the memory.
const CONNECTION_MEMORY_PARTS: usize = 2;
/// What the HTTP server, the kernel and a request in progress hold for one connection beside the
/// buffers.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Files of a process that are not for connections.
const OTHER_FILES: usize = 200;
/// The fewest connections that a process can do with.
const MIN_SOCKETS: usize = 100;
/// The fewest connections of one port.
const MIN_CONNECTIONS: usize = 4;

/// Returns the first invalid value, or `None` if all settings are valid.
pub fn check(buffers: &BufferSettings, connections: &ConnectionSettings) -> Option<InvalidValue> {
    check_buffers(buffers).or_else(|| {
        let files = connections.max_files?;
        common::check_range("connections.max_files", files, 400..=MAX_FILES)
    })
}

fn check_buffers(buffers: &BufferSettings) -> Option<InvalidValue> {
    let max_kb = buffers.memory_mb.unwrap_or(MAX_MEMORY_MB).saturating_mul(1024);
    let memory = buffers.memory_mb.and_then(|megabytes| {
        common::check_range("buffers.memory_mb", megabytes, 16..=MAX_MEMORY_MB)
    });
    memory
        .or_else(|| {
            let total = buffers.total_kb?;
            common::check_range("buffers.total_kb", total, MIN_ANSWER_KB..=max_kb)
        })
        .or_else(|| {
            let answer = buffers.answer_kb?;
            common::check_range("buffers.answer_kb", answer, MIN_ANSWER_KB..=buffers.total_kb())
        })
}
