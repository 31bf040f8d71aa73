//! Errors of the subcommands: their messages and exit codes.

use std::io;

use derive_more::{Display, From};

/// The result of a subcommand.
pub type CliResult<T> = Result<T, CliError>;

/// Why a subcommand did not complete.
#[derive(Debug, Display, From)]
pub enum CliError {
    /// `--help` was given. Holds the usage text.
    #[display("{_0}")]
    #[from(skip)]
    Help(&'static str),
    /// An option is missing or invalid.
    #[display("{_0}; see --help")]
    Flag(pico_args::Error),
    /// The command line is invalid for another reason, for example an unknown option.
    #[display("{_0}")]
    #[from(skip)]
    Usage(String),
    /// An I/O error.
    #[display("{_0}")]
    Io(io::Error),
    /// Any other failure, for example an unexpected response or a timeout.
    #[display("{_0}")]
    Other(String),
    /// The settings were rejected. Holds the problems, which are printed one per line.
    #[display("{}", _0.join("\n"))]
    #[from(skip)]
    Rejected(Vec<String>),
    /// Another change has modified the same path in the meantime. Holds the problems, which are
    /// printed one per line.
    #[display("{}", _0.join("\n"))]
    #[from(skip)]
    Conflict(Vec<String>),
    /// A check has found something that fails it. Holds the findings, which are printed one per line,
    /// and the exit code.
    #[display("{}", _0.join("\n"))]
    #[from(skip)]
    Findings(Vec<String>, u8),
    /// It is unknown whether the change was accepted.
    #[display("{_0}")]
    #[from(skip)]
    Indeterminate(String),
}

impl CliError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Help(_) => 0,
            CliError::Io(_) | CliError::Other(_) => 1,
            CliError::Flag(_) | CliError::Usage(_) => 2,
            CliError::Rejected(_) => 3,
            CliError::Conflict(_) => 4,
            CliError::Indeterminate(_) => 5,
            CliError::Findings(_, code) => *code,
        }
    }
}
