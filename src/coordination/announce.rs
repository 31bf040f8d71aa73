//! State of a node's local target, built from the reports that the target sends about itself.
//!
//! Reports may arrive late, twice, out of order, or from an earlier start of the target. Only
//! reports of the newest start are used, and of those only the one with the highest sequence
//! number. A target that has reported that it is leaving stays in that state until it starts again.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::state::member::{Health, TargetRecord, TargetStart, TargetVersion};

/// After this long without a report, a report of another instance with an earlier start time than the
/// last one is accepted: the clock may have been set back before that instance started.
const START_ORDER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an instance must report an earlier start than before, in order, until it is believed
/// that it has started again after its clock was set back. Reports of the earlier start that are
/// merely late arrive over a shorter time. Requests name only the instance, so the target itself
/// would not refuse those that are meant for its earlier start.
const RESTART_PROOF_TIME: Duration = Duration::from_secs(15);

/// Lifecycle stage of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Accepts requests.
    Serving,
    /// Will stop soon and accepts no new requests.
    Leaving,
}

/// A report that a target sends about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetReport {
    /// Name of the target instance.
    pub instance: Arc<str>,
    /// Start time of the target process, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// Sequence number of the report, which increases with each report until the target restarts.
    pub sequence: u64,
    /// Lifecycle stage.
    pub stage: Stage,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Time after this report for which the target is still slow because it started recently. It is
    /// published as [`Health::Cold`] during this time.
    pub warmup: Duration,
    /// Software version of the target, if it reports one.
    pub version: Option<TargetVersion>,
}

/// Effect of a report or another event on the published state of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateOutcome {
    /// The published state of the target has changed, or a leave notice was recorded for a target
    /// that has not reported yet.
    Changed,
    /// The published state of the target is unchanged.
    Known,
    /// The report is older than the last one, or concerns another instance or start; it was
    /// ignored.
    Stale,
}

#[derive(Clone, Debug)]
struct LatestReport {
    report: TargetReport,
    received_at: Instant,
    /// End of the warm-up that the report announced.
    cold_until: Instant,
    /// The target has refused a connection since its last report.
    refused: bool,
}

/// State of the local target of this node.
#[derive(Debug, Default)]
pub struct AnnouncedTarget {
    latest: Option<LatestReport>,
    /// Instance and start time of a target that is known to be leaving although it has not reported
    /// to this process: from a leave notice, or from the record that an earlier incarnation of this
    /// node published. The start time is `u64::MAX` if the notice did not give one.
    recorded_leave: Option<(Arc<str>, u64)>,
    /// Reports of an earlier start of the current instance since its last report.
    earlier_reports: Option<EarlierReports>,
}

/// Reports of an earlier start of the instance than the one that is believed.
#[derive(Debug)]
struct EarlierReports {
    boot: u64,
    /// Sequence number of the last one.
    sequence: u64,
    /// When the first one arrived.
    since: Instant,
}

impl AnnouncedTarget {
    /// Handles a report.
    ///
    /// ```
    /// use std::time::Duration;
    /// use tarragoncourse::coordination::announce::{
    ///     AnnouncedTarget, Stage, TargetReport, UpdateOutcome,
    /// };
    /// use tokio::time::Instant;
    ///
    /// let now = Instant::now();
    /// let mut target = AnnouncedTarget::default();
    /// let report = TargetReport {
    ///     instance: "cutbook-1".into(),
    ///     boot: 1000,
    ///     sequence: 2,
    ///     stage: Stage::Serving,
    ///     slots: 14,
    ///     warmup: Duration::ZERO,
    ///     version: None,
    /// };
    /// assert_eq!(target.handle_report(report.clone(), now), UpdateOutcome::Changed);
    /// let late = TargetReport { sequence: 1, ..report };
    /// assert_eq!(target.handle_report(late, now), UpdateOutcome::Stale);
    /// ```
    pub fn handle_report(&mut self, report: TargetReport, now: Instant) -> UpdateOutcome {
        if self.is_stale(&report, now) {
            return UpdateOutcome::Stale;
        }
        let before = self.published_view(now);
        let mut report = report;
        if self.is_known_leaving(&report) {
            report.stage = Stage::Leaving;
        }
        self.earlier_reports = None;
        self.latest = Some(LatestReport {
            cold_until: now + report.warmup,
            report,
            received_at: now,
            refused: false,
        });
        match self.published_view(now) == before {
            true => UpdateOutcome::Known,
            false => UpdateOutcome::Changed,
        }
    }

    /// Marks the target as leaving after a leave notice. The target may send no further reports.
    /// `boot` is its start time, or `None` if the notice does not contain it.
    pub fn mark_leaving(&mut self, instance: &str, boot: Option<u64>) -> UpdateOutcome {
        let Some(latest) = &mut self.latest else {
            let boot = boot.unwrap_or(u64::MAX);
            self.recorded_leave = Some((instance.into(), boot));
            return UpdateOutcome::Changed;
        };
        let boot = boot.unwrap_or(latest.report.boot);
        if &*latest.report.instance != instance || boot < latest.report.boot {
            return UpdateOutcome::Stale;
        }
        // A later start may leave before any of its reports has arrived.
        if boot > latest.report.boot {
            latest.report.boot = boot;
            latest.report.sequence = 0;
        }
        if latest.report.stage == Stage::Leaving {
            return UpdateOutcome::Known;
        }
        latest.report.stage = Stage::Leaving;
        UpdateOutcome::Changed
    }

