//! How connections are closed whose exchange has ended or is abandoned, and answers that do not end.

use std::cell::Cell;
use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use actix_http::{Method, Uri};
use bitternwall::direct::connections::codecs::Codecs;
use bitternwall::direct::connections::http::{self, Connection, HttpError, Request};
use bytes::Bytes;
use futures_util::future::{self, Either};
use tokio::task;

const TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts one request, writes `answer`, which may be empty, and returns how the connection ends.
fn start_server(answer: impl Into<String>) -> (SocketAddr, JoinHandle<Result<usize, ErrorKind>>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = answer.into();
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0_u8; 4_096];
        assert!(stream.read(&mut buf).expect("a request") > 0);
        stream.write_all(answer.as_bytes()).map_err(|error| error.kind())?;
        stream.read(&mut buf).map_err(|error| error.kind())
    });
    (address, serving)
}

async fn send_request(address: SocketAddr) -> Connection {
    let mut connection =
        Connection::open(address, TIMEOUT, &Codecs::new()).await.expect("a connection");
    let request = Request {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: http::host(address),
        body: Bytes::new(),
    };
    connection.send(&request).await.expect("the server is there");
    connection
}

#[actix_rt::test]
async fn an_exchange_that_is_given_up_resets_its_connection() {
    let (address, serving) = start_server("");
    drop(send_request(address).await);
    assert_eq!(serving.join().expect("no panic"), Err(ErrorKind::ConnectionReset));
}

#[actix_rt::test]
async fn an_exchange_that_has_ended_closes_its_connection() {
    let (address, serving) = start_server("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    let mut connection = send_request(address).await;
    connection.head().await.expect("an answer");
    assert_eq!(connection.body(10).await.expect("a body"), "ok");
    assert!(connection.is_reusable());
    drop(connection);
    assert_eq!(serving.join().expect("no panic"), Ok(0));
}

const INTERIM_HEAD: &str = "HTTP/1.1 100 Continue\r\n\r\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

#[actix_rt::test]
async fn some_interim_heads_are_skipped_and_many_are_an_error() {
    let final_answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    for (interim, valid) in [(1, true), (32, true), (33, false), (10_000, false)] {
        let (address, serving) = start_server(INTERIM_HEAD.repeat(interim) + final_answer);
        let mut connection = send_request(address).await;
        match connection.head().await {
            Ok(head) => assert!(valid && head.status.is_success(), "{interim}"),
            Err(error) => {
                assert!(!valid && matches!(error, HttpError::TooManyInterimHeads), "{error}");
            }
        }
        drop(connection);
        let _ended = serving.join().expect("no panic");
    }
}

/// Reads the chunked body of an answer.
async fn read_chunked(body: &str) -> Result<Bytes, HttpError> {
    let (address, serving) = start_server(CHUNKED_HEAD.to_owned() + body);
    let mut connection = send_request(address).await;
    connection.head().await.expect("a head");
    let body = connection.body(1_000_000).await;
    drop(connection);
    let _ended = serving.join().expect("no panic");
    body
}

#[actix_rt::test]
async fn a_body_with_more_framing_than_its_data_allows_is_an_error() {
    let long = "x".repeat(20_000);
    let padded = format!("1;{}\r\nx\r\n", "x".repeat(1_000)).repeat(100);
    for body in [
        format!("1;{long}\r\nx\r\n0\r\n\r\n"),
        format!("{}1\r\nx\r\n0\r\n\r\n", "0".repeat(20_000)),
        format!("1\r\nx\r\n0\r\nx-trailer: {long}"),
        padded + "0\r\n\r\n",
    ] {
        let result = read_chunked(&body).await;
        assert!(matches!(result, Err(HttpError::FramingTooLong(_))), "{result:?}");
    }
}

#[actix_rt::test]
async fn a_body_with_ordinary_framing_is_complete() {
    let small = "1\r\nx\r\n".repeat(50_000) + "0\r\n\r\n";
    assert_eq!(read_chunked(&small).await.expect("a body").len(), 50_000);
    let signature = format!(";chunk-signature={}", "f".repeat(64));
    let signed = format!("400{signature}\r\n{}\r\n", "x".repeat(0x400)).repeat(500);
    let body = signed + "0\r\nx-checksum: 7\r\n\r\n";
    assert_eq!(read_chunked(&body).await.expect("a body").len(), 500 * 0x400);
}

/// The pieces of one packet are ready at once, and another task runs between them.
#[actix_rt::test]
async fn a_body_of_many_pieces_lets_other_tasks_run() {
    let chunks = "1\r\nx\r\n".repeat(1_200) + "0\r\n\r\n";
    let (address, serving) = start_server(CHUNKED_HEAD.to_owned() + &chunks);
    let mut connection = send_request(address).await;
    connection.head().await.expect("a head");
    let turns = Cell::new(0);
    let other = async {
        loop {
            turns.set(turns.get() + 1);
            task::yield_now().await;
        }
    };
    let reading = Box::pin(connection.body(10_000));
    match future::select(reading, Box::pin(other)).await {
        Either::Left((body, _)) => assert_eq!(body.expect("a body").len(), 1_200),
        Either::Right((never, _)) => never,
    }
    assert!(turns.get() >= 8, "{} turns", turns.get());
    drop(connection);
    let _ended = serving.join().expect("no panic");
}
