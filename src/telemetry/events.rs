//! Numbered log events; docs/LOG_EVENTS.md is the catalogue.
//!
//! Numbers are assigned by subsystem: common events from 1, entries from 1000, agents from 2000,
//! platform services from 3000, resources from 4000, configuration from 5000, expert maps from
//! 6000, entries that reach targets directly from 7000, and agents beside ranks from 8000.

use std::fmt;

/// Severity is how urgent an event is for an operator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// Normal operation.
    Info,
    /// A failure from which the system recovers by itself.
    Warning,
    /// A failure that an operator should investigate.
    Error,
}

/// LogEvent is one entry of the catalogue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LogEvent {
    /// The unique number of the event, whose meaning never changes.
    pub number: u16,
    /// How urgent the event is, which sets the level of its log lines.
    pub severity: Severity,
    /// What happened, in a few words.
    pub title: &'static str,
}

/// A process started.
pub const PROCESS_STARTED: LogEvent =
    LogEvent { number: 1, severity: Severity::Info, title: "process started" };
/// A process started a graceful stop.
pub const STOP_STARTED: LogEvent =
    LogEvent { number: 2, severity: Severity::Info, title: "graceful stop started" };
/// A process finished a graceful stop.
pub const STOP_FINISHED: LogEvent =
    LogEvent { number: 3, severity: Severity::Info, title: "graceful stop finished" };
/// A link to an agent was established.
pub const LINK_UP: LogEvent = LogEvent { number: 1001, severity: Severity::Info, title: "link up" };
/// A link to an agent was lost.
pub const LINK_DOWN: LogEvent =
    LogEvent { number: 1002, severity: Severity::Warning, title: "link down" };
/// A value in a request or an answer could not be decoded and is ignored.
pub const HEADER_UNREADABLE: LogEvent =
    LogEvent { number: 7014, severity: Severity::Warning, title: "header unreadable" };
/// A target that turned a request away asked to be left alone for a time.
pub const TARGET_BACKOFF: LogEvent =
    LogEvent { number: 7016, severity: Severity::Info, title: "target backs off" };
/// A target has said in an answer that it leaves, and gets no new requests.
pub const TARGET_LEAVING: LogEvent =
    LogEvent { number: 7017, severity: Severity::Info, title: "target leaves" };
/// The rate of requests that a target takes has changed, as it named in an answer.
pub const RATE_NAMED: LogEvent =
    LogEvent { number: 7015, severity: Severity::Info, title: "rate named" };
/// A newer configuration is in force in this entry.
pub const CONFIG_IN_FORCE: LogEvent =
    LogEvent { number: 1003, severity: Severity::Info, title: "configuration in force" };
/// The process at an address is not the one that the configuration names.
pub const LINK_MISMATCH: LogEvent =
    LogEvent { number: 1004, severity: Severity::Error, title: "another process answers" };
/// The server that accepts links ended; no more links are accepted.
pub const LINK_SERVER_ENDED: LogEvent =
    LogEvent { number: 1005, severity: Severity::Error, title: "link server ended" };
/// An entry opened a connection.
pub const LINK_OPENED: LogEvent =
    LogEvent { number: 2001, severity: Severity::Info, title: "entry connected" };
/// A connection with an entry ended.
pub const LINK_CLOSED: LogEvent =
    LogEvent { number: 2002, severity: Severity::Info, title: "entry disconnected" };
/// Nothing was received from an entry within the deadline of its connection.
pub const LINK_SILENT: LogEvent =
    LogEvent { number: 2003, severity: Severity::Warning, title: "connection went silent" };
/// The target started or stopped responding to its health probes.
pub const TARGET_HEALTH: LogEvent =
    LogEvent { number: 2004, severity: Severity::Warning, title: "target health changed" };
/// A newer configuration is in force in this agent.
pub const AGENT_CONFIG: LogEvent =
    LogEvent { number: 2005, severity: Severity::Info, title: "configuration in force" };
/// The agent started or stopped refusing new work.
pub const AGENT_DRAINING: LogEvent =
    LogEvent { number: 2006, severity: Severity::Info, title: "draining changed" };
