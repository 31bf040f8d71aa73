//! The subcommands, one module each.

pub mod apply;
pub mod change;
pub mod check;
pub mod delete;
pub mod demo;
pub mod diff;
pub mod drain;
pub mod dump;
pub mod experiment;
pub mod get;
pub mod history;
pub mod load;
pub mod soak;
pub mod status;
pub mod token;
pub mod undo;
