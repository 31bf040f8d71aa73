//! Stand-ins for what surrounds the system: the platform's key-value service and a target.
//!
//! For tests, the demo and experiments. They fail on request, as the real ones do by themselves.

pub mod faults;
pub mod platform;
pub mod server;
pub mod store;
pub mod target;
