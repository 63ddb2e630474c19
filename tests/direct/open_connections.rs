//! Which connections a full port keeps, and what a connection hands to the HTTP server.

use std::rc::Rc;
use std::time::{Duration, SystemTime};

use actix_web::{HttpRequest, HttpResponse, web};
use bitternwall::clock::{Clock, ManualClock};
use bitternwall::direct::connections::backlog::Backlog;
use bitternwall::direct::connections::buffers::{Buffers, Limits};
use bitternwall::direct::connections::flow::{BodyLeft, Phase};
use bitternwall::direct::connections::listener;
use bitternwall::direct::connections::pool::{Pool, Reuse};
use bitternwall::direct::connections::port::{ConnectionLimits, HEAD_TIMEOUT, Port};
use bitternwall::settings::host::{BufferSettings, ConnectionSettings};
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time;

const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const WAIT: Duration = Duration::from_secs(10);

/// A full port of two connections, with a clock that the test advances.
struct Full {
    port: Port,
    clock: ManualClock,
}

impl Full {
    fn start(max: usize) -> Self {
        let (clock, handle) = Clock::manual(SystemTime::UNIX_EPOCH);
        Self { port: Port::new("callers", max, clock), clock: handle }
    }

    fn advance(&self, by: Duration) {
        self.clock.advance(by);
        self.port.sweep();
    }
}

#[test]
fn a_new_connection_replaces_the_one_that_has_been_idle_longest() {
    let full = Full::start(2);
    let first = full.port.admit().expect("room");
    full.advance(Duration::from_secs(1));
    let second = full.port.admit().expect("room");
    full.advance(Duration::from_secs(1));
    let third = full.port.admit().expect("the place of the first one");
    assert!(first.flow().is_closing() && !second.flow().is_closing());
    assert!(!third.flow().is_closing());
    assert_eq!((full.port.open(), full.port.closed(), full.port.refused()), (2, 1, 0));
    drop((first, second, third));
    assert_eq!(full.port.open(), 0);
}

#[test]
fn a_connection_with_a_request_in_progress_is_kept() {
    let full = Full::start(2);
    let connections = [full.port.admit().expect("room"), full.port.admit().expect("room")];
    let requests = connections.each_ref().map(|one| one.flow().begin(BodyLeft::Ended));
    full.advance(Duration::from_secs(60));
    assert!(full.port.admit().is_none());
    assert_eq!((full.port.open(), full.port.closed(), full.port.refused()), (2, 0, 1));
    drop(requests);
    assert!(full.port.admit().is_some(), "an answered request holds no place");
}

#[test]
fn a_body_that_stops_and_an_answer_that_nobody_reads_give_way_in_this_order() {
    let full = Full::start(2);
    let (body, answer) = (full.port.admit().expect("room"), full.port.admit().expect("room"));
    let _receiving = body.flow().begin(BodyLeft::Sized(10));
    body.flow().set_wants_body(true);
    answer.flow().set_unwritten(true);
    assert_eq!(body.flow().phase(), Phase::Body(10));
    assert_eq!(answer.flow().phase(), Phase::Answer);
    assert!(full.port.admit().is_none(), "neither has stopped for long");
    full.advance(Duration::from_secs(6));
    let next = full.port.admit().expect("the place of the body");
    assert!(body.flow().is_closing() && !answer.flow().is_closing());
    let _request = next.flow().begin(BodyLeft::Ended);
    assert!(full.port.admit().is_some(), "the place of the answer");
    assert!(answer.flow().is_closing());
}

#[test]
fn a_head_is_given_its_time_from_its_first_byte_on_each_request() {
    let full = Full::start(2);
    let connection = full.port.admit().expect("room");
    full.advance(Duration::from_secs(60));
    assert!(!connection.flow().is_closing(), "it is idle between requests");
    connection.flow().record_head(false, full.port.now());
    full.advance(HEAD_TIMEOUT);
    connection.flow().record_head(false, full.port.now());
    assert!(!connection.flow().is_closing());
    full.advance(Duration::from_secs(1));
    assert!(connection.flow().is_closing());
}

#[test]
fn limits_follow_from_files_and_memory() {
    let limits = |files: u64, memory: u64| {
        let buffers: BufferSettings =
            serde_json::from_value(json!({"memory_mb": memory})).expect("valid");
        let connections: ConnectionSettings =
            serde_json::from_value(json!({"max_files": files})).expect("valid");
        connections.limits(&buffers)
    };
    let small = limits(2_870, 112);
    assert_eq!((small.callers, small.peers, small.addresses, small.checks), (801, 224, 133, 53));
    let all = |limits: ConnectionLimits| {
        2 * limits.callers + limits.idle + limits.peers + limits.addresses + 2 * limits.checks
    };
    for (files, memory) in [(456, 64), (2_048, 128), (2_940, 182), (8_192, 512), (400, 1_024)] {
        let limits = limits(files, memory);
        let sockets = usize::try_from(files).expect("small") - 200;
        assert!(all(limits) <= sockets, "{files} files: {limits:?}");
    }
}

/// A server that counts the requests that it handles, and answers once it is told.
struct Server {
    backlog: Backlog,
    addr: std::net::SocketAddr,
    handled: Rc<std::cell::Cell<usize>>,
    left: Rc<std::cell::Cell<usize>>,
    answer: Rc<Notify>,
}

