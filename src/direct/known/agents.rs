//! The agents beside ranks, as far as their notices tell which of them know this entry.
//!
//! Load pattern: thousands of agents start at once and none of their seeds is up. Each of them needs
//! one entry to learn of the others, so each entry turns to its share of the agents only; in calm,
//! when all agents send notices, to none.

use std::net::SocketAddr;
use std::time::Duration;

use crate::collections::Map;

/// Time without a notice after which an agent may not know this entry. Agents send one a second.
const MAX_NOTICE_AGE: Duration = Duration::from_millis(2_500);

/// Limit of the agents on record, above the size of any fleet. Whoever reaches the port can name engines.
const MAX_AGENTS: usize = 32_768;

/// Entries that introduce themselves to one agent in each round, on average.
const INTRODUCTIONS_PER_AGENT: usize = 3;

/// When the agent beside each engine was last heard.
#[derive(Debug, Default)]
pub struct Agents {
    heard: Map<SocketAddr, Duration>,
}

impl Agents {
    /// Records a notice of the agent beside an engine.
    pub fn record_notice(&mut self, engine: SocketAddr, now: Duration) {
        if self.heard.len() < MAX_AGENTS || self.heard.contains_key(&engine) {
            self.heard.insert(engine, now);
        }
    }

    /// Returns the engines whose agents this entry introduces itself to in this round, of all those
    /// listed. `entries` counts the live entries, which do the same; `draw` is any random number.
    pub fn to_introduce(
        &mut self,
        engines: &[SocketAddr],
        entries: usize,
        draw: usize,
        now: Duration,
    ) -> Vec<SocketAddr> {
        self.heard.retain(|_, at| now.saturating_sub(*at) < MAX_NOTICE_AGE);
        let unheard: Vec<SocketAddr> =
            engines.iter().copied().filter(|engine| !self.heard.contains_key(engine)).collect();
        let count = unheard.len() * INTRODUCTIONS_PER_AGENT;
        let count = count.div_ceil(entries.max(1)).min(unheard.len());
        let start = draw.checked_rem(unheard.len()).unwrap_or_default();
        unheard.iter().copied().cycle().skip(start).take(count).collect()
    }
}
