//! How an attempt to run a request ended, and the evidence each end needs.

use derive_more::Display;

/// Header that tells a caller, or the node before, how the request ended.
pub const OUTCOME_HEADER: &str = "tarragon-outcome";

/// Why a request was not run. Each reason is evidence that the target did not see it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// No connection to the gate was made, so no byte was written.
    #[display("unreachable")]
    Unreachable,
    /// The gate is stopping, or its target is.
    #[display("leaving")]
    Leaving,
    /// The gate's queue for the class is full.
    #[display("queue-full")]
    QueueFull,
    /// The gate expects that the deadline would pass in the queue, or it did.
    #[display("deadline")]
    Deadline,
    /// The gate fenced the attempt before it was handed to the target.
    #[display("voided")]
    Voided,
    /// The request was sent to an earlier life of the gate.
    #[display("incarnation")]
    Incarnation,
    /// The request was too long under way, or the instances' clocks differ too much.
    #[display("stale")]
    Stale,
    /// The request did not prove that it came from a node of the fleet.
    #[display("not-authentic")]
    NotAuthentic,
    /// The target said that it shed the request.
    #[display("shed")]
    Shed,
    /// Another target than the one meant answered at the address.
    #[display("misdirected")]
    Misdirected,
    /// The target beside the gate has not said yet that it takes work.
    #[display("unannounced")]
    Unannounced,
    /// The service has no target that takes work.
    #[display("no-target")]
    NoTarget,
    /// The claim on the idempotency key could not be made.
    #[display("claim-unavailable")]
    ClaimUnavailable,
    /// The node does not hold a current configuration yet, or holds none for the request.
    #[display("not-ready")]
    NotReady,
    /// The caller broke off before the whole request was read.
    #[display("caller-gone")]
    CallerGone,
    /// The node's bound on requests in progress is reached.
    #[display("overloaded")]
    Overloaded,
}

impl NotRun {
    const ALL: [NotRun; 16] = [
        NotRun::Unreachable,
        NotRun::Leaving,
        NotRun::QueueFull,
        NotRun::Deadline,
        NotRun::Voided,
        NotRun::Incarnation,
        NotRun::Stale,
        NotRun::NotAuthentic,
        NotRun::Shed,
        NotRun::Misdirected,
        NotRun::Unannounced,
        NotRun::NoTarget,
        NotRun::ClaimUnavailable,
        NotRun::NotReady,
        NotRun::CallerGone,
        NotRun::Overloaded,
    ];

    /// Whether the target itself refused, so that the attempt cost it something.
    pub fn reached_target(self) -> bool {
        matches!(self, NotRun::Shed | NotRun::Misdirected)
    }
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The link broke after bytes were written, and the gate could not vouch.
    #[display("link-broken")]
    LinkBroken,
    /// The target's connection broke after the request was handed over.
    #[display("target-broken")]
    TargetBroken,
    /// What arrived is no whole answer to this request.
    #[display("stray-answer")]
    Stray,
    /// The deadline passed after the request was handed over.
    #[display("timeout")]
    Timeout,
    /// A copy of the request was admitted before.
    #[display("repeated")]
    Repeated,
    /// An earlier request with the same idempotency key has no known outcome.
    #[display("key-in-doubt")]
    KeyInDoubt,
}

impl UnknownReason {
    const ALL: [UnknownReason; 6] = [
        UnknownReason::LinkBroken,
        UnknownReason::TargetBroken,
        UnknownReason::Stray,
        UnknownReason::Timeout,
        UnknownReason::Repeated,
        UnknownReason::KeyInDoubt,
    ];
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target answered.
    #[display("answered")]
    Answered,
    /// The target did not run the request, and never will.
    #[display("not-run; {_0}")]
    NotRun(NotRun),
    /// The target may or may not have run the request.
    #[display("unknown; {_0}")]
    Unknown(UnknownReason),
}

impl Outcome {
    /// Whether the request may have arrived at the target.
    pub fn reached_target(self) -> bool {
        match self {
            Outcome::NotRun(reason) => reason.reached_target(),
            Outcome::Answered | Outcome::Unknown(_) => true,
        }
    }

    /// Reads the value of [`OUTCOME_HEADER`].
    ///
    /// ```
    /// use tarragoncourse::coordination::outcome::{NotRun, Outcome};
    /// let refused = Outcome::NotRun(NotRun::Shed);
    /// assert_eq!(Outcome::parse(&refused.to_string()), Some(refused));
    /// ```
    pub fn parse(text: &str) -> Option<Outcome> {
        if text == "answered" {
            return Some(Outcome::Answered);
        }
        let (end, reason) = text.split_once("; ")?;
        match end {
            "not-run" => NotRun::ALL
                .into_iter()
                .find(|r| r.to_string() == reason)
                .map(Outcome::NotRun),
            "unknown" => UnknownReason::ALL
                .into_iter()
                .find(|d| d.to_string() == reason)
                .map(Outcome::Unknown),
            _ => None,
        }
    }
}
