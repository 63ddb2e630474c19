//! What a target gets of a caller's request.

use bytes::Bytes;

use crate::entry::core::events;
use crate::wire;

/// The field by which an engine is asked to go on after the tokens that the caller has.
const RESUME_FROM: &str = "resume_from";

/// Outbound is a request as its target gets it.
#[derive(Clone, Debug)]
pub struct Outbound {
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl Outbound {
    /// Makes the frame that starts an attempt.
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

    /// Only bodies that parsed as a JSON object are resumed, so one that does not is sent as it is.
    fn body_from(&self, resume_from: Option<u64>) -> Bytes {
        let Some(tokens) = resume_from else { return self.body.clone() };
        let parsed = serde_json::from_slice::<serde_json::Map<_, _>>(&self.body);
        let Ok(mut object) = parsed else { return self.body.clone() };
        object.insert(RESUME_FROM.to_owned(), serde_json::Value::from(tokens));
        Bytes::from(serde_json::Value::Object(object).to_string())
    }
}

/// Returns headers as pairs of name and value.
pub fn pairs(headers: Vec<wire::Header>) -> Vec<(String, String)> {
    headers.into_iter().map(|header| (header.name, header.value)).collect()
}
