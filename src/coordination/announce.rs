//! What the target beside a node says of itself, where targets announce themselves.
//!
//! Reports may come late, twice, out of order, or from an earlier start of the target. Only the
//! newest start counts, and of its reports only the newest. A target that has said that it stops
//! stays stopped until it starts anew.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::member::{Health, TargetRecord};

/// Silence after which a target may be followed by one whose start seems older: the time of day
/// may have been set back in between.
const SILENCE: Duration = Duration::from_secs(5);

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
    pub cold: Duration,
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
struct Known {
    report: Report,
    heard: Instant,
    cold_until: Instant,
    /// The target refused connections since its last report.
    refused: bool,
}

/// The target beside this node, as far as it has announced itself.
#[derive(Debug, Default)]
pub struct Announced {
    known: Option<Known>,
    /// A target that left, as an earlier life of this node acknowledged.
    left: Option<(Arc<str>, u64)>,
}

impl Announced {
    /// Takes a report in.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::announce::{Announced, Heard, Report, Stage};
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut target = Announced::default();
    /// let report = Report {
    ///     instance: "cutbook-1".into(),
    ///     boot: 1000,
    ///     sequence: 2,
    ///     stage: Stage::Serving,
    ///     slots: 14,
    ///     cold: Duration::ZERO,
    /// };
    /// assert_eq!(target.hear(report.clone(), now), Heard::Changed);
    /// let late = Report { sequence: 1, ..report };
    /// assert_eq!(target.hear(late, now), Heard::Stale);
    /// ```
    pub fn hear(&mut self, report: Report, now: Instant) -> Heard {
        if self.is_stale(&report, now) {
            return Heard::Stale;
        }
        let before = self.view(now);
        let mut report = report;
        if self.has_left(&report) {
            report.stage = Stage::Leaving;
        }
        self.known = Some(Known {
            cold_until: now + report.cold,
            report,
            heard: now,
            refused: false,
        });
        match self.view(now) == before {
            true => Heard::Known,
            false => Heard::Changed,
        }
    }

    /// The target says that it stops, and may say nothing more. `boot` is left out by targets that
    /// do not tell it.
    pub fn leave(&mut self, instance: &str, boot: Option<u64>) -> Heard {
        let Some(known) = &mut self.known else {
            let boot = boot.unwrap_or(u64::MAX);
            self.left = Some((instance.into(), boot));
            return Heard::Changed;
        };
        let other = boot.is_some_and(|b| b != known.report.boot);
        if &*known.report.instance != instance || other {
            return Heard::Stale;
        }
        if known.report.stage == Stage::Leaving {
            return Heard::Known;
        }
        known.report.stage = Stage::Leaving;
        Heard::Changed
    }

    /// An earlier life of this node published that the target leaves.
    pub fn recall(&mut self, beside: &TargetRecord) -> Heard {
        if !beside.leaving {
            return Heard::Known;
        }
        self.left = Some((beside.instance.clone(), beside.last_report.0));
        match &mut self.known {
            Some(k)
                if k.report.instance == beside.instance
                    && k.report.boot == beside.last_report.0 =>
            {
                k.report.stage = Stage::Leaving;
                Heard::Changed
            }
            _ => Heard::Known,
        }
    }

    /// The target refused a connection: it is down until it reports again.
    pub fn refused(&mut self) -> Heard {
        match &mut self.known {
            Some(k) if !k.refused => {
                k.refused = true;
                Heard::Changed
            }
            _ => Heard::Known,
        }
    }

    /// The name of the target, once it is known.
    pub fn instance(&self) -> Option<&Arc<str>> {
        self.known.as_ref().map(|k| &k.report.instance)
    }

    /// Requests that the target runs at once.
    pub fn slots(&self) -> Option<u32> {
        self.known.as_ref().map(|k| k.report.slots)
    }

    /// Whether the target has said that it stops.
    pub fn is_leaving(&self) -> bool {
        let leaving = |k: &Known| k.report.stage == Stage::Leaving;
        self.known.as_ref().is_some_and(leaving)
    }

    /// Start and number of the last report.
    pub fn last(&self) -> Option<(u64, u64)> {
        let known = self.known.as_ref();
        known.map(|k| (k.report.boot, k.report.sequence))
    }

    /// Time since the last report.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.known.as_ref().map(|k| now - k.heard)
    }

    /// The health to publish.
    pub fn health(&self, now: Instant) -> Health {
        match &self.known {
            None => Health::Down,
            Some(k) if k.refused || k.report.stage == Stage::Leaving => Health::Down,
            Some(k) if now < k.cold_until => Health::Cold,
            Some(_) => Health::Ready,
        }
    }

    fn view(&self, now: Instant) -> Option<(Arc<str>, u64, u32, Stage, Health)> {
        let k = self.known.as_ref()?;
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
        let Some(known) = &self.known else {
            return false;
        };
        let held = &known.report;
        let silent = now - known.heard > SILENCE;
        if report.instance == held.instance && report.boot == held.boot {
            return report.sequence <= held.sequence;
        }
        report.boot < held.boot && !silent
    }

    fn has_left(&self, report: &Report) -> bool {
        let known = self.known.as_ref().map(|k| &k.report);
        let before = known.is_some_and(|k| {
            k.stage == Stage::Leaving && k.instance == report.instance && k.boot == report.boot
        });
        let recalled = self
            .left
            .as_ref()
            .is_some_and(|(instance, boot)| *instance == report.instance && report.boot <= *boot);
        before || recalled
    }
}
