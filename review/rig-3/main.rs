//! The processes and stand-ins of the cases of the third review. Built by `review/build-3.sh` with the
//! compiler alone; uses no library but the standard one.

mod crash;
mod earlier_start;
mod fleet;
mod http;
mod json;
mod leave;
mod pairs;
mod server;
mod smuggle;
mod stop;
mod store;
mod truncated;

use std::path::PathBuf;
use std::process::ExitCode;

use server::ServerOptions;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    /// The case could not run.
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[..] {
        ["server", ref options @ ..] => {
            let options = ServerOptions::from_args(options).expect("options of a server");
            let ended = server::run_server(options);
            println!("server ended: {ended:?}");
            ExitCode::from(2)
        }
        [case, folder] => {
            let folder = PathBuf::from(folder);
            let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
            let verdict = match case {
                "stop" => stop::run(&folder, trouble),
                "smuggle" => smuggle::run(&folder, trouble),
                "truncated" => truncated::run(&folder, trouble),
                "crash" => crash::run_streamed(&folder, trouble),
                "crash-herd" => crash::run_herd(&folder, trouble),
                "earlier-start" => earlier_start::run(&folder, trouble),
                "leave" => leave::run(&folder, trouble),
                _ => Err(std::io::Error::other(format!("unknown case {case}"))),
            };
            let verdict = verdict.unwrap_or_else(|e| Verdict::NotRun(e.to_string()));
            let (code, text) = match verdict {
                Verdict::Held => (0, "the rule held".to_string()),
                Verdict::Broken(how) => (1, format!("the rule was broken: {how}")),
                Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
            };
            println!("{text}");
            ExitCode::from(code)
        }
        _ => {
            eprintln!("usage: rig CASE FOLDER");
            ExitCode::from(2)
        }
    }
}
