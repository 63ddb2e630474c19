//! Callers and targets that read slowly, over real sockets: what is buffered for them is bounded, and
//! while there is room their targets are free.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::{Method, Uri};
use actix_web::{HttpRequest, HttpResponse, web};
use bitternwall::direct::connections::backlog::Backlog;
use bitternwall::direct::connections::buffers::{Buffers, Limits};
use bitternwall::direct::connections::codecs::Codecs;
use bitternwall::direct::connections::http::{self, Connection, Request};
use bitternwall::direct::connections::listener;
use bitternwall::direct::message::Interrupted;
use bitternwall::settings::direct::{self, DirectSettings};
use bytes::Bytes;
use futures_util::stream;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time;

const MB: usize = 1024 * 1024;
const BODY_BYTES: usize = 4 * MB;
const PIECE_BYTES: usize = 8 * 1024;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// What the HTTP server and one block hold for each connection whatever the budget.
const CONNECTION_BYTES: usize = 48 * 1024;

const LIMITS: Limits = Limits { total: 32 * MB, answer: 4 * MB };

/// A server whose answers are read from sources, as an entry reads them from targets.
struct Server {
    addr: SocketAddr,
    backlog: Backlog,
    /// The sources that were read to their end.
    ended: Rc<Cell<usize>>,
}

fn piece(index: usize) -> Bytes {
    Bytes::from(vec![u8::try_from(index % 251).expect("small"); PIECE_BYTES])
}

fn whole_body() -> Vec<u8> {
    (0..BODY_BYTES / PIECE_BYTES).flat_map(piece).collect()
}

async fn serve(limits: Limits) -> Server {
    serve_with(Backlog::within(limits)).await
}

async fn serve_with(backlog: Backlog) -> Server {
    let probe = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = probe.local_addr().expect("an address");
    drop(probe);
    let ended = Rc::new(Cell::new(0));
    let data = web::Data::new(backlog.clone());
    let counter = web::Data::new(Rc::clone(&ended));
    let routes = move |cfg: &mut web::ServiceConfig| {
        cfg.app_data(counter.clone()).app_data(data.clone());
        cfg.route("/pieces", web::get().to(pieces)).route("/document", web::get().to(document));
    };
    listener::serve(addr, IDLE_TIMEOUT, &backlog, routes).await.expect("the port is free");
    Server { addr, backlog, ended }
}

async fn pieces(request: HttpRequest, ended: web::Data<Rc<Cell<usize>>>) -> HttpResponse {
    let pieces = stream::unfold(0, move |index| {
        let ended = Rc::clone(&ended);
        async move {
            if index == BODY_BYTES / PIECE_BYTES {
                ended.set(ended.get() + 1);
                return None;
            }
            Some((Ok::<_, Interrupted>(piece(index)), index + 1))
        }
    });
    let mut response = HttpResponse::Ok().streaming(pieces);
    if request.headers().contains_key("connection") {
        response.head_mut().set_connection_type(actix_http::ConnectionType::Close);
    }
    response
}

async fn document(backlog: web::Data<Backlog>) -> HttpResponse {
    HttpResponse::Ok().body(vec![b'd'; backlog.buffers().document_room(256 * 1024)])
}

/// Sends a request over a connection whose kernel buffers hold little.
async fn ask(addr: SocketAddr, path: &str, headers: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(8 * 1024).expect("a size");
    let mut caller = socket.connect(addr).await.expect("the server is there");
    let request = format!("GET {path} HTTP/1.1\r\nhost: a\r\n{headers}\r\n");
    caller.write_all(request.as_bytes()).await.expect("a connection");
    caller
}

