//! Turns of a task whose input is ready without end.
//!
//! One thread serves all connections of an entry. A peer can send faster than its bytes are handled,
//! and a task that reads them would then run until the peer stops.

use tokio::task;

/// Bytes that a task handles before others may run.
const TURN_BYTES: usize = 64 * 1024;

/// Counts the bytes that a task handles, and lets other tasks run after some of them.
#[derive(Debug, Default)]
pub struct Turn {
    bytes: usize,
}

impl Turn {
    /// Counts bytes that were handled.
    pub fn count(&mut self, bytes: usize) {
        self.bytes = self.bytes.saturating_add(bytes);
    }

    /// Lets other tasks run if the turn has ended.
    pub async fn pass(&mut self) {
        if self.bytes >= TURN_BYTES {
            self.bytes = 0;
            task::yield_now().await;
        }
    }
}
