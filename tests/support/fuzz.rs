//! Runs a property test on a fixed range of seeds. If an environment variable sets a duration, the
//! test runs on new random seeds for that long instead.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;

/// Environment variable with a number of seconds. If it is set, the property runs on new seeds for
/// that long instead of on the fixed ones.
const DURATION_VARIABLE: &str = "TARRAGON_FUZZ_SECONDS";

/// Number of occurrences of each named event, printed at the end of a test.
#[derive(Default)]
pub struct Counts(BTreeMap<&'static str, u64>);

impl Counts {
    pub fn add(&mut self, name: &'static str) {
        *self.0.entry(name).or_default() += 1;
    }
}

/// Runs the property once for each seed, with `input_bytes` bytes of random input. `name` labels
/// the printed counts.
pub fn run(
    name: &str,
    seeds: u32,
    input_bytes: u32,
    mut property: impl FnMut(&mut Unstructured, &mut Counts),
) {
    let mut counts = Counts::default();
    let mut run_seed = |n: u32| {
        // The lower half of a seed of `arbtest` is the number of input bytes.
        let seed = u64::from(n) << 32 | u64::from(input_bytes);
        let property_once = |u: &mut Unstructured| {
            property(u, &mut counts);
            Ok(())
        };
        arbtest(property_once).seed(seed).run();
    };
    let seconds = std::env::var(DURATION_VARIABLE)
        .ok()
        .and_then(|s| s.parse().ok());
    let seeds_run = match seconds.map(Duration::from_secs) {
        None => {
            (0..seeds).for_each(&mut run_seed);
            seeds
        }
        Some(duration) => {
            let started = Instant::now();
            let first_seed = fastrand::u32(..u32::MAX / 2);
            println!("{name}: new seeds from {first_seed}");
            let fresh_seeds = (first_seed..).take_while(|_| started.elapsed() < duration);
            fresh_seeds.map(&mut run_seed).count() as u32
        }
    };
    println!(
        "{name}: {seeds_run} seeds of {input_bytes} bytes, {:?}",
        counts.0
    );
}

/// Random number below `bound`; zero when the random input is used up.
pub fn number_below(u: &mut Unstructured, bound: usize) -> usize {
    if bound <= 1 {
        return 0;
    }
    u.int_in_range(0..=bound - 1).unwrap_or(0)
}

/// Returns true with a probability of `percent` percent; false when the random input is used up.
pub fn chance(u: &mut Unstructured, percent: u8) -> bool {
    u.int_in_range(0..=99u8).unwrap_or(99) < percent
}
