//! The review's cases. `cases N` runs a case from the repository's root and writes its record. It
//! exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment, the disruption is left out.

mod cases;
mod fleet;
mod http;
mod json;
mod server;
mod store;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::exit;
use std::thread;

use fleet::{Record, could_not_run, ms};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, record] = &args[..] else {
        could_not_run("usage: cases NAME RECORD");
    };
    if !Path::new("target/release/tarragon-hosted").exists() {
        could_not_run("target/release/tarragon-hosted is not built");
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::create(Path::new(record));
    // A case ends within its time, whatever happens.
    thread::spawn(|| {
        thread::sleep(ms(115_000));
        could_not_run("the case took too long");
    });
    let run = match case.as_str() {
        "prefix" => cases::prefix::run,
        "grace" => cases::grace::run,
        "holders" => cases::holders::run,
        "tail" => cases::tail::run,
        "earlier" => cases::earlier::run,
        other => could_not_run(&format!("no case {other}")),
    };
    let Ok(broken) = catch_unwind(AssertUnwindSafe(|| run(&record, trouble))) else {
        could_not_run("a stand-in failed");
    };
    for line in &broken {
        record.line(&format!("BROKEN {line}"));
        println!("broken: {line}");
    }
    if broken.is_empty() {
        record.line("the rule held");
        println!("the rule held");
    }
    exit(i32::from(!broken.is_empty()));
}
