//! The resource documents that the operator of a test fleet declares.

use serde_json::{Value, json};

use crate::fleet::{MODEL_SERVICE, PLAIN_SERVICE, Target};

/// The model that callers request.
pub const MODEL: &str = "summary";
/// The fleet's customers: name, bearer key and the key's SHA-256.
pub const CUSTOMERS: [(&str, &str, &str); 2] = [
    (
        "rosetta-plant",
        "rosetta-key",
        "1ac5416411e2f3d83dc8f1754e3da7268f60c484cf0e67bc6725ea18394d0832",
    ),
    (
        "fuwwah-plant",
        "fuwwah-key",
        "5ecf5a3d76c05acdf3b96ef5cb9d4fc9e2013a47e9d8b2c41c6c38c74b9532b1",
    ),
];

/// Returns the documents of all resources of a fleet with these targets.
pub fn all(targets: &[Target]) -> Vec<Value> {
    let mut documents: Vec<Value> = CUSTOMERS
        .iter()
        .map(|(name, _, hash)| resource("customer", name, &json!({ "key_sha256": hash })))
        .collect();
    documents.push(model_service());
    documents.push(plain_service());
    documents.push(policy());
    documents.extend(targets.iter().map(target));
    documents
}

/// Returns the document of one resource.
pub fn resource(kind: &str, name: &str, spec: &Value) -> Value {
    json!({ "kind": kind, "metadata": { "name": name }, "spec": spec })
}

fn model_service() -> Value {
    resource("service", MODEL_SERVICE, &json!({ "kind": "model", "models": [MODEL] }))
}

fn plain_service() -> Value {
    let operations = json!([
        { "method": "POST", "path": "/holds", "idempotent": false },
        { "method": "POST", "path": "/echo", "idempotent": true },
    ]);
    let spec = json!({ "kind": "plain", "operations": operations, "timeout_ms": 10_000 });
    resource("service", PLAIN_SERVICE, &spec)
}

fn policy() -> Value {
    let customers: Vec<&str> = CUSTOMERS.iter().map(|(name, _, _)| *name).collect();
    let spec = json!({ "customers": customers, "services": [MODEL_SERVICE, PLAIN_SERVICE] });
    resource("policy", "members", &spec)
}

fn target(target: &Target) -> Value {
    let spec = json!({
        "service": target.service,
        "agent": target.link,
        "data_centre": target.data_centre,
    });
    resource("target", &target.name, &spec)
}
