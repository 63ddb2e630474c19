//! The decisions of the direct path, each with the load or the fault that it is for.

#[path = "direct/answers.rs"]
mod answers;
#[path = "direct/budget.rs"]
mod budget;
#[path = "direct/connections.rs"]
mod connections;
#[path = "direct/experts.rs"]
mod experts;
#[path = "direct/knowledge.rs"]
mod knowledge;
#[path = "direct/lookups.rs"]
mod lookups;
#[path = "direct/placement.rs"]
mod placement;
#[path = "direct/stopping.rs"]
mod stopping;
