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

/// Bytes of an accepted connection that the kernel keeps until they are sent and acknowledged.
const ACCEPTED_SEND_BYTES: u32 = 64 * 1024;

/// Bytes that the kernel receives of an opened connection though nobody reads them, for instance of an
/// answer whose caller is slow.
const OPENED_RECEIVE_BYTES: u32 = 32 * 1024;

/// Connections that may wait to be accepted; enough for a burst of callers after a restart.
const BACKLOG: u32 = 1_024;

/// Listens on an address.
///
/// # Errors
///
/// Returns an error if the address is in use or does not belong to this host.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Connections inherit the sizes of the listener's buffers.
    socket.set_recv_buffer_size(ACCEPTED_RECEIVE_BYTES)?;
    socket.set_send_buffer_size(ACCEPTED_SEND_BYTES)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Connects to an address.
///
/// # Errors
///
/// Returns an error if the connection is not established.
pub async fn connect(addr: SocketAddr) -> io::Result<TcpStream> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_recv_buffer_size(OPENED_RECEIVE_BYTES)?;
    socket.connect(addr).await
}
