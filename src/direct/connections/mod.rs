//! Connections to callers, targets and other processes: HTTP/1.1, framing, pools and listeners.

pub mod backlog;
pub mod buffers;
pub mod codecs;
pub mod event_stream;
pub mod flow;
pub mod framing;
pub mod http;
pub mod internal;
pub mod listener;
pub mod pool;
pub mod port;
pub mod port_metrics;
pub mod process;
pub mod read_ahead;
pub mod request_body;
pub mod sockets;
pub mod tracking;
pub mod turn;
pub mod worker_server;
