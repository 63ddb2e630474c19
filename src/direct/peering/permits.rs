//! Asks the entry that hands out a target's permits, and replies to entries that ask this one.

use prost::Message as _;

use crate::direct::decisions::rate_limits::Rate;
use crate::direct::known::heartbeat::Heartbeat;
use crate::direct::known::permit::{Grant, PermitReply, PermitRequest};
use crate::direct::state::entry::Entry;

/// Ends an inquiry for which nothing waits any more.
struct Inquiry<'a> {
    entry: &'a Entry,
    target: &'a str,
    grant: Grant,
}

impl Drop for Inquiry<'_> {
    fn drop(&mut self) {
        let now = self.entry.now();
        self.entry.targets.borrow_mut().limits.end_asking(self.target, self.grant, now);
        self.entry.metrics.permits(self.grant);
        self.entry.slots_changed.notify_one();
    }
}

/// Asks for permits for a target, at the entry that hands them out.
pub async fn acquire(entry: &Entry, target: &str) {
    let Some(rate) = entry.targets.borrow().limits.in_force(target, entry.now()) else { return };
    entry.targets.borrow_mut().limits.begin_asking(target);
    let mut inquiry = Inquiry { entry, target, grant: Grant::NoReply };
    inquiry.grant = match entry.permit_owner(target) {
        None => entry.grant_permits(target, rate),
        Some(owner) => entry.permits.ask(&entry.options.name, owner, target, rate).await,
    };
}

/// Returns the reply to an entry that asks for permits, as a datagram.
pub fn reply(entry: &Entry, request: &PermitRequest) -> Vec<u8> {
    let rate = Rate { per_s: request.per_s, cold: request.cold };
    let grant = entry.grant_permits(&request.target, rate);
    let message = Heartbeat {
        name: entry.options.name.clone(),
        permit_reply: Some(PermitReply::new(request.id, grant)),
        ..Heartbeat::default()
    };
    message.encode_to_vec()
}
