//! Takes a target out of service, or back.

use std::ffi::OsString;
use std::sync::Arc;

use tarragoncourse::state::object::Object;
use tarragoncourse::state::snapshot::Edit;

use crate::api::ApiClient;
use crate::error::{CliError, CliResult};
use crate::options::CliOptions;
use crate::util::{block_on, one_positional_arg, parse_args};

const USAGE: &str = "
Takes a target out of service: it finishes its work and gets none. The target's
settings must exist.

Usage:
    tarragon drain [options] PATH

Options:
    --back           take the target back into service
    --node ADDRESS   admin address of any node [env: TARRAGON_NODE]
    --token TOKEN    the team's token [env: TARRAGON_TOKEN]
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = parse_args(argv, USAGE)?;
    let config = CliOptions::from_args(&mut args)?;
    let drained = !args.contains("--back");
    let path = one_positional_arg(args, "target path")?;
    block_on(async {
        let api = ApiClient::new(config);
        let (base, held) = api.config().await?;
        let found = held.iter().find(|e| e.path.as_str() == path);
        let Some((entry, Object::Target(target))) = found.map(|e| (e, &*e.object)) else {
            let message = format!("`{path}` is not a target's settings; see `tarragon get`");
            return Err(CliError::Other(message));
        };
        let mut target = target.clone();
        target.drained = drained;
        let edit = Edit::Put(entry.path.clone(), Arc::new(target.into()));
        let answer = api.apply(base, &[edit], false).await?;
        println!("{} version={}", answer.verdict, answer.version.unwrap_or(0));
        Ok(())
    })
}
