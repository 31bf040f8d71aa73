//! The decisions: state machines without input or output of their own.
//!
//! Each takes an event and the time, and returns what to do. Time is handed in as
//! [`tokio::time::Instant`] and randomness as a seeded [`fastrand::Rng`], so that every run can
//! be repeated.

pub mod announce;
pub mod budget;
pub mod claims;
pub mod commit;
pub mod distribution;
pub mod gate;
pub mod health;
pub mod members;
pub mod outcome;
pub mod pick;
pub mod queue;
pub mod retry;
pub mod slots;
pub mod split;
pub mod transfer;
