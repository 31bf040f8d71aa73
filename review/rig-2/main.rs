//! The scripts of this review: `rig-2 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod chunked;
mod late;
mod leave;
mod mesh;
mod restart;
mod rollout;

use std::panic::catch_unwind;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// Time after which a script gives up.
const TIME_LIMIT: Duration = Duration::from_secs(100);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: rig-2 CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = mesh::Record::create(path);
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        mesh::end_all();
        println!("the case could not run in time");
        exit(2);
    });
    let code = catch_unwind(|| match case.as_str() {
        "chunked" => chunked::run(trouble, &record),
        "late" => late::run(trouble, &record),
        "leave" => leave::run(trouble, &record),
        "drill" => restart::run_drill(trouble, &record),
        "restart" => restart::run_restarts(trouble, &record),
        _ => None,
    });
    mesh::end_all();
    exit(code.ok().flatten().unwrap_or_else(|| {
        println!("the case could not run");
        2
    }));
}
