//! The kinds of calls, and counters of the calls sent, since the platform counts every call.

use std::cell::Cell;

/// CallKind is one of the methods of the gateway that this client uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Range,
    Txn,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch,
}

impl CallKind {
    /// Returns the name of the call in errors and log lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Txn => "txn",
            Self::LeaseGrant => "lease grant",
            Self::LeaseKeepAlive => "lease keep-alive",
            Self::LeaseRevoke => "lease revoke",
            Self::Watch => "watch",
        }
    }

    /// Returns the path of the call, relative to the gateway's base address.
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Range => "/v3/kv/range",
            Self::Txn => "/v3/kv/txn",
            Self::LeaseGrant => "/v3/lease/grant",
            Self::LeaseKeepAlive => "/v3/lease/keepalive",
            Self::LeaseRevoke => "/v3/lease/revoke",
            Self::Watch => "/v3/watch",
        }
    }
}

/// CallCounts is the number of calls sent, by kind, including those that failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of a key or a prefix.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Requests for a lease.
    pub lease_grant: u64,
    /// Renewals of leases.
    pub lease_keep_alive: u64,
    /// Revocations of leases.
    pub lease_revoke: u64,
    /// Watches, including those opened again after a failure.
    pub watch: u64,
}

impl CallCounts {
    /// Returns the number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.range
            + self.txn
            + self.lease_grant
            + self.lease_keep_alive
            + self.lease_revoke
            + self.watch
    }

    fn counter(&mut self, kind: CallKind) -> &mut u64 {
        match kind {
            CallKind::Range => &mut self.range,
            CallKind::Txn => &mut self.txn,
            CallKind::LeaseGrant => &mut self.lease_grant,
            CallKind::LeaseKeepAlive => &mut self.lease_keep_alive,
            CallKind::LeaseRevoke => &mut self.lease_revoke,
            CallKind::Watch => &mut self.watch,
        }
    }
}

/// Counters are the call counters of one client and its clones.
#[derive(Default)]
pub(super) struct Counters {
    counts: Cell<CallCounts>,
}

impl Counters {
    pub(super) fn add(&self, kind: CallKind) {
        let mut counts = self.counts.get();
        *counts.counter(kind) += 1;
        self.counts.set(counts);
    }

    pub(super) fn counts(&self) -> CallCounts {
        self.counts.get()
    }
}
