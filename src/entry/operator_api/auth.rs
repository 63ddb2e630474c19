//! Authenticates operators by a bearer token, of which the settings contain only the hash.

use std::future;

use actix_web::dev::Payload;
use actix_web::http::header;
use actix_web::{FromRequest, HttpRequest, web};
use sha2::Digest;

use super::{Api, problems};
use crate::problem::Problem;

/// The scheme of the authorization header, up to the token.
const SCHEME: &str = "Bearer ";

/// The authenticated operator of a call.
pub(crate) struct Authenticated {
    /// The name that the audit trail records.
    pub(super) name: String,
}

impl FromRequest for Authenticated {
    type Error = Problem;
    type Future = future::Ready<Result<Self, Problem>>;

    fn from_request(req: &HttpRequest, _: &mut Payload) -> Self::Future {
        let name = operator_name(req);
        future::ready(name.map(|name| Self { name }).ok_or_else(problems::unauthenticated))
    }
}

fn operator_name(req: &HttpRequest) -> Option<String> {
    let api = req.app_data::<web::Data<Api>>()?;
    let value = req.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    let token = value.strip_prefix(SCHEME)?;
    // The time that a comparison of hashes takes reveals nothing useful about the token.
    let hash = format!("{:x}", sha2::Sha256::digest(token));
    let operator = api.operators.iter().find(|operator| operator.token_sha256 == hash)?;
    Some(operator.name.clone())
}
