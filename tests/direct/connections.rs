//! How connections are closed whose exchange has ended or is abandoned.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use actix_http::{Method, Uri};
use bitternwall::direct::http::{self, Codecs, Connection, Request};
use bytes::Bytes;

const TIMEOUT: Duration = Duration::from_secs(1);

/// Accepts one request, writes `answer`, which may be empty, and returns how the connection ends.
fn start_server(answer: &'static str) -> (SocketAddr, JoinHandle<Result<usize, ErrorKind>>) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address = listener.local_addr().expect("an address");
    let serving = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buf = [0_u8; 4_096];
        assert!(stream.read(&mut buf).expect("a request") > 0);
        stream.write_all(answer.as_bytes()).expect("the caller is there");
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
