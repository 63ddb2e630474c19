//! Performs the effects that the decision core requests.

use std::future::Future;
use std::time::Duration;
use std::{error, fmt};

use actix::prelude::*;

use crate::agent::events;
use crate::agent::{actor, claim_store, frames, relay, target};
use crate::external::{host_list, store};
use crate::telemetry::events as log;
use crate::wire;
use crate::wire::frame;

type Cx = Context<actor::AgentActor>;

/// Performs one effect.
pub(crate) fn perform(agent: &mut actor::AgentActor, effect: events::Effect, cx: &mut Cx) {
    match effect {
        events::Effect::Refuse { to, reason, executed, retry_after } => {
            refuse(agent, to, reason, executed, retry_after);
        }
        events::Effect::Dispatch { job, request, subscribers, keep } => {
            dispatch(agent, job, *request, &subscribers, keep, cx);
        }
        events::Effect::Attach { job, to } => attach(agent, job, to),
        events::Effect::Abort(job) => {
            abort(agent, job);
            agent.relay.cancel(job);
        }
        events::Effect::EndIncomplete { job, .. } => agent.relay.end_incomplete(job),
        events::Effect::EvictAnswer(job) => agent.relay.evict(job),
        events::Effect::ReadShardCount { proposed } => read_shard_count(agent, proposed, cx),
        events::Effect::ReadShard { shard, from } => read_shard(agent, shard, from, cx),
        events::Effect::Commit { shard, compares, writes } => {
            commit(agent, shard, compares, writes, cx);
        }
        events::Effect::Probe => restart_probe(agent, cx),
        events::Effect::SendHeartbeats => {
            let draining = agent.world.draining();
            log::log(log::AGENT_DRAINING, format_args!("draining is {draining}"));
            frames::send_heartbeats(agent);
        }
        events::Effect::Drained => {
            if let Some(drained) = agent.drained.take() {
                // The daemon may have stopped waiting.
                let _ = drained.send(());
            }
        }
    }
}

/// Handles the outcome of an exchange with the target, unless the exchange was aborted meanwhile.
pub(crate) fn exchange_done(
    agent: &mut actor::AgentActor,
    message: &actor::ExchangeDone,
    cx: &mut Cx,
) {
    let job = message.job;
    if agent.exchanges.remove(&job).is_none() {
        return;
    }
    match message.outcome {
        target::Outcome::Complete { bytes, tokens } => {
            agent.metrics.answered.inc();
            agent.relay.end(job);
            if !message.keep {
                agent.relay.evict(job);
            }
            agent.queue_event(events::Event::Completed { job, bytes, tokens }, cx);
        }
        target::Outcome::Failed(failure) => {
            if failure == events::Failure::Unreachable {
                agent.relay.cancel(job);
            }
            agent.queue_event(events::Event::Failed { job, failure }, cx);
        }
    }
}

/// Starts a health probe unless one is in progress.
pub(crate) fn probe(agent: &mut actor::AgentActor, cx: &mut Cx) {
    if agent.probing {
        return;
    }
    agent.probing = true;
    let (target, address) = (agent.target.clone(), cx.address());
    actix_rt::spawn(async move {
        address.do_send(actor::ProbeDone(target.probe().await));
    });
}

/// Starts a health probe after a failure. The outcome of one that is in progress is discarded,
/// since the target may have answered it before it crashed.
fn restart_probe(agent: &mut actor::AgentActor, cx: &mut Cx) {
    agent.probe_outdated = agent.probing;
    probe(agent, cx);
}

/// Handles the outcome of a health probe.
pub(crate) fn probe_done(agent: &mut actor::AgentActor, probe: events::ProbeOutcome, cx: &mut Cx) {
    agent.probing = false;
    if std::mem::take(&mut agent.probe_outdated) {
        self::probe(agent, cx);
        return;
    }
    if agent.world.load().target_healthy != (probe == events::ProbeOutcome::Healthy) {
        log::log(log::TARGET_HEALTH, format_args!("health probe outcome {probe:?}"));
    }
    agent.queue_event(events::Event::Probed(probe), cx);
}