/// The process did not run for longer than the deadline of its connections.
pub const AGENT_PAUSED: LogEvent =
    LogEvent { number: 2007, severity: Severity::Warning, title: "process was paused" };
/// The key-value service failed while claims were read.
pub const CLAIMS_UNAVAILABLE: LogEvent =
    LogEvent { number: 2008, severity: Severity::Warning, title: "claims unavailable" };
/// An answer in progress is no longer kept for resends, since answers in progress keep too much.
pub const ANSWER_NOT_KEPT: LogEvent =
    LogEvent { number: 2009, severity: Severity::Warning, title: "answer not kept" };
/// A watch of the key-value service received nothing for too long and is opened again.
pub const STORE_WATCH_REOPENED: LogEvent =
    LogEvent { number: 3001, severity: Severity::Info, title: "store watch reopened" };
/// A call to the key-value service timed out, and the pooled connections are closed.
pub const STORE_CALL_TIMED_OUT: LogEvent =
    LogEvent { number: 3002, severity: Severity::Warning, title: "store call timed out" };
/// A change of a resource was accepted.
pub const CHANGE_ACCEPTED: LogEvent =
    LogEvent { number: 4001, severity: Severity::Info, title: "change accepted" };
/// The outcome of writing a change is unknown; its marker is read back.
pub const CHANGE_IN_DOUBT: LogEvent =
    LogEvent { number: 4002, severity: Severity::Warning, title: "change in doubt" };
/// Reading the marker back showed whether a change was made.
pub const CHANGE_SETTLED: LogEvent =
    LogEvent { number: 4003, severity: Severity::Info, title: "change settled" };
/// It could not be found out in time whether a change was made.
pub const CHANGE_UNSETTLED: LogEvent =
    LogEvent { number: 4004, severity: Severity::Error, title: "change not settled" };
/// The value of a key is not a valid resource; the key is ignored.
pub const RESOURCE_UNREADABLE: LogEvent =
    LogEvent { number: 4005, severity: Severity::Error, title: "resource unreadable" };
/// The oldest records of the audit trail were removed.
pub const AUDIT_PRUNED: LogEvent =
    LogEvent { number: 4006, severity: Severity::Info, title: "audit trail pruned" };
/// The audit trail could not be pruned; a later change will retry.
pub const AUDIT_PRUNE_FAILED: LogEvent =
    LogEvent { number: 4007, severity: Severity::Warning, title: "audit trail not pruned" };
/// A request received its final response, or its caller disconnected.
pub const REQUEST_ANSWERED: LogEvent =
    LogEvent { number: 7001, severity: Severity::Info, title: "request answered" };
/// An attempt at a target produced no response that could be returned to the caller.
pub const ATTEMPT_FAILED: LogEvent =
    LogEvent { number: 7002, severity: Severity::Warning, title: "attempt failed" };
/// A target was ejected: after a failure it gets no new requests for a while.
pub const TARGET_EJECTED: LogEvent =
    LogEvent { number: 7003, severity: Severity::Warning, title: "target paused" };
/// An HTTP exchange with a target failed.
pub const EXCHANGE_FAILED: LogEvent =
    LogEvent { number: 7004, severity: Severity::Warning, title: "exchange failed" };
/// A response was interrupted after part of it had been sent to the caller.
pub const ANSWER_INTERRUPTED: LogEvent =
    LogEvent { number: 7005, severity: Severity::Warning, title: "answer broke off" };
/// A connection whose exchange was abandoned could not be reset and is closed instead.
pub const RESET_FAILED: LogEvent =
    LogEvent { number: 7006, severity: Severity::Warning, title: "connection not reset" };
/// A target crashed under a request, or another entry reported enough crashes to refuse one.
pub const TARGET_CRASHED: LogEvent =
    LogEvent { number: 7007, severity: Severity::Warning, title: "target crashed" };
/// The process exits before the answer to a request has ended.
pub const ANSWER_CUT: LogEvent =
    LogEvent { number: 7008, severity: Severity::Warning, title: "answer cut by the stop" };
