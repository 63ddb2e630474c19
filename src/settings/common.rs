//! Settings that several programs share, and the checks of single values.

use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;

use crate::external::store;
use crate::settings::InvalidValue;

/// StoreSettings tells how to reach the platform's key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Base addresses, tried in order.
    pub endpoints: Vec<String>,
    /// Milliseconds that a call may take.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
}

/// HostListSettings tells how to read the platform's host list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostListSettings {
    /// The list's base address.
    pub url: String,
    /// Milliseconds between two reads.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
}

/// LogSettings tells what is logged, and how.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Lines for people or JSON for programs.
    #[serde(default)]
    pub format: LogFormat,
    /// The least severity that is logged.
    #[serde(default)]
    pub level: LogLevel,
}

/// LogFormat is the form of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

/// LogLevel is the least severity that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Everything.
    #[default]
    Info,
    /// Warnings and errors.
    Warn,
    /// Errors only.
    Error,
}

const DEFAULT_CALL_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_POLL_MS: u64 = 1_000;
/// Milliseconds between two reads of the host list.
const POLL_MS: RangeInclusive<u64> = 100..=600_000;
const MAX_NAME_LENGTH: usize = 63;
const SHA256_HEX_LENGTH: usize = 64;

fn default_call_timeout_ms() -> u64 {
    DEFAULT_CALL_TIMEOUT_MS
}

fn default_poll_ms() -> u64 {
    DEFAULT_POLL_MS
}

impl StoreSettings {
    /// Returns the options of the store's client.
    pub fn options(&self) -> store::StoreOptions {
        store::StoreOptions {
            endpoints: self.endpoints.clone(),
            call_timeout: Duration::from_millis(self.call_timeout_ms),
        }
    }
}

/// Checks a name: lower-case letters, digits and hyphens.
pub fn check_name(field: &str, value: &str) -> Option<InvalidValue> {
    let fits = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let good = !value.is_empty() && value.len() <= MAX_NAME_LENGTH && value.chars().all(fits);
    let allowed = "1 to 63 lower-case letters, digits and hyphens";
    (!good).then(|| problem(field, &format!("{value:?}"), allowed))
}

/// Checks a SHA-256 in lower-case hex.
pub fn check_sha256(field: &str, value: &str) -> Option<InvalidValue> {
    let fits = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let good = value.len() == SHA256_HEX_LENGTH && value.chars().all(fits);
    (!good).then(|| problem(field, &format!("{value:?}"), "64 lower-case hex digits"))
}

/// Checks that a number lies in a range.
pub fn check_range<T: Copy + PartialOrd + fmt::Display>(
    field: &str,
    value: T,
    allowed: RangeInclusive<T>,
) -> Option<InvalidValue> {
    let text = format!("{} to {}", allowed.start(), allowed.end());
    (!allowed.contains(&value)).then(|| problem(field, &value.to_string(), &text))
}

/// Checks a base address of an HTTP service.
pub fn check_url(field: &str, value: &str) -> Option<InvalidValue> {
    let rest = value.strip_prefix("http://").unwrap_or_default();
    let good = !rest.is_empty() && !rest.contains('/');
    let allowed = "a base address such as http://127.0.0.1:2379, without a path";
    (!good).then(|| problem(field, &format!("{value:?}"), allowed))
}

/// Checks the settings of the host list.
pub fn check_host_list(settings: &HostListSettings) -> Option<InvalidValue> {
    check_url("host_list.url", &settings.url)
        .or_else(|| check_range("host_list.poll_ms", settings.poll_ms, POLL_MS))
}

/// Checks the settings of the key-value service.
pub fn check_store(settings: &StoreSettings) -> Option<InvalidValue> {
    if settings.endpoints.is_empty() {
        return Some(problem("store.endpoints", "[]", "one address or more"));
    }
    let urls = settings.endpoints.iter().enumerate();
    let bad_url = urls.map(|(index, url)| check_url(&format!("store.endpoints[{index}]"), url));
    bad_url
        .flatten()
        .next()
        .or_else(|| check_range("store.call_timeout_ms", settings.call_timeout_ms, 10..=60_000))
}

fn problem(field: &str, value: &str, allowed: &str) -> InvalidValue {
    InvalidValue { field: field.to_owned(), value: value.to_owned(), allowed: allowed.to_owned() }
}
