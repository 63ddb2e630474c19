//! Frames between the agent and entries.

use std::time::Duration;

use actix::prelude::*;

use crate::agent::actor;
use crate::agent::events;
use crate::telemetry::events as log;
use crate::wire;
use crate::wire::frame;
use crate::wire::server;

/// Takes in what happened to a connection.
pub(crate) fn take(
    agent: &mut actor::AgentActor,
    event: server::LinkEvent,
    cx: &mut Context<actor::AgentActor>,
) {
    match event {
        server::LinkEvent::Opened { link, sender } => {
            agent.links.open(link, sender, agent.clock.monotonic());
            let hello = wire::Hello {
                member: Some(agent.member.clone()),
                heartbeat: Some(heartbeat(agent)),
            };
            agent.links.send(link, frame::Kind::Hello(hello));
        }
        server::LinkEvent::Frame { link, kind } => {
            if agent.links.sender(link).is_some() {
                agent.links.heard(link, agent.clock.monotonic());
                take_frame(agent, link, *kind, cx);
            }
        }
        server::LinkEvent::Closed(link) => agent.close(link, cx),
    }
}

/// Sends a heartbeat on every connection.
pub(crate) fn beat_all(agent: &mut actor::AgentActor) {
    agent.sequence += 1;
    let heartbeat = heartbeat(agent);
    for link in agent.links.ids() {
        agent.links.send(link, frame::Kind::Heartbeat(heartbeat.clone()));
    }
}

fn take_frame(
    agent: &mut actor::AgentActor,
    link: server::LinkId,
    kind: frame::Kind,
    cx: &mut Context<actor::AgentActor>,
) {
    match kind {
        frame::Kind::Hello(hello) => take_hello(agent, link, hello, cx),
        frame::Kind::Heartbeat(heartbeat) => take_heartbeat(agent, link, &heartbeat, cx),
        frame::Kind::StartAttempt(request) => {
            agent.metrics.attempts.inc();
            agent.push(events::Event::Start { link, request: Box::new(request) }, cx);
        }
        frame::Kind::CancelAttempt(wire::CancelAttempt { id: Some(id) }) => {
            agent.relay.detach(id);
            agent.push(events::Event::Cancel(id), cx);
        }
        frame::Kind::ConfigRequest(request) => answer_config(agent, link, &request),
        frame::Kind::ConfigState(offer) => take_config(agent, link, &offer, cx),
        _ => {}
    }
}

fn take_hello(
    agent: &mut actor::AgentActor,
    link: server::LinkId,
    hello: wire::Hello,
    cx: &mut Context<actor::AgentActor>,
) {
    if let Some(member) = hello.member {
        log::log(log::LINK_OPENED, format_args!("entry {}", member.name));
        agent.links.name(link, member);
    }
    if let Some(heartbeat) = hello.heartbeat {
        take_heartbeat(agent, link, &heartbeat, cx);
    }
}

fn take_heartbeat(
    agent: &mut actor::AgentActor,
    link: server::LinkId,
    heartbeat: &wire::Heartbeat,
    cx: &mut Context<actor::AgentActor>,
) {
    let age = Duration::from_millis(heartbeat.config_age_ms);
    let heard_at = agent.clock.monotonic().saturating_sub(age);
    agent.links.note_config(link, heard_at);
    let held = agent.config.revision();
    if heartbeat.config_revision > held {
        let request = wire::ConfigRequest { have_revision: held };
        agent.links.send(link, frame::Kind::ConfigRequest(request));
    } else if held > 0 {
        agent.push(events::Event::Config(agent.config.view(heard_at)), cx);
    }
    if !heartbeat.fingerprints.is_empty() {
        let list = heartbeat.fingerprints.clone();
        agent.push(events::Event::RefusedFingerprints(list), cx);
    }
}

/// Answers a peer that asks for the configuration, unless the agent's own may be out of date.
fn answer_config(agent: &actor::AgentActor, link: server::LinkId, request: &wire::ConfigRequest) {
    if config_age(agent) > agent.timing.freshness {
        return;
    }
    if let Some(state) = agent.config.answer(request.have_revision) {
        agent.links.send(link, frame::Kind::ConfigState(state));
    }
}

fn take_config(
    agent: &mut actor::AgentActor,
    link: server::LinkId,
    offer: &wire::ConfigState,
    cx: &mut Context<actor::AgentActor>,
) {
    if !agent.config.apply(offer) {
        return;
    }
    let heard_at = agent.links.config_heard_at(link).unwrap_or_default();
    let view = agent.config.view(heard_at);
    log::log(log::AGENT_CONFIG, format_args!("revision {}", view.revision));
    agent.push(events::Event::Config(view), cx);
    beat_all(agent);
}

fn heartbeat(agent: &actor::AgentActor) -> wire::Heartbeat {
    let age = config_age(agent).as_millis();
    wire::Heartbeat {
        sequence: agent.sequence,
        config_revision: agent.config.revision(),
        draining: agent.world.draining(),
        config_age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        load: Some(agent.world.load()),
        fingerprints: agent.world.crash_reports(),
        regions: Vec::new(),
    }
}

fn config_age(agent: &actor::AgentActor) -> Duration {
    let heard_at = agent.world.config().map(|config| config.heard_at);
    heard_at.map_or(Duration::MAX, |at| agent.clock.monotonic().saturating_sub(at))
}
