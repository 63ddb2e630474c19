//! Orders that the coordinator sends to the agents of other ranks.

use std::net::SocketAddr;
use std::sync::Arc;

use actix_http::{Method, Uri};
use bytes::Bytes;
use prost::Message as _;

use crate::direct::connections::codecs::Codecs;
use crate::direct::connections::internal::{self, InternalRequest};
use crate::direct::known::heartbeat::PeerAddr;
use crate::ranks::map_codec;
use crate::ranks::messages::StateMessage;
use crate::ranks::order_tree;
use crate::ranks::report::{Order, OrderOutcome, Switch};

/// The path at which an agent accepts orders.
pub const ORDERS_PATH: &str = "/orders";

/// Maximum size of the answers of a large group.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// OrderMessage is an order for ranks of one group, with the group's epoch.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderMessage {
    /// The kind of the order.
    #[prost(enumeration = "Kind", tag = "1")]
    pub kind: i32,
    /// The map's version; zero for orders without one.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The step; zero for orders without one.
    #[prost(uint64, tag = "3")]
    pub step: u64,
    /// The map to prepare, as [`map_codec`] encodes it.
    #[prost(bytes = "bytes", tag = "7")]
    pub map: Bytes,
    /// Number of ranks in the map to prepare.
    #[prost(uint32, tag = "5")]
    pub ranks: u32,
    /// The group's epoch.
    #[prost(uint64, tag = "6")]
    pub epoch: u64,
    /// The engines of the other ranks that the agent passes the order on to.
    #[prost(message, repeated, tag = "8")]
    pub recipients: Vec<PeerAddr>,
}

/// Kind is the kind of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum Kind {
    /// No known order.
    Unknown = 0,
    /// Load the experts of a map in addition to those in use.
    Prepare = 1,
    /// Switch to a prepared map at a step.
    Arm = 2,
    /// Forget an armed switch.
    Disarm = 3,
    /// Do not begin a step until it is released.
    Hold = 4,
    /// Begin a held step.
    Release = 5,
}

/// OrderAnswer is the outcome of an order, with the rank's state after it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderAnswer {
    /// 1 done, 2 begun, 3 conflict, 4 refused; any other value means no answer.
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    /// The rank's state; `None` if the agent could not read it.
    #[prost(message, optional, tag = "2")]
    pub state: Option<StateMessage>,
    /// The incarnation of the agent process that read the state.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// The rank's engine.
    #[prost(message, optional, tag = "4")]
    pub engine: Option<PeerAddr>,
}

/// OrderAnswers are the answers of an agent and of those that it passed the order on to. Agents that
/// did not answer are left out.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OrderAnswers {
    /// The answers, in no particular order.
    #[prost(message, repeated, tag = "1")]
    pub answers: Vec<OrderAnswer>,
}

impl OrderMessage {
    /// Returns the message for an order.
    pub fn of(order: &Order, epoch: u64) -> Self {
        let mut message = Self { epoch, ..Self::default() };
        match order {
            Order::Prepare { version, map } => {
                message.set_kind(Kind::Prepare);
                message.version = *version;
                message.ranks =
                    super::to_u32(map.layers.first().map_or(0, |layer| layer.held.len()));
                message.map = map_codec::encode(map);
            }
            Order::Arm(Switch { version, step }) => {
                message.set_kind(Kind::Arm);
                (message.version, message.step) = (*version, *step);
            }
            Order::Disarm { version } => {
                message.set_kind(Kind::Disarm);
                message.version = *version;
            }
            Order::Hold { step } => {
                message.set_kind(Kind::Hold);
                message.step = *step;
            }
            Order::Release { step } => {
                message.set_kind(Kind::Release);
                message.step = *step;
            }
        }
        message
    }

    /// Returns the bytes of the message without the recipients, of which each agent has others.
    pub fn order_bytes(&self) -> usize {
        let recipients: usize = self.recipients.iter().map(|addr| addr.encoded_len() + 2).sum();
        self.encoded_len().saturating_sub(recipients)
    }

    /// Returns the order and the epoch, or `None` if the message contains no valid order.
    pub fn order(&self) -> Option<(Order, u64)> {
        let (version, step) = (self.version, self.step);
        let order = match self.kind() {
            Kind::Unknown => return None,
            Kind::Prepare => {
                let map = map_codec::decode(&self.map, super::to_usize(self.ranks))?;
                Order::Prepare { version, map: Arc::new(map) }
            }
            Kind::Arm => Order::Arm(Switch { version, step }),
            Kind::Disarm => Order::Disarm { version },
            Kind::Hold => Order::Hold { step },
            Kind::Release => Order::Release { step },
        };
        Some((order, self.epoch))
    }
}

impl OrderAnswer {
    /// Returns the message for the outcome at an engine.
    pub fn of(
        engine: SocketAddr,
        outcome: OrderOutcome,
        state: Option<StateMessage>,
        incarnation: u64,
    ) -> Self {
        let outcome = match outcome {
            OrderOutcome::Done => 1,
            OrderOutcome::Begun => 2,
            OrderOutcome::Conflict => 3,
            OrderOutcome::Refused => 4,
            OrderOutcome::NoAnswer => 0,
        };
        Self { outcome, state, incarnation, engine: PeerAddr::of(engine) }
    }

    /// Returns the outcome.
    pub fn outcome(&self) -> OrderOutcome {
        match self.outcome {
            1 => OrderOutcome::Done,
            2 => OrderOutcome::Begun,
            3 => OrderOutcome::Conflict,
            4 => OrderOutcome::Refused,
            _ => OrderOutcome::NoAnswer,
        }
    }
}

/// Sends an order to the first agent of a subtree, which passes it on to the others. `engines` are
/// the engines of the subtree, `agent` the first one's agent, and `link_mbps` the speed of the hosts'
/// links in megabits per second.
///
/// # Errors
///
/// Returns an error if the first agent does not answer; the order may have been carried out
/// nevertheless.
pub async fn send(
    message: &OrderMessage,
    agent: SocketAddr,
    engines: &[SocketAddr],
    link_mbps: f64,
    codecs: &Codecs,
) -> internal::Result<OrderAnswers> {
    let others = engines.iter().skip(1).filter_map(|engine| PeerAddr::of(*engine));
    let copy_time = order_tree::copy_time(message.order_bytes(), link_mbps);
    let message = OrderMessage { recipients: others.collect(), ..message.clone() };
    let body = Bytes::from(message.encode_to_vec());
    let request = InternalRequest {
        method: Method::POST,
        uri: Uri::from_static(ORDERS_PATH),
        timeout: order_tree::time_limit(engines.len(), copy_time),
        body,
        max_answer_bytes: MAX_ANSWER_BYTES,
    };
    internal::send(agent, request, codecs).await
}
