//! Outcomes of attempts to run a request, and the evidence that each one requires.

use derive_more::Display;

/// Response header that carries the outcome to the caller or to the previous node.
pub const OUTCOME_HEADER: &str = "tarragon-outcome";

/// Reason for which a request was not run. Each reason proves that the target did not process the
/// request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum NotRun {
    /// No connection to the gate was established, so no byte was sent.
    #[display("unreachable")]
    Unreachable,
    /// The gate or its target is stopping.
    #[display("leaving")]
    Leaving,
    /// The gate's queue is full, or the wait in it would be too long for the latency objective.
    #[display("queue-full")]
    QueueFull,
    /// The target accepts only a limited rate of requests, and the wait would be too long.
    #[display("rate-limited")]
    RateLimited,
    /// The deadline passed in the gate's queue, or leaves too little time for any target.
    #[display("deadline")]
    Deadline,
    /// The gate fenced the attempt before it was sent to the target.
    #[display("voided")]
    Voided,
    /// The request was addressed to another incarnation of the gate.
    #[display("incarnation")]
    Incarnation,
    /// The request took too long to reach the gate, or the clocks of the instances differ too much.
    #[display("stale")]
    Stale,
    /// The request carried no proof that it came from a node of the fleet.
    #[display("not-authentic")]
    NotAuthentic,
    /// The request carried no key of a workspace that the configuration contains.
    #[display("unknown-key")]
    UnknownKey,
    /// The workspace of the request is over its rate limit.
    #[display("over-quota")]
    OverQuota,
    /// The target reported that it shed the request.
    #[display("shed")]
    Shed,
    /// Another target than the expected one answered at the address.
    #[display("misdirected")]
    Misdirected,
    /// The gate's local target has not yet reported that it accepts requests.
    #[display("unannounced")]
    Unannounced,
    /// The service has no target that accepts requests.
    #[display("no-target")]
    NoTarget,
    /// The idempotency key could not be claimed.
    #[display("claim-unavailable")]
    ClaimUnavailable,
    /// The node has no current configuration yet, or its configuration does not cover the request.
    #[display("not-ready")]
    NotReady,
    /// The caller disconnected before the whole request was read.
    #[display("caller-gone")]
    CallerGone,
    /// The node's limit on requests in progress is reached.
    #[display("overloaded")]
    Overloaded,
    /// Too many targets have ended while they ran the same request.
    #[display("crashes-targets")]
    CrashesTargets,
    /// The service is being rolled out, and targets of this version take no more requests now.
    #[display("other-version")]
    OtherVersion,
}

impl NotRun {
    const ALL: [NotRun; 21] = [
        NotRun::Unreachable,
        NotRun::Leaving,
        NotRun::QueueFull,
        NotRun::RateLimited,
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
        NotRun::CrashesTargets,
        NotRun::UnknownKey,
        NotRun::OverQuota,
        NotRun::OtherVersion,
    ];

    /// Whether the request reached a target that did not run it, so that the attempt caused load
    /// there.
    pub fn reached_target(self) -> bool {
        matches!(self, NotRun::Shed | NotRun::Misdirected)
    }
}

/// Reason for which it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum UnknownReason {
    /// The connection broke after bytes were sent, and the gate could not tell what happened to the
    /// attempt.
    #[display("link-broken")]
    LinkBroken,
    /// The connection to the target broke after the request was sent.
    #[display("target-broken")]
    TargetBroken,
    /// The response is incomplete or does not belong to this request.
    #[display("stray-answer")]
    Stray,
    /// The deadline passed after the request was sent to the target.
    #[display("timeout")]
    Timeout,
    /// A duplicate of the request was admitted before.
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

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target answered the request.
    #[display("answered")]
    Answered,
    /// The target did not run the request and never will.
    #[display("not-run; {_0}")]
    NotRun(NotRun),
    /// The target may or may not have run the request.
    #[display("unknown; {_0}")]
    Unknown(UnknownReason),
}

impl Outcome {
    /// Whether the request may have reached the target.
    pub fn reached_target(self) -> bool {
        match self {
            Outcome::NotRun(reason) => reason.reached_target(),
            Outcome::Answered | Outcome::Unknown(_) => true,
        }
    }

    /// Parses the value of [`OUTCOME_HEADER`].
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
        let (outcome, reason) = text.split_once("; ")?;
        match outcome {
            "not-run" => NotRun::ALL
                .into_iter()
                .find(|r| r.to_string() == reason)
                .map(Outcome::NotRun),
            "unknown" => UnknownReason::ALL
                .into_iter()
                .find(|r| r.to_string() == reason)
                .map(Outcome::Unknown),
            _ => None,
        }
    }
}
