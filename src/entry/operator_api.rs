//! The HTTP API with which operators manage resources; docs/OPERATING.md shows its calls.
//!
//! The client of the key-value service cannot move between threads, so [`configure`] creates an
//! [`Api`] for each worker thread of the HTTP server.

pub(crate) mod auth;
mod bodies;
mod problems;
mod watch;

use std::rc::Rc;
use std::result;
use std::sync::Arc;
use std::time::Duration;

use actix_web::http::header;
use actix_web::{HttpRequest, HttpResponse, web};
use serde::Deserialize;
use tokio::sync;

use crate::clock::Clock;
use crate::external::store::{Store, StoreOptions};
use crate::problem::Problem;
use crate::resources::changes::{Accepted, Change, ChangeState, Operation};
use crate::resources::documents::{AuditDocument, ChangeDocument, Document, ListDocument};
use crate::resources::kinds::Kind;
use crate::resources::service::{Resources, ResourcesOptions};
use crate::resources::specs::{self, Spec};
use crate::resources::status::Status;
use crate::resources::stored::StoredResource;
use crate::settings;

/// The maximum size of a document, which is that of a value in the key-value service.
const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// The number of audit records that are returned if the query sets no limit.
const DEFAULT_AUDIT_LIMIT: usize = 100;
/// The header that carries the id of a change, in both directions.
const CHANGE_ID_HEADER: &str = "change-id";

/// The result of an operator's call.
type Result<T> = result::Result<T, Problem>;

/// Returns the status of a version of a resource, given its kind, name and version; callable from
/// any thread.
pub type StatusOf = Arc<dyn Fn(Kind, &str, u64) -> Status + Send + Sync>;

/// A person or program that may use the API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// The name that the audit trail records.
    pub name: String,
    /// The SHA-256 hash of the bearer token, in lower-case hex; settings never contain the token.
    pub token_sha256: String,
}

/// The part of an entry's settings that configures the operators' API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// The operators that may use the API.
    pub operators: Vec<Operator>,
    /// How long to determine the outcome of a change after the store's answer was lost, in
    /// milliseconds.
    #[serde(default = "default_settle_timeout_ms")]
    pub settle_timeout_ms: u64,
    /// The number of records that the audit trail keeps.
    #[serde(default = "default_audit_limit")]
    pub audit_limit: u64,
}

/// The settings and dependencies of the API.
#[derive(Clone)]
pub struct Options {
    /// The client options of the key-value service that stores the resources.
    pub store: StoreOptions,
    /// The operators that may use the API, and its limits.
    pub settings: OperatorSettings,
    /// The source of the times in audit records and of the `settle_timeout_ms` deadline.
    pub clock: Clock,
    /// Returns the status of a version of a resource.
    pub status: StatusOf,
    /// Becomes true when the entry stops, which ends open watches between two lines.
    pub stopping: sync::watch::Receiver<bool>,
}

/// The state of a worker thread.
pub(crate) struct Api {
    resources: Resources,
    operators: Vec<Operator>,
    status: StatusOf,
    stopping: sync::watch::Receiver<bool>,
}

/// Returns the first invalid setting, with the path of its field; `None` if all are valid.
pub fn check(settings: &OperatorSettings) -> Option<settings::InvalidValue> {
    let problem = |field: String, value: &str, allowed: &str| {
        let (value, allowed) = (String::from(value), String::from(allowed));
        Some(settings::InvalidValue { field, value, allowed })
    };
    for (index, operator) in settings.operators.iter().enumerate() {
        if operator.name.is_empty() {
            return problem(format!("operators[{index}].name"), "empty", "a name");
        }
        if !specs::is_sha256_hex(&operator.token_sha256) {
            let field = format!("operators[{index}].token_sha256");
            return problem(field, &operator.token_sha256, "64 lower-case hex digits");
        }
    }
    if settings.audit_limit == 0 {
        return problem(String::from("audit_limit"), "0", "at least 1");
    }
    None
}