struct Handling(Rc<std::cell::Cell<usize>>);

impl Drop for Handling {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

type Shared = (Rc<std::cell::Cell<usize>>, Rc<std::cell::Cell<usize>>, Rc<Notify>);

async fn handle(shared: web::Data<Shared>, _request: HttpRequest) -> HttpResponse {
    let (handled, left, answer) = &**shared;
    handled.set(handled.get() + 1);
    let _handling = Handling(Rc::clone(left));
    answer.notified().await;
    HttpResponse::Ok().body("answer")
}

async fn serve() -> Server {
    let probe = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = probe.local_addr().expect("an address");
    drop(probe);
    let buffers = Buffers::new(Limits { total: 1024 * 1024, answer: 64 * 1024 });
    let backlog = Backlog::at(Port::new("callers", 10, Clock::system()), buffers);
    let (handled, left, answer) = (Rc::default(), Rc::default(), Rc::new(Notify::new()));
    let shared: Shared = (Rc::clone(&handled), Rc::clone(&left), Rc::clone(&answer));
    let data = web::Data::new(shared);
    let routes = move |cfg: &mut web::ServiceConfig| {
        cfg.app_data(data.clone()).default_service(web::to(handle));
    };
    listener::serve(addr, IDLE_TIMEOUT, &backlog, routes).await.expect("the port is free");
    Server { backlog, addr, handled, left, answer }
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waiting = async {
        while !holds() {
            time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(time::timeout(WAIT, waiting).await.is_ok(), "{what}");
}

#[actix_rt::test]
async fn one_request_is_handled_at_a_time_and_what_follows_stays_unread() {
    let server = serve().await;
    let mut client = TcpStream::connect(server.addr).await.expect("a connection");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(2_000);
    client.write_all(&request).await.expect("the kernel takes them");
    wait_until("the first is handled", || server.handled.get() == 1).await;
    time::sleep(Duration::from_millis(100)).await;
    assert!(server.backlog.buffers().used() <= 4 * 1024, "{}", server.backlog.buffers().used());
    for handled in 2..20 {
        server.answer.notify_one();
        wait_until("the next is handled", || server.handled.get() == handled).await;
    }
}

#[actix_rt::test]
async fn a_client_that_leaves_ends_its_request_whatever_it_has_sent_ahead() {
    for ahead in [0, 10, 300] {
        let server = serve().await;
        let mut client = TcpStream::connect(server.addr).await.expect("a connection");
        let request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".repeat(1 + ahead);
        client.write_all(&request).await.expect("the kernel takes them");
        wait_until("the first is handled", || server.handled.get() == 1).await;
        time::sleep(Duration::from_millis(50)).await;
        drop(client);
        wait_until("its handling has ended", || server.left.get() == 1).await;
        assert_eq!(server.handled.get(), 1, "{ahead} requests ahead");
        wait_until("the connection is closed", || server.backlog.port().open() == 0).await;
    }
}

#[actix_rt::test]
async fn a_head_beyond_the_limit_is_refused_with_its_own_status() {
    let server = serve().await;
    let mut client = TcpStream::connect(server.addr).await.expect("a connection");
    client.write_all(b"GET / HTTP/1.1\r\nx: ").await.expect("the server reads");
    // The server may close before it has read all.
    drop(client.write_all(&vec![b'x'; 140 * 1024]).await);
    let mut answer = vec![0; 32];
    let length = time::timeout(WAIT, client.read(&mut answer)).await.expect("in time");
    let length = length.expect("an answer");
    assert!(answer[..length].starts_with(b"HTTP/1.1 431 "), "{answer:?}");
    assert_eq!(server.handled.get(), 0);
}

#[actix_rt::test]
async fn blank_lines_and_bare_line_feeds_end_no_request_early() {
    let server = serve().await;
    let mut client = TcpStream::connect(server.addr).await.expect("a connection");
    client.write_all(b"\r\n\r\nGET / HTTP/1.1\nhost: a\n\n").await.expect("the server reads");
    wait_until("it is handled", || server.handled.get() == 1).await;
    server.answer.notify_one();
    let mut answer = vec![0; 32];
    let length = time::timeout(WAIT, client.read(&mut answer)).await.expect("in time");
    assert!(answer[..length.expect("an answer")].starts_with(b"HTTP/1.1 200 "));
}

#[actix_rt::test]
async fn idle_connections_to_targets_are_limited() {
    let target = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let addr = target.local_addr().expect("an address");
    let pool = Pool::new(Clock::system()).within(2);
    let mut accepted = Vec::new();
    for _ in 0..3 {
        let connection = pool.open(addr, WAIT).await.expect("a connection");
        accepted.push(target.accept().await.expect("a connection"));
        pool.put_back(addr, connection, None);
    }
    assert!(pool.take(addr, Reuse::Any).is_some());
    assert!(pool.take(addr, Reuse::Any).is_some());
    assert!(pool.take(addr, Reuse::Any).is_none(), "the third was closed");
    let connection = pool.open(addr, WAIT).await.expect("a connection");
    pool.put_back(addr, connection, None);
    pool.prune(|_| true);
    assert!(pool.take(addr, Reuse::Any).is_some(), "there is room again");
}
