//! Reads and replaces the group's record in the key-value service, with one call at a time.

use std::time::Duration;

use super::{Coordinator, Effect, Phase, RETRY_INTERVAL};
use crate::expert_map::protocol;

/// Purpose is the reason for replacing the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Purpose {
    /// The ranks form a new group incarnation.
    Form,
    /// A requested switch needs a fencing number, which also becomes the new map's version.
    Claim,
    /// All ranks use a newer map than the record names.
    RecordVersion,
}

/// PendingSwap is a compare-and-swap whose answer has not arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingSwap {
    purpose: Purpose,
    record: protocol::Record,
}

impl Coordinator {
    /// Makes the next call if none is pending: a read if the record is unknown, a swap if the
    /// record has to change.
    pub(super) fn call_store(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.store_call_pending || now < self.next_store_call {
            return;
        }
        let Some(stored) = self.stored else {
            self.store_call_pending = true;
            effects.push(Effect::ReadRecord);
            return;
        };
        let Some(swap) = self.propose_swap(&stored.record) else { return };
        self.store_call_pending = true;
        self.pending_swap = Some(swap);
        let record = swap.record;
        effects.push(Effect::SwapRecord { revision: stored.revision, record });
    }

    fn propose_swap(&self, current: &protocol::Record) -> Option<PendingSwap> {
        let number = current.number.max(self.fence.number).next();
        let newest = self.statuses().map(|status| status.version).max().unwrap_or_default();
        let version = current.version.max(newest);
        let writer = self.options.process_incarnation;
        match self.phase {
            Phase::Forming => {
                let generation = self.options.generation;
                let formed = current.group_incarnation.max(self.fence.group_incarnation);
                let group_incarnation = protocol::GroupIncarnation(formed.0 + 1);
                let record =
                    protocol::Record { generation, group_incarnation, number, version, writer };
                Some(PendingSwap { purpose: Purpose::Form, record })
            }
            Phase::Idle if version > current.version => Some(PendingSwap {
                purpose: Purpose::RecordVersion,
                record: protocol::Record { version, ..*current },
            }),
            Phase::Idle if self.switch_requested && self.all(|_| true) => {
                let record = protocol::Record { number, writer, ..*current };
                Some(PendingSwap { purpose: Purpose::Claim, record })
            }
            _ => None,
        }
    }

    /// Handles the result of the pending call. If the answer to a swap was lost, the record is read
    /// again; the fencing number that the swap may have claimed stays unused, and the next claim is
    /// higher.
    pub(super) fn on_store_answer(
        &mut self,
        now: Duration,
        answer: &protocol::StoreAnswer,
        effects: &mut Vec<Effect>,
    ) {
        self.store_call_pending = false;
        let pending_swap = self.pending_swap.take();
        match (answer, pending_swap) {
            (protocol::StoreAnswer::Read(stored), _) => self.stored = Some(*stored),
            (protocol::StoreAnswer::Swapped(revision), Some(PendingSwap { purpose, record })) => {
                self.stored = Some(protocol::Stored { record, revision: *revision });
                self.apply_swap(now, purpose, &record, effects);
            }
            (protocol::StoreAnswer::Unavailable, _) => self.next_store_call = now + RETRY_INTERVAL,
            _ => {
                self.next_store_call = now + RETRY_INTERVAL;
                self.stored = None;
            }
        }
    }

    /// Acts on the known record, whatever else has happened since it was read: another generation
    /// forms the group or deposes this coordinator, and a newer incarnation is adopted.
    pub(super) fn apply_record(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(protocol::Stored { record, .. }) = self.stored else { return };
        if record.generation > self.options.generation {
            self.abandon(effects);
            self.enter(now, Phase::Deposed);
        } else if record.generation < self.options.generation {
            if self.phase != Phase::Forming {
                self.enter(now, Phase::Forming);
            }
        } else if record.group_incarnation > self.fence.group_incarnation {
            self.adopt_group_incarnation(now, record.group_incarnation, effects);
        }
    }

    /// Continues after a successful swap, unless the coordinator has changed its phase meanwhile.
    fn apply_swap(
        &mut self,
        now: Duration,
        purpose: Purpose,
        record: &protocol::Record,
        effects: &mut Vec<Effect>,
    ) {
        match (purpose, self.phase) {
            (Purpose::Form, Phase::Forming)
                if record.group_incarnation > self.fence.group_incarnation =>
            {
                self.fence.group_incarnation = record.group_incarnation;
                self.fence.number = record.number;
                self.ranks.iter_mut().for_each(|rank| rank.joined_engine = None);
                self.clear_statuses();
                self.enter(now, Phase::Joining(record.version));
            }
            (Purpose::Claim, Phase::Idle) if record.number > self.fence.number => {
                self.switch_requested = false;
                self.fence.number = record.number;
                self.clear_statuses();
                effects.push(Effect::VersionAssigned(protocol::Version(record.number.0)));
                self.enter(now, Phase::Preparing);
            }
            _ => {}
        }
    }
}
