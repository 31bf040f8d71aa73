//! Collects the reports of the gates into windows and totals.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use super::counts::{Side, WindowCounts, WindowNumber};
use super::message::GateReport;
use crate::state::id::Incarnation;

/// Maximum number of routes of a service that are compared. The counts of others are ignored.
const ROUTES_MAX: usize = 256;

/// What is known about the gate of one member.
#[derive(Clone, Copy, Debug, Default)]
struct GateTotals {
    incarnation: Incarnation,
    /// Requests that were started in this incarnation.
    started: u64,
    /// Requests of each side that were started in earlier incarnations.
    earlier: u64,
    last_window: WindowNumber,
    /// Number of consecutive windows, up to the last one, in which the gate was drained.
    drained_windows: u64,
}

/// The reports of all gates of a service.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    windows: BTreeMap<WindowNumber, WindowCounts>,
    gates: HashMap<(SocketAddr, Side), GateTotals>,
    /// All windows before this one have been taken.
    next: WindowNumber,
}

impl Collector {
    /// Creates a collector that ignores the answers in windows before `first`.
    pub fn new(first: WindowNumber) -> Collector {
        Collector {
            next: first,
            ..Collector::default()
        }
    }

    /// Adds the report of a gate. The totals of an outdated report are ignored, and so are the
    /// counts of a window that has been taken or lies after `current`.
    pub fn record(&mut self, gate: SocketAddr, report: &GateReport, current: WindowNumber) {
        if report.window > current {
            return;
        }
        self.record_totals(gate, report);
        if report.window < self.next {
            return;
        }
        let window = self.windows.entry(report.window).or_default();
        for (key, counts) in &report.routes {
            if window.len() >= ROUTES_MAX && !window.contains_key(key) {
                continue;
            }
            let route = window.entry(*key).or_default();
            route.side_mut(report.side).add(counts);
        }
    }

    fn record_totals(&mut self, gate: SocketAddr, report: &GateReport) {
        let totals = self.gates.entry((gate, report.side)).or_default();
        if report.incarnation < totals.incarnation {
            return;
        }
        if report.incarnation > totals.incarnation {
            *totals = GateTotals {
                incarnation: report.incarnation,
                earlier: totals.earlier + totals.started,
                ..GateTotals::default()
            };
        }
        totals.started = totals.started.max(report.started);
        if report.window <= totals.last_window {
            return;
        }
        let follows = report.window.since(totals.last_window) == 1;
        totals.drained_windows = match (report.drained, follows) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => totals.drained_windows + 1,
        };
        totals.last_window = report.window;
    }

    /// Removes the next window up to `last`, in order. A window without reports is empty.
    pub fn take_until(&mut self, last: WindowNumber) -> Option<(WindowNumber, WindowCounts)> {
        let window = self.next;
        if window > last {
            return None;
        }
        self.next = WindowNumber(window.0 + 1);
        let counts = self.windows.remove(&window).unwrap_or_default();
        Some((window, counts))
    }

    /// Number of requests of one side that were started since the roll-out began, as far as
    /// reported.
    pub fn started(&self, side: Side) -> u64 {
        let gates = self.gates.iter().filter(|((_, s), _)| *s == side);
        gates.map(|(_, g)| g.earlier + g.started).sum()
    }

    /// The last window that a gate of the new version has reported; zero before its first report.
    pub fn reported_through(&self, gate: SocketAddr) -> WindowNumber {
        let totals = self.gates.get(&(gate, Side::New));
        totals.map_or(WindowNumber(0), |g| g.last_window)
    }

    /// Whether each of these targets of the old version was drained for at least this number of
    /// windows, up to a recent one.
    pub fn are_drained(&self, targets: &[SocketAddr], windows: u64, recent: WindowNumber) -> bool {
        targets.iter().all(|t| {
            let totals = self.gates.get(&(*t, Side::Old));
            totals.is_some_and(|g| g.drained_windows >= windows && g.last_window >= recent)
        })
    }
}
