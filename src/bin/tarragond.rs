//! The node's daemon.

use std::process::ExitCode;

use tarragoncourse::daemon;
use tarragoncourse::transport::kv::HttpPlatform;

const USAGE: &str = "
Runs one node of the mesh beside a target instance.

Usage:
    tarragond --config FILE
    tarragond --help

Options:
    --config FILE   the node's settings, YAML (docs/SETTINGS.md)

Prints one line with its addresses once it listens. SIGTERM and SIGINT stop it
gracefully, SIGHUP reads the settings again. Exit codes: 0 stopped whole, 1
could not start, 3 stopped with requests cut at the drain bound.
";

fn main() -> ExitCode {
    daemon::main("tarragond", USAGE, async |settings| {
        let platform = HttpPlatform::new(settings.platform);
        daemon::start_node(settings, platform).await
    })
}
