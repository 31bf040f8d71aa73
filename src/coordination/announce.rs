//! What the target beside a node says of itself, where targets announce themselves.
//!
//! Reports may come late, twice, out of order, or from an earlier start of the target. Only the
//! newest start counts, and of its reports only the newest. A target that has said that it stops
//! stays stopped until it starts anew.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::member::{Beside, Health};

/// Silence after which a target may be followed by one whose start seems older: the time of day
/// may have been set back in between.
const START_ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// How far a target is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It takes work.
    Serving,
    /// It stops soon and takes no new work.
    Leaving,
}

/// One report of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the target instance.
    pub instance: Arc<str>,
    /// When it started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// Grows with each report of one start.
    pub sequence: u64,
    /// How far it is.
    pub stage: Stage,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time for which it is still slow after its start.
    pub warmup: Duration,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It changes what others should know.
    Changed,
    /// It repeats what is known.
    Known,
    /// It is older than what is known.
    Stale,
}

#[derive(Clone, Debug)]
struct LatestReport {
    report: Report,
    received_at: Instant,
    cold_until: Instant,
    /// The target refused connections since its last report.
    refused: bool,
}

/// The target beside this node, as far as it has announced itself.
#[derive(Debug, Default)]
pub struct AnnouncedTarget {
    latest: Option<LatestReport>,
    /// A target that left, as an earlier life of this node acknowledged.
    restored_leave: Option<(Arc<str>, u64)>,
}

impl AnnouncedTarget {
    /// Takes a report in.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::announce::{AnnouncedTarget, Heard, Report, Stage};
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut target = AnnouncedTarget::default();
    /// let report = Report {
    ///     instance: "cutbook-1".into(),
    ///     boot: 1000,
    ///     sequence: 2,
    ///     stage: Stage::Serving,
    ///     slots: 14,
    ///     warmup: Duration::ZERO,
    /// };
    /// assert_eq!(target.handle_report(report.clone(), now), Heard::Changed);
    /// let late = Report { sequence: 1, ..report };
    /// assert_eq!(target.handle_report(late, now), Heard::Stale);
    /// ```
    pub fn handle_report(&mut self, report: Report, now: Instant) -> Heard {
        if self.is_stale(&report, now) {
            return Heard::Stale;
        }
        let before = self.published_view(now);
        let mut report = report;
        if self.is_known_leaving(&report) {
            report.stage = Stage::Leaving;
        }
        self.latest = Some(LatestReport {
            cold_until: now + report.warmup,
            report,
            received_at: now,
            refused: false,
        });
        match self.published_view(now) == before {
            true => Heard::Known,
            false => Heard::Changed,
        }
    }

    /// The target says that it stops, and may say nothing more. `boot` is left out by targets that
    /// do not tell it.
    pub fn mark_leaving(&mut self, instance: &str, boot: Option<u64>) -> Heard {
        let Some(latest) = &mut self.latest else {
            let boot = boot.unwrap_or(u64::MAX);
            self.restored_leave = Some((instance.into(), boot));
            return Heard::Changed;
        };
        let other_start = boot.is_some_and(|b| b != latest.report.boot);
        if &*latest.report.instance != instance || other_start {
            return Heard::Stale;
        }
        if latest.report.stage == Stage::Leaving {
            return Heard::Known;
        }
        latest.report.stage = Stage::Leaving;
        Heard::Changed
    }

    /// An earlier life of this node published that the target leaves.
    pub fn restore_leaving(&mut self, beside: &Beside) -> Heard {
        if !beside.leaving {
            return Heard::Known;
        }
        self.restored_leave = Some((beside.instance.clone(), beside.report.0));
        match &mut self.latest {
            Some(k) if k.report.instance == beside.instance && k.report.boot == beside.report.0 => {
                k.report.stage = Stage::Leaving;
                Heard::Changed
            }
            _ => Heard::Known,
        }
    }

    /// The target refused a connection: it is down until it reports again.
    pub fn record_refusal(&mut self) -> Heard {
        match &mut self.latest {
            Some(k) if !k.refused => {
                k.refused = true;
                Heard::Changed
            }
            _ => Heard::Known,
        }
    }

    /// The name of the target, once it is known.
    pub fn instance(&self) -> Option<&Arc<str>> {
        self.latest.as_ref().map(|k| &k.report.instance)
    }

    /// Requests that the target runs at once.
    pub fn slots(&self) -> Option<u32> {
        self.latest.as_ref().map(|k| k.report.slots)
    }

    /// Whether the target has said that it stops.
    pub fn is_leaving(&self) -> bool {
        let leaving = |k: &LatestReport| k.report.stage == Stage::Leaving;
        self.latest.as_ref().is_some_and(leaving)
    }

    /// Start and number of the last report.
    pub fn last_report(&self) -> Option<(u64, u64)> {
        let latest = self.latest.as_ref();
        latest.map(|k| (k.report.boot, k.report.sequence))
    }

    /// Time since the last report.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.latest.as_ref().map(|k| now - k.received_at)
    }

    /// The health to publish.
    pub fn health(&self, now: Instant) -> Health {
        match &self.latest {
            None => Health::Down,
            Some(k) if k.refused || k.report.stage == Stage::Leaving => Health::Down,
            Some(k) if now < k.cold_until => Health::Cold,
            Some(_) => Health::Ready,
        }
    }

    fn published_view(&self, now: Instant) -> Option<(Arc<str>, u64, u32, Stage, Health)> {
        let k = self.latest.as_ref()?;
        let r = &k.report;
        Some((
            r.instance.clone(),
            r.boot,
            r.slots,
            r.stage,
            self.health(now),
        ))
    }

    fn is_stale(&self, report: &Report, now: Instant) -> bool {
        let Some(latest) = &self.latest else {
            return false;
        };
        let current = &latest.report;
        let timed_out = now - latest.received_at > START_ORDER_TIMEOUT;
        if report.instance == current.instance && report.boot == current.boot {
            return report.sequence <= current.sequence;
        }
        report.boot < current.boot && !timed_out
    }

    fn is_known_leaving(&self, report: &Report) -> bool {
        let latest = self.latest.as_ref().map(|k| &k.report);
        let before = latest.is_some_and(|k| {
            k.stage == Stage::Leaving && k.instance == report.instance && k.boot == report.boot
        });
        let restored = self
            .restored_leave
            .as_ref()
            .is_some_and(|(instance, boot)| *instance == report.instance && report.boot <= *boot);
        before || restored
    }
}
