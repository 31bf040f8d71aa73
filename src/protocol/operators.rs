//! Bodies of the operators' API, JSON.

use serde::{Deserialize, Serialize};

use super::wire::WireEdit;

/// A change as the command line sends it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// The change's id; 32 hexadecimal digits.
    pub change: String,
    /// Version that the operator saw.
    pub base: Option<u64>,
    /// Check only.
    pub dry_run: bool,
    /// The edits.
    pub edits: Vec<WireEdit>,
}

/// How a change ended, as the command line reads it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// `accepted`, `unchanged`, `checked`, `invalid`, `conflict`, `refused` or `unknown`.
    pub verdict: String,
    /// The version that holds the change.
    pub version: Option<u64>,
    /// The change's id.
    pub change: String,
    /// What is wrong and what to do, one a line.
    pub problems: Vec<String>,
    /// Paths that the problems concern, in the same order.
    pub paths: Vec<String>,
}
