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

/// Every event, in the order of its number.
pub const CATALOGUE: &[LogEvent] = &[
    PROCESS_STARTED,
    STOP_STARTED,
    STOP_FINISHED,
    LINK_OPENED,
    LINK_CLOSED,
    LINK_SILENT,
    TARGET_HEALTH,
    AGENT_CONFIG,
    AGENT_DRAINING,
    AGENT_PAUSED,
    CLAIMS_UNAVAILABLE,
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
