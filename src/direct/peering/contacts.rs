//! Finds other entries by records in the store, and keeps such a record for them.
//!
//! An entry that hears nobody reads the records and writes its own. While some seed is not heard, the
//! store readers keep theirs, so that an entry whose seeds are gone finds them, and read those of
//! others now and then, so that two parts of a fleet that have lost each other meet again.
//! [`contact_rounds`](crate::direct::decisions::contact_rounds) decides when.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::time;

use crate::collections::Set;
use crate::direct::decisions::contact_rounds::{ContactRounds, Heard, Keep, Look, RECORD_LIFETIME};
use crate::direct::known::contact::Contact;
use crate::direct::known::store::{Freshness, Lease, Result, SavedItem, StoreError};
use crate::direct::peering::sync::StateSync;
use crate::telemetry::events;

/// The name of the records in logs and metrics.
const COLLECTION: &str = "contacts";

/// Looks for other entries until the process stops. `local` is the address at which this one receives
/// heartbeats.
pub async fn find(sync: Rc<StateSync>, local: SocketAddr) {
    let entry = &sync.entry;
    let mut seeker = Seeker {
        local: Contact { name: entry.options.name.clone(), addr: local },
        rounds: ContactRounds::default(),
        lease: None,
        is_alone: false,
    };
    time::sleep(ContactRounds::first_pause(entry.random_fraction())).await;
    while !entry.is_stopping() {
        let heard = seeker.check(&sync);
        let look = seeker.rounds.look(heard, sync.is_reader(), entry.now());
        let new = match seeker.look(&sync, look).await {
            Ok(new) => new,
            Err(error) => {
                entry.metrics.store_failed(COLLECTION);
                events::log(events::CONTACTS_FAILED, format_args!("cause=\"{error}\""));
                0
            }
        };
        time::sleep(ContactRounds::pause(look, new, entry.random_fraction())).await;
    }
}

struct Seeker {
    local: Contact,
    rounds: ContactRounds,
    /// The lease of the own record, if this process has written it.
    lease: Option<Lease>,
    /// True if no other entry was heard at the last check.
    is_alone: bool,
}

impl Seeker {
    /// Returns who is heard, and logs when that becomes nobody, or somebody again.
    fn check(&mut self, sync: &StateSync) -> Heard {
        let entry = &sync.entry;
        let interval = entry.options.heartbeat_interval;
        let live: Set<SocketAddr> = {
            let peers = entry.peers.borrow();
            peers.live(interval, entry.now()).map(|peer| peer.addr).collect()
        };
        let heard = live.len();
        let is_alone = heard == 0;
        if is_alone != self.is_alone {
            self.is_alone = is_alone;
            let event = if is_alone { events::ENTRY_ALONE } else { events::ENTRY_NOT_ALONE };
            events::log(event, format_args!("heard={heard}"));
        }
        let seeds = sync.seeds.borrow();
        let is_heard = |seed: &SocketAddr| *seed == self.local.addr || live.contains(seed);
        match is_alone {
            true => Heard::Nobody,
            false if !seeds.is_empty() && seeds.iter().all(is_heard) => Heard::AllSeeds,
            false => Heard::Some,
        }
    }

    /// Reads the records, if it is time to, and keeps the own one. Returns the number of addresses
    /// that were not known.
    async fn look(&mut self, sync: &StateSync, look: Look) -> Result<usize> {
        let freshness = match look {
            Look::None => return Ok(0),
            Look::Alone => Freshness::Latest,
            Look::Reader => Freshness::MayBeStale,
        };
        let entry = &sync.entry;
        let items = (sync.store.list_contacts)(freshness).await?;
        let mut contacts = Vec::new();
        for item in &items {
            match Contact::decode(item) {
                Ok(contact) => contacts.push(contact),
                Err(error) => sync.record_unreadable(COLLECTION, &item.key, &error),
            }
        }
        let new = self.introduce(sync, &contacts);
        let on_record = self.lease.is_some() && contacts.contains(&self.local);
        match ContactRounds::keep(look, new, on_record) {
            Keep::Nothing => {}
            Keep::Write => self.write(sync).await?,
            Keep::Renew => self.renew(sync).await?,
        }
        if look == Look::Reader {
            self.rounds.record_read(entry.now(), entry.random_fraction());
        }
        Ok(new)
    }

    /// Makes heartbeats go to the entries on record that are not heard. Returns how many are new.
    fn introduce(&self, sync: &StateSync, contacts: &[Contact]) -> usize {
        let mut new = 0;
        let mut peers = sync.entry.peers.borrow_mut();
        let others = contacts.iter();
        for Contact { name, addr } in others.filter(|contact| contact.name != self.local.name) {
            peers.expect_others();
            if *addr != self.local.addr && peers.introduce(name, *addr, sync.entry.now()) {
                events::log(events::CONTACT_FOUND, format_args!("entry={name} addr={addr}"));
                new += 1;
            }
        }
        new
    }

    async fn write(&mut self, sync: &StateSync) -> Result<()> {
        let Contact { name, .. } = &self.local;
        let value = self.local.encode().into();
        let item = SavedItem { key: name.clone(), value, ttl: RECORD_LIFETIME };
        self.lease = Some((sync.store.save_contact)(item).await?);
        Ok(())
    }

    async fn renew(&mut self, sync: &StateSync) -> Result<()> {
        let Some(lease) = self.lease else { return Ok(()) };
        match (sync.store.renew)(lease).await {
            Err(StoreError::LeaseEnded) => self.write(sync).await,
            renewed => renewed,
        }
    }
}
