//! JSON bodies of the HTTP API for operators.

use serde::{Deserialize, Serialize};

use super::wire::WireEdit;

/// Request to apply a change, sent by the command-line client.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplyRequest {
    /// Identifier of the change, 32 hexadecimal digits.
    pub change: String,
    /// Configuration version on which the operator based the change.
    pub base: Option<u64>,
    /// Validate the change without applying it.
    pub dry_run: bool,
    /// The edits.
    pub edits: Vec<WireEdit>,
}

/// Outcome of a change, returned to the command-line client.
#[derive(Debug, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// `accepted`, `unchanged`, `checked`, `invalid`, `conflict`, `refused` or `unknown`.
    pub verdict: String,
    /// Configuration version that contains the change.
    pub version: Option<u64>,
    /// Identifier of the change.
    pub change: String,
    /// What is wrong and how to fix it, one text for each problem.
    pub problems: Vec<String>,
    /// Paths of the objects that the problems concern, in the same order.
    pub paths: Vec<String>,
}
