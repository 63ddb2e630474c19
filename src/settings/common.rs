//! Settings shared by several programs, and checks of single values.

use std::fmt;
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;

use crate::external::store;
use crate::settings::InvalidValue;

/// StoreSettings are the addresses and the timeout for the platform's key-value service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Base addresses such as `http://127.0.0.1:2379`, tried in order.
    pub endpoints: Vec<String>,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_call_timeout_ms")]
    pub call_timeout_ms: u64,
}

/// HostListSettings are the address and the poll interval for the platform's host list.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostListSettings {
    /// Base address of the service, such as `http://127.0.0.1:8500`.
    pub url: String,
    /// Poll interval of the list, in milliseconds.
    #[serde(default = "default_poll_ms")]
    pub poll_ms: u64,
}

/// LogSettings are the format and the level of the log.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Whether events are logged as text or as JSON.
    #[serde(default)]
    pub format: LogFormat,
    /// The lowest severity that is logged.
    #[serde(default)]
    pub level: LogLevel,
}

/// LogFormat is the format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text for each event.
    #[default]
    Text,
    /// One JSON object for each event.
    Json,
}

/// LogLevel is the lowest severity that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// All events.
    #[default]
    Info,
    /// Warnings and errors.
    Warn,
    /// Errors only.
    Error,
}

const DEFAULT_CALL_TIMEOUT_MS: u64 = 1_000;
const DEFAULT_POLL_MS: u64 = 1_000;
/// The allowed poll intervals of the host list, in milliseconds.
const ALLOWED_POLL_MS: RangeInclusive<u64> = 100..=600_000;
const MAX_NAME_LENGTH: usize = 63;
const SHA256_HEX_LENGTH: usize = 64;

fn default_call_timeout_ms() -> u64 {
    DEFAULT_CALL_TIMEOUT_MS
}

fn default_poll_ms() -> u64 {
    DEFAULT_POLL_MS
}

impl StoreSettings {
    /// Returns these settings as options for a client of the key-value service.
    pub fn options(&self) -> store::StoreOptions {
        store::StoreOptions {
            endpoints: self.endpoints.clone(),
            call_timeout: Duration::from_millis(self.call_timeout_ms),
        }
    }
}

/// Returns an [`InvalidValue`] unless the value is a valid name: 1 to 63 lower-case letters, digits
/// and hyphens.
pub fn check_name(field: &str, value: &str) -> Option<InvalidValue> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let valid =
        !value.is_empty() && value.len() <= MAX_NAME_LENGTH && value.chars().all(is_allowed);
    let allowed = "1 to 63 lower-case letters, digits and hyphens";
    (!valid).then(|| invalid_value(field, &format!("{value:?}"), allowed))
}

/// Returns an [`InvalidValue`] unless the value is a SHA-256 hash in lower-case hex.
pub fn check_sha256(field: &str, value: &str) -> Option<InvalidValue> {
    let is_allowed = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    let valid = value.len() == SHA256_HEX_LENGTH && value.chars().all(is_allowed);
    (!valid).then(|| invalid_value(field, &format!("{value:?}"), "64 lower-case hex digits"))
}

/// Returns an [`InvalidValue`] unless the number is in the range.
pub fn check_range<T: Copy + PartialOrd + fmt::Display>(
    field: &str,
    value: T,
    allowed: RangeInclusive<T>,
) -> Option<InvalidValue> {
    let range = format!("{} to {}", allowed.start(), allowed.end());
    (!allowed.contains(&value)).then(|| invalid_value(field, &value.to_string(), &range))
}

/// Returns an [`InvalidValue`] unless the value is the base address of an HTTP service.
pub fn check_url(field: &str, value: &str) -> Option<InvalidValue> {
    let rest = value.strip_prefix("http://").unwrap_or_default();
    let valid = !rest.is_empty() && !rest.contains('/');
    let allowed = "a base address such as http://127.0.0.1:2379, without a path";
    (!valid).then(|| invalid_value(field, &format!("{value:?}"), allowed))
}

/// Returns the first invalid value in the settings of the host list.
pub fn check_host_list(settings: &HostListSettings) -> Option<InvalidValue> {
    check_url("host_list.url", &settings.url)
        .or_else(|| check_range("host_list.poll_ms", settings.poll_ms, ALLOWED_POLL_MS))
}

/// Returns the first invalid value in the settings of the key-value service.
pub fn check_store(settings: &StoreSettings) -> Option<InvalidValue> {
    if settings.endpoints.is_empty() {
        return Some(invalid_value("store.endpoints", "[]", "one address or more"));
    }
    let urls = settings.endpoints.iter().enumerate();
    let invalid_urls =
        urls.map(|(index, url)| check_url(&format!("store.endpoints[{index}]"), url));
    invalid_urls
        .flatten()
        .next()
        .or_else(|| check_range("store.call_timeout_ms", settings.call_timeout_ms, 10..=60_000))
}

fn invalid_value(field: &str, value: &str, allowed: &str) -> InvalidValue {
    InvalidValue { field: field.to_owned(), value: value.to_owned(), allowed: allowed.to_owned() }
}
