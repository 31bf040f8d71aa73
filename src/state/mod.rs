//! Data types of a node: configuration snapshots, member records and routing tables.
//!
//! All types are plain data with deterministic operations. Nothing here reads a clock, opens a
//! socket or starts a task.

pub mod digest;
pub mod id;
pub mod member;
pub mod object;
pub mod rate;
pub mod revision;
pub mod routing;
pub mod settings;
pub mod snapshot;
pub mod units;
pub mod validate;
pub mod workspace;
