//! Parses the parts of a call: path, query, headers and body.

use std::result;

use actix_web::http::header;
use actix_web::{HttpRequest, web};
use serde::Deserialize;

use super::{CHANGE_ID_HEADER, Result, problems};
use crate::resources::documents::Document;
use crate::resources::kinds::Kind;
use crate::resources::names;
use crate::resources::specs::{self, SpecError};

/// The body of a call, or the error that occurred while it was received.
pub(super) type Body = result::Result<web::Bytes, actix_web::Error>;

/// The query of a list, a watch or a deletion.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ListQuery {
    #[serde(default)]
    pub(super) watch: bool,
    pub(super) resource_version: Option<u64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct AuditQuery {
    limit: Option<usize>,
}

pub(super) fn kind(text: &str) -> Result<Kind> {
    text.parse().map_err(|error| problems::of_unknown_kind(&error))
}

pub(super) fn list_query(req: &HttpRequest) -> Result<ListQuery> {
    let query = web::Query::<ListQuery>::from_query(req.query_string());
    query.map(web::Query::into_inner).map_err(|error| problems::bad_query(&error))
}

pub(super) fn audit_limit(req: &HttpRequest) -> Result<Option<usize>> {
    let query = web::Query::<AuditQuery>::from_query(req.query_string());
    query.map(|query| query.limit).map_err(|error| problems::bad_query(&error))
}

/// Parses a document and checks that its kind is the one in the path.
pub(super) fn document(body: Body, kind: Kind) -> Result<Document> {
    let body = body.map_err(|error| problems::bad_body(&error))?;
    let mut deserializer = serde_json::Deserializer::from_slice(&body);
    let parsed = serde_path_to_error::deserialize::<_, Document>(&mut deserializer);
    let document = parsed.map_err(|error| {
        problems::of_spec(SpecError::Malformed {
            field: error.path().to_string(),
            reason: error.inner().to_string(),
        })
    })?;
    if document.kind != kind {
        return Err(problems::of_spec(specs::invalid(
            "kind",
            &document.kind,
            "the kind in the path",
        )));
    }
    Ok(document)
}

/// Returns the resource version that a change is based on: the one in `If-Match`, or else `given`.
pub(super) fn version(req: &HttpRequest, given: Option<u64>) -> Result<u64> {
    let Some(value) = req.headers().get(header::IF_MATCH) else {
        return given.ok_or_else(problems::version_missing);
    };
    let text = value.to_str().unwrap_or_default();
    let number = text.trim().trim_matches('"').parse::<u64>();
    number.map_err(|_| problems::bad_header("If-Match", text, "one resource version in quotes"))
}

/// Returns the change id that the operator chose, if any.
pub(super) fn change_id(req: &HttpRequest) -> Result<Option<String>> {
    let Some(value) = req.headers().get(CHANGE_ID_HEADER) else { return Ok(None) };
    let id = value.to_str().unwrap_or_default();
    names::check_change_id(id).map_err(|error| problems::of_error(error.into()))?;
    Ok(Some(String::from(id)))
}

pub(super) fn entity_tag(resource_version: u64) -> String {
    format!("\"{resource_version}\"")
}
