//! The codecs of client connections.

use actix_http::h1::ClientCodec;
use actix_http::{KeepAlive, ServiceConfig, ServiceConfigBuilder};

/// A factory for the codecs of connections, which share one clock for dates.
#[derive(Clone)]
pub struct Codecs(ServiceConfig);

impl Codecs {
    /// Returns a factory. It must be called in a running actix system.
    pub fn new() -> Self {
        let keep_alive = KeepAlive::Os;
        Self(ServiceConfigBuilder::new().keep_alive(keep_alive).build())
    }

    /// Returns the codec of a new connection.
    pub(super) fn client(&self) -> ClientCodec {
        ClientCodec::new(self.0.clone())
    }
}

impl Default for Codecs {
    fn default() -> Self {
        Self::new()
    }
}
