//! Measures convergence, control bytes and latency.

use std::ffi::OsString;

use crate::util::CliResult;

/// Runs the subcommand.
pub fn run(_argv: Vec<OsString>) -> CliResult<()> {
    Ok(())
}
