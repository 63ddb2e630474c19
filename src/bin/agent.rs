//! The daemon in the one slot of a target host.

fn main() {}
