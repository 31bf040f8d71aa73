//! Takes a target out of service, or returns it to service.

use std::ffi::OsString;
use std::sync::Arc;

use tarragoncourse::state::object::Object;
use tarragoncourse::state::snapshot::Edit;

use crate::api::ApiClient;
use crate::error::{CliError, CliResult};
use crate::options::CliOptions;
use crate::util::{block_on, one_positional_arg, parse_args};

const USAGE: &str = "
Takes a target out of service: it finishes its running requests and receives no new
ones. PATH is the path of the target's settings, which must exist.

Usage:
    tarragon drain [options] PATH

Options:
    --back           return the target to service
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --token TOKEN    the team's token [env: TARRAGON_TOKEN]
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = parse_args(argv, USAGE)?;
    let options = CliOptions::from_args(&mut args)?;
    let drained = !args.contains("--back");
    let path = one_positional_arg(args, "target path")?;
    block_on(async {
        let api = ApiClient::new(options);
        let (base_version, current) = api.config().await?;
        let found = current.iter().find(|e| e.path.as_str() == path);
        let Some((entry, Object::Target(target))) = found.map(|e| (e, &*e.object)) else {
            let message = format!(
                "`{path}` is not the path of a target's settings; list the paths with `tarragon get`"
            );
            return Err(CliError::Other(message));
        };
        let mut target = target.clone();
        target.drained = drained;
        let edit = Edit::Put(entry.path.clone(), Arc::new(target.into()));
        let response = api.apply(base_version, &[edit], false).await?;
        println!(
            "{} version={}",
            response.verdict,
            response.version.unwrap_or(0)
        );
        Ok(())
    })
}
