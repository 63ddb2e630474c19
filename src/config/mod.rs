//! The configuration: one linear history by the revision of the key-value service.
