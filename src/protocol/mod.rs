//! What goes over the wire and into the platform: encodings, framing, bounds and authentication.
//!
//! Wire types are separate from the types of the state; `From` and `TryFrom` lead across, and
//! whatever comes from outside is checked on the way in.

pub mod datagram;
pub mod dialect;
pub mod frame;
pub mod headers;
pub mod key;
pub mod operators;
pub mod peer;
pub mod record;
pub mod wire;
