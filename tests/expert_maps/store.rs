//! The key-value service and its outages.

use super::{Packet, StoreMode, World};
use bitternwall::expert_map::protocol::{Record, StoreAnswer, Stored};

impl World {
    pub(super) fn read(&mut self) -> StoreAnswer {
        let down = match self.store_mode {
            StoreMode::Up => false,
            StoreMode::Down | StoreMode::AnswersLost => true,
            StoreMode::Mixed => self.chance(40),
        };
        if down { StoreAnswer::Unavailable } else { StoreAnswer::Read(self.stored) }
    }

    pub(super) fn answer_swap(&mut self, revision: u64, record: Record) -> StoreAnswer {
        let (late, lost) = (self.chance(30), self.chance(30));
        match self.store_mode {
            StoreMode::Up => self.swap(revision, record),
            StoreMode::Down => StoreAnswer::Unavailable,
            StoreMode::AnswersLost => {
                self.swap(revision, record);
                StoreAnswer::Unknown
            }
            StoreMode::Mixed if late => {
                let late = self.tick + self.rng.bits() % 20;
                self.packets.push((late, Packet::Swap { revision, record }));
                StoreAnswer::Unknown
            }
            StoreMode::Mixed if lost => StoreAnswer::Unknown,
            StoreMode::Mixed => self.swap(revision, record),
        }
    }

    pub(super) fn swap(&mut self, revision: u64, record: Record) -> StoreAnswer {
        if self.stored.revision != revision {
            return StoreAnswer::Conflict;
        }
        self.stored = Stored { record, revision: revision + 1 };
        StoreAnswer::Swapped(revision + 1)
    }
}
