//! The slots of a continuous batch, assigned by priority and then in order of arrival.

use std::collections;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use super::messages::Load;
use crate::lagged::Lagged;

struct Inner {
    free: usize,
    arrivals: u64,
    waiting: collections::BTreeMap<(i64, u64), oneshot::Sender<Slot>>,
    reported: Lagged<Load>,
}

/// The slots and the queue of one engine.
pub struct Slots {
    inner: Mutex<Inner>,
    total: usize,
    lag: Duration,
}

/// A slot of the batch; dropping it assigns it to the next waiting request.
pub struct Slot {
    slots: Arc<Slots>,
}

impl Slots {
    /// Returns a batch of `total` free slots whose load is reported with a delay of `lag`.
    pub fn new(total: usize, lag: Duration) -> Self {
        let reported = Lagged::new(Load { slots: total, ..Load::default() });
        let waiting = collections::BTreeMap::new();
        let inner = Mutex::new(Inner { free: total, arrivals: 0, waiting, reported });
        Self { inner, total, lag }
    }

    /// Waits for a slot; a lower `priority` number is served first. Dropping the future leaves the
    /// queue.
    pub async fn acquire(self: &Arc<Self>, priority: i64) -> Slot {
        let (tx, rx) = oneshot::channel();
        self.enqueue(priority, tx);
        self.assign_free_slots();
        rx.await.expect("a waiting request stays queued until it gets a slot")
    }

    /// Returns the load that is reported at `now`.
    pub fn load(&self, now: Instant) -> Load {
        let mut inner = self.lock();
        self.update_report(&mut inner, now);
        *inner.reported.get(now)
    }

    fn enqueue(&self, priority: i64, tx: oneshot::Sender<Slot>) {
        let mut inner = self.lock();
        inner.arrivals += 1;
        let queue_key = (priority, inner.arrivals);
        inner.waiting.insert(queue_key, tx);
    }

    fn assign_free_slots(self: &Arc<Self>) {
        // Declared before the lock, since dropping a slot takes the lock again.
        let mut unclaimed = Vec::new();
        let mut inner = self.lock();
        while inner.free > 0 {
            let Some((_, tx)) = inner.waiting.pop_first() else { break };
            if !tx.is_closed() {
                inner.free -= 1;
                unclaimed.extend(tx.send(Slot { slots: Arc::clone(self) }).err());
            }
        }
        self.update_report(&mut inner, Instant::now());
    }

    fn update_report(&self, inner: &mut Inner, now: Instant) {
        let waiting = inner.waiting.values().filter(|tx| !tx.is_closed()).count();
        let load = Load { running: self.total - inner.free, waiting, slots: self.total };
        inner.reported.set(load, now + self.lag);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.lock().free += 1;
        self.slots.assign_free_slots();
    }
}
