//! Stand-ins for the external systems that the mesh depends on: the platform's key-value service
//! and a target.
//!
//! Tests, the demo and the experiments use them. They simulate the failures of the real systems on
//! request.

pub mod faults;
pub mod platform;
pub mod server;
pub mod store;
pub mod target;
