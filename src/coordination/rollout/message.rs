//! Messages between the node that decides a roll-out, the gates of the service and the ingresses.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, From};
use smallvec::SmallVec;

use super::Phase;
use super::counts::{AnswerCounts, RouteKey, Side, WindowNumber};
use crate::state::digest::DigestBuilder;
use crate::state::id::{Incarnation, Path};
use crate::state::member::TargetVersion;

/// Identifies one order to roll out a version of a service.
#[derive(Clone, Copy, Debug, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct RolloutId(pub u64);

impl RolloutId {
    /// Identifies the order for a service and a version. `order` is the revision at which it was
    /// written: a version may be ordered again after it was rolled back.
    pub fn new(service: &Path, version: &TargetVersion, order: u64) -> RolloutId {
        let mut builder = DigestBuilder::default();
        builder.text(service.as_str()).text(&version.0);
        let digest = builder.number(order).finish();
        let bytes = digest.0[..8].try_into();
        RolloutId(u64::from_le_bytes(
            bytes.expect("the slice has eight bytes"),
        ))
    }
}

/// Time for which [`Mode::Compare`] is in force after it was received. If the deciding node is lost,
/// the new version gets no more requests after this time.
pub const COMPARE_LEASE: Duration = Duration::from_secs(2);
/// Number of windows that [`COMPARE_LEASE`] reaches beyond the one in which a directive is sent.
pub const LEASE_WINDOWS: u64 = 2;

/// Fraction of requests, in units of 1/10,000.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(pub u16);

impl Share {
    /// Number of units of the whole.
    const WHOLE: f64 = 10_000.0;

    /// Returns the largest share that is not above a fraction.
    pub fn from_fraction(fraction: f64) -> Share {
        Share((fraction.clamp(0.0, 1.0) * Share::WHOLE) as u16)
    }

    /// The share as a fraction.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / Share::WHOLE
    }
}

/// Largest number of chosen targets, so that a directive fits into a datagram.
pub const CHOSEN_MAX: usize = 32;

/// New targets that take requests at the same time.
pub type ChosenTargets = SmallVec<[SocketAddr; 2]>;

/// Which targets requests are sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Only targets of the old version take requests, until the next directive.
    OldOnly,
    /// A share of the requests goes to the chosen targets of the new version.
    Compare {
        share: Share,
        /// Peer addresses of the chosen targets.
        targets: ChosenTargets,
        /// Number of requests that each chosen target may start under this directive.
        allowance: u32,
    },
    /// The version was rolled out: only its targets take requests. The others finish those that they
    /// run.
    NewOnly,
    /// The version was rolled back: only targets of the old version take requests.
    Stopped,
}

impl Mode {
    /// The decision that the mode announces. The store has accepted it before.
    pub fn decision(&self) -> Option<Phase> {
        match self {
            Mode::NewOnly => Some(Phase::Moving),
            Mode::Stopped => Some(Phase::Stopped),
            Mode::OldOnly | Mode::Compare { .. } => None,
        }
    }
}

/// What the deciding node tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    pub rollout: RolloutId,
    pub service: Path,
    pub version: TargetVersion,
    /// Window in which it was issued. A directive of a later window replaces it.
    pub issued: WindowNumber,
    pub mode: Mode,
}

/// Largest number of routes in a report, so that it fits into a datagram. A gate divides the counts
/// of more into several reports.
pub const ROUTES_PER_REPORT: usize = 4;

/// What a gate of the service counted in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateReport {
    pub rollout: RolloutId,
    pub side: Side,
    /// Incarnation of the node, with which `started` begins at zero.
    pub incarnation: Incarnation,
    pub window: WindowNumber,
    /// Number of requests that the target has started since the roll-out began.
    pub started: u64,
    /// Whether the gate follows [`Mode::NewOnly`], no attempt arrived in the window and none is in
    /// progress.
    pub drained: bool,
    pub routes: Vec<(RouteKey, AnswerCounts)>,
}
