//! What an operator is told of a declaration: whether it is in force everywhere.

use serde::{Deserialize, Serialize};

/// The type of the condition that tells whether a resource version is in force.
pub const IN_FORCE: &str = "InForce";

/// ConditionStatus is the state of one condition.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConditionStatus {
    /// It holds.
    True,
    /// It does not hold.
    False,
    /// It cannot be told.
    Unknown,
}

/// Condition is one thing that holds of a resource, or does not.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Condition {
    /// What it is about, such as [`IN_FORCE`].
    #[serde(rename = "type")]
    pub type_: String,
    /// Whether it holds.
    pub status: ConditionStatus,
    /// Why, in one word.
    pub reason: String,
    /// Why, in a sentence.
    pub message: String,
}

/// Status is what is known of one version of a resource.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// The newest generation that processes act on.
    pub observed_generation: u64,
    /// What holds.
    pub conditions: Vec<Condition>,
}

impl Status {
    /// Tells whether the version is in force everywhere.
    pub fn is_in_force(&self) -> bool {
        let holds = |condition: &Condition| {
            condition.type_ == IN_FORCE && condition.status == ConditionStatus::True
        };
        self.conditions.iter().any(holds)
    }
}
