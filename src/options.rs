//! Options shared by the subcommands: the node to connect to, the credentials and the output
//! format.

use std::net::SocketAddr;

use pico_args::Arguments;

use crate::error::{CliError, CliResult};

/// Options shared by the subcommands.
#[derive(Clone, Debug)]
pub struct CliOptions {
    /// Admin address of the node to connect to.
    pub node: SocketAddr,
    /// Bearer token of the team.
    pub token: Option<String>,
    /// Whether to print JSON for scripts.
    pub json: bool,
}

impl CliOptions {
    /// Takes the shared options from the arguments, or from the environment if they are absent.
    pub fn from_args(args: &mut Arguments) -> CliResult<CliOptions> {
        let node: Option<String> = args.opt_value_from_str("--node")?;
        let node = node.or_else(|| std::env::var("TARRAGON_NODE").ok());
        let node = node.ok_or_else(|| {
            CliError::Usage("no node given; use --node ADDRESS or set TARRAGON_NODE".to_string())
        })?;
        let token: Option<String> = args.opt_value_from_str("--token")?;
        let json = args.contains("--json");
        CliOptions::new(&node, token, json)
    }

    /// Creates the options for a node at an address. Without a token, it is read from the environment.
    pub fn new(node: &str, token: Option<String>, json: bool) -> CliResult<CliOptions> {
        let node = node
            .parse()
            .map_err(|_| CliError::Usage(format!("`{node}` is not an address; use IP:PORT")))?;
        Ok(CliOptions {
            node,
            token: token.or_else(|| std::env::var("TARRAGON_TOKEN").ok()),
            json,
        })
    }
}
