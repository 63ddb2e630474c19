//! The ways of orders between the agents of a group and to their engines.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_web::{HttpRequest, HttpResponse, web};
use futures_util::future;
use prost::Message as _;

use crate::collections::Map;
use crate::direct::connections::request_body::{self, BodyError, BodyLimits};
use crate::direct::known::heartbeat::PeerAddr;
use crate::ranks::daemon::Agent;
use crate::ranks::order_tree;
use crate::ranks::orders::{self, OrderAnswer, OrderAnswers, OrderMessage};
use crate::ranks::report::{Order, OrderOutcome};
use crate::ranks::switch::{Progress, RankOrder};
use crate::telemetry::events;

/// The limits of the bodies of orders. The longest ones hold the map of a large group.
const ORDER_LIMITS: BodyLimits = BodyLimits { bytes: 256 * 1024, time: Duration::from_secs(5) };

/// Returns the answer to an order that could not be read.
fn refuse_body(error: BodyError) -> HttpResponse {
    match error {
        BodyError::TooLarge => HttpResponse::PayloadTooLarge(),
        BodyError::NoRoom => HttpResponse::ServiceUnavailable(),
        BodyError::TooSlow => HttpResponse::RequestTimeout(),
        BodyError::Truncated => HttpResponse::BadRequest(),
    }
    .force_close()
    .finish()
}

/// Passes an order from the coordinator to the local engine, and on to the agents of other ranks.
/// Returns all of their outcomes.
pub(super) async fn handle_order(
    agent: web::Data<Rc<Agent>>,
    request: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let (body, _held) =
        match request_body::read(&request, payload, ORDER_LIMITS, &agent.buffers).await {
            Ok(read) => read,
            Err(error) => return refuse_body(error),
        };
    let Ok(message) = OrderMessage::decode(body) else {
        return HttpResponse::BadRequest().finish();
    };
    let Some((order, epoch)) = message.order() else {
        return HttpResponse::BadRequest().finish();
    };
    let recipients: Vec<SocketAddr> =
        message.recipients.iter().filter_map(|addr| addr.addr()).collect();
    let subtrees = order_tree::split(&recipients, agent.copy_time(&message));
    let passed_on = subtrees.iter().map(|subtree| agent.send_subtree(&message, subtree));
    let (own, others) =
        future::join(agent.carry_out(&order, epoch), future::join_all(passed_on)).await;
    let mut answers = others.into_iter().flatten().collect::<Vec<OrderAnswer>>();
    answers.push(own);
    HttpResponse::Ok().body(OrderAnswers { answers }.encode_to_vec())
}

impl Agent {
    /// Gives an order to the local engine and returns the outcome with the engine's state.
    async fn carry_out(&self, order: &Order, epoch: u64) -> OrderAnswer {
        let engine = self.settings.engine;
        let outcome = self.engines.order(engine, order, epoch).await;
        if matches!(order, Order::Prepare { .. }) && outcome == OrderOutcome::Begun {
            self.loading.set(true);
        }
        self.record_order(order.name(), outcome, None);
        let state = self.refresh_report().await.then(|| self.local_state()).flatten();
        OrderAnswer::of(engine, outcome, state, self.incarnation)
    }

    fn copy_time(&self, message: &OrderMessage) -> Duration {
        order_tree::copy_time(message.order_bytes(), self.settings.link_mbps)
    }

    /// Sends an order to a subtree of agents and returns the answers that arrive in time.
    async fn send_subtree(
        &self,
        message: &OrderMessage,
        engines: &[SocketAddr],
    ) -> Vec<OrderAnswer> {
        let Some(first) = engines.first() else { return Vec::new() };
        let agent = self.agent_addr(*first);
        let link_mbps = self.settings.link_mbps;
        match orders::send(message, agent, engines, link_mbps, &self.codecs).await {
            Ok(OrderAnswers { answers }) => answers,
            Err(error) => {
                events::log(
                    events::ORDER_UNANSWERED,
                    format_args!(
                        "order={} agent={agent} passed_on={} cause=\"{error}\"",
                        message.order().map_or("unknown", |(order, _)| order.name()),
                        engines.len() - 1
                    ),
                );
                Vec::new()
            }
        }
    }

