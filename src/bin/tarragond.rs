//! `tarragond`, the daemon that runs one node.

use std::process::ExitCode;

use tarragoncourse::daemon;
use tarragoncourse::transport::kv::HttpPlatform;

const USAGE: &str = "
Runs one node of the mesh as the sidecar of a target instance.

Usage:
    tarragond --config FILE [--apply-time TIME]
    tarragond --help

Options:
    --config FILE        settings of the node, YAML (docs/SETTINGS.md)
    --apply-time TIME    the setting `apply-time`, in place of the one in the file

Prints one line with its addresses once it listens. SIGTERM and SIGINT stop it
gracefully, SIGHUP reloads the settings.

Exit codes: 0 all requests finished before it stopped, 1 it could not start,
3 requests were still in progress when the drain timeout expired.
";

fn main() -> ExitCode {
    daemon::main("tarragond", USAGE, async |settings| {
        let platform = HttpPlatform::new(settings.platform);
        daemon::start_node(settings, platform).await
    })
}
