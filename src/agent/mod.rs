//! The daemon before one target.
