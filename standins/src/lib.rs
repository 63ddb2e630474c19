//! Small fakes of the outside systems.
