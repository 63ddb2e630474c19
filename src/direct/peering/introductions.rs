//! Makes this entry known to agents beside ranks whose notices do not come here.
//!
//! An agent finds entries by its seeds, which may all be gone, and does not read the store. An entry
//! knows every rank from the target list, and the agent beside it listens at the rank's host on the
//! port that entries use among each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use prost::Message as _;
use tokio::net::UdpSocket;
use tokio::time;

use crate::direct::known::configuration::Service;
use crate::direct::known::heartbeat::{AgentDatagram, Introduction};
use crate::direct::peering::sync::StateSync;

/// Interval between two rounds. In the first one, agents that know an entry have sent notices.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// Sends introductions until the process stops. `local` is the address at which this entry receives
/// heartbeats.
pub async fn send(sync: Rc<StateSync>, socket: Rc<UdpSocket>, local: SocketAddr) {
    let entry = &sync.entry;
    let introduction = Introduction { name: entry.options.name.clone() };
    let datagram = AgentDatagram { introduction: Some(introduction) }.encode_to_vec();
    while !entry.is_stopping() {
        time::sleep(ROUND_INTERVAL).await;
        let Some(configuration) = entry.configuration() else { continue };
        let engines: Vec<SocketAddr> = {
            let targets = entry.targets.borrow();
            let has_experts =
                |service: &str| configuration.service(service).is_some_and(Service::has_experts);
            let ranks = targets.iter().filter(|target| has_experts(&target.service));
            ranks.map(|target| target.addr).collect()
        };
        let now = entry.now();
        let interval = entry.options.heartbeat_interval;
        let entries = entry.peers.borrow().live(interval, now).count().saturating_add(1);
        let draw = rand::random_range(0..usize::MAX);
        let recipients = sync.agents.borrow_mut().to_introduce(&engines, entries, draw, now);
        for engine in recipients {
            // The next round makes up for a lost datagram.
            let _lost = socket.try_send_to(&datagram, SocketAddr::new(engine.ip(), local.port()));
        }
    }
}