    /// Sends orders of the coordinator to ranks: each distinct order through a tree of the ranks'
    /// agents, and directly to the engines of ranks without a live agent.
    pub(super) fn send_orders(self: &Rc<Self>, orders: Vec<RankOrder>) {
        let silent_ranks = self.members.borrow().silent_ranks(self.now());
        let is_silent = |rank: usize| silent_ranks.iter().any(|(silent, _)| *silent == rank);
        let mut batches: Vec<Vec<(SocketAddr, RankOrder)>> = Vec::new();
        for rank_order in orders {
            let member = self.members.borrow().get(rank_order.rank).map(|member| member.engine);
            let Some(engine) = member else { continue };
            if engine == self.settings.engine {
                actix_rt::spawn(Rc::clone(self).send_to_local_engine(rank_order));
            } else if is_silent(rank_order.rank) {
                actix_rt::spawn(Rc::clone(self).send_to_engine(rank_order, engine));
            } else {
                let same = |batch: &&mut Vec<(SocketAddr, RankOrder)>| {
                    let (_, first) = &batch[0];
                    first.order == rank_order.order && first.epoch == rank_order.epoch
                };
                match batches.iter_mut().find(same) {
                    Some(batch) => batch.push((engine, rank_order)),
                    None => batches.push(vec![(engine, rank_order)]),
                }
            }
        }
        for mut batch in batches {
            let unanswered = self.unanswered.borrow();
            batch.sort_by_key(|(engine, _)| unanswered.get(engine).copied().unwrap_or(0));
            let engines: Vec<SocketAddr> = batch.iter().map(|(engine, _)| *engine).collect();
            let Some((_, first)) = batch.first() else { continue };
            let message = OrderMessage::of(&first.order, first.epoch);
            let mut by_engine: Map<SocketAddr, RankOrder> = batch.into_iter().collect();
            for subtree in order_tree::split(&engines, self.copy_time(&message)) {
                let orders = subtree
                    .into_iter()
                    .filter_map(|engine| by_engine.remove(&engine).map(|order| (engine, order)));
                let message = message.clone();
                actix_rt::spawn(Rc::clone(self).send_via_agents(message, orders.collect()));
            }
        }
    }

    async fn send_to_local_engine(self: Rc<Self>, rank_order: RankOrder) {
        let engine = self.settings.engine;
        let outcome = self.engines.order(engine, &rank_order.order, rank_order.epoch).await;
        self.refresh_local_state().await;
        self.record_outcome(&rank_order, outcome);
    }

    async fn send_to_engine(self: Rc<Self>, rank_order: RankOrder, engine: SocketAddr) {
        let outcome = self.engines.order(engine, &rank_order.order, rank_order.epoch).await;
        self.poll_rank(rank_order.rank, engine).await;
        self.record_outcome(&rank_order, outcome);
    }

    /// Sends one order to a subtree of agents, and records the states and outcomes of its ranks.
    async fn send_via_agents(
        self: Rc<Self>,
        message: OrderMessage,
        orders: Vec<(SocketAddr, RankOrder)>,
    ) {
        let engines: Vec<SocketAddr> = orders.iter().map(|(engine, _)| *engine).collect();
        let answers = self.send_subtree(&message, &engines).await;
        let engine_of = |answer: &OrderAnswer| answer.engine.and_then(PeerAddr::addr);
        let mut by_engine: Map<SocketAddr, OrderAnswer> =
            answers.into_iter().filter_map(|answer| Some((engine_of(&answer)?, answer))).collect();
        let now = self.now();
        for (engine, rank_order) in orders {
            let answer = by_engine.remove(&engine);
            self.record_answered(engine, answer.is_some());
            if let Some(OrderAnswer { state: Some(state), incarnation, .. }) = &answer {
                self.members.borrow_mut().record_state(engine, *incarnation, state, now);
            }
            let outcome = answer.map_or(OrderOutcome::NoAnswer, |answer| answer.outcome());
            self.record_order(rank_order.order.name(), outcome, Some(rank_order.rank));
            self.coordinator.borrow_mut().record_outcome(&rank_order, outcome, now);
        }
        self.send_next_orders();
    }

    fn record_answered(&self, engine: SocketAddr, answered: bool) {
        let mut unanswered = self.unanswered.borrow_mut();
        match answered {
            true => {
                unanswered.remove(&engine);
            }
            false => *unanswered.entry(engine).or_default() += 1,
        }
    }

    fn record_outcome(self: &Rc<Self>, rank_order: &RankOrder, outcome: OrderOutcome) {
        self.record_order(rank_order.order.name(), outcome, Some(rank_order.rank));
        self.coordinator.borrow_mut().record_outcome(rank_order, outcome, self.now());
        self.send_next_orders();
    }

    /// Sends the orders that follow from an outcome. A held step stalls the whole group, so they do
    /// not wait for the next decision interval.
    fn send_next_orders(self: &Rc<Self>) {
        if self.is_coordinator.get() && self.progress.get() != Progress::Preparing {
            self.send_due_orders();
        }
    }

    /// Reads the local engine's state and records it in the member table.
    pub(super) async fn refresh_local_state(&self) {
        if self.refresh_report().await
            && let Some(state) = self.local_state()
        {
            let engine = self.settings.engine;
            self.members.borrow_mut().record_state(engine, self.incarnation, &state, self.now());
        }
    }

    fn record_order(&self, order: &str, outcome: OrderOutcome, rank: Option<usize>) {
        self.metrics.orders.with_label_values(&[order, &format!("{outcome:?}")]).inc();
        let rank = rank.map_or("own".to_owned(), |rank| rank.to_string());
        events::log(
            events::ORDER_GIVEN,
            format_args!("order={order} rank={rank} outcome={outcome:?}"),
        );
    }
}
