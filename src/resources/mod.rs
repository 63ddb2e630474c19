//! What operators declare: the kinds of resource and their checks.

pub mod kinds;
