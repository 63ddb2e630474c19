//! The part of a caller's request that is forwarded to the target.

use bytes::Bytes;

use crate::entry::core::events;
use crate::wire;

/// The field that asks an engine to resume an answer after the tokens that the caller already has.
const RESUME_FROM: &str = "resume_from";

/// A request in the form in which its target receives it.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// The HTTP method.
    pub method: String,
    /// The path at the target, with the query.
    pub path: String,
    /// The names and values of the forwarded headers.
    pub headers: Vec<(String, String)>,
    /// The body as the caller sent it.
    pub body: Bytes,
}

impl Outbound {
    /// Returns the frame that starts an attempt. With `resume_from`, the engine is asked to resume
    /// the answer after that number of tokens.
    pub fn frame(
        &self,
        start: &events::StartAttempt,
        incarnation: u64,
        resume_from: Option<u64>,
    ) -> wire::StartAttempt {
        let claim_key = start.claim_key.map(|key| Bytes::copy_from_slice(&key.0));
        wire::StartAttempt {
            id: Some(wire::AttemptId { incarnation, counter: start.attempt.0 }),
            customer: start.customer.clone(),
            service: start.service.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.wire_headers(),
            body: self.body_from(resume_from),
            claim_key: claim_key.unwrap_or_default(),
            deadline_ms: u64::try_from(start.time_left.as_millis()).unwrap_or(u64::MAX),
            config_revision: start.config_revision,
            estimated_tokens: start.estimated_tokens,
            weight: start.weight,
            fingerprint: start.fingerprint,
            suspect: start.suspect,
        }
    }

    fn wire_headers(&self) -> Vec<wire::Header> {
        let header = |(name, value): &(String, String)| wire::Header {
            name: name.clone(),
            value: value.clone(),
        };
        self.headers.iter().map(header).collect()
    }

    /// Returns the body, with the field that resumes the answer if one is asked for. Only requests
    /// whose body was parsed as a JSON object are resumed, so any other body is left unchanged.
    fn body_from(&self, resume_from: Option<u64>) -> Bytes {
        let Some(tokens) = resume_from else { return self.body.clone() };
        let parsed = serde_json::from_slice::<serde_json::Map<_, _>>(&self.body);
        let Ok(mut object) = parsed else { return self.body.clone() };
        object.insert(RESUME_FROM.to_owned(), serde_json::Value::from(tokens));
        Bytes::from(serde_json::Value::Object(object).to_string())
    }
}

/// Converts headers of a frame to pairs of name and value.
pub fn pairs(headers: Vec<wire::Header>) -> Vec<(String, String)> {
    headers.into_iter().map(|header| (header.name, header.value)).collect()
}
