//! Wire forms of the messages of a roll-out, and its values in the platform.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::wire::WireError;
use super::wire_member::is_peer_address;
use crate::coordination::rollout::counts::{
    AnswerCounts, RouteKey, Side, TIME_BUCKETS, TimeHistogram, WindowNumber,
};
use crate::coordination::rollout::exposure::StartedRequests;
use crate::coordination::rollout::message::{
    CHOSEN_MAX, Directive, GateReport, Mode, ROUTES_PER_REPORT, RolloutId, Share,
};
use crate::coordination::rollout::{Phase, RolloutOrder, RolloutStatus, StoredRollout};
use crate::state::id::{Incarnation, Path};
use crate::state::member::{TargetVersion, VERSION_MAX_BYTES};

/// Prefix of the keys of orders.
pub const ORDER_PREFIX: &str = "rollout/order/";

/// Key of the order to roll out a version of a service.
pub fn order_key(service: &Path) -> String {
    format!("{ORDER_PREFIX}{service}")
}

/// Key of what the operator is told about the roll-out of a service.
pub fn status_key(service: &Path) -> String {
    format!("rollout/status/{service}")
}

/// Key of the state of the roll-out of a service, for the node that decides next.
pub fn state_key(service: &Path) -> String {
    format!("rollout/state/{service}")
}

/// Leased key of the node that decides the roll-out of a service.
pub fn decider_key(service: &Path) -> String {
    format!("rollout/decider/{service}")
}

/// Returns the version of a target, unless its text is empty or too long.
///
/// # Errors
/// [`WireError::OutOfBounds`] if the text is not a version.
pub fn parse_version(text: &str) -> Result<TargetVersion, WireError> {
    match text.len() {
        1..=VERSION_MAX_BYTES => Ok(TargetVersion(text.into())),
        _ => Err(WireError::OutOfBounds("version")),
    }
}

/// Wire form of [`Directive`].
#[derive(Serialize, Deserialize)]
pub struct WireDirective {
    rollout: u64,
    service: String,
    version: String,
    issued: u64,
    mode: WireMode,
}

/// Wire form of [`Mode`]. Variants are encoded by their position.
#[derive(Serialize, Deserialize)]
enum WireMode {
    OldOnly,
    /// Share, chosen targets, allowance.
    Compare(u16, Vec<SocketAddr>, u32),
    NewOnly,
    Stopped,
}

impl From<&Directive> for WireDirective {
    fn from(d: &Directive) -> WireDirective {
        WireDirective {
            rollout: d.rollout.0,
            service: d.service.to_string(),
            version: d.version.to_string(),
            issued: d.issued.0,
            mode: match &d.mode {
                Mode::OldOnly => WireMode::OldOnly,
                Mode::Compare {
                    share,
                    targets,
                    allowance,
                } => WireMode::Compare(share.0, targets.to_vec(), *allowance),
                Mode::NewOnly => WireMode::NewOnly,
                Mode::Stopped => WireMode::Stopped,
            },
        }
    }
}

impl TryFrom<WireDirective> for Directive {
    type Error = WireError;

    fn try_from(wire: WireDirective) -> Result<Directive, WireError> {
        Ok(Directive {
            rollout: RolloutId(wire.rollout),
            service: Path::new(&wire.service)?,
            version: parse_version(&wire.version)?,
            issued: WindowNumber(wire.issued),
            mode: wire.mode.try_into()?,
        })
    }
}

impl TryFrom<WireMode> for Mode {
    type Error = WireError;

    fn try_from(wire: WireMode) -> Result<Mode, WireError> {
        Ok(match wire {
            WireMode::OldOnly => Mode::OldOnly,
            WireMode::NewOnly => Mode::NewOnly,
            WireMode::Stopped => Mode::Stopped,
            WireMode::Compare(share, targets, allowance) => {
                if targets.len() > CHOSEN_MAX || !targets.iter().all(is_peer_address) {
                    return Err(WireError::OutOfBounds("targets"));
                }
                Mode::Compare {
                    share: Share(share),
                    targets: targets.into(),
                    allowance,
                }
            }
        })
    }
}

/// Wire form of [`GateReport`].
#[derive(Serialize, Deserialize)]
pub struct WireGateReport {
    rollout: u64,
    is_new: bool,
    incarnation: u64,
    window: u64,
    started: u64,
    drained: bool,
    routes: Vec<WireAnswerCounts>,
}

/// The key of a route and wire form of its [`AnswerCounts`]: the failures, and the buckets of the
/// response times that are not zero.
#[derive(Serialize, Deserialize)]
struct WireAnswerCounts(u32, u32, Vec<(u8, u32)>);

impl From<&GateReport> for WireGateReport {
    fn from(r: &GateReport) -> WireGateReport {
        WireGateReport {
            rollout: r.rollout.0,
            is_new: r.side == Side::New,
            incarnation: r.incarnation.0,
            window: r.window.0,
            started: r.started,
            drained: r.drained,
            routes: r.routes.iter().map(WireAnswerCounts::from).collect(),
        }
    }
}

impl From<&(RouteKey, AnswerCounts)> for WireAnswerCounts {
    fn from((key, counts): &(RouteKey, AnswerCounts)) -> WireAnswerCounts {
        let buckets = (0..).zip(counts.times.0).filter(|(_, n)| *n > 0);
        WireAnswerCounts(key.0, counts.failures, buckets.collect())
    }
}

