//! Requests and replies between nodes over TCP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::wire::{WireDelta, WireError, WireRecord, WireSnapshot, convert};
use crate::coordination::claims::{ClaimOutcome, KeyHash, KeyOperation, KeyState};
use crate::coordination::distribution::PullResponse;
use crate::coordination::gate::VoidOutcome;
use crate::coordination::outcome::Outcome;
use crate::coordination::transfer::TransferDecision;
use crate::state::id::{AttemptId, Incarnation, Version};
use crate::state::member::Record;

/// What one node asks of another.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// What follows this version; zero asks for the whole.
    Pull(Version),
    /// The whole member table; the asker presents itself.
    Join(Record),
    /// Fence an attempt, or tell what became of it.
    Void {
        /// The attempt.
        attempt: AttemptId,
        /// The life of the gate that the attempt was sent to.
        incarnation: Incarnation,
        /// Time since it was sent.
        age: Duration,
    },
    /// Write these wishes into the claim books.
    Claim(Vec<KeyOperation>),
    /// The versions in force and heard of.
    Held,
    /// May a large body be sent to the gate?
    Transfer {
        /// Length of the body, in bytes.
        bytes: u64,
        /// Time within which it should have arrived.
        patience: Option<Duration>,
    },
}

/// What a node answers.
#[derive(Clone, Debug)]
pub enum PeerReply {
    /// Answer to a pull.
    Pulled(PullResponse),
    /// Answer to a join: the member table and the newest version heard of.
    Table(Vec<Record>, Version),
    /// Answer to a void.
    Voided(VoidOutcome),
    /// Answer to a claim; none when the platform did not answer.
    Claims(Option<Vec<ClaimOutcome>>),
    /// Answer to a question for the versions in force and heard of.
    Held(Version, Version),
    /// Answer to a question for a transfer.
    Transfer(TransferDecision),
}

/// Most wishes in one claim request.
pub const WISHES_MAX: usize = 512;

#[derive(Serialize, Deserialize)]
enum WireRequest {
    Pull(u64),
    Join(WireRecord),
    Void(u128, u64, u64),
    Claim(Vec<WireWish>),
    Held,
    Transfer(u64, Option<u64>),
}

#[derive(Serialize, Deserialize)]
enum WireWish {
    Claim(u128, u128),
    Settle(u128, u128, u16),
    Release(u128, u128),
}

#[derive(Serialize, Deserialize)]
enum WireReply {
    Deltas(Vec<WireDelta>),
    Whole(WireSnapshot),
    Busy(Vec<SocketAddr>),
    Nothing,
    Failed,
    Table(Vec<WireRecord>, u64),
    Fenced,
    Running,
    Ended(String),
    CannotTell,
    Claims(Option<Vec<WireVerdict>>),
    Held(u64, u64),
    /// Whether it is granted, and a wait in milliseconds.
    Transfer(bool, u64),
}

#[derive(Serialize, Deserialize)]
enum WireVerdict {
    Granted,
    Pending,
    Answered(u16),
    Full,
}

impl PeerRequest {
    /// Encodes the request.
    pub fn encode(&self) -> Vec<u8> {
        let wire = match self {
            PeerRequest::Pull(since) => WireRequest::Pull(since.0),
            PeerRequest::Join(record) => WireRequest::Join(record.into()),
            PeerRequest::Void {
                attempt,
                incarnation,
                age,
            } => WireRequest::Void(attempt.0, incarnation.0, age.as_millis() as u64),
            PeerRequest::Held => WireRequest::Held,
            PeerRequest::Transfer { bytes, patience } => {
                WireRequest::Transfer(*bytes, patience.map(|p| p.as_millis() as u64))
            }
            PeerRequest::Claim(wishes) => {
                WireRequest::Claim(wishes.iter().map(WireWish::from).collect())
            }
        };
        postcard::to_stdvec(&wire).expect("plain data encodes")
    }

    /// Decodes a request.
    ///
    /// # Errors
    /// [`WireError`] when it is malformed or out of bounds.
    pub fn decode(bytes: &[u8]) -> Result<PeerRequest, WireError> {
        Ok(match postcard::from_bytes(bytes)? {
            WireRequest::Pull(since) => PeerRequest::Pull(Version(since)),
            WireRequest::Join(record) => PeerRequest::Join(record.try_into()?),
            WireRequest::Void(attempt, incarnation, age) => PeerRequest::Void {
                attempt: AttemptId(attempt),
                incarnation: Incarnation(incarnation),
                age: Duration::from_millis(age),
            },
            WireRequest::Held => PeerRequest::Held,
            WireRequest::Transfer(bytes, patience) => PeerRequest::Transfer {
                bytes,
                patience: patience.map(Duration::from_millis),
            },
            WireRequest::Claim(wishes) if wishes.len() > WISHES_MAX => {
                return Err(WireError::Bounds("wishes"));
            }
            WireRequest::Claim(wishes) => {
                PeerRequest::Claim(wishes.into_iter().map(KeyOperation::from).collect())
            }
        })
    }
}

impl From<&KeyOperation> for WireWish {
    fn from(wish: &KeyOperation) -> WireWish {
        match *wish {
            KeyOperation::Claim(k, c) => WireWish::Claim(k.0, c.0),
            KeyOperation::Complete(k, c, status) => WireWish::Settle(k.0, c.0, status),
            KeyOperation::Release(k, c) => WireWish::Release(k.0, c.0),
        }
    }
}

