//! Connections to the platform's services that go silent, and the client of the host list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_web::{App, HttpResponse, HttpServer, web};
use bitternwall::external::host_list::{HostList, HostListError, HostRole, HostState};
use bitternwall::external::store::{Store, StoreError, StoreOptions, WatchEvent, Write};
use bytes::Bytes;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

use crate::store::{CALL_TIMEOUT, ClosedPort, StandIn};

/// A TCP relay between a client and a service. It can silence its connections: they stay open but
/// carry no more data, as after a stateful middlebox has lost their state.
struct Relay {
    endpoint: String,
    /// Number of times the open connections were silenced. A connection opened at a lower count is
    /// silent.
    silenced: Arc<AtomicU64>,
}

impl Relay {
    async fn start(service: &StandIn) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let endpoint = format!("http://{}", listener.local_addr().unwrap());
        let silenced = Arc::new(AtomicU64::new(0));
        let to = service.endpoint.strip_prefix("http://").unwrap().parse().unwrap();
        actix::spawn(accept(listener, to, Arc::clone(&silenced)));
        Self { endpoint, silenced }
    }

    fn silence_open_connections(&self) {
        self.silenced.fetch_add(1, Ordering::SeqCst);
    }

    fn store(&self, call_timeout: Duration) -> Store {
        Store::new(StoreOptions { endpoints: vec![self.endpoint.clone()], call_timeout })
    }
}

async fn accept(listener: TcpListener, to: SocketAddr, silenced: Arc<AtomicU64>) {
    while let Ok((client, _)) = listener.accept().await {
        let (from_client, to_client) = client.into_split();
        let (from_service, to_service) = TcpStream::connect(to).await.unwrap().into_split();
        let opened_at = silenced.load(Ordering::SeqCst);
        actix::spawn(pump(from_client, to_service, Arc::clone(&silenced), opened_at));
        actix::spawn(pump(from_service, to_client, Arc::clone(&silenced), opened_at));
    }
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    silenced: Arc<AtomicU64>,
    opened_at: u64,
) {
    let mut buf = [0; 4096];
    while let Ok(count) = from.read(&mut buf).await {
        let silent = silenced.load(Ordering::SeqCst) > opened_at;
        if count == 0 && !silent {
            return;
        }
        if count == 0 {
            // A silent connection must not pass on that one end has closed it.
            std::future::pending::<()>().await;
        }
        if !silent && to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}

#[actix_web::test]
async fn one_timeout_discards_all_silent_connections() {
    let service = StandIn::start(&[]);
    let relay = Relay::start(&service).await;
    let store = relay.store(Duration::from_secs(1));
    let reads = (0..4).map(|_| store.get("/a"));
    for read in futures_util::future::join_all(reads).await {
        read.unwrap();
    }
    relay.silence_open_connections();
    assert!(store.get("/a").await.is_err(), "the pooled connection is silent");
    store.get("/a").await.unwrap();
}

#[actix_web::test]
async fn a_silent_watch_is_opened_again_without_a_gap() {
    let service = StandIn::start(&["--progress-ms", "3600000"]);
    let relay = Relay::start(&service).await;
    let mut watch = relay.store(CALL_TIMEOUT).watch("/a/", 1).await.unwrap();
    watch.set_idle_timeout(Duration::from_millis(300));
    relay.silence_open_connections();
    let key = String::from("/a/1");
    let write = Write::Put { key, value: Bytes::from("one"), lease: None };
    let written = service.store().commit(&[], &[write]).await.unwrap().revision;
    let event = loop {
        if let Some(event) = watch.next().await.unwrap().events.pop() {
            break event;
        }
    };
    assert!(matches!(&event, WatchEvent::Put(kv) if kv.mod_revision == written), "{event:?}");
}

#[actix_web::test]
async fn the_host_list_is_read() {
    let service = StandIn::start_service("hosts", &[]);
    let host = json!({
        "name": "e1", "address": "10.0.0.1", "role": "entry",
        "data_centre": "ikeja", "state": "leaving",
    });
    service.post("/control/hosts", json!({ "hosts": [host] })).await;
    let hosts = HostList::new(&service.endpoint, CALL_TIMEOUT).read().await.unwrap();
    assert_eq!((hosts.len(), &*hosts[0].name, &*hosts[0].data_centre), (1, "e1", "ikeja"));
    assert_eq!((hosts[0].role, hosts[0].state), (HostRole::Entry, HostState::Leaving));
    let closed = ClosedPort::take();
    let unreachable = HostList::new(&closed.endpoint, CALL_TIMEOUT).read().await.unwrap_err();
    assert!(matches!(unreachable, HostListError::Unavailable { .. }), "{unreachable}");
    let wrong = HostList::new(&format!("{}/control", service.endpoint), CALL_TIMEOUT);
    assert!(wrong.read().await.is_err());
}

#[actix_web::test]
async fn a_write_to_a_hung_endpoint_is_unknown_and_the_next_uses_another_endpoint() {
    let service = StandIn::start(&[]);
    let hung = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoints =
        vec![format!("http://{}", hung.local_addr().unwrap()), service.endpoint.clone()];
    let store = Store::new(StoreOptions { endpoints, call_timeout: Duration::from_secs(1) });
    let unknown = store.commit(&[], &[]).await.unwrap_err();
    assert!(matches!(unknown, StoreError::Unknown { .. }), "{unknown}");
    store.commit(&[], &[]).await.unwrap();
}

async fn unavailable(message: web::Data<&'static str>) -> HttpResponse {
    HttpResponse::ServiceUnavailable().json(json!({ "code": 14, "message": message.get_ref() }))
}

async fn commit_answered_with(message: &'static str) -> StoreError {
    let app =
        move || App::new().app_data(web::Data::new(message)).default_service(web::to(unavailable));
    let server = HttpServer::new(app).workers(1).disable_signals();
    let server = server.bind(("127.0.0.1", 0)).unwrap();
    let endpoints = vec![format!("http://{}", server.addrs()[0])];
    actix::spawn(server.run());
    let store = Store::new(StoreOptions { endpoints, call_timeout: CALL_TIMEOUT });
    store.commit(&[], &[]).await.unwrap_err()
}

#[actix_web::test]
async fn a_server_that_became_unavailable_leaves_a_write_unknown() {
    let timed_out = commit_answered_with("etcdserver: request timed out").await;
    assert!(matches!(timed_out, StoreError::Unknown { .. }), "{timed_out}");
    let no_leader = commit_answered_with("etcdserver: no leader").await;
    assert!(matches!(no_leader, StoreError::Refused { .. }), "{no_leader}");
}
