//! The agent as a process: complete answers, truncated answers and a graceful stop.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use bitternwall::wire;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

#[allow(dead_code, reason = "other tests use the rest")]
#[path = "common/agent.rs"]
mod agent;

/// Starts a target that answers every connection with the same pieces, with a pause after each, and
/// then closes it. Returns its address.
async fn target(pieces: &'static [&'static str], pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut buf = [0; 4096];
                if io.read(&mut buf).await.unwrap_or(0) == 0 {
                    return;
                }
                for piece in pieces {
                    let _ = io.write_all(piece.as_bytes()).await;
                    tokio::time::sleep(pause).await;
                }
            });
        }
    });
    address
}

const PAUSE: Duration = Duration::from_millis(50);
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";

#[actix_rt::test]
async fn a_streamed_answer_arrives_completely() {
    let target = target(&[CHUNKED, "3\r\none\r\n", "3\r\ntwo\r\n", "0\r\n\r\n"], PAUSE).await;
    let process = agent::AgentProcess::start(target, agent::free_address());
    let mut link = agent::EntryLink::open(process.listen, 1).await;
    let id = link.start("GET", "/readings", b"").await;
    let result = link.result(id).await;
    assert_eq!((result.status, result.body.as_slice()), (200, b"onetwo".as_slice()));
    let end = result.end.expect("the answer ends");
    assert!(end.complete);
    assert_eq!((end.pieces, end.length), (result.pieces, 6));
}

#[actix_rt::test]
async fn an_answer_truncated_between_chunks_is_incomplete() {
    let target = target(&[CHUNKED, "3\r\none\r\n"], PAUSE).await;
    let process = agent::AgentProcess::start(target, agent::free_address());
    let mut link = agent::EntryLink::open(process.listen, 1).await;
    let id = link.start("GET", "/readings", b"").await;
    let end = link.result(id).await.end.expect("the answer ends");
    assert!(!end.complete, "a truncated answer must not look complete");
}

#[actix_rt::test]
async fn a_graceful_stop_finishes_what_runs_and_refuses_what_is_new() {
    let target = target(
        &[
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 6\r\n\r\n",
            "one",
            "",
            "",
            "",
            "",
            "",
            "",
            "two",
        ],
        PAUSE,
    )
    .await;
    let mut process = agent::AgentProcess::start(target, agent::free_address());
    let mut link = agent::EntryLink::open(process.listen, 1).await;
    let running = link.start("GET", "/readings", b"").await;
    link.wait_for(|kind| matches!(kind, wire::frame::Kind::AnswerHead(_))).await;
    process.terminate();
    link.wait_for(|kind| matches!(kind, wire::frame::Kind::Heartbeat(hb) if hb.draining)).await;
    let late = link.start("GET", "/readings", b"").await;
    let refusal = link
        .wait_for(
            |kind| matches!(kind, wire::frame::Kind::Refusal(refusal) if refusal.id == Some(late)),
        )
        .await;
    let wire::frame::Kind::Refusal(refusal) = refusal else { unreachable!() };
    assert_eq!(refusal.reason(), wire::RefusalReason::Draining);
    assert_eq!(refusal.executed(), wire::Executed::No);
    let end = link.result(running).await.end.expect("the answer ends");
    assert!(end.complete);
    assert!(process.wait().await.success());
}
