//! Records what the agents beside ranks report to an entry: whether their groups take requests, and
//! which ranks answer nobody.

use std::net::SocketAddr;

use crate::direct::known::heartbeat::RankNotice;
use crate::direct::state::entry::Entry;
use crate::telemetry::events;

/// Records a notice about the rank of an engine. An address that cannot be parsed, or that no target
/// has, is ignored.
pub fn record(entry: &Entry, notice: &RankNotice, engine: SocketAddr) {
    let now = entry.now();
    for addr in notice.silent.iter().filter_map(|addr| addr.parse::<SocketAddr>().ok()) {
        let silent = entry.targets.borrow_mut().record_silent(addr, now);
        if let Some(target) = silent {
            log_silence(&target, addr, true, engine);
            entry.silence_changed.notify_waiters();
        }
    }
    let heard = entry.targets.borrow_mut().record_heard(engine, now);
    if let Some(target) = heard {
        log_silence(&target, engine, false, engine);
        entry.slots_changed.notify_waiters();
    }
    entry.targets.borrow_mut().set_slowness(engine, notice.slowness_percent);
    let changed =
        entry.targets.borrow_mut().set_group_state(engine, &notice.group, notice.open, now);
    if let Some(target) = changed {
        events::log(
            events::GROUP_STATE,
            format_args!("target={target} addr={engine} open={}", notice.open),
        );
        entry.slots_changed.notify_waiters();
    }
}

fn log_silence(target: &str, addr: SocketAddr, silent: bool, reported_by: SocketAddr) {
    events::log(
        events::TARGET_SILENT,
        format_args!("target={target} addr={addr} silent={silent} reported_by={reported_by}"),
    );
}

/// Waits until a target is reported silent; returns at once if it is.
pub async fn until_silent(entry: &Entry, target: &str) {
    loop {
        // Created before the check, so that a report in between is not missed.
        let changed = entry.silence_changed.notified();
        if entry.targets.borrow().is_silent(target, entry.now()) {
            return;
        }
        changed.await;
    }
}
