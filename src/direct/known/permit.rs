//! The messages by which entries share the rates that targets named, and hand out permits.

use std::time::Duration;

/// The longest time that a reply may state.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// What an entry has seen of a target's rate, as entries send it to each other.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RateReport {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// Requests per second; `None` once the target no longer names a rate.
    #[prost(double, optional, tag = "2")]
    pub per_s: Option<f64>,
    /// Milliseconds since the answer that showed it.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// The reply to an entry that asked for permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// The entry may send so many requests.
    Permits(u32),
    /// All permits are taken; the next one is handed out after this time.
    Denied(Duration),
    /// The entry that was asked did not reply.
    NoReply,
}

/// A request of one entry for permits.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PermitRequest {
    /// The target's id.
    #[prost(string, tag = "1")]
    pub target: String,
    /// The target's rate in requests per second, as the sender knows it.
    #[prost(double, tag = "2")]
    pub per_s: f64,
    /// A number that the reply repeats.
    #[prost(uint64, tag = "3")]
    pub id: u64,
    /// True if the target is cold, so that no second may have more than the rate.
    #[prost(bool, tag = "4")]
    pub cold: bool,
}

/// The reply to a [`PermitRequest`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct PermitReply {
    /// The number of the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The number of permits; 0 if none is available yet.
    #[prost(uint32, tag = "2")]
    pub count: u32,
    /// Microseconds until the next permit, if there is none.
    #[prost(uint64, tag = "3")]
    pub after_us: u64,
}

impl PermitReply {
    /// Returns the reply to a request.
    pub fn new(id: u64, grant: Grant) -> Self {
        let (count, after) = match grant {
            Grant::Permits(count) => (count, Duration::ZERO),
            Grant::Denied(after) => (0, after),
            Grant::NoReply => (0, Duration::ZERO),
        };
        let after_us = u64::try_from(after.as_micros()).unwrap_or(u64::MAX);
        Self { id, count, after_us }
    }

    /// Returns what the reply grants.
    pub fn grant(self) -> Grant {
        match self.count {
            0 => Grant::Denied(Duration::from_micros(self.after_us).min(MAX_DELAY)),
            count => Grant::Permits(count),
        }
    }
}
