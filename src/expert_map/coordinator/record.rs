//! How the coordinator reads and swaps the group's record, one call at a time.

use std::time::Duration;

use super::{Coordinator, Effect, Phase, RETRY};
use crate::expert_map::protocol;

/// Purpose is why the record should change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Purpose {
    /// The ranks form a new incarnation.
    Form,
    /// A wanted map needs a number.
    Claim,
    /// All ranks use a newer map than the record says.
    Note,
}

/// Proposal is a swap in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Proposal {
    purpose: Purpose,
    record: protocol::Record,
}

impl Coordinator {
    /// Makes the one call that is due: a read where the record is not known, a swap where the
    /// record has to change.
    pub(super) fn call_store(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if self.store_busy || now < self.next_call {
            return;
        }
        let Some(stored) = self.stored else {
            self.store_busy = true;
            effects.push(Effect::ReadRecord);
            return;
        };
        let Some(proposal) = self.propose(&stored.record) else { return };
        self.store_busy = true;
        self.proposed = Some(proposal);
        let record = proposal.record;
        effects.push(Effect::SwapRecord { revision: stored.revision, record });
    }

    fn propose(&self, present: &protocol::Record) -> Option<Proposal> {
        let number = present.number.max(self.fence.number).next();
        let newest = self.statuses().map(|status| status.version).max().unwrap_or_default();
        let version = present.version.max(newest);
        let writer = self.options.life;
        match self.phase {
            Phase::Forming => {
                let generation = self.options.generation;
                let formed = present.incarnation.max(self.fence.incarnation);
                let incarnation = protocol::Incarnation(formed.0 + 1);
                let record = protocol::Record { generation, incarnation, number, version, writer };
                Some(Proposal { purpose: Purpose::Form, record })
            }
            Phase::Idle if version > present.version => Some(Proposal {
                purpose: Purpose::Note,
                record: protocol::Record { version, ..*present },
            }),
            Phase::Idle if self.wanted && self.all(|_| true) => {
                let record = protocol::Record { number, writer, ..*present };
                Some(Proposal { purpose: Purpose::Claim, record })
            }
            _ => None,
        }
    }

    /// Takes in the outcome of the call. Where the answer to a swap was lost, the record is read
    /// again; what the swap claimed stays unused, and the next claim is higher.
    pub(super) fn settle_call(
        &mut self,
        now: Duration,
        answer: &protocol::StoreAnswer,
        effects: &mut Vec<Effect>,
    ) {
        self.store_busy = false;
        let proposed = self.proposed.take();
        match (answer, proposed) {
            (protocol::StoreAnswer::Read(stored), _) => self.stored = Some(*stored),
            (protocol::StoreAnswer::Swapped(revision), Some(Proposal { purpose, record })) => {
                self.stored = Some(protocol::Stored { record, revision: *revision });
                self.follow(now, purpose, &record, effects);
            }
            (protocol::StoreAnswer::Unavailable, _) => self.next_call = now + RETRY,
            _ => {
                self.next_call = now + RETRY;
                self.stored = None;
            }
        }
    }

    /// Follows the record as it is known, whatever else happened since it was read.
    pub(super) fn follow_record(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        let Some(protocol::Stored { record, .. }) = self.stored else { return };
        if record.generation > self.options.generation {
            self.abandon(effects);
            self.enter(now, Phase::Deposed);
        } else if record.generation < self.options.generation {
            if self.phase != Phase::Forming {
                self.enter(now, Phase::Forming);
            }
        } else if record.incarnation > self.fence.incarnation {
            self.adopt(now, record.incarnation, effects);
        }
    }

    /// Goes on after a swap, unless the coordinator has turned to something else meanwhile.
    fn follow(
        &mut self,
        now: Duration,
        purpose: Purpose,
        record: &protocol::Record,
        effects: &mut Vec<Effect>,
    ) {
        match (purpose, self.phase) {
            (Purpose::Form, Phase::Forming) if record.incarnation > self.fence.incarnation => {
                self.fence.incarnation = record.incarnation;
                self.fence.number = record.number;
                self.ranks.iter_mut().for_each(|rank| rank.joined = None);
                self.forget_statuses();
                self.enter(now, Phase::Joining(record.version));
            }
            (Purpose::Claim, Phase::Idle) if record.number > self.fence.number => {
                self.wanted = false;
                self.fence.number = record.number;
                self.forget_statuses();
                effects.push(Effect::Named(protocol::Version(record.number.0)));
                self.enter(now, Phase::Preparing);
            }
            _ => {}
        }
    }
}
