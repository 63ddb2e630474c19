//! What an agent needs of the configuration.

use std::time::Duration;

use crate::resources::kinds;

/// ConfigView is the part of the configuration in force that concerns one agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfigView {
    /// The revision in force; zero where none is known.
    pub revision: u64,
    /// True where the agent's own target is declared as draining.
    pub drain: bool,
    /// The kind of its service, where it is declared.
    pub kind: Option<kinds::ServiceKind>,
    /// The claim shards of its service; zero where it is not declared.
    pub claim_shards: u32,
    /// When the revision was last heard to be current, on the agent's own clock.
    pub heard_at: Duration,
}