/// The retry budget of a service allowed no further send of a request.
pub const RETRY_REFUSED: LogEvent =
    LogEvent { number: 7009, severity: Severity::Warning, title: "retry refused" };
/// A target was added to the target list, or its record there changed.
pub const TARGET_LISTED: LogEvent =
    LogEvent { number: 7010, severity: Severity::Info, title: "target listed" };
/// A target was removed from the target list.
pub const TARGET_REMOVED: LogEvent =
    LogEvent { number: 7011, severity: Severity::Info, title: "target gone" };
/// A target disappeared from the target list around an outage of the store; it may register again, so
/// it is used for a while.
pub const TARGET_LAPSED: LogEvent =
    LogEvent { number: 7012, severity: Severity::Warning, title: "target lapsed" };
/// The group of a target started or stopped accepting requests, as reported by the target's agent.
pub const GROUP_STATE: LogEvent =
    LogEvent { number: 7013, severity: Severity::Info, title: "group state" };
/// A request is refused since no target has a free slot, or no group carries more.
pub const ALL_FULL: LogEvent =
    LogEvent { number: 7018, severity: Severity::Info, title: "all full" };
/// A target was reported to answer nobody, or was heard again.
pub const TARGET_SILENT: LogEvent =
    LogEvent { number: 7019, severity: Severity::Warning, title: "target silent" };
/// A newer configuration is in force in this entry.
pub const DIRECT_CONFIG: LogEvent =
    LogEvent { number: 7020, severity: Severity::Info, title: "configuration in force" };
/// A value in the store could not be decoded and is ignored.
pub const VALUE_UNREADABLE: LogEvent =
    LogEvent { number: 7021, severity: Severity::Warning, title: "value unreadable" };
/// The store does not respond, or refuses calls.
pub const STORE_UNAVAILABLE: LogEvent =
    LogEvent { number: 7030, severity: Severity::Warning, title: "store lost" };
/// The store responds again after an outage.
pub const STORE_RECOVERED: LogEvent =
    LogEvent { number: 7031, severity: Severity::Info, title: "store regained" };
/// The store has compacted the history that a watch needs; the collection is read again.
pub const STORE_HISTORY_COMPACTED: LogEvent =
    LogEvent { number: 7032, severity: Severity::Info, title: "store history lost" };
/// A record of crashes could not be written to the store; it is written again.
pub const CRASH_NOT_SAVED: LogEvent =
    LogEvent { number: 7033, severity: Severity::Warning, title: "crashes not saved" };
/// The records of crashes could not be read from the store; they are read again.
pub const CRASHES_NOT_READ: LogEvent =
    LogEvent { number: 7034, severity: Severity::Warning, title: "crashes not read" };
/// The store came back from an older copy, in a later era; the target list of that era replaces the
/// one of the former era.
pub const STORE_RETURNED: LogEvent =
    LogEvent { number: 7035, severity: Severity::Warning, title: "store came back" };
/// The store last confirmed what this entry knows longer ago than changes may take to be in force.
pub const STATE_UNCONFIRMED: LogEvent =
    LogEvent { number: 7036, severity: Severity::Warning, title: "state unconfirmed" };
/// The store has confirmed what this entry knows again.
pub const STATE_CONFIRMED: LogEvent =
    LogEvent { number: 7037, severity: Severity::Info, title: "state confirmed" };
/// A watch was given up before its answer was due, since no entry has told of a recent confirmation of
/// the state; the collection is read again.
pub const WATCH_GIVEN_UP: LogEvent =
    LogEvent { number: 7038, severity: Severity::Info, title: "watch given up" };
/// The target list changed, or its position moved. Entries with the same position have the same digest
/// unless one of them keeps a target that the store's list does not name, or lacks one that it names.
pub const TARGET_LIST_CHANGED: LogEvent =
    LogEvent { number: 7039, severity: Severity::Info, title: "target list" };
