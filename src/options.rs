//! Settings shared by the subcommands: which node to talk to, and as whom.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::error::{CliError, CliResult};

/// Which node to talk to, and as whom.
#[derive(Clone, Debug)]
pub struct CliOptions {
    /// Admin address of a node.
    pub node: SocketAddr,
    /// The team's bearer token.
    pub token: Option<String>,
    /// Print JSON for scripts.
    pub json: bool,
}

impl CliOptions {
    /// Takes the shared options, or the environment's values.
    pub fn from_args(args: &mut Arguments) -> CliResult<CliOptions> {
        let node: Option<String> = args.opt_value_from_str("--node")?;
        let node = node.or_else(|| std::env::var("TARRAGON_NODE").ok());
        let node = node.ok_or_else(|| {
            CliError::Usage("no node given; use --node ADDRESS or set TARRAGON_NODE".to_string())
        })?;
        let node = node
            .parse()
            .map_err(|_| CliError::Usage(format!("`{node}` is not an address; write IP:PORT")))?;
        let token: Option<String> = args.opt_value_from_str("--token")?;
        Ok(CliOptions {
            node,
            token: token.or_else(|| std::env::var("TARRAGON_TOKEN").ok()),
            json: args.contains("--json"),
        })
    }
}
