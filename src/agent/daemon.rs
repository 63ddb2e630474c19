//! The agent's process: starts the actor and its servers, and stops them gracefully.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use actix::prelude::*;
use anyhow::Context as _;
use tokio::sync::oneshot;

use crate::agent::events;
use crate::agent::{actor, config_view, metrics, options, target, world};
use crate::clock;
use crate::config::{codec, options as config_options};
use crate::daemon::signals;
use crate::external::{host_list, store};
use crate::settings::{agent as agent_settings, common};
use crate::telemetry::{admin, events as log, logs};
use crate::wire;
use crate::wire::server;

/// Interval at which a graceful stop checks whether all answers have been sent.
const STOP_POLL: Duration = Duration::from_millis(10);
/// Timeout for a read of the host list.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for closing the connections with entries after all work is done.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs an agent until it receives a stop signal, then drains it.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on or a server fails.
pub fn run(settings: agent_settings::AgentSettings) -> anyhow::Result<()> {
    logs::start(&settings.log)?;
    actix::System::new().block_on(serve(settings))
}

async fn serve(settings: agent_settings::AgentSettings) -> anyhow::Result<()> {
    let stop_signal = signals::stop_requested()?;
    let listener = server::listen(settings.listen).await?;
    let metrics = metrics::Metrics::new()?;
    let readiness = Arc::new(AtomicBool::new(false));
    let pages = admin::Admin { registry: metrics.registry(), ready: Arc::clone(&readiness) };
    let admin = admin::start(settings.admin_listen, pages)
        .with_context(|| format!("Cannot listen on the admin address {}", settings.admin_listen))?;
    let admin_handle = admin.handle();
    actix_rt::spawn(admin);
    let (drained, done) = oneshot::channel();
    let agent = actor::AgentActor::new(parts(&settings, metrics, readiness, drained)).start();
    let (stop, stopped) = oneshot::channel::<()>();
    let links = server::serve(listener, handler(&agent), async {
        // A dropped sender also stops the server.
        let _ = stopped.await;
    });
    let links = actix_rt::spawn(links);
    log::log(log::PROCESS_STARTED, format_args!("agent of {}", settings.target));
    stop_signal.await;
    log::log(log::STOP_STARTED, format_args!("agent of {}", settings.target));
    agent.do_send(actor::CoreEvent(events::Event::Drain {
        cause: events::DrainCause::Signal,
        on: true,
    }));
    done.await.context("The agent's actor stopped before the drain was complete")?;
    while !agent.send(actor::IsIdle).await? {
        actix_rt::time::sleep(STOP_POLL).await;
    }
    let _ = stop.send(());
    agent.send(actor::CloseLinks).await?;
    if let Ok(ended) = tokio::time::timeout(CLOSE_TIMEOUT, links).await {
        ended??;
    }
    admin_handle.stop(true).await;
    log::log(log::STOP_FINISHED, format_args!("agent of {}", settings.target));
    Ok(())
}

fn parts(
    settings: &agent_settings::AgentSettings,
    metrics: metrics::Metrics,
    readiness: Arc<AtomicBool>,
    drained: oneshot::Sender<()>,
) -> actor::Parts {
    let links = &settings.links;
    let probe_timeout = Duration::from_millis(links.probe_timeout_ms);
    let clock = clock::Clock::system();
    let member = member(settings);
    let probe_path = settings.probe_path.as_deref();
    actor::Parts {
        config: config(settings, &member, &clock),
        clock: clock.clone(),
        world: world::AgentWorld::new(options::core(settings, member.incarnation)),
        member,
        target: target::TargetClient::new(
            clock,
            &settings.target_url,
            probe_path,
            probe_timeout,
            Duration::from_millis(links.stream_gap_ms),
        ),
        kept_bytes: settings.queue.kept_bytes,
        store: store::Store::new(store::StoreOptions {
            endpoints: settings.store.clone(),
            call_timeout: Duration::from_millis(settings.claims.call_timeout_ms),
        }),
        service: Rc::from(settings.service.as_str()),
        metrics,
        readiness,
        timing: actor::Timing {
            heartbeat: Duration::from_millis(links.heartbeat_ms),
            deadline: Duration::from_millis(links.deadline_ms),
        },
        host_list: settings.host_list.as_ref().map(host_list_client),
        drained,
    }
}

fn host_list_client(settings: &common::HostListSettings) -> (host_list::HostList, Duration) {
    let poll = Duration::from_millis(settings.poll_ms);
    (host_list::HostList::new(&settings.url, HOST_LIST_TIMEOUT), poll)
}

fn config(
    settings: &agent_settings::AgentSettings,
    member: &wire::Member,
    clock: &clock::Clock,
) -> config_view::ConfigHolder {
    let agent_settings::LinkSettings { heartbeat_ms, deadline_ms, freshness_ms, .. } =
        settings.links;
    let timing = config_options::Timing::from_links(
        Duration::from_millis(heartbeat_ms),
        Duration::from_millis(deadline_ms),
        Duration::from_millis(freshness_ms),
    );
    let name = codec::name_of(member);
    let (data_centre, seed) = (&settings.data_centre, member.incarnation);
    let options = config_options::Options::new(&name, data_centre, false, seed, timing);
    let (target, service) = (&settings.target, &settings.service);
    config_view::ConfigHolder::new(options, target, service, clock.monotonic())
}

fn member(settings: &agent_settings::AgentSettings) -> wire::Member {
    wire::Member {
        name: settings.target.clone(),
        incarnation: rand::random(),
        role: wire::Role::Agent.into(),
        data_centre: settings.data_centre.clone(),
        address: String::new(),
        region: settings.region.clone(),
    }
}

fn handler(agent: &Addr<actor::AgentActor>) -> server::Handler {
    let agent = agent.clone();
    Arc::new(move |event| agent.do_send(actor::OnLinkEvent(event)))
}
