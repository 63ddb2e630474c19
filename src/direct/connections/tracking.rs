//! Tells the flow of a connection when its requests begin, want more of their bodies, and are
//! answered.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::error::PayloadError;
use actix_http::{HttpMessage as _, Payload, Request, Response, header};
use bytes::Bytes;
use futures_util::Stream;

use crate::direct::connections::flow::{Answering, BodyLeft, Flow};

/// Records the beginning of a request. The returned value is to be kept until the request is
/// answered.
pub fn begin(request: &mut Request) -> Option<Answering> {
    let flow = Rc::clone(request.conn_data::<Rc<Flow>>()?);
    let payload = request.take_payload();
    let body = match &payload {
        Payload::None => BodyLeft::Ended,
        _ => body_left(request),
    };
    let answering = flow.begin(body);
    if !matches!(payload, Payload::None) {
        let tracked = Box::pin(TrackedPayload { inner: payload, flow });
        *request.payload() = Payload::Stream { payload: tracked };
    }
    Some(answering)
}

fn body_left(request: &Request) -> BodyLeft {
    let length = request.headers().get(header::CONTENT_LENGTH);
    match length.and_then(|value| value.to_str().ok()?.trim().parse().ok()) {
        Some(length) => BodyLeft::Sized(length),
        None => BodyLeft::Chunked,
    }
}

/// Returns the answer with a body that ends the request when it is dropped.
pub fn track(answer: Response<BoxBody>, answering: Option<Answering>) -> Response<TrackedBody> {
    answer.map_body(|_, inner| TrackedBody { inner, _answering: answering })
}

/// The body of a request.
struct TrackedPayload {
    inner: Payload,
    flow: Rc<Flow>,
}

impl Stream for TrackedPayload {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let item = Pin::new(&mut self.inner).poll_next(cx);
        self.flow.set_wants_body(item.is_pending());
        item
    }
}

impl Drop for TrackedPayload {
    fn drop(&mut self) {
        self.flow.set_wants_body(false);
    }
}

/// The body of an answer.
pub struct TrackedBody {
    inner: BoxBody,
    _answering: Option<Answering>,
}

impl MessageBody for TrackedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.inner.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.inner).poll_next(cx)
    }
}
