//! Runs one stand-in.

fn main() {}
