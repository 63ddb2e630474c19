//! Tests of the decisions on the direct path, each under the load or fault that it is made for.

#[path = "direct/answers.rs"]
mod answers;
#[path = "direct/backoffs.rs"]
mod backoffs;
#[path = "direct/budget.rs"]
mod budget;
#[path = "direct/choice_replay.rs"]
mod choice_replay;
#[path = "direct/cold_targets.rs"]
mod cold_targets;
#[path = "direct/connections.rs"]
mod connections;
#[path = "direct/contacts.rs"]
mod contacts;
#[path = "direct/contention.rs"]
mod contention;
#[path = "direct/crash_history.rs"]
mod crash_history;
#[path = "direct/crash_store.rs"]
mod crash_store;
#[path = "direct/crash_trials.rs"]
mod crash_trials;
#[path = "direct/crashing_parts.rs"]
mod crashing_parts;
#[path = "direct/evacuation.rs"]
mod evacuation;
#[path = "direct/experts.rs"]
mod experts;
#[path = "direct/group_load.rs"]
mod group_load;
#[path = "direct/lookups.rs"]
mod lookups;
#[path = "direct/open_connections.rs"]
mod open_connections;
#[path = "direct/rate_limits.rs"]
mod rate_limits;
#[path = "direct/read_times.rs"]
mod read_times;
#[path = "direct/replication.rs"]
mod replication;
#[path = "direct/silent_targets.rs"]
mod silent_targets;
#[path = "direct/slow_readers.rs"]
mod slow_readers;
#[path = "direct/small_fleets.rs"]
mod small_fleets;
#[path = "direct/stopping.rs"]
mod stopping;
#[path = "direct/store_eras.rs"]
mod store_eras;
#[path = "direct/store_outages.rs"]
mod store_outages;
#[path = "direct/target_choice.rs"]
mod target_choice;
#[path = "direct/turned_away.rs"]
mod turned_away;
