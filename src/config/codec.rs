//! Heartbeats of the wire, to and from what the replica hears and says.

use std::sync::Arc;
use std::time::Duration;

use crate::config::peer_heartbeats::Heartbeat;
use crate::config::replica::LocalHeartbeat;
use crate::wire;

/// Returns the name of a process among all processes: an entry and an agent may share theirs.
pub fn process_name(role: wire::Role, name: &str) -> Arc<str> {
    match role {
        wire::Role::Entry => Arc::from(format!("entry/{name}")),
        wire::Role::Agent | wire::Role::Unspecified => Arc::from(format!("agent/{name}")),
    }
}

/// Returns the process name of a member.
pub fn name_of(member: &wire::Member) -> Arc<str> {
    process_name(member.role(), &member.name)
}

/// Returns what a heartbeat of a member says to a replica in `own_data_centre`.
///
/// An agent counts where entries link to it, so that one whose data centre has no entry is not
/// forgotten; an entry counts in its own.
pub fn decode_heartbeat(
    member: &wire::Member,
    heartbeat: &wire::Heartbeat,
    own_data_centre: &str,
) -> Heartbeat {
    let entry = member.role() == wire::Role::Entry;
    let data_centre = if entry { &member.data_centre } else { own_data_centre };
    Heartbeat {
        peer: name_of(member),
        incarnation: member.incarnation,
        data_centre: Arc::from(data_centre),
        entry,
        sequence: heartbeat.sequence,
        revision: heartbeat.config_revision,
        age: heartbeat.config_age_ms.map(Duration::from_millis),
        echo: heartbeat.heard_sequence,
    }
}

/// Writes the own beat into a heartbeat to a peer, with the number to echo to it.
pub fn fill_heartbeat(heartbeat: &mut wire::Heartbeat, beat: &LocalHeartbeat, echo: u64) {
    heartbeat.sequence = beat.sequence;
    heartbeat.config_revision = beat.revision;
    // An age is rounded up, for it must never be too low.
    let age_ms =
        |age: Duration| u64::try_from(age.as_millis()).map_or(u64::MAX, |ms| ms.saturating_add(1));
    heartbeat.config_age_ms = beat.age.map(age_ms);
    heartbeat.heard_sequence = echo;
}
