//! Configuration distribution for a service mesh.
//!
//! A small process, the node, runs as a sidecar of each target; the target is its local target.
//! Nodes accept requests from callers, control the admission of requests to their local target,
//! hold the current configuration and distribute it to other nodes, and accept changes from
//! operators. Durable state is stored in the platform's key-value service.
//!
//! The layers, from top to bottom, are [`node`], [`transport`], [`protocol`], [`coordination`] and
//! [`state`]. Each layer imports only from those below it.

pub mod check;
pub mod coordination;
pub mod daemon;
pub mod experiment;
pub mod load;
pub mod logging;
pub mod node;
pub mod protocol;
pub mod soak;
pub mod standin;
pub mod state;
pub mod transport;
