//! A client connection for HTTP/1.1 to a target, the key-value store or another process.
//!
//! Answers are parsed strictly: bytes that arrive before a request was sent, after an answer has
//! ended, or in an invalid form end the connection, so that bytes of one exchange never reach
//! another.

use std::io;
use std::net::SocketAddr;
use std::result;
use std::time::Duration;

use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{self, HeaderMap, HeaderValue};
use actix_http::{
    ConnectionType, Method, RequestHead, RequestHeadType, ResponseHead, StatusCode, Uri,
};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time;
use tokio_util::codec::{Decoder as _, Encoder as _};

use crate::direct::connections::codecs::Codecs;
use crate::direct::connections::event_stream::EventError;
use crate::direct::connections::framing::{self, Framing, FramingTooLong};
use crate::direct::connections::sockets::{self, Buffering};
use crate::direct::connections::turn::Turn;
use crate::telemetry::events;

/// The result of an operation on a connection.
pub type Result<T> = result::Result<T, HttpError>;

/// Bytes that the buffer has free before each read.
const READ_BYTES: usize = 8 * 1024;

/// The longest head of an answer. The codec's own limit applies first to heads in valid form.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The interim answers (1xx) that are skipped before one final answer.
const MAX_INTERIM_HEADS: usize = 32;

/// The longest body that is copied to be sent with its head at once. A target that reads slowly would
/// otherwise make the entry hold a long one twice.
const MAX_COPIED_BODY_BYTES: usize = 16 * 1024;

/// The work on a piece besides the reading of its bytes, as a number of bytes.
const PIECE_WORK_BYTES: usize = 512;

