//! Encoding, framing, size limits and authentication of everything that is sent between nodes or
//! stored in the platform.
//!
//! Wire types are separate from the types in [`state`](crate::state). A `From` implementation
//! converts a value to its wire type; a `TryFrom` implementation validates a wire type and converts
//! it back.

pub mod datagram;
pub mod dialect;
pub mod entries;
pub mod frame;
pub mod headers;
pub mod key;
pub mod operators;
pub mod peer;
pub mod record;
pub mod wire;
mod wire_events;
pub mod wire_member;
mod wire_quota;
pub mod wire_rollout;