/// Adds the routes of the API and their state to an application.
pub fn configure(cfg: &mut web::ServiceConfig, options: &Options) {
    let api = web::Data::new(Api::new(options));
    let all = web::resource("/v1/resources/{kind}")
        .app_data(web::PayloadConfig::new(MAX_DOCUMENT_BYTES))
        .route(web::get().to(list))
        .route(web::post().to(create));
    let one = web::resource("/v1/resources/{kind}/{name}")
        .app_data(web::PayloadConfig::new(MAX_DOCUMENT_BYTES))
        .route(web::get().to(read))
        .route(web::put().to(replace))
        .route(web::delete().to(delete));
    cfg.app_data(api)
        .service(all)
        .service(one)
        .service(web::resource("/v1/changes/{id}").route(web::get().to(change)))
        .service(web::resource("/v1/audit").route(web::get().to(audit)));
}

impl Api {
    fn new(options: &Options) -> Self {
        let OperatorSettings { operators, settle_timeout_ms, audit_limit } = &options.settings;
        let resources_options = ResourcesOptions {
            settle_timeout: Duration::from_millis(*settle_timeout_ms),
            audit_limit: *audit_limit,
        };
        let store = Store::new(options.store.clone());
        let draw = Rc::new(rand::random::<u64>);
        let resources = Resources::new(store, resources_options, options.clock.clone(), draw);
        Self {
            resources,
            operators: operators.clone(),
            status: Arc::clone(&options.status),
            stopping: options.stopping.clone(),
        }
    }

    fn document(&self, stored: &StoredResource) -> Document {
        let resource = &stored.resource;
        let status = (self.status)(resource.kind, &resource.name, stored.resource_version);
        Document::from_stored(stored, status)
    }

    fn accepted_document(&self, accepted: &Accepted, spec: &Spec) -> Document {
        let name = &accepted.applied.name;
        let status = (self.status)(accepted.applied.kind, name, accepted.resource_version);
        Document::from_accepted(accepted, spec.to_value(), status)
    }
}

async fn list(
    req: HttpRequest,
    _operator: auth::Authenticated,
    api: web::Data<Api>,
    path: web::Path<String>,
) -> Result<HttpResponse> {
    let kind = bodies::kind(&path)?;
    let query = bodies::list_query(&req)?;
    if query.watch {
        return watch::open(api, kind, query.resource_version).await;
    }
    let list = api.resources.list(kind).await.map_err(problems::of_error)?;
    let items = list.resources.iter().map(|stored| api.document(stored)).collect();
    let body = ListDocument { kind, resource_version: list.resource_version, items };
    Ok(HttpResponse::Ok().json(body))
}

async fn read(
    _operator: auth::Authenticated,
    api: web::Data<Api>,
    path: web::Path<(String, String)>,
) -> Result<HttpResponse> {
    let (kind, name) = path.into_inner();
    let kind = bodies::kind(&kind)?;
    let stored = api.resources.read(kind, &name).await.map_err(problems::of_error)?;
    let mut answer = HttpResponse::Ok();
    answer.insert_header((header::ETAG, bodies::entity_tag(stored.resource_version)));
    Ok(answer.json(api.document(&stored)))
}

async fn create(
    req: HttpRequest,
    operator: auth::Authenticated,
    api: web::Data<Api>,
    path: web::Path<String>,
    body: bodies::Body,
) -> Result<HttpResponse> {
    let kind = bodies::kind(&path)?;
    let document = bodies::document(body, kind)?;
    let spec = Spec::parse(kind, &document.spec).map_err(problems::of_spec)?;
    let name = document.metadata.name;
    let operation = Operation::Create { spec: spec.to_value() };
    let change = new_change(&req, &api, operator, kind, name, operation)?;
    let accepted = apply(&api, &change).await?;
    let location = format!("/v1/resources/{kind}/{}", change.name);
    let mut answer = HttpResponse::Created();
    answer.insert_header((header::LOCATION, location));
    Ok(with_version(answer, &accepted).json(api.accepted_document(&accepted, &spec)))
}