/// Waits until a condition holds; fails after some seconds.
async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < Duration::from_secs(20), "{what}");
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Reads a chunked answer to its end and returns its body.
async fn read_answer(mut caller: TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    let mut buf = vec![0; 64 * 1024];
    while !answer.ends_with(b"0\r\n\r\n") {
        let length = caller.read(&mut buf).await.expect("a connection");
        assert!(length > 0, "the answer is cut after {} bytes", answer.len());
        answer.extend_from_slice(&buf[..length]);
    }
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n").expect("valid") + 4;
    let mut rest = &answer[head..];
    let mut body = Vec::new();
    loop {
        let line = rest.windows(2).position(|bytes| bytes == b"\r\n").expect("valid");
        let length = std::str::from_utf8(&rest[..line]).expect("valid");
        let length = usize::from_str_radix(length, 16).expect("valid");
        if length == 0 {
            return body;
        }
        body.extend_from_slice(&rest[line + 2..line + 2 + length]);
        rest = &rest[line + 2 + length + 2..];
    }
}

#[actix_rt::test]
async fn sources_are_free_though_their_callers_do_not_read() {
    let server = serve(LIMITS).await;
    let mut callers = Vec::new();
    for _ in 0..5 {
        callers.push(ask(server.addr, "/pieces", "").await);
    }
    wait_until("all sources are read to their end", || server.ended.get() == 5).await;
    assert_eq!(server.backlog.connections(), 5);
    for caller in callers {
        assert!(read_answer(caller).await == whole_body());
    }
    wait_until("nothing is left", || server.backlog.connections() == 0).await;
    assert_eq!(server.backlog.buffers().used(), 0);
}

#[actix_rt::test]
async fn what_is_held_for_500_slow_callers_is_bounded() {
    const CALLERS: usize = 500;
    let server = serve(LIMITS).await;
    let mut callers = Vec::new();
    for index in 0..CALLERS {
        let path = if index % 2 == 0 { "/pieces" } else { "/document" };
        callers.push(ask(server.addr, path, "").await);
    }
    let bound = LIMITS.total + CALLERS * CONNECTION_BYTES;
    let mut most = 0;
    for _ in 0..3 {
        for caller in &mut callers {
            assert_eq!(caller.read(&mut [0]).await.expect("a byte"), 1);
        }
        time::sleep(Duration::from_secs(1)).await;
        most = most.max(server.backlog.buffers().used());
    }
    assert!(most <= bound, "{most} bytes are held, of {bound}");
    assert!(server.backlog.buffers().is_short());
    // A caller that reads is not held up by the slow ones.
    let quick = ask(server.addr, "/pieces", "").await;
    assert!(read_answer(quick).await == whole_body());
}

#[actix_rt::test]
async fn an_answer_is_whole_though_its_caller_stopped_for_longer_than_a_close_takes() {
    let server = serve(LIMITS).await;
    let caller = ask(server.addr, "/pieces", "connection: close\r\n").await;
    wait_until("the source is read to its end", || server.ended.get() == 1).await;
    time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(server.backlog.connections(), 1, "a stopping process waits for it");
    assert!(read_answer(caller).await == whole_body());
    wait_until("nothing is left", || server.backlog.buffers().used() == 0).await;
}

// The limit on transfers of the cluster state holds only while they last, and they overran it together
// once the whole answer was buffered at once.
#[actix_rt::test]
async fn an_unbuffered_answer_is_made_only_as_fast_as_its_client_reads() {
    let server = serve_with(Backlog::within(LIMITS).unbuffered()).await;
    let client = ask(server.addr, "/pieces", "").await;
    time::sleep(Duration::from_millis(500)).await;
    assert_eq!(server.ended.get(), 0, "the source is read ahead of its client");
    assert!(server.backlog.buffers().used() <= CONNECTION_BYTES);
    assert!(read_answer(client).await == whole_body());
}

#[actix_rt::test]
async fn a_caller_that_leaves_frees_its_buffers() {
    let server = serve(LIMITS).await;
    let caller = ask(server.addr, "/pieces", "").await;
    wait_until("the source is read to its end", || server.ended.get() == 1).await;
    drop(caller);
    wait_until("nothing is left", || server.backlog.buffers().used() == 0).await;
    assert_eq!(server.backlog.connections(), 0);
}

