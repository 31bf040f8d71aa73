//! Configuration distribution for a service mesh.
//!
//! One small process, the node, runs beside each target. Nodes take callers' requests, stand as a
//! gate before their own target, hold the current configuration and pass it on, and take the
//! operators' changes. What must last is kept in the platform's key-value service.
//!
//! Layers, each importing only those below it: [`node`], [`transport`], [`protocol`],
//! [`coordination`], [`state`].

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