/// Reads from the host list whether this agent's host is leaving. A failed read, or a list that
/// does not name the host, changes nothing.
pub(crate) fn read_host_list(agent: &actor::AgentActor, cx: &mut Cx) {
    let Some((list, _)) = agent.host_list.clone() else { return };
    let (name, address) = (agent.member.name.clone(), cx.address());
    actix_rt::spawn(async move {
        let Ok(hosts) = list.read().await else { return };
        let is_self =
            |host: &&host_list::Host| host.role == host_list::HostRole::Agent && host.name == name;
        let Some(host) = hosts.iter().find(is_self) else { return };
        let on = host.state == host_list::HostState::Leaving;
        let cause = events::DrainCause::HostList;
        address.do_send(actor::CoreEvent(events::Event::Drain { cause, on }));
    });
}

fn refuse(
    agent: &mut actor::AgentActor,
    to: events::Subscriber,
    reason: wire::RefusalReason,
    executed: wire::Executed,
    retry_after: Duration,
) {
    agent.relay.detach(to.id);
    agent.metrics.refused.with_label_values(&[reason.as_str_name()]).inc();
    let refusal = wire::Refusal {
        id: Some(to.id),
        reason: reason.into(),
        executed: executed.into(),
        retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
    };
    agent.links.send(to.link, frame::Kind::Refusal(refusal));
}

fn dispatch(
    agent: &mut actor::AgentActor,
    job: events::JobId,
    request: wire::StartAttempt,
    subscribers: &[events::Subscriber],
    keep: bool,
    cx: &mut Cx,
) {
    agent.metrics.dispatched.inc();
    let answer = agent.relay.open(job, keep);
    for to in subscribers {
        attach(agent, job, *to);
    }
    let (target, address) = (agent.target.clone(), cx.address());
    let on_head = {
        let address = address.clone();
        move || address.do_send(actor::CoreEvent(events::Event::Head(job)))
    };
    let exchange = actix_rt::spawn(async move {
        let outcome = target.exchange(request, &answer, on_head).await;
        address.do_send(actor::ExchangeDone { job, keep, outcome });
    });
    agent.exchanges.insert(job, exchange);
}

fn attach(agent: &mut actor::AgentActor, job: events::JobId, to: events::Subscriber) {
    if let Some(sender) = agent.links.sender(to.link) {
        let window = relay::Window::new(agent.links.answer_window(to.link));
        agent.relay.attach(job, to.id, sender, window);
    }
}

fn abort(agent: &mut actor::AgentActor, job: events::JobId) {
    if let Some(exchange) = agent.exchanges.remove(&job) {
        exchange.abort();
    }
}

fn read_shard_count(agent: &actor::AgentActor, proposed: u32, cx: &mut Cx) {
    let (store, service) = (agent.store.clone(), agent.service.clone());
    spawn_event(cx, async move {
        let read = claim_store::read_shard_count(&store, &service, proposed).await;
        events::Event::ShardCount(ok_or_log(read))
    });
}

fn read_shard(agent: &actor::AgentActor, shard: usize, from: Option<u64>, cx: &mut Cx) {
    let (store, service) = (agent.store.clone(), agent.service.clone());
    let number = u32::try_from(shard).unwrap_or(u32::MAX);
    spawn_event(cx, async move {
        let read = claim_store::read_shard(&store, &service, number, from).await;
        events::Event::ShardRead { shard, snapshot: ok_or_log(read) }
    });
}

fn commit(
    agent: &actor::AgentActor,
    shard: usize,
    compares: Vec<store::Compare>,
    writes: Vec<store::Write>,
    cx: &mut Cx,
) {
    agent.metrics.claim_commits.inc();
    let store = agent.store.clone();
    spawn_event(cx, async move {
        let outcome = claim_store::commit(&store, &compares, &writes).await;
        events::Event::Committed { shard, outcome }
    });
}

fn spawn_event(cx: &mut Cx, event: impl Future<Output = events::Event> + 'static) {
    let address = cx.address();
    actix_rt::spawn(async move {
        address.do_send(actor::CoreEvent(event.await));
    });
}

/// Returns the value that was read, or logs the error.
fn ok_or_log<T>(read: claim_store::Result<T>) -> Option<T> {
    if let Err(error) = &read {
        log::log(log::CLAIMS_UNAVAILABLE, format_args!("{:#}", ErrorChain(error)));
    }
    read.ok()
}

/// ErrorChain formats an error followed by its cause.
struct ErrorChain<'a>(&'a claim_store::ClaimStoreError);

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)?;
        match error::Error::source(self.0) {
            Some(source) => write!(f, " {source}"),
            None => Ok(()),
        }
    }
}
