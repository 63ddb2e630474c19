//! Tells operators why this entry does what it does; other entries may see it otherwise.

use std::result;

use actix::{Handler, Message};
use actix_web::http::StatusCode;
use actix_web::{HttpResponse, web};
use serde::{Deserialize, Serialize};

use crate::entry::core::explain::{self, TargetExplanation};
use crate::entry::operator_api::auth;
use crate::entry::{actor, caller_api};
use crate::problem::{Executed, Problem};
use crate::resources::names;

/// The result of a call of an operator.
type Result<T> = result::Result<T, Problem>;

/// TargetDocument is how one entry sees a target.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TargetDocument {
    /// The entry's name.
    pub entry: String,
    /// What it sees.
    #[serde(flatten)]
    pub explanation: TargetExplanation,
}

/// ExplainTarget asks the entry's actor why a target gets work or not.
#[derive(Message)]
#[rtype(result = "TargetExplanation")]
pub struct ExplainTarget(pub String);

impl Handler<ExplainTarget> for actor::EntryActor {
    type Result = actix::MessageResult<ExplainTarget>;

    fn handle(&mut self, message: ExplainTarget, _: &mut Self::Context) -> Self::Result {
        actix::MessageResult(explain::target(self.world(), self.now(), &message.0))
    }
}

/// Adds the routes that explain; operators authenticate as at the resource API, whose state must be
/// in the same application.
pub fn configure(cfg: &mut web::ServiceConfig) {
    cfg.route("/v1/explain/target/{name}", web::get().to(target));
}

async fn target(
    _operator: auth::Authenticated,
    api: web::Data<caller_api::CallerApi>,
    path: web::Path<String>,
) -> Result<HttpResponse> {
    let name = path.into_inner();
    names::check_name(&name).map_err(|error| {
        let status = StatusCode::UNPROCESSABLE_ENTITY;
        Problem::new("invalid", "Not allowed", status, error.to_string()).executed(Executed::No)
    })?;
    let explained = api.actor.send(ExplainTarget(name)).await;
    let explanation = explained.map_err(|error| {
        let detail = format!("The entry {:?} cannot explain anything now: {error}.", api.entry);
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Problem::new("not-serving", "Not serving", status, detail).executed(Executed::No)
    })?;
    Ok(HttpResponse::Ok().json(TargetDocument { entry: api.entry.clone(), explanation }))
}
