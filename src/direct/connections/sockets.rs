//! Sockets with small buffers in the kernel.
//!
//! What the kernel receives and nobody reads is memory of the process. The system's own buffers grow to
//! megabytes for each connection, of which a process can have thousands.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Bytes that the kernel receives of an accepted connection though nobody reads them. It may take up
/// twice as many, here and below.
const ACCEPTED_RECEIVE_BYTES: u32 = 16 * 1024;

/// Bytes of a caller's connection that the kernel keeps until they are sent and acknowledged.
const ACCEPTED_SEND_BYTES: u32 = 64 * 1024;

/// Bytes that the kernel receives of a connection to a target though nobody reads them, since the caller
/// of the answer is slow.
const TARGET_RECEIVE_BYTES: u32 = 32 * 1024;

/// Connections that may wait to be accepted; enough for a burst of callers after a restart.
const BACKLOG: u32 = 1_024;

/// Which buffers in the kernel the connections of a socket have.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Buffering {
    /// Small ones, for connections that are many or whose other end is not ours.
    Small,
    /// Those of the system for answers, for the few long answers between the product's processes and from
    /// the store, which have to arrive soon.
    LongAnswers,
}

/// Listens on an address.
///
/// # Errors
///
/// Returns an error if the address is in use or does not belong to this host.
pub fn listen(addr: SocketAddr, buffering: Buffering) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Connections inherit the sizes of the listener's buffers.
    socket.set_recv_buffer_size(ACCEPTED_RECEIVE_BYTES)?;
    if buffering == Buffering::Small {
        socket.set_send_buffer_size(ACCEPTED_SEND_BYTES)?;
    }
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Connects to an address.
///
/// # Errors
///
/// Returns an error if the connection is not established.
pub async fn connect(addr: SocketAddr, buffering: Buffering) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if buffering == Buffering::Small {
        socket.set_recv_buffer_size(TARGET_RECEIVE_BYTES)?;
    }
    socket.connect(addr).await
}
