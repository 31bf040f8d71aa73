//! Spill between zones: whether a request waits in its own zone or crosses to another one.

/// Wait, in mean response times, that a request accepts in its own zone for each megabyte that would
/// cross. Links between zones are shared, and a slow instance sends a megabyte for nearly a second; a
/// request of a few kilobytes accepts a small part of a response time.
const WAIT_PER_MEGABYTE: f64 = 75.0;
/// Longest wait, in mean response times, that a request accepts instead of crossing. Gates refuse
/// most requests that would wait longer.
const WAIT_MAX: f64 = 1.0;
/// Load, as a share of the slots, from which a further attempt may cause a wait: service times vary,
/// and the load of other nodes is only estimated.
const WAIT_FROM_LOAD: f64 = 0.85;
/// Load of the best target in the own zone, as a share of its slots, from which requests of at least the
/// given number of bytes may cross. In an overload of all zones, each crossing only takes a slot from a
/// request there.
const SPILL_LOADS: [(u64, f64); 3] = [(16 << 10, 1.8), (2 << 10, 1.25), (0, 0.95)];
/// Least cost of crossing, as a wait in mean response times.
const CROSSING_COST_MIN: f64 = 0.02;

/// Expected wait at a target with a load, as a share of its slots, in mean response times.
fn wait(load: f64) -> f64 {
    (load - WAIT_FROM_LOAD).max(0.0)
}

/// Whether a request crosses to another zone: it saves more wait there than its bytes between zones
/// cost. `random` is a uniform number below one. All nodes of a zone see a full target at about the
/// same time, so only a part of their requests crosses, which grows with the saved wait.
pub(super) fn crosses(near_load: f64, far_load: f64, bytes: u64, random: f64) -> bool {
    let saved = wait(near_load) - wait(far_load);
    near_load >= spill_load(bytes) && saved * (1.0 - random) > crossing_cost(bytes)
}

/// Load of the own zone from which a request may cross.
fn spill_load(bytes: u64) -> f64 {
    let found = SPILL_LOADS
        .iter()
        .find(|(min_bytes, _)| bytes >= *min_bytes);
    found.map_or(1.0, |(_, load)| *load)
}

/// Cost of crossing, as a wait in mean response times.
fn crossing_cost(bytes: u64) -> f64 {
    (bytes as f64 / 1e6 * WAIT_PER_MEGABYTE).clamp(CROSSING_COST_MIN, WAIT_MAX)
}