/// The reason that an exchange failed.
#[derive(Debug, thiserror::Error)]
pub enum HttpError {
    /// The connection was not established in time.
    #[error("no connection within {0:?}")]
    ConnectTimeout(Duration),
    /// The connection was refused, or failed while it was being established.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// Sending or receiving failed on the open connection.
    #[error("connection failed: {0}")]
    Io(#[from] io::Error),
    /// The peer closed the connection before the end of its answer.
    #[error("connection closed before the end of the answer")]
    Closed,
    /// The answer's head is not valid HTTP.
    #[error("malformed answer: {0}")]
    Malformed(#[from] ParseError),
    /// The answer's body is not framed as its head says.
    #[error("malformed body: {0}")]
    MalformedBody(#[from] PayloadError),
    /// The answer's head exceeds the limit.
    #[error("the head of the answer exceeds {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The peer sends interim answers, but no final one.
    #[error("more than {MAX_INTERIM_HEADS} interim answers")]
    TooManyInterimHeads,
    /// An interim answer has a body or changes the protocol, or an answer without content has a body.
    #[error("an answer with status {0} that may have no body is followed by one")]
    UnexpectedBody(StatusCode),
    /// The answer's body consists of framing rather than data.
    #[error(transparent)]
    FramingTooLong(#[from] FramingTooLong),
    /// The answer's body holds something that is no event, or too long for one.
    #[error(transparent)]
    Event(#[from] EventError),
    /// The time limit of the exchange passed before the end of the answer.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
}

impl HttpError {
    /// Returns true if the peer's host refused a new connection, since no process listens there.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Connect(error) if error.kind() == io::ErrorKind::ConnectionRefused)
    }

    /// Returns true if an open connection ended before the end of the exchange.
    pub fn is_connection_lost(&self) -> bool {
        matches!(self, Self::Io(_) | Self::Closed)
    }
}

/// A request to send, with its complete body.
#[derive(Clone, Debug)]
pub struct Request {
    /// The HTTP method.
    pub method: Method,
    /// The path with its query.
    pub uri: Uri,
    /// All headers except those that frame the body, which `send` adds.
    pub headers: HeaderMap,
    /// The complete body; empty for none.
    pub body: Bytes,
}

/// What the connection reads next.
enum Stage {
    /// The head of an answer, if a request was sent.
    Idle(Box<ClientCodec>),
    /// The body of an answer, framed by its head.
    Payload(Box<ClientPayloadCodec>),
    /// The body of an answer that ends with the connection.
    UntilClose,
    /// Nothing: an exchange failed.
    Broken,
}

/// An open connection, which carries one exchange at a time.
pub struct Connection {
    stream: TcpStream,
    stage: Stage,
    buf: BytesMut,
    keep_alive: bool,
    /// True from the sending of a request to the end of its answer.
    in_exchange: bool,
    /// The framing of the body that is being read.
    framing: Framing,
    /// True if the body has neither a length nor chunks.
    unframed: bool,
    /// True if the answer to the request in progress has no body whatever its head says.
    asked_for_head: bool,
    turn: Turn,
}

impl Drop for Connection {
    /// Resets a connection whose exchange is abandoned. A request that is delayed in the network is
    /// then not delivered; after an ordinary close it would still arrive later.
    fn drop(&mut self) {
        if self.in_exchange
            && let Err(error) = self.stream.set_zero_linger()
        {
            events::log(events::RESET_FAILED, format_args!("cause=\"{error}\""));
        }
    }
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not established within `timeout`.
    pub async fn open(addr: SocketAddr, timeout: Duration, codecs: &Codecs) -> Result<Self> {
        Self::open_with(addr, timeout, codecs, Buffering::LongAnswers).await
    }

    /// Opens a connection with these buffers in the kernel.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not established within `timeout`.
    pub async fn open_with(
        addr: SocketAddr,
        timeout: Duration,
        codecs: &Codecs,
        buffering: Buffering,
    ) -> Result<Self> {
        let stream = time::timeout(timeout, sockets::connect(addr, buffering))
            .await
            .map_err(|_| HttpError::ConnectTimeout(timeout))?
            .map_err(HttpError::Connect)?;
        stream.set_nodelay(true)?;
        let codec = codecs.client();
        Ok(Self {
            stream,
            stage: Stage::Idle(Box::new(codec)),
            buf: BytesMut::new(),
            keep_alive: true,
            in_exchange: false,
            framing: Framing::default(),
            unframed: false,
            asked_for_head: false,
            turn: Turn::default(),
        })
    }

    /// Returns true if the connection can carry another exchange: the last answer has ended, and
    /// nothing has arrived since.
    pub fn is_reusable(&self) -> bool {
        let idle = matches!(self.stage, Stage::Idle(_));
        idle && self.keep_alive && self.buf.is_empty() && self.is_silent()
    }

    /// Returns true if no bytes wait to be read and the peer has not closed or reset the
    /// connection.
    fn is_silent(&self) -> bool {
        let mut probe = [0_u8; 1];
        match self.stream.try_read(&mut probe) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Sends a request.
    ///
    /// # Errors
    ///
    /// Returns an error if writing fails, or if the body of the last answer was not read to its
    /// end.
    pub async fn send(&mut self, request: &Request) -> Result<()> {
        let Stage::Idle(codec) = &mut self.stage else { return Err(HttpError::Closed) };
        self.in_exchange = true;
        self.asked_for_head = request.method == Method::HEAD;
        let mut head = RequestHead::default();
        head.method = request.method.clone();
        head.uri = request.uri.clone();
        head.headers = request.headers.clone();
        head.set_connection_type(ConnectionType::KeepAlive);
        let size = framing::body_size(&request.method, request.body.len());
        let is_large = request.body.len() > MAX_COPIED_BODY_BYTES;
        let mut out = BytesMut::with_capacity(1024 + request.body.len().min(MAX_COPIED_BODY_BYTES));
        let head = RequestHeadType::Owned(head);
        codec.encode(Message::Item((head, size)), &mut out)?;
        if !request.body.is_empty() && !is_large {
            codec.encode(Message::Chunk(Some(request.body.clone())), &mut out)?;
        }
        self.stream.write_all(&out).await?;
        if is_large {
            // The body has a length, so it is sent as it is.
            self.stream.write_all(&request.body).await?;
        }
        Ok(())
    }

    /// Reads the head of the next final answer; interim answers (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer closes the connection first, sends anything but an answer, sends
    /// interim answers only, or announces a body where there can be none.
    pub async fn head(&mut self) -> Result<ResponseHead> {
        let mut interim = 0;
        loop {
            self.turn.pass().await;
            // The codec parses the head from its beginning each time.
            self.turn.count(self.buf.len());
            let Stage::Idle(codec) = &mut self.stage else { return Err(HttpError::Closed) };
            if let Some(head) = codec.decode(&mut self.buf)? {
                if framing::has_unexpected_body(&head) {
                    self.stage = Stage::Broken;
                    return Err(HttpError::UnexpectedBody(head.status));
                }
                if head.status.is_informational() {
                    interim += 1;
                    if interim > MAX_INTERIM_HEADS {
                        return Err(HttpError::TooManyInterimHeads);
                    }
                    continue;
                }
                self.enter_body(&head);
                return Ok(head);
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(HttpError::HeadTooLong);
            }
            self.fill().await?;
        }
    }

    fn enter_body(&mut self, head: &ResponseHead) {
        let Stage::Idle(codec) = std::mem::replace(&mut self.stage, Stage::Broken) else { return };
        self.in_exchange = true;
        self.framing = Framing::default();
        self.keep_alive = codec.keep_alive();
        let is_bodyless = self.asked_for_head || framing::is_bodyless(head.status);
        let has_body = !is_bodyless && codec.message_type() != MessageType::None;
        self.unframed = !is_bodyless && framing::is_unframed(head);
        // The codec waits for a body that such a head describes though none follows.
        self.keep_alive &= !is_bodyless || codec.message_type() == MessageType::None;
        self.stage = if self.unframed {
            self.keep_alive = false;
            Stage::UntilClose
        } else if has_body {
            Stage::Payload(Box::new(codec.into_payload_codec()))
        } else {
            Stage::Idle(codec)
        };
    }

    /// Returns true if only the end of the connection marks the end of the answer's body.
    pub fn is_unframed(&self) -> bool {
        self.unframed
    }

    /// Reads the next piece of the answer's body; `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated or not framed as its head says.
    pub async fn piece(&mut self) -> Result<Option<Bytes>> {
        loop {
            self.turn.pass().await;
            self.turn.count(PIECE_WORK_BYTES);
            match std::mem::replace(&mut self.stage, Stage::Broken) {
                Stage::Idle(codec) => {
                    self.stage = Stage::Idle(codec);
                    self.in_exchange = false;
                    return Ok(None);
                }
                Stage::Payload(mut codec) => {
                    let received = self.buf.len();
                    let item = codec.decode(&mut self.buf)?;
                    let piece = item.as_ref().and_then(Option::as_ref);
                    self.framing.count(received - self.buf.len(), piece)?;
                    match item {
                        Some(Some(piece)) => {
                            self.stage = Stage::Payload(codec);
                            return Ok(Some(piece));
                        }
                        Some(None) => {
                            self.stage = Stage::Idle(Box::new(codec.into_message_codec()));
                            self.in_exchange = false;
                            return Ok(None);
                        }
                        None => self.stage = Stage::Payload(codec),
                    }
                }
                Stage::UntilClose => return self.piece_until_close().await,
                Stage::Broken => return Err(HttpError::Closed),
            }
            self.fill().await?;
        }
    }

    async fn piece_until_close(&mut self) -> Result<Option<Bytes>> {
        if self.buf.is_empty() {
            match self.fill().await {
                Ok(()) => {}
                Err(HttpError::Closed) => {
                    self.in_exchange = false;
                    return Ok(None);
                }
                Err(error) => return Err(error),
            }
        }
        self.stage = Stage::UntilClose;
        Ok(Some(self.buf.split().freeze()))
    }

    /// Reads the rest of the answer's body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is truncated or exceeds `max` bytes.
    pub async fn body(&mut self, max: usize) -> Result<Bytes> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.piece().await? {
            if body.len() + piece.len() > max {
                return Err(HttpError::MalformedBody(PayloadError::Overflow));
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.freeze())
    }

    async fn fill(&mut self) -> Result<()> {
        self.buf.reserve(READ_BYTES);
        let length = self.stream.read_buf(&mut self.buf).await?;
        self.turn.count(length);
        match length {
            0 => Err(HttpError::Closed),
            _ => Ok(()),
        }
    }
}

/// Returns the headers of a request with an address as its `Host`.
pub fn host(addr: SocketAddr) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(value) = HeaderValue::from_str(&addr.to_string()) {
        headers.insert(header::HOST, value);
    }
    headers
}
