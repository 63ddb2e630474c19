//! The stored form of the records of crashes.

use std::time::{Duration, SystemTime};

use bitternwall::direct::known::crash_record::CrashReport;
use bitternwall::direct::known::store::Item;
use bitternwall::direct::peering::crash_store;
use bytes::Bytes;

const REPORT: CrashReport = CrashReport {
    fingerprint: 0x0c0e_53b5_2f37_87fb,
    crashes: 3,
    cleared: 1,
    ttl_ms: 90_000,
    part: false,
    limit: 2,
    companions: Vec::new(),
    trial_ms: 0,
};

fn wall(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)
}

fn item(key: &str, value: impl Into<Bytes>) -> Item {
    Item { key: key.to_owned(), value: value.into(), revision: 1 }
}

#[test]
fn a_record_is_read_with_the_time_that_is_left() {
    let saved = crash_store::encode(&REPORT, wall(1_000));
    assert_eq!(saved.key, "0c0e53b52f3787fb");
    assert_eq!(saved.ttl, Duration::from_secs(90));
    let read = crash_store::decode(&item(&saved.key, saved.value.clone()), wall(1_030));
    assert_eq!(read, Ok(CrashReport { ttl_ms: 60_000, ..REPORT }));
    let expired = crash_store::decode(&item(&saved.key, saved.value), wall(2_000));
    assert_eq!(expired.map(|report| report.ttl_ms), Ok(0));
}

#[test]
fn a_record_that_cannot_be_read_is_an_error_that_names_the_field() {
    let value = r#"{"crashes":2,"cleared":0,"expires_unix_ms":1}"#;
    for (key, value, field) in [
        ("no-number", value, "key"),
        ("", value, "key"),
        ("7", "{\"crashes\":-1}", "."),
        ("7", "", "."),
        ("7", "[", "."),
    ] {
        let error = crash_store::decode(&item(key, value), wall(0)).expect_err(key);
        assert_eq!(error.field, field, "{key:?} {value:?}");
    }
}