/// The first heartbeat of an incarnation of another entry was received.
pub const PEER_JOINED: LogEvent =
    LogEvent { number: 7040, severity: Severity::Info, title: "entry joined" };
/// The configuration and the target list could not be fetched from another entry.
pub const PEER_FETCH_FAILED: LogEvent =
    LogEvent { number: 7041, severity: Severity::Warning, title: "facts not fetched" };
/// A datagram could not be decoded as a heartbeat.
pub const HEARTBEAT_UNREADABLE: LogEvent =
    LogEvent { number: 7042, severity: Severity::Warning, title: "heartbeat unreadable" };
/// More entries are or were live than were known, by whose number allowances of the fleet are divided.
pub const FLEET_GREW: LogEvent =
    LogEvent { number: 7043, severity: Severity::Info, title: "fleet grew" };
/// The operator began to empty a data centre, or took that back.
pub const STANDING_CHANGED: LogEvent =
    LogEvent { number: 7044, severity: Severity::Warning, title: "data centre standing" };
/// A target is cold, so all entries together send it few requests.
pub const TARGET_COLD: LogEvent =
    LogEvent { number: 7045, severity: Severity::Info, title: "target cold" };
/// A target is no longer cold.
pub const TARGET_WARM: LogEvent =
    LogEvent { number: 7046, severity: Severity::Info, title: "target warm" };
/// The store answers again after it has answered no entry for so long that leases may have expired.
pub const STORE_OUTAGE_OVER: LogEvent =
    LogEvent { number: 7047, severity: Severity::Warning, title: "store outage" };
/// The entry hears no other one; it looks for them in the store.
pub const ENTRY_ALONE: LogEvent =
    LogEvent { number: 7048, severity: Severity::Warning, title: "entry alone" };
/// The entry hears others again.
pub const ENTRY_NOT_ALONE: LogEvent =
    LogEvent { number: 7049, severity: Severity::Info, title: "entry not alone" };
/// A connection could not be accepted.
pub const ACCEPT_FAILED: LogEvent =
    LogEvent { number: 7050, severity: Severity::Error, title: "connection not accepted" };
/// The settings file was read again.
pub const SETTINGS_RELOADED: LogEvent =
    LogEvent { number: 7051, severity: Severity::Info, title: "settings reloaded" };
/// The settings file could not be read again; the previous settings stay in force.
pub const SETTINGS_REFUSED: LogEvent =
    LogEvent { number: 7052, severity: Severity::Error, title: "settings refused" };
/// A request is refused a place, where requests for its service differ in urgency.
pub const PLACE_REFUSED: LogEvent =
    LogEvent { number: 7053, severity: Severity::Info, title: "place refused" };
/// A request got a place after it had waited, where requests for its service differ in urgency.
pub const PLACE_GRANTED: LogEvent =
    LogEvent { number: 7054, severity: Severity::Info, title: "place granted" };
/// The store names an entry that this one did not hear; heartbeats go to it from now on.
pub const CONTACT_FOUND: LogEvent =
    LogEvent { number: 7055, severity: Severity::Info, title: "contact found" };
/// The records by which entries find each other could not be read or written.
pub const CONTACTS_FAILED: LogEvent =
    LogEvent { number: 7056, severity: Severity::Warning, title: "contacts failed" };
/// No entry has told of a recent confirmation of the state, so this one, which is no reader, asks the
/// store for itself.
pub const STORE_ASKED: LogEvent =
    LogEvent { number: 7057, severity: Severity::Info, title: "store asked" };
/// The store began to answer all, some or none of the entries that call it.
pub const STORE_SERVES: LogEvent =
    LogEvent { number: 7058, severity: Severity::Warning, title: "store serves" };
/// Buffers for callers became short, or free again.
pub const BUFFERS_SHORT: LogEvent =
    LogEvent { number: 7070, severity: Severity::Warning, title: "buffers short" };
/// A request was refused since its body does not fit into the buffers.
pub const BODY_REFUSED: LogEvent =
    LogEvent { number: 7071, severity: Severity::Info, title: "body refused" };
