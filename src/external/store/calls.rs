//! The kinds of call and how many of each were made: the platform counts every call.

use std::cell::Cell;

/// CallKind is one of the gateway's calls.
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
    /// Returns the name that errors give the call.
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

    /// Returns the path of the call at the gateway.
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

/// CallCounts is how many calls were sent, by kind, answered or not.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CallCounts {
    /// Reads of a key or a prefix.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Leases asked for.
    pub lease_grant: u64,
    /// Renewals of leases.
    pub lease_keep_alive: u64,
    /// Leases given back.
    pub lease_revoke: u64,
    /// Watches opened.
    pub watch: u64,
}

impl CallCounts {
    /// Returns all calls together.
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

/// Counters counts the calls of one client.
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
