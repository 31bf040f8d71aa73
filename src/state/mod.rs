//! The data of a node: configuration snapshots, member records and routing tables.
//!
//! Everything here is plain data with deterministic operations: no clocks, no sockets, no tasks.

pub mod digest;
pub mod id;
pub mod member;
pub mod object;
pub mod routing;
pub mod settings;
pub mod snapshot;
pub mod units;
pub mod validate;
