//! Numbered log events; docs/LOG_EVENTS.md is the catalogue.
//!
//! Entry events count from 1000, agent events from 2000, platform events from 3000, resource
//! events from 4000, configuration events from 5000, expert-map events from 6000 events of the
//! direct path from 7000 and events of the agents beside ranks from 8000.

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
pub const STORE_WATCH_REOPENED: LogEvent =
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
/// A request got its final answer, or its caller left.
pub const REQUEST_ANSWERED: LogEvent =
    LogEvent { number: 7001, severity: Severity::Info, title: "request answered" };
/// An attempt at a target gave no answer to pass on.
pub const ATTEMPT_FAILED: LogEvent =
    LogEvent { number: 7002, severity: Severity::Warning, title: "attempt failed" };
/// A target that failed gets no new work for a while.
pub const TARGET_EJECTED: LogEvent =
    LogEvent { number: 7003, severity: Severity::Warning, title: "target paused" };
/// An exchange with a target failed.
pub const EXCHANGE_FAILED: LogEvent =
    LogEvent { number: 7004, severity: Severity::Warning, title: "exchange failed" };
/// An answer broke off after its beginning was passed on.
pub const ANSWER_INTERRUPTED: LogEvent =
    LogEvent { number: 7005, severity: Severity::Warning, title: "answer broke off" };
/// A connection whose exchange was given up could not be reset and is closed instead.
pub const RESET_FAILED: LogEvent =
    LogEvent { number: 7006, severity: Severity::Warning, title: "connection not reset" };
/// A target came on the list or its entry changed.
pub const TARGET_LISTED: LogEvent =
    LogEvent { number: 7010, severity: Severity::Info, title: "target listed" };
/// A target went off the list.
pub const TARGET_REMOVED: LogEvent =
    LogEvent { number: 7011, severity: Severity::Info, title: "target gone" };
/// A target went off the list around an absence of the store and may come back.
pub const TARGET_REMOVAL_PENDING: LogEvent =
    LogEvent { number: 7012, severity: Severity::Warning, title: "target lapsed" };
/// The group of a target began or ceased to take requests, as the agent beside it says.
pub const GROUP_STATE: LogEvent =
    LogEvent { number: 7013, severity: Severity::Info, title: "group state" };
/// A newer configuration came into force.
pub const DIRECT_CONFIG: LogEvent =
    LogEvent { number: 7020, severity: Severity::Info, title: "configuration in force" };
/// A value of the store cannot be read and is passed over.
pub const VALUE_UNREADABLE: LogEvent =
    LogEvent { number: 7021, severity: Severity::Warning, title: "value unreadable" };
/// The store does not answer, or refuses calls.
pub const STORE_UNAVAILABLE: LogEvent =
    LogEvent { number: 7030, severity: Severity::Warning, title: "store lost" };
/// The store answers again.
pub const STORE_RECOVERED: LogEvent =
    LogEvent { number: 7031, severity: Severity::Info, title: "store regained" };
/// The store dropped the history that a watch needs; the collection is read again.
pub const STORE_HISTORY_COMPACTED: LogEvent =
    LogEvent { number: 7032, severity: Severity::Info, title: "store history lost" };
/// Another entry was heard for the first time in its life.
pub const PEER_JOINED: LogEvent =
    LogEvent { number: 7040, severity: Severity::Info, title: "entry joined" };
/// Facts could not be fetched from another entry.
pub const PEER_FETCH_FAILED: LogEvent =
    LogEvent { number: 7041, severity: Severity::Warning, title: "facts not fetched" };
/// A datagram is no heartbeat.
pub const HEARTBEAT_UNREADABLE: LogEvent =
    LogEvent { number: 7042, severity: Severity::Warning, title: "heartbeat unreadable" };
/// A connection could not be accepted.
pub const ACCEPT_FAILED: LogEvent =
    LogEvent { number: 7050, severity: Severity::Error, title: "connection not accepted" };
/// The settings were read again.
pub const SETTINGS_RELOADED: LogEvent =
    LogEvent { number: 7051, severity: Severity::Info, title: "settings reloaded" };
/// The settings cannot be read again; the old ones hold.
pub const SETTINGS_REFUSED: LogEvent =
    LogEvent { number: 7052, severity: Severity::Error, title: "settings refused" };
