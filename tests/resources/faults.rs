//! Every fault at every call of a change, one or two of them, over the stand-in.

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

/// The calls that a change makes without a fault: marker, head, configuration, transaction.
const COMMIT_CALL: usize = 3;
/// Calls up to which a fault can still meet the settling of a change.
const CALLS: usize = 8;

/// Fault is what becomes of one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    /// The gateway refuses it.
    Refuse,
    /// It is lost on the way.
    Drop,
    /// It is carried out, but its answer is lost.
    LoseAnswer,
    /// Its answer is lost, and it is carried out only when the change is over.
    CarryOutLate,
}

const FAULTS: [Fault; 4] = [Fault::Refuse, Fault::Drop, Fault::LoseAnswer, Fault::CarryOutLate];

#[derive(Default)]
struct Script {
    calls: usize,
    faults: Vec<(usize, Fault)>,
    late: Vec<(String, web::Bytes)>,
}

/// Gateway passes calls on to the stand-in, but for those that a script names.
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

    async fn pass_on(&self, path: &str, body: web::Bytes) -> HttpResponse {
        let client = awc::Client::default();
        let mut answer =
            client.post(format!("{}{path}", self.service)).send_body(body).await.unwrap();
        let body = answer.body().await.unwrap();
        HttpResponse::build(answer.status()).body(body)
    }

    async fn carry_out_late_calls(&self) {
        let late = std::mem::take(&mut self.script.lock().unwrap().late);
        for (path, body) in late {
            self.pass_on(&path, body).await;
        }
    }
}

async fn serve(gateway: web::Data<Gateway>, req: HttpRequest, body: web::Bytes) -> HttpResponse {
    let lost = HttpResponse::InternalServerError;
    match gateway.next_fault() {
        None => gateway.pass_on(req.path(), body).await,
        Some(Fault::Refuse) => HttpResponse::ServiceUnavailable().finish(),
        Some(Fault::Drop) => lost().finish(),
        Some(Fault::LoseAnswer) => {
            gateway.pass_on(req.path(), body).await;
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

/// Makes one change under faults and checks that what was told is true, then and later.
async fn check(gateway: &Gateway, resources: &Resources, number: usize, faults: &[(usize, Fault)]) {
    let change = change(number);
    gateway.set(faults);
    let outcome = resources.apply(&change).await;
    gateway.set(&[]);
    let told = match &outcome {
        Ok(_) => Some(true),
        Err(ResourceError::OutcomeUnknown { .. }) => None,
        Err(_) => Some(false),
    };
    let before = resources.read(Kind::Service, &change.name).await.is_ok();
    if let Some(told) = told {
        assert_eq!(before, told, "{faults:?}: {outcome:?}");
    }
    let truth = resources.settle_change(&change.id, "amina").await.unwrap();
    let made = matches!(truth, ChangeState::Accepted(_));
    gateway.carry_out_late_calls().await;
    let after = resources.read(Kind::Service, &change.name).await.is_ok();
    assert_eq!((after, told.unwrap_or(made)), (made, made), "{faults:?}: {outcome:?}");
    let again = resources.apply(&change).await;
    assert_eq!(again.is_ok(), made, "{faults:?}: {again:?}");
    let trail = resources.audit(usize::MAX).await.unwrap();
    assert_eq!(trail.iter().filter(|record| record.change_id == change.id).count(), 1);
}

#[actix_web::test]
async fn every_fault_at_every_call_leaves_the_answer_true() {
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
async fn every_fault_without_time_to_settle_leaves_the_answer_true() {
    let service = StandIn::start(&[]);
    let (gateway, endpoint) = Gateway::start(&service);
    let resources = resources(endpoint, Duration::ZERO);
    for (number, fault) in FAULTS.into_iter().enumerate() {
        check(&gateway, &resources, number, &[(COMMIT_CALL, fault)]).await;
    }
}
