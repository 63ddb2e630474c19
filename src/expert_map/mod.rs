//! Expert maps: which rank of a group holds which experts.
