//! The operators' routes that explain this entry's routing; other entries may decide differently.

use std::result;

use actix::dev::ToEnvelope;
use actix::{Handler, Message, MessageResult};
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};

use crate::entry::core::explain::group::GroupExplanation;
use crate::entry::core::explain::{self, TargetExplanation};
use crate::entry::operator_api::auth;
use crate::entry::{actor, caller_api};
use crate::problem::{Executed, Problem};
use crate::resources::names;

/// The result of a call of an operator.
type Result<T> = result::Result<T, Problem>;

/// An explanation with the name of the entry that gave it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explained<T> {
    /// The entry's name.
    pub entry: String,
    /// The explanation of a target or a group; its fields are written beside `entry`.
    #[serde(flatten)]
    pub explanation: T,
}

/// Asks the entry's actor why a target gets requests or not; the target is given by name.
#[derive(Message)]
#[rtype(result = "TargetExplanation")]
pub struct ExplainTarget(pub String);

impl Handler<ExplainTarget> for actor::EntryActor {
    type Result = MessageResult<ExplainTarget>;

    fn handle(&mut self, message: ExplainTarget, _: &mut Self::Context) -> Self::Result {
        MessageResult(explain::target(self.world(), self.now(), &message.0))
    }
}

/// Asks the entry's actor which ranks of a group get requests; the group is given by name.
#[derive(Message)]
#[rtype(result = "GroupExplanation")]
pub struct ExplainGroup(pub String);

impl Handler<ExplainGroup> for actor::EntryActor {
    type Result = MessageResult<ExplainGroup>;

    fn handle(&mut self, message: ExplainGroup, _: &mut Self::Context) -> Self::Result {
        MessageResult(explain::group::group(self.world(), self.now(), &message.0))
    }
}

/// Adds the routes. Operators authenticate as for the resource API, whose state must be part of the
/// same application.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/explain/target/{name}", web::get().to(target))
        .route("/v1/explain/group/{name}", web::get().to(group));
}

async fn target(
    _operator: auth::Authenticated,
    api: web::Data<caller_api::CallerApi>,
    path: web::Path<String>,
) -> Result<HttpResponse> {
    explain(&api, &path, ExplainTarget).await
}

async fn group(
    _operator: auth::Authenticated,
    api: web::Data<caller_api::CallerApi>,
    path: web::Path<String>,
) -> Result<HttpResponse> {
    explain(&api, &path, ExplainGroup).await
}

async fn explain<M>(
    api: &caller_api::CallerApi,
    name: &str,
    message: fn(String) -> M,
) -> Result<HttpResponse>
where
    M: Message + Send + 'static,
    M::Result: Serialize + Send,
    actor::EntryActor: Handler<M>,
    actix::Context<actor::EntryActor>: ToEnvelope<actor::EntryActor, M>,
{
    names::check_name(name).map_err(|error| {
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        Problem::new("invalid", "Not allowed", status, error.to_string()).executed(Executed::No)
    })?;
    let explained = api.actor.send(message(name.to_owned())).await;
    let explanation = explained.map_err(|error| {
        let detail = format!("The entry {:?} cannot give explanations now: {error}.", api.entry);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Problem::new("not-serving", "Not serving", status, detail).executed(Executed::No)
    })?;
    Ok(HttpResponse::Ok().json(Explained { entry: api.entry.clone(), explanation }))
}
