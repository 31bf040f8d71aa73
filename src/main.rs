//! `tarragon`, the command-line tool for operators.

mod api;
mod cmd;
mod error;
mod options;
mod util;

use std::process::ExitCode;

use error::{CliError, CliResult};

const USAGE: &str = "
Changes and reads the settings of a service mesh, and measures the mesh.

Usage:
    tarragon <command> [options]
    tarragon <command> --help

Commands:
    apply       apply settings from files
    change      show one change
    check       check settings files, and compare them with the version in force
    delete      delete settings
    demo        run a small fleet in this process and show what it does
    diff        show what applying files would change
    drain       take a target out of service, or return it to service
    dump        print the complete state of one node
    experiment  measure convergence, control bytes and latency
    get         print settings
    history     list the newest changes
    load        send requests and check every response
    soak        run the real programs under random faults and check every guarantee
    status      show nodes and services
    token       create a token and its salted hash
    undo        apply the content of an older version as a new version

Exit codes: 0 success, 1 failure, 2 invalid usage, 3 settings rejected,
4 conflict with another change, 5 result unknown. `check` has its own.
";

fn main() -> ExitCode {
    let mut argv: Vec<std::ffi::OsString> = std::env::args_os().skip(1).collect();
    if argv.is_empty() || argv[0] == "--help" || argv[0] == "help" {
        println!("{}", USAGE.trim());
        return ExitCode::SUCCESS;
    }
    let command = argv.remove(0);
    match dispatch(&command.to_string_lossy(), argv) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CliError::Help(usage)) => {
            println!("{}", usage.trim());
            ExitCode::SUCCESS
        }
        Err(e) => {
            let message = e.to_string();
            // Findings that were printed as JSON leave no message.
            if !message.is_empty() {
                eprintln!("tarragon: {message}");
            }
            ExitCode::from(e.exit_code())
        }
    }
}

fn dispatch(command: &str, argv: Vec<std::ffi::OsString>) -> CliResult<()> {
    match command {
        "apply" => cmd::apply::run(argv),
        "change" => cmd::change::run(argv),
        "check" => cmd::check::run(argv),
        "delete" => cmd::delete::run(argv),
        "demo" => cmd::demo::run(argv),
        "diff" => cmd::diff::run(argv),
        "drain" => cmd::drain::run(argv),
        "dump" => cmd::dump::run(argv),
        "experiment" => cmd::experiment::run(argv),
        "get" => cmd::get::run(argv),
        "history" => cmd::history::run(argv),
        "load" => cmd::load::run(argv),
        "soak" => cmd::soak::run(argv),
        "status" => cmd::status::run(argv),
        "token" => cmd::token::run(argv),
        "undo" => cmd::undo::run(argv),
        other => Err(CliError::Usage(format!(
            "unknown command `{other}`; see `tarragon --help`"
        ))),
    }
}
