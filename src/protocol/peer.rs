//! Requests and replies that nodes exchange over TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::wire::{WireDelta, WireError, WireSnapshot, convert_all, convert_valid};
use super::wire_member::{WireMemberRecord, is_peer_address};
use crate::coordination::claims::{ClaimOutcome, KeyHash, KeyOperation, KeyState};
use crate::coordination::distribution::PullReply;
use crate::coordination::gate::VoidOutcome;
use crate::coordination::outcome::Outcome;
use crate::coordination::transfer::TransferDecision;
use crate::state::id::{AttemptId, Incarnation, Version};
use crate::state::member::MemberRecord;

/// A request from one node to another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Requests the deltas after this version. The reply is the complete configuration if the
    /// version is zero or the peer does not have all of these deltas.
    Pull(Version),
    /// Requests the complete member table. Contains the record of the sender.
    Join(MemberRecord),
    /// Requests that the gate fences an attempt, so that it can no longer run. If the attempt has
    /// already been sent to the target, the reply contains its state instead.
    Void {
        /// The attempt.
        attempt: AttemptId,
        /// Incarnation of the node to which the attempt was sent.
        incarnation: Incarnation,
        /// Time since the attempt was sent.
        age: Duration,
    },
    /// Requests operations on idempotency keys. The receiving node applies them to the claim tables
    /// in the platform.
    Claim(Vec<KeyOperation>),
    /// Requests the current version of the node and the newest version that it knows of.
    Versions,
    /// Asks whether a large body may be sent to the gate.
    Transfer {
        /// Length of the body, in bytes.
        bytes: u64,
        /// Time within which the body should arrive, including the time until the transfer may
        /// start.
        time_limit: Option<Duration>,
    },
    /// Requests that the node takes over the record of the sender.
    Publish(MemberRecord),
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug)]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Pull`].
    Pull(PullReply),
    /// Reply to [`PeerRequest::Join`]: the member table and the newest known version.
    Table(Vec<MemberRecord>, Version),
    /// Reply to [`PeerRequest::Void`].
    Voided(VoidOutcome),
    /// Reply to [`PeerRequest::Claim`]: the outcomes in the order of the operations, or `None` if
    /// they are unknown, for example because the platform did not respond.
    Claims(Option<Vec<ClaimOutcome>>),
    /// Reply to [`PeerRequest::Versions`]: the current version and the newest known version.
    Versions(Version, Version),
    /// Reply to [`PeerRequest::Transfer`].
    Transfer(TransferDecision),
    /// Reply to [`PeerRequest::Publish`]: the node has the record.
    Published,
}

/// Maximum number of operations in a claim request.
pub const KEY_OPERATIONS_MAX: usize = 512;

/// Wire form of [`PeerRequest`]. Variants are encoded by their position.
#[derive(Serialize, Deserialize)]
enum WireRequest {
    Pull(u64),
    Join(WireMemberRecord),
    /// Attempt, incarnation, and time since the attempt was sent in milliseconds.
    Void(u128, u64, u64),
    Claim(Vec<WireKeyOperation>),
    Versions,
    /// Length of the body, and time limit in milliseconds.
    Transfer(u64, Option<u64>),
    Publish(WireMemberRecord),
}

/// Wire form of [`KeyOperation`]: the hashed key, the attempt that claims it and, for `Complete`,
/// the HTTP status. Variants are encoded by their position.
#[derive(Serialize, Deserialize)]
enum WireKeyOperation {
    Claim(u128, u128),
    Complete(u128, u128, u16),
    Release(u128, u128),
}

/// Wire form of [`PeerReply`]. Variants are encoded by their position.
#[derive(Serialize, Deserialize)]
enum WireReply {
    Deltas(Vec<WireDelta>),
    Snapshot(WireSnapshot),
    Busy(Vec<SocketAddr>),
    UpToDate,
    Failed,
    Table(Vec<WireMemberRecord>, u64),
    Fenced,
    Running,
    Ended(String),
    Indeterminate,
    Claims(Option<Vec<WireClaimOutcome>>),
    /// The current version and the newest known version.
    Versions(u64, u64),
    /// Whether the transfer is granted, and the time to wait in milliseconds.
    Transfer(bool, u64),
    Published,
}

/// Wire form of [`ClaimOutcome`]. Variants are encoded by their position.
#[derive(Serialize, Deserialize)]
enum WireClaimOutcome {
    Granted,
    Pending,
    Answered(u16),
    Full,
    Unsettled,
}

impl PeerRequest {
    /// Encodes the request.
    pub fn encode(&self) -> Vec<u8> {
        let wire = match self {
            PeerRequest::Pull(since) => WireRequest::Pull(since.0),
            PeerRequest::Join(record) => WireRequest::Join(record.into()),
            PeerRequest::Publish(record) => WireRequest::Publish(record.into()),
            PeerRequest::Void {
                attempt,
                incarnation,
                age,
            } => WireRequest::Void(attempt.0, incarnation.0, age.as_millis() as u64),
            PeerRequest::Versions => WireRequest::Versions,
            PeerRequest::Transfer { bytes, time_limit } => {
                WireRequest::Transfer(*bytes, time_limit.map(|t| t.as_millis() as u64))
            }
            PeerRequest::Claim(operations) => {
                WireRequest::Claim(operations.iter().map(WireKeyOperation::from).collect())
            }
        };
        postcard::to_stdvec(&wire).expect("serializing plain data cannot fail")
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// [`WireError`] when the request is malformed or a value is out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<PeerRequest, WireError> {
        Ok(match postcard::from_bytes(bytes)? {
            WireRequest::Pull(since) => PeerRequest::Pull(Version(since)),
            WireRequest::Join(record) => PeerRequest::Join(record.try_into()?),
            WireRequest::Publish(record) => PeerRequest::Publish(record.try_into()?),
            WireRequest::Void(attempt, incarnation, age) => PeerRequest::Void {
                attempt: AttemptId(attempt),
                incarnation: Incarnation(incarnation),
                age: Duration::from_millis(age),
            },
            WireRequest::Versions => PeerRequest::Versions,
            WireRequest::Transfer(bytes, time_limit) => PeerRequest::Transfer {
                bytes,
                time_limit: time_limit.map(Duration::from_millis),
            },
            WireRequest::Claim(operations) if operations.len() > KEY_OPERATIONS_MAX => {
                return Err(WireError::OutOfBounds("wishes"));
            }
            WireRequest::Claim(operations) => {
                PeerRequest::Claim(operations.into_iter().map(KeyOperation::from).collect())
            }
        })
    }
}

impl From<&KeyOperation> for WireKeyOperation {
    fn from(operation: &KeyOperation) -> WireKeyOperation {
        match *operation {
            KeyOperation::Claim(k, a) => WireKeyOperation::Claim(k.0, a.0),
            KeyOperation::Complete(k, a, status) => WireKeyOperation::Complete(k.0, a.0, status),
            KeyOperation::Release(k, a) => WireKeyOperation::Release(k.0, a.0),
        }
    }
}

impl From<WireKeyOperation> for KeyOperation {
    fn from(wire: WireKeyOperation) -> KeyOperation {
        match wire {
            WireKeyOperation::Claim(k, a) => KeyOperation::Claim(KeyHash(k), AttemptId(a)),
            WireKeyOperation::Complete(k, a, status) => {
                KeyOperation::Complete(KeyHash(k), AttemptId(a), status)
            }
            WireKeyOperation::Release(k, a) => KeyOperation::Release(KeyHash(k), AttemptId(a)),
        }
    }
}

impl PeerReply {
    /// Encodes the reply.
    pub fn encode(&self) -> Vec<u8> {
        let wire = match self {
            PeerReply::Pull(reply) => reply.into(),
            PeerReply::Table(records, version) => WireReply::Table(
                records.iter().map(WireMemberRecord::from).collect(),
                version.0,
            ),
            PeerReply::Versions(current, newest) => WireReply::Versions(current.0, newest.0),
            PeerReply::Published => WireReply::Published,
            PeerReply::Voided(VoidOutcome::Fenced) => WireReply::Fenced,
            PeerReply::Transfer(TransferDecision::SendAfter(wait)) => {
                WireReply::Transfer(true, wait.as_millis() as u64)
            }
            PeerReply::Transfer(TransferDecision::Refuse(wait)) => {
                WireReply::Transfer(false, wait.as_millis() as u64)
            }
            PeerReply::Voided(VoidOutcome::Running) => WireReply::Running,
            PeerReply::Voided(VoidOutcome::Ended(outcome)) => WireReply::Ended(outcome.to_string()),
            PeerReply::Voided(VoidOutcome::Indeterminate) => WireReply::Indeterminate,
            PeerReply::Claims(outcomes) => {
                let encode = |v: &Vec<ClaimOutcome>| v.iter().map(WireClaimOutcome::from).collect();
                WireReply::Claims(outcomes.as_ref().map(encode))
            }
        };
        postcard::to_stdvec(&wire).expect("serializing plain data cannot fail")
    }

    /// Decodes a reply.
    ///
    /// # Errors
    /// [`WireError`] when the reply is malformed, a value is out of bounds, or the digest of a
    /// configuration does not match.
    pub fn decode(bytes: &[u8]) -> Result<PeerReply, WireError> {
        Ok(match postcard::from_bytes(bytes)? {
            WireReply::Deltas(wire_deltas) => {
                let deltas = convert_all(wire_deltas)?.into_iter().map(Arc::new);
                PeerReply::Pull(PullReply::Deltas(deltas.collect()))
            }
            WireReply::Snapshot(wire) => {
                PeerReply::Pull(PullReply::Snapshot(Arc::new(wire.try_into()?)))
            }
            WireReply::Busy(mut others) => {
                others.retain(is_peer_address);
                PeerReply::Pull(PullReply::Busy(others))
            }
            WireReply::UpToDate => PeerReply::Pull(PullReply::UpToDate),
            WireReply::Failed => PeerReply::Pull(PullReply::Failed),
            WireReply::Table(wire_records, version) => {
                PeerReply::Table(convert_valid(wire_records), Version(version))
            }
            WireReply::Versions(current, newest) => {
                PeerReply::Versions(Version(current), Version(newest))
            }
            WireReply::Fenced => PeerReply::Voided(VoidOutcome::Fenced),
            WireReply::Published => PeerReply::Published,
            WireReply::Transfer(granted, wait) => {
                let wait = Duration::from_millis(wait);
                PeerReply::Transfer(match granted {
                    true => TransferDecision::SendAfter(wait),
                    false => TransferDecision::Refuse(wait),
                })
            }
            WireReply::Running => PeerReply::Voided(VoidOutcome::Running),
            WireReply::Ended(text) => {
                let outcome = Outcome::parse(&text).ok_or(WireError::OutOfBounds("outcome"))?;
                PeerReply::Voided(VoidOutcome::Ended(outcome))
            }
            WireReply::Indeterminate => PeerReply::Voided(VoidOutcome::Indeterminate),
            WireReply::Claims(wire_outcomes) => {
                let decode = |w: Vec<WireClaimOutcome>| w.into_iter().map(Into::into).collect();
                PeerReply::Claims(wire_outcomes.map(decode))
            }
        })
    }
}

impl From<&PullReply> for WireReply {
    fn from(reply: &PullReply) -> WireReply {
        match reply {
            PullReply::Deltas(deltas) => {
                WireReply::Deltas(deltas.iter().map(|d| WireDelta::from(&**d)).collect())
            }
            PullReply::Snapshot(snapshot) => WireReply::Snapshot((&**snapshot).into()),
            PullReply::Busy(others) => WireReply::Busy(others.clone()),
            PullReply::UpToDate => WireReply::UpToDate,
            PullReply::Failed => WireReply::Failed,
        }
    }
}

impl From<&ClaimOutcome> for WireClaimOutcome {
    fn from(outcome: &ClaimOutcome) -> WireClaimOutcome {
        match outcome {
            ClaimOutcome::Granted => WireClaimOutcome::Granted,
            ClaimOutcome::Held(KeyState::Pending) => WireClaimOutcome::Pending,
            ClaimOutcome::Held(KeyState::Answered(status)) => WireClaimOutcome::Answered(*status),
            ClaimOutcome::Full => WireClaimOutcome::Full,
            ClaimOutcome::Unsettled => WireClaimOutcome::Unsettled,
        }
    }
}

impl From<WireClaimOutcome> for ClaimOutcome {
    fn from(wire: WireClaimOutcome) -> ClaimOutcome {
        match wire {
            WireClaimOutcome::Granted => ClaimOutcome::Granted,
            WireClaimOutcome::Pending => ClaimOutcome::Held(KeyState::Pending),
            WireClaimOutcome::Answered(status) => ClaimOutcome::Held(KeyState::Answered(status)),
            WireClaimOutcome::Full => ClaimOutcome::Full,
            WireClaimOutcome::Unsettled => ClaimOutcome::Unsettled,
        }
    }
}
