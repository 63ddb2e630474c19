//! The budget for bytes that a process buffers for callers.
//!
//! Load pattern: callers that read or send slowly. While memory is free, an answer is read from its
//! target at the target's own pace, so that the target is free for others. When memory runs short, an
//! answer may hold as much as is still free, as in a switch whose queues share one memory: the
//! slowest caller holds most and waits first, and a caller that keeps up never does.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes of a small body. Most bodies are smaller, and refusing them would free little.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Small bodies and heads may exceed the budget by one part in this many.
const SMALL_EXCESS_PARTS: usize = 4;

/// Bytes of a document that are kept until it is whole though the buffers are short, about as many as
/// the HTTP server holds of any answer.
const MIN_DOCUMENT_BYTES: usize = 32 * 1024;

/// How much a process may buffer, in bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// For all callers together.
    pub total: usize,
    /// For one answer. With 0 an answer is read from its target only as fast as its caller reads.
    pub answer: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { total: usize::MAX, answer: 0 }
    }
}

/// The bytes that a process buffers for callers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Buffers(Rc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    limits: Limits,
    used: Cell<usize>,
    refused_bodies: Cell<u64>,
}

impl Buffers {
    /// Returns an empty account.
    pub fn new(limits: Limits) -> Self {
        Self(Rc::new(Shared { limits, ..Shared::default() }))
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.0.limits
    }

    /// Returns the buffered bytes.
    pub fn used(&self) -> usize {
        self.0.used.get()
    }

    /// Returns the number of bodies refused so far.
    pub fn refused_bodies(&self) -> u64 {
        self.0.refused_bodies.get()
    }

    /// Returns true if no more than a quarter of the budget is free, so that slow answers wait.
    pub fn is_short(&self) -> bool {
        self.used() >= self.0.limits.total / 4 * 3
    }

    /// Returns true if not even small bodies and heads fit.
    pub fn is_spent(&self) -> bool {
        let total = self.0.limits.total;
        self.used() >= total.saturating_add(total / SMALL_EXCESS_PARTS)
    }

    fn free(&self) -> usize {
        self.0.limits.total.saturating_sub(self.used())
    }

    /// Returns the bytes that an answer which holds `held` of the used ones may buffer in addition.
    pub fn room(&self, held: usize) -> usize {
        self.0.limits.answer.min(self.free()).saturating_sub(held)
    }

    /// Returns how much of a document may be kept until it is whole, of at most `max` bytes.
    pub fn document_room(&self, max: usize) -> usize {
        max.min(self.free().max(MIN_DOCUMENT_BYTES))
    }

    /// Returns a share that holds nothing yet.
    pub fn hold(&self) -> Held {
        Held { buffers: self.clone(), bytes: 0 }
    }

    /// Returns a share for a request's body; `None` if it does not fit, which small ones nearly always do. It is held in full
    /// before the body has arrived, so that no body that was begun is cut later.
    pub fn hold_body(&self, bytes: usize) -> Option<Held> {
        let mut held = self.hold();
        match held.grow_body(bytes) {
            true => Some(held),
            false => None,
        }
    }
}

/// The bytes that one answer or body holds, until it is dropped.
#[derive(Debug)]
pub struct Held {
    buffers: Buffers,
    bytes: usize,
}

impl Held {
    /// Returns the bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns true if not even small bodies and heads fit.
    pub fn is_spent(&self) -> bool {
        self.buffers.is_spent()
    }

    /// Returns the bytes that the answer may buffer in addition.
    pub fn room(&self) -> usize {
        self.buffers.room(self.bytes)
    }

    /// Changes the number of bytes.
    pub fn set(&mut self, bytes: usize) {
        let used = &self.buffers.0.used;
        used.set(used.get().saturating_sub(self.bytes).saturating_add(bytes));
        self.bytes = bytes;
    }

    /// Holds at least `bytes` for a request's body. Returns false if it does not fit.
    pub fn grow_body(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let others = self.buffers.used().saturating_sub(self.bytes);
        let fits = others.saturating_add(bytes) <= self.buffers.limits().total;
        let is_small = bytes <= SMALL_BODY_BYTES && !self.buffers.is_spent();
        if !fits && !is_small {
            let refused = &self.buffers.0.refused_bodies;
            refused.set(refused.get() + 1);
            return false;
        }
        self.set(bytes);
        true
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.set(0);
    }
}
