//! Frames between the agent and entries.

use actix::prelude::*;

use crate::agent::actor;
use crate::agent::events;
use crate::config::{codec, replica};
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
            let hello = hello(agent);
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
    let beat = agent.config.beat(agent.clock.monotonic());
    let same_for_all = heartbeat(agent);
    for link in agent.links.ids() {
        let Some(member) = agent.links.member(link) else { continue };
        let echo = agent.config.replica().peers().echo(&codec::name_of(member));
        let mut heartbeat = same_for_all.clone();
        codec::fill_heartbeat(&mut heartbeat, &beat, echo);
        agent.links.send(link, frame::Kind::Heartbeat(heartbeat));
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
        frame::Kind::ConfigRequest(request) => answer_config(agent, link, &request, cx),
        frame::Kind::ConfigState(offer) => {
            config_event(agent, replica::Event::PeerState(offer), cx);
        }
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
    if !heartbeat.fingerprints.is_empty() {
        let list = heartbeat.fingerprints.clone();
        agent.push(events::Event::RefusedFingerprints(list), cx);
    }
    let Some(member) = agent.links.member(link) else { return };
    let heard = codec::decode_heartbeat(member, heartbeat, &agent.member.data_centre);
    config_event(agent, replica::Event::Heartbeat(heard), cx);
}

fn answer_config(
    agent: &mut actor::AgentActor,
    link: server::LinkId,
    request: &wire::ConfigRequest,
    cx: &mut Context<actor::AgentActor>,
) {
    let Some(member) = agent.links.member(link) else { return };
    let event = replica::Event::PeerRequest(codec::name_of(member), request.have_revision);
    config_event(agent, event, cx);
}

/// Hands an event to the replica and carries out what follows.
fn config_event(
    agent: &mut actor::AgentActor,
    event: replica::Event,
    cx: &mut Context<actor::AgentActor>,
) {
    let effects = agent.config.handle(event, agent.clock.monotonic());
    follow_config(agent, effects, cx);
}

/// Does what time alone calls for in the replica.
pub(crate) fn tick_config(agent: &mut actor::AgentActor, cx: &mut Context<actor::AgentActor>) {
    let effects = agent.config.tick(agent.clock.monotonic());
    follow_config(agent, effects, cx);
}

fn follow_config(
    agent: &mut actor::AgentActor,
    effects: Vec<replica::Effect>,
    cx: &mut Context<actor::AgentActor>,
) {
    let mut moved = false;
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
                moved = true;
            }
            // Only entries read the key-value service.
            replica::Effect::Store(_) => {}
        }
    }
    if let Some(view) = agent.config.view(agent.clock.monotonic()) {
        agent.push(events::Event::Config(view), cx);
    }
    if moved {
        beat_all(agent);
    }
}

/// Returns the first frame of a connection. It is numbered, so that the entry's first heartbeat
/// confirms the agent's configuration at once.
fn hello(agent: &mut actor::AgentActor) -> wire::Hello {
    let beat = agent.config.beat(agent.clock.monotonic());
    let mut heartbeat = heartbeat(agent);
    codec::fill_heartbeat(&mut heartbeat, &beat, 0);
    wire::Hello { member: Some(agent.member.clone()), heartbeat: Some(heartbeat) }
}

/// Returns a heartbeat without its stamp, which differs from peer to peer.
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
