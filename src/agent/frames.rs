//! Sends frames to entries and handles those received from them.

use actix::prelude::*;

use crate::agent::actor;
use crate::agent::events;
use crate::config::{codec, replica};
use crate::telemetry::events as log;
use crate::wire;
use crate::wire::frame;
use crate::wire::server;

/// Handles an event of a connection.
pub(crate) fn handle_link_event(
    agent: &mut actor::AgentActor,
    event: server::LinkEvent,
    cx: &mut Context<actor::AgentActor>,
) {
    match event {
        server::LinkEvent::Opened { link, sender } => {
            agent.links.open(link, sender, agent.clock.monotonic());
            let hello = hello(agent);
            agent.links.send(link, frame::Kind::Hello(hello));
        }
        server::LinkEvent::Frame { link, kind } => {
            if agent.links.sender(link).is_some() {
                agent.links.record_received(link, agent.clock.monotonic());
                handle_frame(agent, link, *kind, cx);
            }
        }
        server::LinkEvent::Closed(link) => agent.close(link, cx),
    }
}

/// Sends a heartbeat to every entry that has said hello.
pub(crate) fn send_heartbeats(agent: &mut actor::AgentActor) {
    let local = agent.config.next_heartbeat(agent.clock.monotonic());
    let common = heartbeat(agent);
    for link in agent.links.ids() {
        let Some(member) = agent.links.member(link) else { continue };
        let echo = agent.config.replica().peers().echo(&codec::name_of(member));
        let mut heartbeat = common.clone();
        codec::fill_heartbeat(&mut heartbeat, &local, echo);
        agent.links.send(link, frame::Kind::Heartbeat(heartbeat));
    }
}

fn handle_frame(
    agent: &mut actor::AgentActor,
    link: server::LinkId,
    kind: frame::Kind,
    cx: &mut Context<actor::AgentActor>,
) {
    match kind {
        frame::Kind::Hello(hello) => handle_hello(agent, link, hello, cx),
        frame::Kind::Heartbeat(heartbeat) => handle_heartbeat(agent, link, &heartbeat, cx),
        frame::Kind::StartAttempt(request) => {
            agent.metrics.attempts.inc();
            agent.queue_event(events::Event::Start { link, request: Box::new(request) }, cx);
        }
        frame::Kind::CancelAttempt(wire::CancelAttempt { id: Some(id) }) => {
            agent.relay.detach(id);
            agent.queue_event(events::Event::Cancel(id), cx);
        }
        frame::Kind::AnswerTaken(wire::AnswerTaken { id: Some(id), bytes }) => {
            agent.relay.record_taken(id, bytes);
        }
        frame::Kind::ConfigRequest(request) => answer_config(agent, link, &request, cx),
        frame::Kind::ConfigState(state) => {
            handle_config_event(agent, replica::Event::PeerState(state), cx);
        }
        _ => {}
    }
}

fn handle_hello(
    agent: &mut actor::AgentActor,
    link: server::LinkId,
    hello: wire::Hello,
    cx: &mut Context<actor::AgentActor>,
) {
    if let Some(member) = hello.member {
        log::log(log::LINK_OPENED, format_args!("entry {}", member.name));
        agent.links.set_member(link, member, hello.answer_window);
    }
    if let Some(heartbeat) = hello.heartbeat {
        handle_heartbeat(agent, link, &heartbeat, cx);
    }
}

fn handle_heartbeat(
    agent: &mut actor::AgentActor,
    link: server::LinkId,
    heartbeat: &wire::Heartbeat,
    cx: &mut Context<actor::AgentActor>,
) {
    if !heartbeat.fingerprints.is_empty() {
        let list = heartbeat.fingerprints.clone();
        agent.queue_event(events::Event::RefusedFingerprints(list), cx);
    }
    let Some(member) = agent.links.member(link) else { return };
    let received = codec::decode_heartbeat(member, heartbeat, &agent.member.data_centre);
    handle_config_event(agent, replica::Event::Heartbeat(received), cx);
}

fn answer_config(
    agent: &mut actor::AgentActor,
    link: server::LinkId,
    request: &wire::ConfigRequest,
    cx: &mut Context<actor::AgentActor>,
) {
    let Some(member) = agent.links.member(link) else { return };
    let event = replica::Event::PeerRequest(codec::name_of(member), request.have_revision);
    handle_config_event(agent, event, cx);
}

/// Delivers an event to the replica of the configuration and performs its effects.
fn handle_config_event(
    agent: &mut actor::AgentActor,
    event: replica::Event,
    cx: &mut Context<actor::AgentActor>,
) {
    let effects = agent.config.handle(event, agent.clock.monotonic());
    apply_config_effects(agent, effects, cx);
}

/// Runs the replica's timers and performs its effects.
pub(crate) fn tick_config(agent: &mut actor::AgentActor, cx: &mut Context<actor::AgentActor>) {
    let effects = agent.config.tick(agent.clock.monotonic());
    apply_config_effects(agent, effects, cx);
}

fn apply_config_effects(
    agent: &mut actor::AgentActor,
    effects: Vec<replica::Effect>,
    cx: &mut Context<actor::AgentActor>,
) {
    let mut revision_changed = false;
    for effect in effects {
        match effect {
            replica::Effect::RequestFrom(peer, have_revision) => {
                let request = wire::ConfigRequest { have_revision };
                agent.links.send_to(&peer, frame::Kind::ConfigRequest(request));
            }
            replica::Effect::AnswerPeer(peer, state) => {
                agent.links.send_to(&peer, frame::Kind::ConfigState(state));
            }
            replica::Effect::StateChanged(revision) => {
                log::log(log::AGENT_CONFIG, format_args!("revision {revision}"));
                revision_changed = true;
            }
            // Only entries read the key-value service.
            replica::Effect::Store(_) => {}
        }
    }
    if let Some(view) = agent.config.view(agent.clock.monotonic()) {
        agent.queue_event(events::Event::Config(view), cx);
    }
    if revision_changed {
        send_heartbeats(agent);
    }
}

/// Returns the first frame of a connection. Its heartbeat is numbered, so that the entry's first
/// heartbeat already confirms the agent's configuration.
fn hello(agent: &mut actor::AgentActor) -> wire::Hello {
    let local = agent.config.next_heartbeat(agent.clock.monotonic());
    let mut heartbeat = heartbeat(agent);
    codec::fill_heartbeat(&mut heartbeat, &local, 0);
    wire::Hello { member: Some(agent.member.clone()), heartbeat: Some(heartbeat), answer_window: 0 }
}

/// Returns a heartbeat without its sequence number and echo, of which the echo differs between
/// peers.
fn heartbeat(agent: &actor::AgentActor) -> wire::Heartbeat {
    let now = agent.clock.monotonic();
    let mut load = agent.world.load();
    load.takes_work &= agent.config.replica().confirmed_at(now).is_ok();
    wire::Heartbeat {
        draining: agent.world.draining(),
        load: Some(load),
        fingerprints: agent.world.crash_reports(),
        ..wire::Heartbeat::default()
    }
}
