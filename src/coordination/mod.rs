//! Decision logic as state machines that do no input or output themselves.
//!
//! Each state machine takes an event and the current time and returns the actions to perform. The
//! caller passes in the time as [`tokio::time::Instant`] and randomness as a seeded
//! [`fastrand::Rng`], so that every run can be reproduced.

pub mod announce;
pub mod budget;
pub mod claim_memory;
pub mod claims;
pub mod commit;
pub mod crash_table;
pub mod distribution;
pub mod freshness;
pub mod gate;
pub mod health;
pub mod identity;
pub mod members;
pub mod notice;
pub mod outcome;
pub mod pace;
pub mod pause;
pub mod pick;
pub mod pressure;
pub mod queue;
pub mod quota;
pub mod refusals;
pub mod restarts;
pub mod retry;
pub mod rollout;
pub mod shutdown;
pub mod target_end;
pub mod traffic_split;
pub mod transfer;
pub mod watcher_slot;
