//! Turns heartbeats on the wire into what the replica hears, and the replica's into frames.

use std::sync::Arc;
use std::time::Duration;

use crate::config::{contacts, replica};
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

/// Returns what a heartbeat of a member says to the replica.
pub fn heard(member: &wire::Member, heartbeat: &wire::Heartbeat) -> contacts::Heard {
    contacts::Heard {
        peer: name_of(member),
        incarnation: member.incarnation,
        data_centre: Arc::from(member.data_centre.as_str()),
        entry: member.role() == wire::Role::Entry,
        sequence: heartbeat.sequence,
        revision: heartbeat.config_revision,
        age: heartbeat.config_age_ms.map(Duration::from_millis),
        echo: heartbeat.echo,
    }
}

/// Returns the part of a heartbeat that the replica fills.
pub fn heartbeat(beat: replica::Beat, echo: u64) -> wire::Heartbeat {
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    wire::Heartbeat {
        sequence: beat.sequence,
        config_revision: beat.revision,
        config_age_ms: beat.age.map(millis),
        echo,
        ..wire::Heartbeat::default()
    }
}
