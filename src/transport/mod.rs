//! Sockets: HTTP in and out, peer connections, and the platform's client. No decisions.

pub mod client;
pub mod http;
pub mod kv;
pub mod link;
pub mod pipeline;
pub mod platform;
pub mod stall;
