//! Serves agents beside ranks what they need to know of the fleet: the expert shapes of model
//! services, the targets and the entries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, Uri};
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use prost::Message as _;
use xxhash_rust::xxh3;

use crate::direct::connections::codecs::Codecs;
use crate::direct::connections::internal::{self, ExchangeError, InternalRequest};
use crate::direct::peering::sync::StateSync;

/// The path at which an entry serves [`FleetMessage`].
const FLEET_PATH: &str = "/fleet";

/// Time for an entry to answer, including the connection.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Bytes of the longest answer; some thousand targets fit.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The answer of an entry to an agent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FleetMessage {
    /// The model services that have experts.
    #[prost(message, repeated, tag = "1")]
    pub services: Vec<ShapeMessage>,
    /// The targets of these services.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetMessage>,
    /// Internal addresses of the live entries, as `ip:port`, at which the same request is answered.
    #[prost(string, repeated, tag = "3")]
    pub entries: Vec<String>,
    /// A hash of all of this, by which the agent asks for changes; the rest is empty where the agent
    /// has the same.
    #[prost(fixed64, tag = "4")]
    pub digest: u64,
}

impl FleetMessage {
    /// Returns the message in the order in which every entry sends it, with its digest.
    fn finished(mut self) -> Self {
        self.services.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        self.targets.sort_unstable_by(|a, b| a.addr.cmp(&b.addr));
        self.entries.sort_unstable();
        self.digest = xxh3::xxh3_64(&self.encode_to_vec());
        self
    }
}

/// The query of an agent: the digest of what it knows; 0 for nothing.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize)]
#[serde(default)]
struct FleetQuery {
    known: u64,
}

/// The shape of the groups of a model service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShapeMessage {
    /// The name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Layers with experts of their own.
    #[prost(uint32, tag = "2")]
    pub layers: u32,
    /// Experts of each layer.
    #[prost(uint32, tag = "3")]
    pub experts: u32,
    /// Expert copies that a rank can hold in each layer.
    #[prost(uint32, tag = "4")]
    pub slots_per_rank: u32,
    /// Experts of a layer that a rank may load for one switch of the expert map.
    #[prost(uint32, tag = "5")]
    pub new_per_rank: u32,
    /// The share of a step's time that experts take on a balanced group, from 0 to 1.
    #[prost(double, tag = "6")]
    pub expert_share: f64,
}

/// One target of a model service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetMessage {
    /// The name of its service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The address of its engine, as `ip:port`.
    #[prost(string, tag = "2")]
    pub addr: String,
}

/// Fetches the message from an entry; `None` if the fleet is as `known`, the digest of an earlier one.
///
/// # Errors
///
/// Returns an error if the entry does not answer in time or has no configuration yet.
pub async fn fetch(
    entry: SocketAddr,
    known: u64,
    codecs: &Codecs,
) -> internal::Result<Option<FleetMessage>> {
    let uri = format!("{FLEET_PATH}?known={known}");
    let request = InternalRequest {
        method: Method::GET,
        uri: uri.parse().unwrap_or(Uri::from_static(FLEET_PATH)),
        body: Bytes::new(),
        timeout: FETCH_TIMEOUT,
        max_answer_bytes: MAX_ANSWER_BYTES,
    };
    let message: FleetMessage = internal::send(entry, request, codecs).await?;
    if message.digest == 0 {
        return Err(ExchangeError::NoEntry);
    }
    Ok((known == 0 || message.digest != known).then_some(message))
}

/// Adds the route at which agents fetch the message.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route(FLEET_PATH, web::get().to(serve_fleet));
}

async fn serve_fleet(
    sync: web::Data<Rc<StateSync>>,
    query: web::Query<FleetQuery>,
) -> HttpResponse {
    let entry = &sync.entry;
    let Some(configuration) = entry.configuration() else {
        return HttpResponse::ServiceUnavailable().finish();
    };
    let shapes = configuration.services().filter_map(|service| {
        let engine = service.engine.as_ref()?;
        Some(ShapeMessage {
            service: service.name.clone(),
            layers: engine.expert_sets,
            experts: engine.experts,
            slots_per_rank: engine.expert_slots,
            new_per_rank: engine.spare_slots,
            expert_share: engine.expert_share,
        })
    });
    let services: Vec<ShapeMessage> = shapes.filter(|shape| shape.layers > 0).collect();
    let targets = entry.targets.borrow();
    let ranks = targets
        .iter()
        .filter(|target| services.iter().any(|shape| shape.service == target.service));
    let targets = ranks
        .map(|target| TargetMessage {
            service: target.service.clone(),
            addr: target.addr.to_string(),
        })
        .collect();
    let peers = entry.peers.borrow();
    let entries =
        peers.live(entry.options.heartbeat_interval, entry.now()).map(|peer| peer.addr.to_string());
    let message =
        FleetMessage { services, targets, entries: entries.collect(), digest: 0 }.finished();
    let answer = match message.digest == query.known {
        true => FleetMessage { digest: message.digest, ..FleetMessage::default() },
        false => message,
    };
    HttpResponse::Ok().body(answer.encode_to_vec())
}
