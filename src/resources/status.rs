//! The status of a resource version: whether it is in force on all processes.

use serde::{Deserialize, Serialize};

/// The type of the condition for a resource version being in force on all processes.
pub const IN_FORCE: &str = "InForce";

/// The state of a condition.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConditionStatus {
    /// The condition is met.
    True,
    /// The condition is not met.
    False,
    /// The state cannot be determined.
    Unknown,
}

/// One aspect of the state of a resource version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Condition {
    /// The type of the condition, such as [`IN_FORCE`].
    #[serde(rename = "type")]
    pub type_: String,
    /// Whether the condition is met.
    pub status: ConditionStatus,
    /// The reason for the status as one word, for programs.
    pub reason: String,
    /// The reason for the status as a sentence, for operators.
    pub message: String,
}

/// The status of one version of a resource.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The newest generation that processes use.
    pub observed_generation: u64,
    /// The conditions of the version.
    pub conditions: Vec<Condition>,
}

impl Status {
    /// Returns true if the version is in force on all processes.
    pub fn is_in_force(&self) -> bool {
        let met = |condition: &Condition| {
            condition.type_ == IN_FORCE && condition.status == ConditionStatus::True
        };
        self.conditions.iter().any(met)
    }
}
