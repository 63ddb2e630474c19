//! A pool of idle connections, by address.
//!
//! Load pattern: many short requests to few targets, each of which accepts a limited number of
//! connections from all of its clients together. Reuse keeps the connections of an entry near its
//! requests in flight, which the slots of targets limit. The pool has a limit besides, so that idle
//! connections leave descriptors for others.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Clock;
use crate::collections::Map;
use crate::direct::connections::codecs::Codecs;
use crate::direct::connections::http::{Connection, Result};
use crate::direct::connections::sockets::Buffering;

/// Longest idle time of a connection that is reused, if the target states no limit. It is below the
/// five seconds after which HTTP servers commonly close an idle connection.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Longest idle time of a connection that is reused for a request that must not run twice. A target
/// may close an idle connection while the request is on its way, and then it is unknown whether the
/// request ran.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(500);

/// Share of a target's idle limit during which a connection is reused; the rest covers the time in
/// which a request reaches the target.
const IDLE_LIMIT_SHARE: f64 = 0.7;

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Any that seems open and is below its idle limit.
    Any,
    /// Only those idle for at most 500 ms, for requests that must not run twice.
    RecentOnly,
}

struct IdleConnection {
    connection: Connection,
    /// When it was put back, on the pool's clock.
    since: Duration,
    max_idle: Duration,
}

/// Idle connections by address, and the codecs for new ones.
#[derive(Clone)]
pub struct Pool {
    clock: Clock,
    codecs: Codecs,
    idle: Rc<RefCell<Map<SocketAddr, Vec<IdleConnection>>>>,
    /// The number of idle connections.
    count: Rc<Cell<usize>>,
    max_count: usize,
    buffering: Buffering,
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(clock: Clock) -> Self {
        let (idle, count) = (Rc::default(), Rc::default());
        let (max_count, buffering) = (usize::MAX, Buffering::LongAnswers);
        Self { clock, codecs: Codecs::new(), idle, count, max_count, buffering }
    }

    /// Returns the pool for connections to targets: with a limit of those that are idle, and with small
    /// buffers in the kernel.
    #[must_use]
    pub fn within(self, max_count: usize) -> Self {
        Self { max_count, buffering: Buffering::Small, ..self }
    }

    /// Takes an idle connection that still seems open out of the pool.
    pub fn take(&self, addr: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let now = self.clock.monotonic();
        let mut pool = self.idle.borrow_mut();
        let list = pool.get_mut(&addr)?;
        while let Some(idle) = list.pop() {
            self.count.set(self.count.get().saturating_sub(1));
            let age = now.saturating_sub(idle.since);
            let limit = match reuse {
                Reuse::Any => idle.max_idle,
                Reuse::RecentOnly => idle.max_idle.min(MAX_IDLE_AT_MOST_ONCE),
            };
            if age <= limit && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not established within `timeout`.
    pub async fn open(&self, addr: SocketAddr, timeout: Duration) -> Result<Connection> {
        Connection::open_with(addr, timeout, &self.codecs, self.buffering).await
    }

    /// Puts back a connection whose answer has ended, if it can be reused and there is room for it. `idle_limit` is the time
    /// for which the server keeps it idle, if it stated one.
    pub fn put_back(&self, addr: SocketAddr, connection: Connection, idle_limit: Option<Duration>) {
        if self.count.get() >= self.max_count || !connection.is_reusable() {
            return;
        }
        let max_idle = idle_limit.map_or(MAX_IDLE, |limit| limit.mul_f64(IDLE_LIMIT_SHARE));
        let idle = IdleConnection { connection, since: self.clock.monotonic(), max_idle };
        self.idle.borrow_mut().entry(addr).or_default().push(idle);
        self.count.set(self.count.get() + 1);
    }

    /// Closes connections that have been idle for too long, and those to addresses for which
    /// `wanted` returns false.
    pub fn prune(&self, wanted: impl Fn(SocketAddr) -> bool) {
        let now = self.clock.monotonic();
        let mut pool = self.idle.borrow_mut();
        pool.retain(|addr, list| {
            list.retain(|idle| now.saturating_sub(idle.since) <= idle.max_idle);
            wanted(*addr) && !list.is_empty()
        });
        self.count.set(pool.values().map(Vec::len).sum());
    }
}
