//! The simulated key-value service and its outages.

use super::{Packet, StoreMode, World};
use bitternwall::expert_map::protocol;

impl World {
    pub(super) fn read(&mut self) -> protocol::StoreAnswer {
        let down = match self.store_mode {
            StoreMode::Up => false,
            StoreMode::Down | StoreMode::AnswersLost => true,
            StoreMode::Mixed => self.chance(40),
        };
        if down {
            protocol::StoreAnswer::Unavailable
        } else {
            protocol::StoreAnswer::Read(self.stored)
        }
    }

    pub(super) fn answer_swap(
        &mut self,
        revision: u64,
        record: protocol::Record,
    ) -> protocol::StoreAnswer {
        let (late, lost) = (self.chance(30), self.chance(30));
        match self.store_mode {
            StoreMode::Up => self.swap(revision, record),
            StoreMode::Down => protocol::StoreAnswer::Unavailable,
            StoreMode::AnswersLost => {
                self.swap(revision, record);
                protocol::StoreAnswer::Unknown
            }
            StoreMode::Mixed if late => {
                let late = self.tick + self.rng.bits() % 20;
                self.packets.push((late, Packet::Swap { revision, record }));
                protocol::StoreAnswer::Unknown
            }
            StoreMode::Mixed if lost => protocol::StoreAnswer::Unknown,
            StoreMode::Mixed => self.swap(revision, record),
        }
    }

    pub(super) fn swap(
        &mut self,
        revision: u64,
        record: protocol::Record,
    ) -> protocol::StoreAnswer {
        if self.stored.revision != revision {
            return protocol::StoreAnswer::Conflict;
        }
        self.stored = protocol::Stored { record, revision: revision + 1 };
        protocol::StoreAnswer::Swapped(revision + 1)
    }
}