#[test]
fn large_bodies_are_refused_at_once_and_small_ones_are_not() {
    let buffers = Buffers::new(Limits { total: 8 * MB, answer: 4 * MB });
    let bodies = [buffers.hold_body(BODY_BYTES), buffers.hold_body(BODY_BYTES)];
    assert!(bodies.iter().all(Option::is_some));
    assert!(buffers.hold_body(BODY_BYTES).is_none());
    assert!(buffers.hold_body(1_000).is_some());
    let mut chunked = buffers.hold_body(0).expect("valid");
    assert!(chunked.grow_body(60_000), "small so far");
    assert!(!chunked.grow_body(100_000));
    drop(bodies);
    assert!(buffers.hold_body(BODY_BYTES).is_some());
    assert_eq!(buffers.refused_bodies(), 2);
}

#[test]
fn the_slowest_answers_wait_first() {
    let buffers = Buffers::new(Limits { total: 8 * MB, answer: 4 * MB });
    let mut slow = buffers.hold();
    slow.set(4 * MB);
    assert_eq!(slow.room(), 0, "it holds what one answer may");
    let mut other = buffers.hold();
    other.set(3 * MB);
    assert_eq!(other.room(), 0, "it holds more than is free");
    assert_eq!(buffers.hold().room(), MB, "an answer that keeps up does not wait");
}

async fn send_body(addr: SocketAddr, codecs: &Codecs) -> Connection {
    let mut connection = Connection::open(addr, IDLE_TIMEOUT, codecs).await.expect("a connection");
    let request = Request {
        method: Method::POST,
        uri: Uri::from_static("/"),
        headers: http::host(addr),
        body: Bytes::from(whole_body()),
    };
    connection.send(&request).await.expect("the target reads");
    connection
}

#[actix_rt::test]
async fn a_target_that_does_not_read_a_body_holds_up_only_its_own_exchange() {
    let target = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let addr = target.local_addr().expect("an address");
    let codecs = Codecs::new();
    let limit = Duration::from_millis(500);
    assert!(time::timeout(limit, send_body(addr, &codecs)).await.is_err());
    let (mut stream, _) = target.accept().await.expect("a connection");
    let mut received = Vec::new();
    assert!(stream.read_to_end(&mut received).await.is_err(), "an abandoned exchange is reset");

    let read = async {
        let (mut stream, _) = target.accept().await.expect("a connection");
        let mut received = vec![0; 64 * 1024];
        let mut body = Vec::new();
        while !body.ends_with(&piece(BODY_BYTES / PIECE_BYTES - 1)) {
            let length = stream.read(&mut received).await.expect("a connection");
            body.extend_from_slice(&received[..length]);
        }
        body
    };
    let (_connection, received) = futures_util::join!(send_body(addr, &codecs), read);
    assert!(received.ends_with(&whole_body()));
}

fn invalid_field(buffers: Value) -> Option<String> {
    let text = include_str!("../../examples/settings/platform-entry.json");
    let mut document: Value = serde_json::from_str(text).expect("valid");
    document["buffers"] = buffers;
    let settings: DirectSettings = serde_json::from_value(document).expect("valid");
    direct::check(&settings).map(|invalid| format!("{invalid:?}"))
}

#[test]
fn budgets_that_cannot_work_are_named_before_the_daemon_starts() {
    let names =
        |buffers: Value, field: &str| invalid_field(buffers).expect("valid").contains(field);
    assert!(names(json!({"total_kb": 100}), "buffers.total_kb"), "less than one answer needs");
    assert!(names(json!({"memory_mb": 112, "total_kb": 200_000}), "buffers.total_kb"));
    assert!(names(json!({"answer_kb": 100}), "buffers.answer_kb"));
    assert!(names(json!({"total_kb": 1_000, "answer_kb": 2_000}), "buffers.answer_kb"));
    assert!(names(json!({"memory_mb": 0}), "buffers.memory_mb"));
    assert_eq!(invalid_field(json!({"memory_mb": 112})), None);
    assert_eq!(invalid_field(json!({})), None);
}

#[test]
fn the_budget_follows_from_the_memory_of_the_host() {
    let buffers: direct::BufferSettings =
        serde_json::from_value(json!({"memory_mb": 112})).expect("valid");
    assert_eq!(buffers.limits(), Limits { total: 28 * MB, answer: 4 * MB });
}