    /// Marks the target as leaving if `record`, which an earlier incarnation of this node
    /// published, says so.
    pub fn restore_leaving(&mut self, record: &TargetRecord) -> UpdateOutcome {
        if !record.leaving {
            return UpdateOutcome::Known;
        }
        self.recorded_leave = Some((record.instance.clone(), record.last_report.0));
        match &mut self.latest {
            Some(latest)
                if latest.report.instance == record.instance
                    && latest.report.boot == record.last_report.0 =>
            {
                latest.report.stage = Stage::Leaving;
                UpdateOutcome::Changed
            }
            _ => UpdateOutcome::Known,
        }
    }

    /// Records that the target refused a connection. It counts as down until its next report.
    pub fn record_refusal(&mut self) -> UpdateOutcome {
        match &mut self.latest {
            Some(latest) if !latest.refused => {
                latest.refused = true;
                UpdateOutcome::Changed
            }
            _ => UpdateOutcome::Known,
        }
    }

    /// Instance name of the target, or `None` before the first report.
    pub fn instance(&self) -> Option<&Arc<str>> {
        self.latest.as_ref().map(|latest| &latest.report.instance)
    }

    /// Instance name and start time of the target, or `None` before the first report.
    pub fn start(&self) -> Option<TargetStart> {
        let latest = self.latest.as_ref()?;
        Some((latest.report.instance.clone(), latest.report.boot))
    }

    /// Start of a target that is known to be leaving, although it has not reported to this process.
    /// `None` after its first report, and if its start time is not known.
    pub fn unreported_leave(&self) -> Option<TargetStart> {
        let (instance, boot) = self.recorded_leave.as_ref()?;
        let is_known = self.latest.is_none() && *boot != u64::MAX;
        is_known.then(|| (instance.clone(), *boot))
    }

    /// Software version of the target, if it has reported one.
    pub fn version(&self) -> Option<&TargetVersion> {
        self.latest.as_ref()?.report.version.as_ref()
    }

    /// Number of requests that the target runs concurrently, or `None` before the first report.
    pub fn slots(&self) -> Option<u32> {
        self.latest.as_ref().map(|latest| latest.report.slots)
    }

    /// Whether the target has sent a report and is marked as leaving.
    pub fn is_leaving(&self) -> bool {
        let leaving = |latest: &LatestReport| latest.report.stage == Stage::Leaving;
        self.latest.as_ref().is_some_and(leaving)
    }

    /// Start time of the target and sequence number of its last report.
    pub fn last_report(&self) -> Option<(u64, u64)> {
        let latest = self.latest.as_ref();
        latest.map(|latest| (latest.report.boot, latest.report.sequence))
    }

    /// Time since the last report was received.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.latest.as_ref().map(|latest| now - latest.received_at)
    }

    /// Health to publish for the target.
    pub fn health(&self, now: Instant) -> Health {
        match &self.latest {
            None => Health::Down,
            Some(latest) if latest.refused || latest.report.stage == Stage::Leaving => Health::Down,
            Some(latest) if now < latest.cold_until => Health::Cold,
            Some(_) => Health::Ready,
        }
    }

    fn published_view(&self, now: Instant) -> Option<(Arc<str>, u64, u32, Stage, Health)> {
        let latest = self.latest.as_ref()?;
        let r = &latest.report;
        Some((
            r.instance.clone(),
            r.boot,
            r.slots,
            r.stage,
            self.health(now),
        ))
    }

    fn is_stale(&mut self, report: &TargetReport, now: Instant) -> bool {
        let Some(latest) = &self.latest else {
            return false;
        };
        let current = &latest.report;
        let timed_out = now - latest.received_at > START_ORDER_TIMEOUT;
        if report.boot >= current.boot {
            let same_start = report.instance == current.instance && report.boot == current.boot;
            return same_start && report.sequence <= current.sequence;
        }
        match report.instance == current.instance {
            true => !self.proves_restart(report, now),
            false => !timed_out,
        }
    }

    /// Whether the instance has reported an earlier start than before for so long that it must have
    /// started again after its clock was set back.
    fn proves_restart(&mut self, report: &TargetReport, now: Instant) -> bool {
        match &mut self.earlier_reports {
            Some(earlier) if earlier.boot == report.boot => {
                if report.sequence <= earlier.sequence {
                    return false;
                }
                earlier.sequence = report.sequence;
                now - earlier.since >= RESTART_PROOF_TIME
            }
            _ => {
                self.earlier_reports = Some(EarlierReports {
                    boot: report.boot,
                    sequence: report.sequence,
                    since: now,
                });
                false
            }
        }
    }

    fn is_known_leaving(&self, report: &TargetReport) -> bool {
        let latest = self.latest.as_ref().map(|latest| &latest.report);
        let reported = latest.is_some_and(|r| {
            r.stage == Stage::Leaving && r.instance == report.instance && r.boot == report.boot
        });
        let recorded = self
            .recorded_leave
            .as_ref()
            .is_some_and(|(instance, boot)| *instance == report.instance && report.boot <= *boot);
        reported || recorded
    }
}
