//! Conversion between heartbeats on the wire and those of the replica.

use std::sync::Arc;
use std::time::Duration;

use crate::config::peer_heartbeats::Heartbeat;
use crate::config::replica::LocalHeartbeat;
use crate::wire;

/// Returns a name that is unique among all processes: `entry/` or `agent/` and the configured name,
/// which an entry and an agent may share.
pub fn process_name(role: wire::Role, name: &str) -> Arc<str> {
    match role {
        wire::Role::Entry => Arc::from(format!("entry/{name}")),
        wire::Role::Agent | wire::Role::Unspecified => Arc::from(format!("agent/{name}")),
    }
}

/// Returns the process name of a member, as [`process_name`] does.
pub fn name_of(member: &wire::Member) -> Arc<str> {
    process_name(member.role(), &member.name)
}

/// Converts a heartbeat of a member for the replica of a process in `local_data_centre`.
///
/// An agent counts in the data centre of each entry that has a link to it, so that an agent in a
/// data centre without entries counts too. An entry counts in its own data centre.
pub fn decode_heartbeat(
    member: &wire::Member,
    heartbeat: &wire::Heartbeat,
    local_data_centre: &str,
) -> Heartbeat {
    let entry = member.role() == wire::Role::Entry;
    let data_centre = if entry { &member.data_centre } else { local_data_centre };
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

/// Sets the replica's fields of a heartbeat to a peer. `echo` is the highest sequence number
/// received from that peer.
pub fn fill_heartbeat(heartbeat: &mut wire::Heartbeat, local: &LocalHeartbeat, echo: u64) {
    heartbeat.sequence = local.sequence;
    heartbeat.config_revision = local.revision;
    // Rounded up: a peer must never take the state for fresher than it is.
    let age_ms =
        |age: Duration| u64::try_from(age.as_millis()).map_or(u64::MAX, |ms| ms.saturating_add(1));
    heartbeat.config_age_ms = local.age.map(age_ms);
    heartbeat.heard_sequence = echo;
}
