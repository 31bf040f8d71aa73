//! Roll-outs as the operator sees them.

use std::thread;

use crate::mesh::{Mesh, Record, ms};

const SERVICE: &str = "huvo11a";
const ORDER: &str = "op/rollout/huvo11a";
pub const STATUS: &str = "status/rollout/huvo11a";
/// Time of an order, in seconds.
const DURATION: f64 = 20.0;

/// Orders a version, as the operator does.
pub fn order(mesh: &Mesh, version: &str, record: &Record) {
    let text = format!(
        "{{\"service\":\"{SERVICE}\",\"target_version\":\"{version}\",\"duration_s\":{DURATION}}}"
    );
    mesh.store.put(ORDER, &text);
    record.line(format!("operator orders {version}"));
}

/// Waits until the operator is told this.
pub fn wait_status(mesh: &Mesh, version: &str, state: &str, record: &Record) -> Option<()> {
    let end = record.now() + DURATION + 10.0;
    while record.now() < end {
        let text = mesh.store.get(STATUS).unwrap_or_default();
        if text.contains(&format!("\"{version}\"")) && text.contains(state) {
            record.line(format!("operator reads {text}"));
            return Some(());
        }
        thread::sleep(ms(20));
    }
    record.line(format!("operator waited in vain for {state} of {version}"));
    None
}
