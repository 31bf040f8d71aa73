//! Network I/O: HTTP server and client, connections between nodes, and the client of the
//! platform's key-value service. Decisions about routing, admission and retries are made elsewhere.

pub mod client;
pub mod clock;
pub mod counted;
mod cut;
pub mod era;
pub mod graceful;
pub mod http;
pub mod kv;
pub mod link;
pub mod pipeline;
pub mod platform;
mod request_head;
mod reset;
pub mod stall;
