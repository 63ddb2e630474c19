//! What entries serve_fleet the agents beside ranks: the model services' shapes, the targets and the
//! entries themselves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, Uri};
use actix_web::{HttpResponse, web};
use bytes::Bytes;
use prost::Message as _;

use crate::direct::http::Codecs;
use crate::direct::internal::{self, InternalRequest};
use crate::direct::sync::StateSync;

/// The path at which an entry tells it.
const FLEET_PATH: &str = "/fleet";

/// How long an entry may take to answer.
const TIMEOUT: Duration = Duration::from_millis(400);

/// Bytes of the longest answer, with some thousand targets.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// FleetMessage is the answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct FleetMessage {
    /// The model services.
    #[prost(message, repeated, tag = "1")]
    pub services: Vec<ShapeMessage>,
    /// The targets of these services.
    #[prost(message, repeated, tag = "2")]
    pub targets: Vec<TargetMessage>,
    /// Internal addresses of the live entries, as `ip:port`, at which the same request is answered.
    #[prost(string, repeated, tag = "3")]
    pub entries: Vec<String>,
}

/// ShapeMessage is the shape of a service's groups.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ShapeMessage {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Layers with experts of their own.
    #[prost(uint32, tag = "2")]
    pub layers: u32,
    /// Experts of a layer.
    #[prost(uint32, tag = "3")]
    pub experts: u32,
    /// Experts that a rank can hold in a layer.
    #[prost(uint32, tag = "4")]
    pub slots_per_rank: u32,
    /// Experts of a layer that a rank may newly load for one change.
    #[prost(uint32, tag = "5")]
    pub new_per_rank: u32,
    /// The part of a step that experts take on a balanced group.
    #[prost(double, tag = "6")]
    pub expert_share: f64,
}

/// TargetMessage is one target.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TargetMessage {
    /// Its service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Where it listens.
    #[prost(string, tag = "2")]
    pub addr: String,
}

/// Fetches the message from an entry.
///
/// # Errors
///
/// Returns why there is no answer.
pub async fn fetch(entry: SocketAddr, codecs: &Codecs) -> internal::Result<FleetMessage> {
    let request = InternalRequest {
        method: Method::GET,
        uri: Uri::from_static(FLEET_PATH),
        body: Bytes::new(),
        timeout: TIMEOUT,
        max_answer_bytes: MAX_ANSWER,
    };
    internal::send(entry, request, codecs).await
}

/// Adds the route at which agents ask.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route(FLEET_PATH, web::get().to(serve_fleet));
}

async fn serve_fleet(sync: web::Data<Rc<StateSync>>) -> HttpResponse {
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
        peers.live(sync.heartbeat_interval, entry.now()).map(|peer| peer.addr.to_string());
    let message = FleetMessage { services, targets, entries: entries.collect() };
    HttpResponse::Ok().body(message.encode_to_vec())
}