/// No entry tells the agent of the other ranks.
pub const ENTRIES_UNREACHABLE: LogEvent =
    LogEvent { number: 8001, severity: Severity::Warning, title: "entries lost" };
/// An entry tells the agent of the other ranks again.
pub const ENTRIES_REACHABLE: LogEvent =
    LogEvent { number: 8002, severity: Severity::Info, title: "entries regained" };
/// The engine on the agent's host does not answer.
pub const ENGINE_UNREACHABLE: LogEvent =
    LogEvent { number: 8003, severity: Severity::Warning, title: "engine lost" };
/// The engine on the agent's host answers.
pub const ENGINE_REACHABLE: LogEvent =
    LogEvent { number: 8004, severity: Severity::Info, title: "engine regained" };
/// The rank's group, epoch or map changed.
pub const RANK_CHANGED: LogEvent =
    LogEvent { number: 8005, severity: Severity::Info, title: "rank changed" };
/// The agent began or ceased to coordinate its group.
pub const COORDINATOR_CHANGED: LogEvent =
    LogEvent { number: 8006, severity: Severity::Info, title: "coordinator changed" };
/// Another expert map saves more than moving to it costs.
pub const MAP_SWITCH_PROPOSED: LogEvent =
    LogEvent { number: 8010, severity: Severity::Info, title: "map wanted" };
/// A change of the expert map went on or ended.
pub const SWITCH_PROGRESS: LogEvent =
    LogEvent { number: 8011, severity: Severity::Info, title: "switch progress" };
/// An order was given to an engine.
pub const ORDER_GIVEN: LogEvent =
    LogEvent { number: 8012, severity: Severity::Info, title: "order given" };
/// A rank's agent did not answer to an order; it is given again.
pub const ORDER_UNANSWERED: LogEvent =
    LogEvent { number: 8013, severity: Severity::Warning, title: "order unanswered" };
/// The engine of a rank whose agent is silent was asked for its state.
pub const RANK_QUERIED: LogEvent =
    LogEvent { number: 8014, severity: Severity::Info, title: "rank asked" };
/// The engine of a rank whose agent is silent does not answer either.
pub const RANK_UNREACHABLE: LogEvent =
    LogEvent { number: 8015, severity: Severity::Warning, title: "rank unreachable" };
/// The rank's group began or ceased to stand still with requests in hand; entries are told so.
pub const GROUP_STALLED: LogEvent =
    LogEvent { number: 8016, severity: Severity::Warning, title: "group stalled" };
/// Counts or experts held could not be read from the engine; the next look asks again.
pub const ENGINE_READ_FAILED: LogEvent =
    LogEvent { number: 8017, severity: Severity::Warning, title: "engine not read" };

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
    STORE_WATCH_REOPENED,
    STORE_CALL_TIMED_OUT,
    CHANGE_ACCEPTED,
    CHANGE_IN_DOUBT,
    CHANGE_SETTLED,
    CHANGE_UNSETTLED,
    RESOURCE_UNREADABLE,
    AUDIT_PRUNED,
    AUDIT_PRUNE_FAILED,
    REQUEST_ANSWERED,
    ATTEMPT_FAILED,
    TARGET_EJECTED,
    EXCHANGE_FAILED,
    ANSWER_INTERRUPTED,
    RESET_FAILED,
    TARGET_LISTED,
    TARGET_REMOVED,
    TARGET_REMOVAL_PENDING,
    GROUP_STATE,
    DIRECT_CONFIG,
    VALUE_UNREADABLE,
    STORE_UNAVAILABLE,
    STORE_RECOVERED,
    STORE_HISTORY_COMPACTED,
    PEER_JOINED,
    PEER_FETCH_FAILED,
    HEARTBEAT_UNREADABLE,
    ACCEPT_FAILED,
    SETTINGS_RELOADED,
    SETTINGS_REFUSED,
    ENTRIES_UNREACHABLE,
    ENTRIES_REACHABLE,
    ENGINE_UNREACHABLE,
    ENGINE_REACHABLE,
    RANK_CHANGED,
    COORDINATOR_CHANGED,
    MAP_SWITCH_PROPOSED,
    SWITCH_PROGRESS,
    ORDER_GIVEN,
    ORDER_UNANSWERED,
    RANK_QUERIED,
    RANK_UNREACHABLE,
    GROUP_STALLED,
    ENGINE_READ_FAILED,
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
