//! Injects one or two faults at every call of a change to the stand-in store. Whatever the faults,
//! the reported outcome of the change must be true, then and after late calls have been carried
//! out.

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::{App, HttpRequest, HttpResponse, HttpServer, web};
use bitternwall::clock::Clock;
use bitternwall::external::store::{Store, StoreOptions};
use bitternwall::resources::changes::{Change, ChangeState, Operation};
use bitternwall::resources::error::ResourceError;
use bitternwall::resources::kinds::Kind;
use bitternwall::resources::service::{Resources, ResourcesOptions};
use serde_json::json;

use crate::store::{CALL_TIMEOUT, StandIn};

/// The index of the transaction among the calls of a change without a fault, which are: marker,
/// head, configuration, transaction.
const COMMIT_CALL: usize = 3;
/// Number of calls at which faults are injected; the last ones belong to the settling of the
/// change.
const CALLS: usize = 8;

/// The fault injected at one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The gateway refuses the call.
    Refuse,
    /// The request is lost before it reaches the store.
    DropRequest,
    /// The call is carried out, but its response is lost.
    LoseAnswer,
    /// The response is lost, and the call is carried out only after the change has been settled.
    CarryOutLate,
}

const FAULTS: [Fault; 4] =
    [Fault::Refuse, Fault::DropRequest, Fault::LoseAnswer, Fault::CarryOutLate];

/// The faults to inject at one change, and the calls seen so far.
#[derive(Default)]
struct Script {
    /// Number of calls received.
    calls: usize,
    /// Faults by the index of the call.
    faults: Vec<(usize, Fault)>,
    /// Paths and bodies of the calls to carry out late.
    late: Vec<(String, web::Bytes)>,
}

/// A gateway that forwards calls to the stand-in, except for those at which a script injects a
/// fault.
#[derive(Clone)]
struct Gateway {
    service: String,
    script: Arc<Mutex<Script>>,
}

impl Gateway {
    fn start(service: &StandIn) -> (Self, String) {
        let gateway = Self { service: service.endpoint.clone(), script: Arc::default() };
        let data = gateway.clone();
        let app = move || {
            let routes = web::to(serve);
            App::new().app_data(web::Data::new(data.clone())).default_service(routes)
        };
        let server = HttpServer::new(app).workers(1).disable_signals();
        let server = server.bind(("127.0.0.1", 0)).unwrap();
        let endpoint = format!("http://{}", server.addrs()[0]);
        actix::spawn(server.run());
        (gateway, endpoint)
    }

    fn set(&self, faults: &[(usize, Fault)]) {
        *self.script.lock().unwrap() = Script { faults: faults.to_vec(), ..Script::default() };
    }

    fn next_fault(&self) -> Option<Fault> {
        let mut script = self.script.lock().unwrap();
        let call = script.calls;
        script.calls += 1;
        script.faults.iter().find(|(at, _)| *at == call).map(|(_, fault)| *fault)
    }

    async fn forward(&self, path: &str, body: web::Bytes) -> HttpResponse {
        let client = awc::Client::default();
        let mut answer =
            client.post(format!("{}{path}", self.service)).send_body(body).await.unwrap();
        let body = answer.body().await.unwrap();
        HttpResponse::build(answer.status()).body(body)
    }

    async fn carry_out_late_calls(&self) {
        let late = std::mem::take(&mut self.script.lock().unwrap().late);
        for (path, body) in late {
            self.forward(&path, body).await;
        }
    }
}

async fn serve(gateway: web::Data<Gateway>, req: HttpRequest, body: web::Bytes) -> HttpResponse {
    let lost = HttpResponse::InternalServerError;
    match gateway.next_fault() {
        None => gateway.forward(req.path(), body).await,
        Some(Fault::Refuse) => HttpResponse::ServiceUnavailable().finish(),
        Some(Fault::DropRequest) => lost().finish(),
        Some(Fault::LoseAnswer) => {
            gateway.forward(req.path(), body).await;
            lost().finish()
        }
        Some(Fault::CarryOutLate) => {
            let call = (String::from(req.path()), body);
            gateway.script.lock().unwrap().late.push(call);
            lost().finish()
        }
    }
}

fn resources(endpoint: String, settle_timeout: Duration) -> Resources {
    let options = ResourcesOptions { settle_timeout, audit_limit: u64::MAX };
    let store = Store::new(StoreOptions { endpoints: vec![endpoint], call_timeout: CALL_TIMEOUT });
    Resources::new(store, options, Clock::system(), Rc::new(rand::random::<u64>))
}

fn change(number: usize) -> Change {
    let operation = Operation::Create { spec: json!({ "kind": "plain" }) };
    let (id, name) = (format!("change-{number}"), format!("service-{number}"));
    Change { id, actor: String::from("amina"), kind: Kind::Service, name, operation }
}

/// Applies one change under faults and checks that the reported outcome is true, at once and after
/// late calls have been carried out.
async fn check(gateway: &Gateway, resources: &Resources, number: usize, faults: &[(usize, Fault)]) {
    let change = change(number);
    gateway.set(faults);
    let outcome = resources.apply(&change).await;
    gateway.set(&[]);
    let reported = match &outcome {
        Ok(_) => Some(true),
        Err(ResourceError::OutcomeUnknown { .. }) => None,
        Err(_) => Some(false),
    };
    let before = resources.read(Kind::Service, &change.name).await.is_ok();
    if let Some(reported) = reported {
        assert_eq!(before, reported, "{faults:?}: {outcome:?}");
    }
    let state = resources.settle_change(&change.id, "amina").await.unwrap();
    let applied = matches!(state, ChangeState::Accepted(_));
    gateway.carry_out_late_calls().await;
    let after = resources.read(Kind::Service, &change.name).await.is_ok();
    assert_eq!((after, reported.unwrap_or(applied)), (applied, applied), "{faults:?}: {outcome:?}");
    let again = resources.apply(&change).await;
    assert_eq!(again.is_ok(), applied, "{faults:?}: {again:?}");
    let trail = resources.audit(usize::MAX).await.unwrap();
    assert_eq!(trail.iter().filter(|record| record.change_id == change.id).count(), 1);
}

#[actix_web::test]
async fn with_any_fault_at_any_call_the_reported_outcome_is_true() {
    let service = StandIn::start(&[]);
    let (gateway, endpoint) = Gateway::start(&service);
    let resources = resources(endpoint, Duration::from_secs(60));
    let mut plans: Vec<Vec<(usize, Fault)>> = Vec::new();
    for call in 0..CALLS {
        plans.extend(FAULTS.map(|fault| vec![(call, fault)]));
    }
    for first in FAULTS {
        for call in COMMIT_CALL + 1..CALLS {
            plans.extend(FAULTS.map(|second| vec![(COMMIT_CALL, first), (call, second)]));
        }
    }
    for (number, faults) in plans.iter().enumerate() {
        check(&gateway, &resources, number, faults).await;
    }
}

#[actix_web::test]
async fn with_any_fault_and_no_time_to_settle_the_reported_outcome_is_true() {
    let service = StandIn::start(&[]);
    let (gateway, endpoint) = Gateway::start(&service);
    let resources = resources(endpoint, Duration::ZERO);
    for (number, fault) in FAULTS.into_iter().enumerate() {
        check(&gateway, &resources, number, &[(COMMIT_CALL, fault)]).await;
    }
}