/// Connections were closed for new ones or since their heads took too long, or new ones were refused.
pub const CONNECTIONS_CLOSED: LogEvent =
    LogEvent { number: 7073, severity: Severity::Warning, title: "connections closed" };
/// A service has had no available target for so long that requests for it no longer wait.
pub const OUTAGE_LASTS: LogEvent =
    LogEvent { number: 7072, severity: Severity::Warning, title: "outage lasts" };
/// The agent could not fetch the list of the other ranks from an entry, and tries the next one.
pub const ENTRIES_UNREACHABLE: LogEvent =
    LogEvent { number: 8001, severity: Severity::Warning, title: "entries lost" };
/// The agent has fetched the list of the other ranks from an entry again.
pub const ENTRIES_REACHABLE: LogEvent =
    LogEvent { number: 8002, severity: Severity::Info, title: "entries regained" };
/// An entry that the agent did not know has introduced itself.
pub const ENTRY_INTRODUCED: LogEvent =
    LogEvent { number: 8019, severity: Severity::Info, title: "entry introduced" };
/// The engine on the agent's host does not respond.
pub const ENGINE_UNREACHABLE: LogEvent =
    LogEvent { number: 8003, severity: Severity::Warning, title: "engine lost" };
/// The engine on the agent's host responds again.
pub const ENGINE_REACHABLE: LogEvent =
    LogEvent { number: 8004, severity: Severity::Info, title: "engine regained" };
/// The rank's group, epoch or expert map changed.
pub const RANK_CHANGED: LogEvent =
    LogEvent { number: 8005, severity: Severity::Info, title: "rank changed" };
/// The agent started or stopped coordinating its group.
pub const COORDINATOR_CHANGED: LogEvent =
    LogEvent { number: 8006, severity: Severity::Info, title: "coordinator changed" };
/// A switch to another expert map would save more than it costs.
pub const MAP_SWITCH_PROPOSED: LogEvent =
    LogEvent { number: 8010, severity: Severity::Info, title: "map wanted" };
/// A switch of the expert map progressed or ended.
pub const SWITCH_PROGRESS: LogEvent =
    LogEvent { number: 8011, severity: Severity::Info, title: "switch progress" };
/// An order was sent to an engine.
pub const ORDER_GIVEN: LogEvent =
    LogEvent { number: 8012, severity: Severity::Info, title: "order given" };
/// A rank's agent did not respond to an order, which is sent again.
pub const ORDER_UNANSWERED: LogEvent =
    LogEvent { number: 8013, severity: Severity::Warning, title: "order unanswered" };
/// The engine of a rank whose agent sends no reports was queried for its state.
pub const RANK_QUERIED: LogEvent =
    LogEvent { number: 8014, severity: Severity::Info, title: "rank asked" };
/// The engine of a rank whose agent sends no reports does not respond either.
pub const RANK_UNREACHABLE: LogEvent =
    LogEvent { number: 8015, severity: Severity::Warning, title: "rank unreachable" };
/// The rank's group stalled with requests in progress, or resumed; the entries are notified.
pub const GROUP_STALLED: LogEvent =
    LogEvent { number: 8016, severity: Severity::Warning, title: "group stalled" };
/// Expert counts or held experts could not be read from the engine; the next poll retries.
pub const ENGINE_READ_FAILED: LogEvent =
    LogEvent { number: 8017, severity: Severity::Warning, title: "engine not read" };
/// Expert counts were left out: they are of another epoch or out of range.
pub const COUNTS_IGNORED: LogEvent =
    LogEvent { number: 8018, severity: Severity::Info, title: "counts ignored" };

/// Logs an event with its details, usually fields of the form `name=value`.
pub fn log(event: LogEvent, details: fmt::Arguments<'_>) {
    let LogEvent { number, severity, title } = event;
    match severity {
        Severity::Info => spdlog::info!("E{:04} {}: {}", number, title, details),
        Severity::Warning => spdlog::warn!("E{:04} {}: {}", number, title, details),
        Severity::Error => spdlog::error!("E{:04} {}: {}", number, title, details),
    }
}
