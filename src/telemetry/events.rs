//! Numbered log events; docs/LOG_EVENTS.md is the catalogue.
//!
//! Entry events count from 1000, agent events from 2000, platform events from 3000, resource
//! events from 4000, configuration events from 5000 and expert-map events from 6000.

use std::fmt;

/// Severity is how much an event matters to an operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Something that goes as planned.
    Info,
    /// Something that the system mends by itself.
    Warning,
    /// Something that an operator should look at.
    Error,
}

/// LogEvent is one entry of the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogEvent {
    /// The number, which never changes its meaning.
    pub number: u16,
    /// How much it matters.
    pub severity: Severity,
    /// What happened, in a few words.
    pub title: &'static str,
}

/// A process started.
pub const PROCESS_STARTED: LogEvent =
    LogEvent { number: 1, severity: Severity::Info, title: "process started" };
/// A process began a graceful stop.
pub const STOP_STARTED: LogEvent =
    LogEvent { number: 2, severity: Severity::Info, title: "graceful stop started" };
/// A process ended a graceful stop.
pub const STOP_FINISHED: LogEvent =
    LogEvent { number: 3, severity: Severity::Info, title: "graceful stop finished" };
/// A link to an agent is up.
pub const LINK_UP: LogEvent = LogEvent { number: 1001, severity: Severity::Info, title: "link up" };
/// A link to an agent is gone.
pub const LINK_DOWN: LogEvent =
    LogEvent { number: 1002, severity: Severity::Warning, title: "link down" };
/// A newer configuration is in force here.
pub const CONFIG_IN_FORCE: LogEvent =
    LogEvent { number: 1003, severity: Severity::Info, title: "configuration in force" };
/// Another process answers at an address than the one that the configuration names.
pub const LINK_MISMATCH: LogEvent =
    LogEvent { number: 1004, severity: Severity::Error, title: "another process answers" };
/// No more links are accepted.
pub const LINK_SERVER_ENDED: LogEvent =
    LogEvent { number: 1005, severity: Severity::Error, title: "link server ended" };
/// An entry opened a connection.
pub const LINK_OPENED: LogEvent =
    LogEvent { number: 2001, severity: Severity::Info, title: "entry connected" };
/// A connection with an entry ended.
pub const LINK_CLOSED: LogEvent =
    LogEvent { number: 2002, severity: Severity::Info, title: "entry disconnected" };
/// An entry missed its heartbeats.
pub const LINK_SILENT: LogEvent =
    LogEvent { number: 2003, severity: Severity::Warning, title: "connection went silent" };
/// The target began or ceased to answer its health probes.
pub const TARGET_HEALTH: LogEvent =
    LogEvent { number: 2004, severity: Severity::Warning, title: "target health changed" };
/// A newer configuration came into force.
pub const AGENT_CONFIG: LogEvent =
    LogEvent { number: 2005, severity: Severity::Info, title: "configuration in force" };
/// The agent began or ceased to refuse new work.
pub const AGENT_DRAINING: LogEvent =
    LogEvent { number: 2006, severity: Severity::Info, title: "draining changed" };
/// The process was paused for longer than the deadline of its connections.
pub const AGENT_PAUSED: LogEvent =
    LogEvent { number: 2007, severity: Severity::Warning, title: "process was paused" };
/// The key-value service failed while claims were read.
pub const CLAIMS_UNAVAILABLE: LogEvent =
    LogEvent { number: 2008, severity: Severity::Warning, title: "claims unavailable" };
/// A watch of the key-value service said nothing for too long and is opened again.
pub const STORE_WATCH_SILENT: LogEvent =
    LogEvent { number: 3001, severity: Severity::Info, title: "store watch reopened" };
/// The connections to the key-value service are dropped since a call timed out.
pub const STORE_CALL_TIMED_OUT: LogEvent =
    LogEvent { number: 3002, severity: Severity::Warning, title: "store call timed out" };
/// A change was accepted.
pub const CHANGE_ACCEPTED: LogEvent =
    LogEvent { number: 4001, severity: Severity::Info, title: "change accepted" };
/// The answer to a change was lost; its marker is read back.
pub const CHANGE_IN_DOUBT: LogEvent =
    LogEvent { number: 4002, severity: Severity::Warning, title: "change in doubt" };
/// Reading back told what became of a change.
pub const CHANGE_SETTLED: LogEvent =
    LogEvent { number: 4003, severity: Severity::Info, title: "change settled" };
/// A change could not be settled in time.
pub const CHANGE_UNSETTLED: LogEvent =
    LogEvent { number: 4004, severity: Severity::Error, title: "change not settled" };
/// A key holds no resource and is passed over.
pub const RESOURCE_UNREADABLE: LogEvent =
    LogEvent { number: 4005, severity: Severity::Error, title: "resource unreadable" };
/// The oldest records of the audit trail were removed.
pub const AUDIT_PRUNED: LogEvent =
    LogEvent { number: 4006, severity: Severity::Info, title: "audit trail pruned" };
/// The audit trail could not be pruned; a later change tries again.
pub const AUDIT_PRUNE_FAILED: LogEvent =
    LogEvent { number: 4007, severity: Severity::Warning, title: "audit trail not pruned" };

/// Every event, in the order of its number.
pub const CATALOGUE: &[LogEvent] = &[
    PROCESS_STARTED,
    STOP_STARTED,
    STOP_FINISHED,
    LINK_UP,
    LINK_DOWN,
    CONFIG_IN_FORCE,
    LINK_MISMATCH,
    LINK_SERVER_ENDED,
    LINK_OPENED,
    LINK_CLOSED,
    LINK_SILENT,
    TARGET_HEALTH,
    AGENT_CONFIG,
    AGENT_DRAINING,
    AGENT_PAUSED,
    CLAIMS_UNAVAILABLE,
    STORE_WATCH_SILENT,
    STORE_CALL_TIMED_OUT,
    CHANGE_ACCEPTED,
    CHANGE_IN_DOUBT,
    CHANGE_SETTLED,
    CHANGE_UNSETTLED,
    RESOURCE_UNREADABLE,
    AUDIT_PRUNED,
    AUDIT_PRUNE_FAILED,
];

/// Logs one event with its details.
pub fn log(event: LogEvent, details: fmt::Arguments<'_>) {
    let LogEvent { number, severity, title } = event;
    match severity {
        Severity::Info => spdlog::info!("E{:04} {}: {}", number, title, details),
        Severity::Warning => spdlog::warn!("E{:04} {}: {}", number, title, details),
        Severity::Error => spdlog::error!("E{:04} {}: {}", number, title, details),
    }
}
