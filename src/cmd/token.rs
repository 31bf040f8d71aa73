//! Creates a token and its salted hash, or a workspace's key and its digest.

use std::ffi::OsString;

use tarragoncourse::protocol::key::hash_token;
use tarragoncourse::state::workspace::KeyDigest;

use crate::error::CliResult;
use crate::util::{parse_args, positional_args};

const USAGE: &str = "
Creates a random token and its salted hash, or a key of a workspace and its digest. Settings contain
only the hash or the digest.

Usage:
    tarragon token [options]

Options:
    --of TOKEN   hash this token or key instead of a random one
    --key        create a key of a workspace
";

/// Runs the subcommand.
pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut args = parse_args(argv, USAGE)?;
    let given_token: Option<String> = args.opt_value_from_str("--of")?;
    let is_key = args.contains("--key");
    positional_args(args)?;
    let token = given_token.unwrap_or_else(random_token);
    if is_key {
        println!("key: {token}");
        println!("digest: \"{}\"", KeyDigest::of(&token));
        return Ok(());
    }
    println!("token: {token}");
    println!("token-hash: \"{}\"", hash_token(&token, random_u128()));
    Ok(())
}

/// A random token of 256 bits.
fn random_token() -> String {
    format!("{:032x}{:032x}", random_u128(), random_u128())
}

/// A random number from the operating system, because tokens and salts must not come from a
/// seeded, predictable generator.
fn random_u128() -> u128 {
    let mut bytes = [0; 16];
    std::fs::File::open("/dev/urandom")
        .and_then(|mut f| std::io::Read::read_exact(&mut f, &mut bytes))
        .expect("/dev/urandom is readable");
    u128::from_le_bytes(bytes)
}
