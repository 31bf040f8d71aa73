//! How recently the configuration was confirmed to be the platform's newest one.
//!
//! In a large fleet only a few nodes, the watchers, wait for changes in the platform. A node that hears
//! nothing new cannot tell whether nothing has changed or whether the watchers are lost, paused or
//! cut off. Silence is therefore not taken for news: the watchers ask the platform at short intervals,
//! and confirm to the fleet that as of that moment there was no newer version. A node without a recent
//! confirmation asks the platform itself, and confirms what it finds to the others in turn.
//!
//! The load pattern is the loss of all watchers at one moment. The first node to ask saves the
//! others the call, and goes on asking before they do, so the number of calls depends on the intervals
//! and not on the fleet, except while no node gets an answer. The intervals between unanswered calls
//! therefore grow.

use std::time::Duration;

use tokio::time::Instant;

use crate::state::id::Version;
use crate::state::revision::Revision;

/// Part of the apply time after which the node whose own call was the last confirmation asks the
/// platform again. It is so much shorter than those of the others that its confirmation reaches them
/// before they ask as well.
const LEADER_SHARE: f64 = 0.2;
/// Part of the apply time after which a watcher without a confirmation asks the platform.
const WATCHER_SHARE: f64 = 0.35;
/// Part of the apply time after which any other node does so. What is left of the apply time is for
/// reading the new version and for spreading it.
const FOLLOWER_SHARE: f64 = 0.55;
/// Largest random part by which a node asks earlier, so that few nodes ask at the same moment.
const JITTER: f64 = 0.2;
/// Number of nodes of which about one asks earlier by the whole of [`JITTER`]. Most ask hardly earlier,
/// so that the first few answers come before the others ask.
const EARLIEST_OF: f64 = 1000.0;
/// Part of the apply time by which a confirmation must be newer than the last one to be passed
/// on. It stops the spread of each confirmation, and of those of several nodes that asked at the
/// same time.
const NEWER_SHARE: f64 = 0.06;
/// Largest factor by which unanswered calls extend the interval.
const BACKOFF_MAX: u32 = 8;
/// Time after which a call without a result counts as lost, longer than any call takes.
const CALL_LOST_AFTER: Duration = Duration::from_secs(10);
/// Oldest confirmation that is taken into account.
pub const CONFIRMATION_AGE_MAX: Duration = Duration::from_secs(60);

/// States that at a moment in the past the platform held no newer version than this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The newest version in the platform.
    pub version: Version,
    /// Revision of the platform's store as of which that is known, if there is one from which the
    /// configuration can be watched.
    pub revision: Option<Revision>,
    /// Time since then.
    pub age: Duration,
}

/// Who asks the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A node that waits for changes in the platform.
    Watcher,
    /// Any other node.
    Follower,
}

/// What to do about the freshness of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessStep {
    /// The configuration was confirmed recently, or a call is in progress.
    Wait,
    /// Ask the platform whether there is a newer version: for changes after the revision if there is
    /// one, or else for the current version.
    Ask(Option<Revision>),
}

/// State machine for the freshness of one node's configuration.
#[derive(Debug)]
pub struct Freshness {
    /// Time within which a version must be in force after its acceptance.
    apply_time: Duration,
    /// Moment as of which the configuration is confirmed.
    confirmed_at: Instant,
    revision: Option<Revision>,
    /// Whether a call of this node was the last confirmation.
    leads: bool,
    /// When the call in progress was sent.
    asked_at: Option<Instant>,
    /// Calls without an answer since the last confirmation.
    failures: u32,
    /// No call starts before.
    not_before: Instant,
    /// Random number from 0 to 1 that decides how much earlier this node asks.
    draw: f64,
    rng: fastrand::Rng,
}

impl Freshness {
    /// Creates the state machine of a node that starts at `now`.
    pub fn new(apply_time: Duration, now: Instant, rng: fastrand::Rng) -> Freshness {
        let mut freshness = Freshness {
            apply_time,
            confirmed_at: now,
            revision: None,
            leads: false,
            asked_at: None,
            failures: 0,
            not_before: now,
            draw: 0.0,
            rng,
        };
        freshness.draw = freshness.rng.f64();
        freshness
    }