impl TryFrom<WireGateReport> for GateReport {
    type Error = WireError;

    fn try_from(wire: WireGateReport) -> Result<GateReport, WireError> {
        if wire.routes.len() > ROUTES_PER_REPORT {
            return Err(WireError::OutOfBounds("routes"));
        }
        let routes = wire.routes.into_iter().map(TryInto::try_into);
        Ok(GateReport {
            rollout: RolloutId(wire.rollout),
            side: if wire.is_new { Side::New } else { Side::Old },
            incarnation: Incarnation(wire.incarnation),
            window: WindowNumber(wire.window),
            // Totals over all gates must not overflow.
            started: wire.started.min(u32::MAX.into()),
            drained: wire.drained,
            routes: routes.collect::<Result<_, WireError>>()?,
        })
    }
}

impl TryFrom<WireAnswerCounts> for (RouteKey, AnswerCounts) {
    type Error = WireError;

    fn try_from(wire: WireAnswerCounts) -> Result<(RouteKey, AnswerCounts), WireError> {
        let WireAnswerCounts(key, failures, buckets) = wire;
        let mut times = TimeHistogram::default();
        for (bucket, n) in buckets {
            let index = usize::from(bucket);
            if index >= TIME_BUCKETS {
                return Err(WireError::OutOfBounds("bucket"));
            }
            times.0[index] = n;
        }
        Ok((RouteKey(key), AnswerCounts { failures, times }))
    }
}

/// An order as stored by [`order_key`].
#[derive(Serialize, Deserialize)]
struct OrderDocument {
    service: String,
    target_version: String,
    duration_ms: u64,
}

/// Longest duration of a roll-out.
const DURATION_MAX: Duration = Duration::from_secs(7 * 24 * 3600);

/// Encodes an order. Its revision is that of the key.
pub fn encode_order(order: &RolloutOrder) -> String {
    let document = OrderDocument {
        service: order.service.to_string(),
        target_version: order.version.to_string(),
        duration_ms: u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX),
    };
    serde_json::to_string(&document).expect("serializing plain data cannot fail")
}

/// Decodes an order that was written at a revision.
///
/// # Errors
/// [`WireError`] if the text is not an order.
pub fn decode_order(text: &str, revision: u64) -> Result<RolloutOrder, WireError> {
    let document: OrderDocument = serde_json::from_str(text).map_err(|_| WireError::Malformed)?;
    Ok(RolloutOrder {
        service: Path::new(&document.service)?,
        version: parse_version(&document.target_version)?,
        duration: Duration::from_millis(document.duration_ms).min(DURATION_MAX),
        revision,
    })
}

/// The state as stored by [`state_key`].
#[derive(Serialize, Deserialize)]
struct StateDocument {
    rollout: u64,
    phase: String,
    began: u64,
    started_old: u64,
    started_new: u64,
}

/// The phases; each is stored as its text.
const PHASES: [Phase; 3] = [Phase::Comparing, Phase::Moving, Phase::Stopped];

/// Encodes the state of a roll-out.
pub fn encode_state(state: &StoredRollout) -> String {
    let document = StateDocument {
        rollout: state.rollout.0,
        phase: state.phase.to_string(),
        began: state.began.0,
        started_old: state.started.old,
        started_new: state.started.new,
    };
    serde_json::to_string(&document).expect("serializing plain data cannot fail")
}

/// Decodes the state of a roll-out.
///
/// # Errors
/// [`WireError`] if the text is not such a state.
pub fn decode_state(text: &str) -> Result<StoredRollout, WireError> {
    let document: StateDocument = serde_json::from_str(text).map_err(|_| WireError::Malformed)?;
    let phase = PHASES.into_iter().find(|p| p.to_string() == document.phase);
    Ok(StoredRollout {
        rollout: RolloutId(document.rollout),
        phase: phase.ok_or(WireError::OutOfBounds("phase"))?,
        began: WindowNumber(document.began),
        started: StartedRequests {
            old: document.started_old.min(u32::MAX.into()),
            new: document.started_new.min(u32::MAX.into()),
        },
    })
}

/// What the operator is told, as stored by [`status_key`].
#[derive(Serialize, Deserialize)]
struct StatusDocument {
    state: String,
    target_version: String,
    /// Identifies the order that the state belongs to.
    rollout: u64,
}

/// The states; each is stored as its text.
const STATUSES: [RolloutStatus; 3] = [
    RolloutStatus::Running,
    RolloutStatus::Completed,
    RolloutStatus::RolledBack,
];

/// Encodes what the operator is told about an order.
pub fn encode_status(order: &RolloutOrder, status: RolloutStatus) -> String {
    let document = StatusDocument {
        state: status.to_string(),
        target_version: order.version.to_string(),
        rollout: order.id().0,
    };
    serde_json::to_string(&document).expect("serializing plain data cannot fail")
}

/// Decodes what the operator was told about an order; `None` if it belongs to another one.
pub fn decode_status(text: &str, order: &RolloutOrder) -> Option<RolloutStatus> {
    let document: StatusDocument = serde_json::from_str(text).ok()?;
    let status = STATUSES
        .into_iter()
        .find(|s| s.to_string() == document.state);
    status.filter(|_| document.rollout == order.id().0)
}