impl From<WireWish> for KeyOperation {
    fn from(wire: WireWish) -> KeyOperation {
        match wire {
            WireWish::Claim(k, c) => KeyOperation::Claim(KeyHash(k), AttemptId(c)),
            WireWish::Settle(k, c, status) => {
                KeyOperation::Complete(KeyHash(k), AttemptId(c), status)
            }
            WireWish::Release(k, c) => KeyOperation::Release(KeyHash(k), AttemptId(c)),
        }
    }
}

impl PeerReply {
    /// Encodes the reply.
    pub fn encode(&self) -> Vec<u8> {
        let wire = match self {
            PeerReply::Pulled(pulled) => pulled.into(),
            PeerReply::Table(records, version) => {
                WireReply::Table(records.iter().map(WireRecord::from).collect(), version.0)
            }
            PeerReply::Held(held, wanted) => WireReply::Held(held.0, wanted.0),
            PeerReply::Voided(VoidOutcome::Fenced) => WireReply::Fenced,
            PeerReply::Transfer(TransferDecision::SendAfter(wait)) => {
                WireReply::Transfer(true, wait.as_millis() as u64)
            }
            PeerReply::Transfer(TransferDecision::Refuse(wait)) => {
                WireReply::Transfer(false, wait.as_millis() as u64)
            }
            PeerReply::Voided(VoidOutcome::Running) => WireReply::Running,
            PeerReply::Voided(VoidOutcome::Ended(outcome)) => WireReply::Ended(outcome.to_string()),
            PeerReply::Voided(VoidOutcome::Indeterminate) => WireReply::CannotTell,
            PeerReply::Claims(verdicts) => {
                let wires = |v: &Vec<ClaimOutcome>| v.iter().map(WireVerdict::from).collect();
                WireReply::Claims(verdicts.as_ref().map(wires))
            }
        };
        postcard::to_stdvec(&wire).expect("plain data encodes")
    }

    /// Decodes a reply.
    ///
    /// # Errors
    /// [`WireError`] when it is malformed, or a configuration does not have its digest.
    pub fn decode(bytes: &[u8]) -> Result<PeerReply, WireError> {
        Ok(match postcard::from_bytes(bytes)? {
            WireReply::Deltas(wires) => {
                let deltas = convert(wires)?.into_iter().map(Arc::new);
                PeerReply::Pulled(PullResponse::Deltas(deltas.collect()))
            }
            WireReply::Whole(wire) => {
                PeerReply::Pulled(PullResponse::Snapshot(Arc::new(wire.try_into()?)))
            }
            WireReply::Busy(others) => PeerReply::Pulled(PullResponse::Busy(others)),
            WireReply::Nothing => PeerReply::Pulled(PullResponse::UpToDate),
            WireReply::Failed => PeerReply::Pulled(PullResponse::Failed),
            WireReply::Table(wires, version) => PeerReply::Table(convert(wires)?, Version(version)),
            WireReply::Held(held, wanted) => PeerReply::Held(Version(held), Version(wanted)),
            WireReply::Fenced => PeerReply::Voided(VoidOutcome::Fenced),
            WireReply::Transfer(granted, wait) => {
                let wait = Duration::from_millis(wait);
                PeerReply::Transfer(match granted {
                    true => TransferDecision::SendAfter(wait),
                    false => TransferDecision::Refuse(wait),
                })
            }
            WireReply::Running => PeerReply::Voided(VoidOutcome::Running),
            WireReply::Ended(text) => {
                let outcome = Outcome::parse(&text).ok_or(WireError::Bounds("outcome"))?;
                PeerReply::Voided(VoidOutcome::Ended(outcome))
            }
            WireReply::CannotTell => PeerReply::Voided(VoidOutcome::Indeterminate),
            WireReply::Claims(wires) => {
                let verdicts = |w: Vec<WireVerdict>| w.into_iter().map(Into::into).collect();
                PeerReply::Claims(wires.map(verdicts))
            }
        })
    }
}

impl From<&PullResponse> for WireReply {
    fn from(pulled: &PullResponse) -> WireReply {
        match pulled {
            PullResponse::Deltas(deltas) => {
                WireReply::Deltas(deltas.iter().map(|d| WireDelta::from(&**d)).collect())
            }
            PullResponse::Snapshot(snapshot) => WireReply::Whole((&**snapshot).into()),
            PullResponse::Busy(others) => WireReply::Busy(others.clone()),
            PullResponse::UpToDate => WireReply::Nothing,
            PullResponse::Failed => WireReply::Failed,
        }
    }
}

impl From<&ClaimOutcome> for WireVerdict {
    fn from(verdict: &ClaimOutcome) -> WireVerdict {
        match verdict {
            ClaimOutcome::Granted => WireVerdict::Granted,
            ClaimOutcome::Held(KeyState::Pending) => WireVerdict::Pending,
            ClaimOutcome::Held(KeyState::Answered(status)) => WireVerdict::Answered(*status),
            ClaimOutcome::Full => WireVerdict::Full,
        }
    }
}

impl From<WireVerdict> for ClaimOutcome {
    fn from(wire: WireVerdict) -> ClaimOutcome {
        match wire {
            WireVerdict::Granted => ClaimOutcome::Granted,
            WireVerdict::Pending => ClaimOutcome::Held(KeyState::Pending),
            WireVerdict::Answered(status) => ClaimOutcome::Held(KeyState::Answered(status)),
            WireVerdict::Full => ClaimOutcome::Full,
        }
    }
}
