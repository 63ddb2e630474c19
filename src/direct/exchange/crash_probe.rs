//! Finds out whether a target crashed when a connection to it is lost.
//!
//! A lost connection alone does not show that: servers drop connections, and networks reset them.
//! The host of a process that has ended refuses new connections at once, long before the target
//! list shows the end.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt as _;
use tokio::time;

use crate::direct::known::target::Target;
use crate::direct::state::entry::{Entry, Probe};

/// Time to establish a connection. A host that does not answer in time says nothing about its
/// target, and a request may wait for the result before it is sent to another target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which a new connection must last. A process that ends may close its connections
/// shortly before it stops listening.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// Connections that are opened one after the other while each one is closed by the target.
const MAX_PROBES: u32 = 3;

/// Waits until it is known whether a target to which a connection was lost has ended, or that this
/// cannot be known. A target that has ended is recorded.
pub async fn check(entry: &Rc<Entry>, target: &Target) {
    let known = entry.probes.borrow().get(&target.id).cloned();
    let probe = known.unwrap_or_else(|| start(entry, target));
    probe.await;
}

/// Starts a probe that also completes if no request waits for it any more.
fn start(entry: &Rc<Entry>, target: &Target) -> Probe {
    let (task_entry, task_target) = (Rc::clone(entry), target.clone());
    let task = actix_rt::spawn(async move {
        run(&task_entry, &task_target).await;
        task_entry.probes.borrow_mut().remove(&task_target.id);
    });
    let probe = task.map(|_| ()).boxed_local().shared();
    entry.probes.borrow_mut().insert(target.id.clone(), probe.clone());
    probe
}

async fn run(entry: &Entry, target: &Target) {
    for _ in 0..MAX_PROBES {
        match entry.pool.open(target.addr, PROBE_TIMEOUT).await {
            Ok(connection) => {
                time::sleep(SETTLE_TIME).await;
                if connection.is_reusable() {
                    entry.pool.put_back(target.addr, connection, None);
                    return;
                }
            }
            Err(error) => {
                if error.is_refused() {
                    entry.record_target_ended(&target.id);
                }
                return;
            }
        }
    }
}
