//! Stand-ins for the external systems that the mesh depends on: the platform's key-value service
//! and a target.
//!
//! They are used by tests, the demo and the experiments, and can simulate failures of the real
//! systems.

pub mod faults;
pub mod platform;
pub mod server;
pub mod store;
pub mod target;
