//! A trial run of the expert map planner with loads from a file. The daemons use the same planner,
//! so an operator can try out weights before declaring them.

use std::fs;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::cli::error::{CliError, Result};
use crate::expert_map::loads::Window;
use crate::expert_map::map::{ExpertMap, Shape};
use crate::expert_map::planner::{Costs, Explanation, Planner, Weights};
use crate::resources::kinds::GroupSpec;

/// A group's expert loads over one or more windows, and the cost of moving experts.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LoadsFile {
    /// The expert map in use; if absent, the experts are placed contiguously over the ranks.
    present: Option<ExpertMap>,
    /// The time between two runs of the planner.
    window_seconds: f64,
    /// The size of one expert of one layer.
    expert_bytes: f64,
    /// The part of the weight store's throughput that is available to the group.
    bytes_per_second: f64,
    /// The fraction of the group's capacity that loading experts takes, from 0 to 1.
    capacity_share: f64,
    /// The windows, oldest first.
    windows: Vec<WindowLoads>,
}

/// The loads that a group reports for one window.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct WindowLoads {
    /// The number of tokens routed to each expert, by layer and expert.
    tokens: Vec<Vec<f64>>,
    /// Seconds per token, by rank and step; may be empty.
    #[serde(default)]
    seconds_per_token: Vec<Vec<f64>>,
}

/// The path of an invalid field and the reason.
type InvalidField = (String, String);

/// Runs the planner for a group with the loads in a file.
///
/// # Errors
///
/// Returns a [`CliError`] that names the file and the field that is invalid or does not match the
/// group.
pub(super) fn plan(file: &Path, spec: &GroupSpec) -> Result<Explanation> {
    let text = fs::read_to_string(file)
        .map_err(|source| CliError::Unreadable { file: file.to_owned(), source })?;
    let planned = parse(&text).and_then(|loads| explain(loads, spec));
    planned.map_err(|(field, reason)| {
        let reason = reason.trim_end_matches('.').to_owned();
        CliError::Loads { file: file.to_owned(), field, reason }
    })
}

fn parse(text: &str) -> std::result::Result<LoadsFile, InvalidField> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| (error.path().to_string(), error.inner().to_string()))
}

fn explain(loads: LoadsFile, spec: &GroupSpec) -> std::result::Result<Explanation, InvalidField> {
    let shape = shape(spec);
    let window = check(&loads, &shape)?;
    let invalid = |field: &str, error: &dyn ToString| (field.to_owned(), error.to_string());
    let weights = Weights { skew: spec.skew_weight, cost: spec.cost_weight };
    let mut planner =
        Planner::new(shape, weights, window).map_err(|error| invalid("windows", &error))?;
    let present = match loads.present {
        Some(present) => present,
        None => ExpertMap::contiguous(&shape).map_err(|error| invalid("present", &error))?,
    };
    for WindowLoads { tokens, seconds_per_token } in loads.windows {
        planner.observe(&Window { tokens, seconds_per_token });
    }
    let costs = Costs {
        expert_bytes: loads.expert_bytes,
        bytes_per_second: loads.bytes_per_second,
        capacity_share: loads.capacity_share,
    };
    let plan = planner.plan(&present, &costs).map_err(|error| invalid("present", &error))?;
    Ok(plan.explanation)
}

fn shape(spec: &GroupSpec) -> Shape {
    let size = |count: u32| usize::try_from(count).unwrap_or(usize::MAX);
    Shape {
        ranks: spec.ranks.len(),
        layers: size(spec.layers),
        experts: size(spec.experts),
        slots_per_rank: size(spec.slots_per_rank),
    }
}

/// Checks the numbers and dimensions, and returns the time between two runs of the planner.
fn check(loads: &LoadsFile, shape: &Shape) -> std::result::Result<Duration, InvalidField> {
    let positive = [
        ("window_seconds", loads.window_seconds),
        ("expert_bytes", loads.expert_bytes),
        ("bytes_per_second", loads.bytes_per_second),
    ];
    for (field, value) in positive {
        if !(value.is_finite() && value > 0.0) {
            return Err((field.to_owned(), format!("{value} is not above zero")));
        }
    }
    let share = loads.capacity_share;
    if !(0.0..=1.0).contains(&share) {
        return Err(("capacity_share".to_owned(), format!("{share} is not from 0 to 1")));
    }
    for (index, window) in loads.windows.iter().enumerate() {
        check_window(window, shape)
            .map_err(|(field, reason)| (format!("windows[{index}].{field}"), reason))?;
    }
    Duration::try_from_secs_f64(loads.window_seconds)
        .map_err(|error| ("window_seconds".to_owned(), error.to_string()))
}

fn check_window(window: &WindowLoads, shape: &Shape) -> std::result::Result<(), InvalidField> {
    let check_len = |field: &str, found: usize, expected: usize, of: &str| match found == expected {
        true => Ok(()),
        false => Err((field.to_owned(), format!("it has {found} {of} instead of {expected}"))),
    };
    check_len("tokens", window.tokens.len(), shape.layers, "layers")?;
    for (layer, tokens) in window.tokens.iter().enumerate() {
        check_len(&format!("tokens[{layer}]"), tokens.len(), shape.experts, "experts")?;
    }
    if !window.seconds_per_token.is_empty() {
        check_len("seconds_per_token", window.seconds_per_token.len(), shape.ranks, "ranks")?;
    }
    let fields = [("tokens", &window.tokens), ("seconds_per_token", &window.seconds_per_token)];
    for (field, values) in fields {
        if let Some(value) = values.iter().flatten().find(|value| **value < 0.0) {
            return Err((field.to_owned(), format!("{value} is below zero")));
        }
    }
    Ok(())
}
