//! Makes a token and its salted hash.

use std::ffi::OsString;

use tarragoncourse::protocol::key::hash_token;

use crate::error::CliResult;
use crate::util::{parse_args, positional_args};

const USAGE: &str = "
Makes a random token and the salted hash that settings hold in its place.

Usage:
    tarragon token [options]

Options:
    --of TOKEN   hash this token instead of a random one
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = parse_args(argv, USAGE)?;
    let given: Option<String> = args.opt_value_from_str("--of")?;
    positional_args(args)?;
    let token = given.unwrap_or_else(random);
    println!("token: {token}");
    println!("token-hash: \"{}\"", hash_token(&token, salt()));
    Ok(())
}

/// Secrets come from the operating system, not from a seeded generator.
fn random() -> String {
    format!("{:032x}{:032x}", salt(), salt())
}

fn salt() -> u128 {
    let mut bytes = [0; 16];
    std::fs::File::open("/dev/urandom")
        .and_then(|mut f| std::io::Read::read_exact(&mut f, &mut bytes))
        .expect("the operating system gives random bytes");
    u128::from_le_bytes(bytes)
}
