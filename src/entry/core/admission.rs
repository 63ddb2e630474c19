//! Admits or refuses requests: authenticates the customer, finds the service and checks the policy.

use std::time::Duration;

use sha2::{Digest as _, Sha256};

use crate::config::view;
use crate::entry::core::events::{
    AttemptFailure, Effect, Executed, NewRequest, Refusal, RefusalReason, Route,
};
use crate::entry::core::tables::{ClaimKey, Request, RequestId};
use crate::entry::core::{EntryWorld, crashes, retry, routing};
use crate::resources::kinds;

/// The delay after which a customer with too many requests in flight should retry.
const IN_FLIGHT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The delay after which to retry at an entry that has no current configuration; the caller can
/// try another entry at once.
const NOT_SERVING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The HTTP methods that count as idempotent for a path without a declaration: those that HTTP
/// defines as safe.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// Admits a request and starts its first attempt, or refuses it as not executed.
pub fn submit(
    world: &mut EntryWorld,
    now: Duration,
    request: NewRequest,
    effects: &mut Vec<Effect>,
) {
    let id = request.id;
    let key = find_claim_key(&world.tables.view, &request);
    let admitted = match admit(world, now, request) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            let refusal = world.reconcile(now, key, refusal);
            effects.push(Effect::Refuse { request: id, refusal });
            return;
        }
    };
    world.deadlines.insert(admitted.deadline, id);
    *world.tables.in_flight.entry(admitted.customer.clone()).or_default() += 1;
    world.tables.requests.insert(id, admitted);
    world.budget.earn();
    start_first(world, now, id, effects);
}

fn start_first(world: &mut EntryWorld, now: Duration, id: RequestId, effects: &mut Vec<Effect>) {
    match routing::start(world, now, id) {
        Some(start) => effects.push(Effect::Start(start)),
        None => world.refuse(now, id, retry::no_target(), effects),
    }
}

fn admit(world: &EntryWorld, now: Duration, request: NewRequest) -> Result<Request, Refusal> {
    if now >= world.tables.serves_until {
        return Err(not_executed(RefusalReason::NotServing, Some(NOT_SERVING_RETRY_AFTER)));
    }
    let view = &world.tables.view;
    let (customer_id, customer) = view
        .customer_by_key(&request.key_hash)
        .ok_or_else(|| not_executed(RefusalReason::UnknownCustomer, None))?;
    let (service_id, service) = find_service(view, &request.route)
        .ok_or_else(|| not_executed(RefusalReason::UnknownService, None))?;
    let grant = view
        .grant(customer_id, service_id)
        .ok_or_else(|| not_executed(RefusalReason::NotPermitted, None))?;
    let in_flight = world.tables.in_flight.get(&customer.name).copied().unwrap_or_default();
    if in_flight >= grant.max_in_flight {
        return Err(not_executed(RefusalReason::TooManyInFlight, Some(IN_FLIGHT_RETRY_AFTER)));
    }
    refuse_crashing(world, now, request.fingerprint)?;
    let claim_key = claim_key(service, &customer.name, &request)?;
    let limit = Duration::from_millis(service.spec.timeout_ms);
    let timeout = request.timeout.map_or(limit, |timeout| timeout.min(limit));
    Ok(Request {
        customer: customer.name.clone(),
        service: service.name.clone(),
        claim_key,
        claim_shards: service.spec.claim_shards,
        weight: grant.weight,
        config_revision: view.revision(),
        deadline: now + timeout,
        attempt: None,
        tries: 0,
        avoided: Vec::new(),
        answer_started: false,
        may_have_run: false,
        crashed: false,
        submitted: request,
    })
}

/// Returns the claim key of a call that may be refused; `None` if it needs no claim or its
/// customer, service or idempotency key is unknown.
fn find_claim_key(view: &view::View, request: &NewRequest) -> Option<ClaimKey> {
    request.idempotency_key.as_ref()?;
    let (_, customer) = view.customer_by_key(&request.key_hash)?;
    let (_, service) = find_service(view, &request.route)?;
    claim_key(service, &customer.name, request).ok().flatten()
}

fn refuse_crashing(world: &EntryWorld, now: Duration, fingerprint: u64) -> Result<(), Refusal> {
    let count = crashes::crash_count(&world.tables, fingerprint);
    if !world.options.refuse_crashing || count < crashes::MAX_CRASHES {
        return Ok(());
    }
    let until = world.tables.crashes.get(&fingerprint).map(|known| known.until.saturating_sub(now));
    Err(not_executed(RefusalReason::Attempt(AttemptFailure::CrashingRequest), until))
}

fn not_executed(reason: RefusalReason, retry_after: Option<Duration>) -> Refusal {
    Refusal { reason, executed: Executed::No, retry_after }
}

fn find_service<'a>(
    view: &'a view::View,
    route: &Route,
) -> Option<(view::ServiceId, &'a view::Service)> {
    match route {
        Route::Model { model } => view.service_by_model(model),
        Route::Plain { service, .. } => {
            let found = view.service_by_name(service)?;
            (found.1.spec.kind == kinds::ServiceKind::Plain).then_some(found)
        }
    }
}

/// Returns the claim key of an operation, or `None` for an idempotent one.
fn claim_key(
    service: &view::Service,
    customer: &str,
    request: &NewRequest,
) -> Result<Option<ClaimKey>, Refusal> {
    let Route::Plain { method, path, .. } = &request.route else { return Ok(None) };
    if is_idempotent(&service.spec, method, path) {
        return Ok(None);
    }
    let key = request
        .idempotency_key
        .as_deref()
        .ok_or_else(|| not_executed(RefusalReason::KeyRequired, None))?;
    Ok(Some(hash_claim(&[customer, &service.name, method, path, key])))
}

/// Returns true if a call of a plain service may run twice. The declared operation with the longest
/// matching path decides; without any, the method does.
pub fn is_idempotent(service: &kinds::ServiceSpec, method: &str, path: &str) -> bool {
    let matches =
        |operation: &&kinds::Operation| operation.method == method && covers(&operation.path, path);
    let declared = service.operations.iter().filter(matches).max_by_key(|found| found.path.len());
    declared.map_or_else(|| SAFE_METHODS.contains(&method), |found| found.idempotent)
}

/// Returns true if `path` is the declared path or below it.
fn covers(declared: &str, path: &str) -> bool {
    let declared = declared.trim_end_matches('/');
    path.strip_prefix(declared).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Hashes the parts, each after its length, so that different lists of parts give different inputs.
fn hash_claim(parts: &[&str]) -> ClaimKey {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update(part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let digest = hasher.finalize();
    let mut key = [0; 16];
    key.copy_from_slice(&digest[..16]);
    ClaimKey(key)
}