    /// Time since the moment as of which the configuration is confirmed.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.confirmed_at)
    }

    /// Revision of the platform's store as of which no version was newer than the one in force, if it is
    /// known.
    pub fn revision(&self) -> Option<Revision> {
        self.revision
    }

    /// Whether a node of some role may have to ask the platform.
    pub fn may_be_due(&self, now: Instant) -> bool {
        !self.is_asking(now) && self.age(now) >= self.interval(Role::Watcher)
    }

    /// Decides whether to ask the platform. The call counts as in progress until
    /// [`Freshness::record_answer`] or [`Freshness::record_failure`].
    pub fn next_step(&mut self, role: Role, now: Instant) -> FreshnessStep {
        if self.is_asking(now) || now < self.not_before || self.age(now) < self.interval(role) {
            return FreshnessStep::Wait;
        }
        self.asked_at = Some(now);
        FreshnessStep::Ask(self.revision)
    }

    /// Records an answer of the platform to a call that was sent at `asked_at`. Returns the
    /// confirmation for the other nodes, unless they have one that is about as recent. `version` is
    /// that of the platform, which this node has put in force.
    pub fn record_answer(
        &mut self,
        version: Version,
        revision: Option<Revision>,
        asked_at: Instant,
        now: Instant,
    ) -> Option<Confirmation> {
        self.asked_at = None;
        let newer = self.is_newer(asked_at);
        self.leads |= newer;
        self.confirm(asked_at, revision);
        let age = self.age(now);
        newer.then_some(Confirmation {
            version,
            revision,
            age,
        })
    }

    /// Records that the platform did not answer a call, or no longer has the history since the
    /// revision of the call (`compacted`).
    pub fn record_failure(&mut self, compacted: bool, role: Role, now: Instant) {
        self.asked_at = None;
        if compacted {
            self.revision = None;
            return;
        }
        let factor = (1 << self.failures.min(BACKOFF_MAX.ilog2())).min(BACKOFF_MAX);
        self.failures += 1;
        self.not_before = now + self.interval(role) * factor;
    }

    /// Handles a peer's confirmation, of a version that this node has in force. Returns what to pass on
    /// to other peers, if it is news.
    pub fn handle_confirmation(
        &mut self,
        confirmation: Confirmation,
        now: Instant,
    ) -> Option<Confirmation> {
        if confirmation.age > CONFIRMATION_AGE_MAX {
            return None;
        }
        let as_of = now.checked_sub(confirmation.age)?;
        if !self.is_newer(as_of) {
            return None;
        }
        self.leads = false;
        self.confirm(as_of, confirmation.revision);
        Some(confirmation)
    }

    /// Records that as of a moment, the version in force was the newest. `revision` is that of the
    /// platform's store.
    pub fn confirm(&mut self, as_of: Instant, revision: Option<Revision>) {
        if as_of < self.confirmed_at {
            return;
        }
        self.confirmed_at = as_of;
        self.revision = revision.or(self.revision);
        self.failures = 0;
        self.not_before = as_of;
        self.draw = self.rng.f64();
    }

    /// Records a later revision of the platform's store after which the next call may ask for changes.
    pub fn record_revision(&mut self, revision: Revision) {
        self.revision = Some(revision);
    }

    /// Records that the process was paused: timers did not run, and what was confirmed before may
    /// have changed since.
    pub fn record_pause(&mut self, length: Duration) {
        self.confirmed_at = self
            .confirmed_at
            .checked_sub(length)
            .unwrap_or(self.confirmed_at);
    }

    fn is_asking(&self, now: Instant) -> bool {
        self.asked_at.is_some_and(|at| now - at < CALL_LOST_AFTER)
    }

    fn is_newer(&self, as_of: Instant) -> bool {
        let step = self.apply_time.mul_f64(NEWER_SHARE);
        as_of >= self.confirmed_at + step
    }

    fn interval(&self, role: Role) -> Duration {
        // Several nodes may lead after they have asked at the same moment; an even spread parts them.
        if self.leads {
            return self
                .apply_time
                .mul_f64(LEADER_SHARE * (1.0 - JITTER * self.draw));
        }
        let share = match role {
            Role::Watcher => WATCHER_SHARE,
            Role::Follower => FOLLOWER_SHARE,
        };
        let earlier = -(1.0 - self.draw).ln() / EARLIEST_OF.ln();
        self.apply_time
            .mul_f64(share * (1.0 - JITTER * earlier.min(1.0)))
    }
}