async fn replace(
    req: HttpRequest,
    operator: auth::Authenticated,
    api: web::Data<Api>,
    path: web::Path<(String, String)>,
    body: bodies::Body,
) -> Result<HttpResponse> {
    let (kind, name) = path.into_inner();
    let kind = bodies::kind(&kind)?;
    let document = bodies::document(body, kind)?;
    if document.metadata.name != name {
        return Err(problems::of_spec(specs::invalid(
            "metadata.name",
            &document.metadata.name,
            "the name in the path",
        )));
    }
    let spec = Spec::parse(kind, &document.spec).map_err(problems::of_spec)?;
    let resource_version = bodies::version(&req, document.metadata.resource_version)?;
    let operation = Operation::Replace { resource_version, spec: spec.to_value() };
    let change = new_change(&req, &api, operator, kind, name, operation)?;
    let accepted = apply(&api, &change).await?;
    Ok(with_version(HttpResponse::Ok(), &accepted).json(api.accepted_document(&accepted, &spec)))
}

async fn delete(
    req: HttpRequest,
    operator: auth::Authenticated,
    api: web::Data<Api>,
    path: web::Path<(String, String)>,
) -> Result<HttpResponse> {
    let (kind, name) = path.into_inner();
    let kind = bodies::kind(&kind)?;
    let query = bodies::list_query(&req)?;
    let resource_version = bodies::version(&req, query.resource_version)?;
    let operation = Operation::Delete { resource_version };
    let change = new_change(&req, &api, operator, kind, name, operation)?;
    let accepted = apply(&api, &change).await?;
    let answer = with_version(HttpResponse::Ok(), &accepted);
    let state = ChangeState::Accepted(accepted);
    Ok({ answer }.json(ChangeDocument::new(&change.id, state)))
}

async fn change(
    operator: auth::Authenticated,
    api: web::Data<Api>,
    path: web::Path<String>,
) -> Result<HttpResponse> {
    let id = path.into_inner();
    let state =
        api.resources.settle_change(&id, &operator.name).await.map_err(problems::of_error)?;
    Ok(HttpResponse::Ok().json(ChangeDocument::new(&id, state)))
}

async fn audit(
    req: HttpRequest,
    _operator: auth::Authenticated,
    api: web::Data<Api>,
) -> Result<HttpResponse> {
    let limit = bodies::audit_limit(&req)?.unwrap_or(DEFAULT_AUDIT_LIMIT);
    let items = api.resources.audit(limit).await.map_err(problems::of_error)?;
    Ok(HttpResponse::Ok().json(AuditDocument { items }))
}

fn new_change(
    req: &HttpRequest,
    api: &Api,
    operator: auth::Authenticated,
    kind: Kind,
    name: String,
    operation: Operation,
) -> Result<Change> {
    let given = bodies::change_id(req)?;
    let id = given.unwrap_or_else(|| api.resources.new_change_id());
    Ok(Change { id, actor: operator.name, kind, name, operation })
}

async fn apply(api: &Api, change: &Change) -> Result<Accepted> {
    let applied = api.resources.apply(change).await;
    applied.map_err(|error| problems::of_error(error).with("change_id", change.id.as_str()))
}

fn with_version(
    mut answer: actix_web::HttpResponseBuilder,
    accepted: &Accepted,
) -> actix_web::HttpResponseBuilder {
    answer.insert_header((header::ETAG, bodies::entity_tag(accepted.resource_version)));
    answer.insert_header((CHANGE_ID_HEADER, accepted.change_id.as_str()));
    answer
}

fn default_settle_timeout_ms() -> u64 {
    const DEFAULT_SETTLE_TIMEOUT_MS: u64 = 10_000;
    DEFAULT_SETTLE_TIMEOUT_MS
}

fn default_audit_limit() -> u64 {
    const DEFAULT_AUDIT_RECORDS: u64 = 1_000;
    DEFAULT_AUDIT_RECORDS
}
