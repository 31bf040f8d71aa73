//! How subcommands end early: what is printed, and the exit code.

use std::io;

use derive_more::{Display, From};

/// The result of a subcommand.
pub type CliResult<T> = Result<T, CliError>;

/// Why a subcommand ended early.
#[derive(Debug, Display, From)]
pub enum CliError {
    /// `--help` was given; the usage text.
    #[display("{_0}")]
    #[from(skip)]
    Help(&'static str),
    /// The options are wrong.
    #[display("{_0}; see --help")]
    Flag(pico_args::Error),
    /// The command line is wrong.
    #[display("{_0}")]
    #[from(skip)]
    Usage(String),
    /// A file or socket failed.
    #[display("{_0}")]
    Io(io::Error),
    /// Something else failed.
    #[display("{_0}")]
    Other(String),
    /// The settings were refused; problems, one a line.
    #[display("{}", _0.join("\n"))]
    #[from(skip)]
    Rejected(Vec<String>),
    /// Another change touched the same path; problems, one a line.
    #[display("{}", _0.join("\n"))]
    #[from(skip)]
    Conflict(Vec<String>),
    /// It is not known whether the change was accepted.
    #[display("{_0}")]
    #[from(skip)]
    Indeterminate(String),
}

impl CliError {
    /// The process's exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Help(_) => 0,
            CliError::Io(_) | CliError::Other(_) => 1,
            CliError::Flag(_) | CliError::Usage(_) => 2,
            CliError::Rejected(_) => 3,
            CliError::Conflict(_) => 4,
            CliError::Indeterminate(_) => 5,
        }
    }
}
