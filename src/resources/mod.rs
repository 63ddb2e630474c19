//! The resources that operators declare.

pub mod kinds;
pub mod names;
pub mod specs;
pub mod stored;
