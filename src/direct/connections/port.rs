//! The open connections of one port, and their limit.
//!
//! Load pattern: clients that open connections and leave them, send heads or bodies that never end, or
//! do not read. A new connection takes the place of one that keeps its client waiting for nothing:
//! first of one between requests, then of one whose request or answer does not get on. Connections
//! whose requests are in progress stay, and if all do, new ones are closed at once.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::time;

use crate::clock::Clock;
use crate::collections::Map;
use crate::direct::connections::flow::{Flow, Phase};
use crate::direct::connections::sockets::Buffering;
use crate::telemetry::events;

/// Interval at which overdue heads are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Time from the first byte of a head to the last one, as in common servers.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without a byte after which the connection of an incomplete body may be closed for a new one.
const BODY_STALL: Duration = Duration::from_secs(1);

/// Time after which one may be closed whose client reads nothing of an answer.
const ANSWER_STALL: Duration = Duration::from_secs(5);

/// Limits of the connections of each port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections for readiness checks, and as many for metrics.
    pub checks: usize,
    /// Connections of callers that ask for addresses.
    pub addresses: usize,
    /// Connections of the product's other processes.
    pub peers: usize,
    /// Idle connections to targets.
    pub idle: usize,
}

/// The connections of one port; clones share them.
#[derive(Clone)]
pub struct Port(Rc<Shared>);

struct Shared {
    name: &'static str,
    max_connections: usize,
    buffering: Buffering,
    clock: Clock,
    /// The time of the last sweep.
    now: Cell<Duration>,
    flows: RefCell<Map<u64, Rc<Flow>>>,
    next: Cell<u64>,
    /// Connections that are not being closed.
    open: Cell<usize>,
    closed: Cell<u64>,
    refused: Cell<u64>,
    /// The numbers closed and refused that were reported last.
    reported: Cell<(u64, u64)>,
}

impl Port {
    /// Returns a port without connections.
    pub fn new(name: &'static str, max_connections: usize, clock: Clock) -> Self {
        Self::with_buffers(name, max_connections, Buffering::Small, clock)
    }

    /// Returns a port without connections, which have these buffers in the kernel.
    pub fn with_buffers(
        name: &'static str,
        max_connections: usize,
        buffering: Buffering,
        clock: Clock,
    ) -> Self {
        Self(Rc::new(Shared {
            name,
            max_connections,
            buffering,
            now: Cell::new(clock.monotonic()),
            clock,
            flows: RefCell::default(),
            next: Cell::new(0),
            open: Cell::new(0),
            closed: Cell::new(0),
            refused: Cell::new(0),
            reported: Cell::default(),
        }))
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.0.open.get()
    }

    /// Returns the port's name in logs and metrics.
    pub fn name(&self) -> &'static str {
        self.0.name
    }

    /// Returns the buffers in the kernel that its connections have.
    pub fn buffering(&self) -> Buffering {
        self.0.buffering
    }

    /// Returns the number of connections that were closed for new ones or for their heads so far.
    pub fn closed(&self) -> u64 {
        self.0.closed.get()
    }

    /// Returns the number of connections that were closed as soon as they were accepted.
    pub fn refused(&self) -> u64 {
        self.0.refused.get()
    }

    /// Returns the time of the last sweep, which is precise enough for time limits.
    pub fn now(&self) -> Duration {
        self.0.now.get()
    }

    /// Admits a connection; `None` if it is to be closed.
    pub fn admit(&self) -> Option<Admitted> {
        if self.open() >= self.0.max_connections {
            let Some(victim) = self.replaceable() else {
                self.0.refused.set(self.refused() + 1);
                return None;
            };
            self.close(&victim);
        }
        let key = self.0.next.get();
        self.0.next.set(key + 1);
        self.0.open.set(self.open() + 1);
        let flow = Rc::new(Flow::new(self.now()));
        self.0.flows.borrow_mut().insert(key, Rc::clone(&flow));
        Some(Admitted { port: self.clone(), key, flow })
    }

    /// Returns true if connections are closed or refused for new ones.
    pub fn is_full(&self) -> bool {
        self.open() >= self.0.max_connections
    }

    /// Returns the connection that a new one replaces.
    fn replaceable(&self) -> Option<Rc<Flow>> {
        let now = self.now();
        let flows = self.0.flows.borrow();
        let rank = |flow: &Flow| {
            let idle = now.saturating_sub(flow.progress());
            match flow.phase() {
                Phase::Head => Some(0),
                Phase::Body(_) if idle >= BODY_STALL => Some(1),
                Phase::Answer if flow.is_unread() && idle >= ANSWER_STALL => Some(2),
                Phase::Body(_) | Phase::Answer => None,
            }
        };
        let open = flows.values().filter(|flow| !flow.is_closing());
        let ranked = open.filter_map(|flow| Some((rank(flow)?, flow.progress(), flow)));
        let first = ranked.min_by_key(|(rank, progress, _)| (*rank, *progress));
        first.map(|(_, _, flow)| Rc::clone(flow))
    }

    fn close(&self, flow: &Flow) {
        self.0.open.set(self.open().saturating_sub(1));
        self.0.closed.set(self.closed() + 1);
        flow.close();
    }

    /// Closes connections whose heads are overdue, wakes those that wait for buffers, and logs and
    /// returns what was closed and refused since the last time.
    pub fn sweep(&self) -> Swept {
        let now = self.0.clock.monotonic();
        self.0.now.set(now);
        let flows: Vec<Rc<Flow>> = self.0.flows.borrow().values().cloned().collect();
        for flow in flows.iter().filter(|flow| !flow.is_closing()) {
            match flow.head_began() {
                Some(began) if now.saturating_sub(began) > HEAD_TIMEOUT => self.close(flow),
                Some(_) => flow.wake(),
                None => {}
            }
        }
        let counts = (self.closed(), self.refused());
        let (closed, refused) = self.0.reported.replace(counts);
        if counts != (closed, refused) {
            events::log(
                events::CONNECTIONS_CLOSED,
                format_args!(
                    "port={} open={} max={} closed={} refused={}",
                    self.name(),
                    self.open(),
                    self.0.max_connections,
                    self.closed(),
                    self.refused()
                ),
            );
        }
        Swept { closed: counts.0 - closed, refused: counts.1 - refused }
    }
}

/// Connections that were closed and refused since the last sweep.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Swept {
    /// Closed for new ones, or since their heads took too long.
    pub closed: u64,
    /// Closed as soon as they were accepted.
    pub refused: u64,
}

/// Sweeps ports and reports what that returns, until the process ends.
pub async fn sweep(ports: Vec<Port>, report: impl Fn(&Port, Swept)) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        ports.iter().for_each(|port| report(port, port.sweep()));
    }
}

/// An admitted connection, until it is dropped.
pub struct Admitted {
    port: Port,
    key: u64,
    flow: Rc<Flow>,
}

impl Admitted {
    /// Returns the connection's port.
    pub fn port(&self) -> &Port {
        &self.port
    }

    /// Returns the connection's flow.
    pub fn flow(&self) -> &Rc<Flow> {
        &self.flow
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        self.port.0.flows.borrow_mut().remove(&self.key);
        if !self.flow.is_closing() {
            self.port.0.open.set(self.port.open().saturating_sub(1));
        }
    }
}
