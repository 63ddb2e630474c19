//! IdleConnection connections to targets, within the connections that a target accepts.
//!
//! Load pattern: many short requests to few targets. A target accepts a number of connections from
//! all callers together, so each entry keeps to its part of them; what exceeds the part waits for
//! a connection to come back.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::Clock;
use crate::collections::Map;
use crate::direct::http::{Codecs, Connection, Result};

/// Longest idle time of a connection that is used again, where the target names no limit. It lies
/// under the five seconds that HTTP servers commonly keep an idle connection.
const MAX_IDLE: Duration = Duration::from_secs(4);

/// Longest idle time before a request that may not be sent twice: a target may close an idle
/// connection just as the request is on its way, and then nobody knows whether it ran.
const MAX_IDLE_AT_MOST_ONCE: Duration = Duration::from_millis(500);

/// The part of a target's own idle limit during which a connection is used again; the rest covers
/// the way of a request to the target.
const IDLE_LIMIT_PART: f64 = 0.7;

/// Reuse says which idle_connection connections a request may go over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// Any that seems open.
    Any,
    /// Those that were used a moment ago.
    RecentOnly,
}

struct IdleConnection {
    connection: Connection,
    since: Duration,
    max_idle: Duration,
}

/// Pool keeps idle connections by target address.
#[derive(Clone)]
pub struct Pool {
    clock: Clock,
    codecs: Codecs,
    idle: Rc<RefCell<Map<SocketAddr, Vec<IdleConnection>>>>,
}

impl Pool {
    /// Returns an empty pool.
    pub fn new(clock: Clock) -> Self {
        Self { clock, codecs: Codecs::new(), idle: Rc::default() }
    }

    /// Takes an idle connection that still seems open out of the pool.
    pub fn take(&self, addr: SocketAddr, reuse: Reuse) -> Option<Connection> {
        let now = self.clock.monotonic();
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&addr)?;
        while let Some(idle_connection) = list.pop() {
            let age = now.saturating_sub(idle_connection.since);
            let limit = match reuse {
                Reuse::Any => idle_connection.max_idle,
                Reuse::RecentOnly => idle_connection.max_idle.min(MAX_IDLE_AT_MOST_ONCE),
            };
            if age <= limit && idle_connection.connection.is_reusable() {
                return Some(idle_connection.connection);
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error where none is up within `timeout`.
    pub async fn open(&self, addr: SocketAddr, timeout: Duration) -> Result<Connection> {
        Connection::open(addr, timeout, &self.codecs).await
    }

    /// Puts back a connection whose answer has ended, if it may carry another exchange.
    pub fn put_back(&self, addr: SocketAddr, connection: Connection, idle_limit: Option<Duration>) {
        if !connection.is_reusable() {
            return;
        }
        let max_idle = idle_limit.map_or(MAX_IDLE, |limit| limit.mul_f64(IDLE_LIMIT_PART));
        let idle_connection =
            IdleConnection { connection, since: self.clock.monotonic(), max_idle };
        self.idle.borrow_mut().entry(addr).or_default().push(idle_connection);
    }

    /// Drops connections that have been idle for too long, and those to other addresses than the
    /// ones that `wanted` accepts.
    pub fn prune(&self, wanted: impl Fn(SocketAddr) -> bool) {
        let now = self.clock.monotonic();
        self.idle.borrow_mut().retain(|addr, list| {
            list.retain(|idle_connection| {
                now.saturating_sub(idle_connection.since) <= idle_connection.max_idle
            });
            wanted(*addr) && !list.is_empty()
        });
    }
}
