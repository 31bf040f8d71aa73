//! UDP datagrams between nodes: messages of the membership protocol, announcements of configuration
//! versions, and deltas. They are authenticated and protected against replay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::key::{FleetKey, MAC_BYTES};
use super::wire::{WireDelta, WireError, convert_all, convert_valid};
use super::wire_events::{WireConfirmation, WireEndRecord};
use super::wire_member::WireMemberRecord;
use super::wire_quota::{WireQuotaReply, WireQuotaRequest};
use super::wire_rollout::{WireDirective, WireGateReport};
use crate::coordination::crash_table::EndRecord;
use crate::coordination::freshness::Confirmation;
use crate::coordination::members::{Message, PeerSummary, RECORDS_PER_DATAGRAM};
use crate::coordination::quota::{QuotaReply, QuotaRequest};
use crate::coordination::rollout::message::{Directive, GateReport};
use crate::state::id::{Incarnation, Version};
use crate::state::member::{MemberRecord, TABLE_BUCKETS};
use crate::state::snapshot::Delta;

/// Maximum size of a datagram that is sent or accepted.
pub const DATAGRAM_MAX_BYTES: usize = 1400;

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// A message of the membership protocol.
    Member(Message),
    /// Announces the sender's current configuration version.
    Announce(Version),
    /// Acknowledges the announcement of a version.
    Acknowledge(Version),
    /// Requests the deltas that follow a version.
    Fetch {
        /// Chosen by the sender; the reply has the same value.
        fetch_id: u64,
        /// The sender's current version.
        since: Version,
    },
    /// States that the platform held no newer version than this.
    Confirm(Confirmation),
    /// Lends entitlements to a ledger and asks it for tokens.
    QuotaRequest(QuotaRequest),
    /// Reply to a [`Datagram::QuotaRequest`].
    QuotaReply(QuotaReply),
    /// Ends of targets, and the requests that they were running.
    Ends(Vec<EndRecord>),
    /// Digest of the ends that the sender knows of; zero without any.
    EndsDigest(u64),
    /// Reply to a [`Datagram::Fetch`].
    Fetched {
        /// Value from the request.
        fetch_id: u64,
        /// The deltas, oldest first; `None` if the sender of the reply does not have them, or if
        /// they do not fit into one datagram.
        deltas: Option<Vec<Arc<Delta>>>,
    },
    /// Which targets of a service under a roll-out take requests.
    RolloutDirective {
        /// The node that decides, to which gates report.
        decider: SocketAddr,
        directive: Directive,
    },
    /// What a gate of a service under a roll-out counted.
    RolloutReport(GateReport),
}

impl Datagram {
    /// Name of the kind of message, used as a label in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Datagram::Announce(_) | Datagram::Acknowledge(_) => "announce",
            Datagram::Fetch { .. } | Datagram::Fetched { .. } => "delta",
            Datagram::Confirm(_) => "confirm",
            Datagram::Ends(_) | Datagram::EndsDigest(_) => "ends",
            Datagram::QuotaRequest(_) | Datagram::QuotaReply(_) => "quota",
            Datagram::RolloutDirective { .. } | Datagram::RolloutReport(_) => "rollout",
            Datagram::Member(Message::Gossip { .. }) => "member",
            Datagram::Member(Message::TableDigests { .. }) => "repair",
            Datagram::Member(_) => "probe",
        }
    }
}

/// Wire form of a datagram. The authentication code follows it.
#[derive(Serialize, Deserialize)]
struct Envelope {
    /// Peer address of the sender.
    sender: SocketAddr,
    incarnation: u64,
    /// Number of the datagram within the incarnation, by which replays are detected.
    counter: u64,
    body: Body,
}

/// Wire form of [`Datagram`]. Variants are encoded by their position.
#[derive(Serialize, Deserialize)]
enum Body {
    /// Sequence number, configuration version, digest of the member table, records.
    Ping(u32, u64, u64, Vec<WireMemberRecord>),
    PingRequest(u32, SocketAddr),
    /// The same fields as a ping.
    Ack(u32, u64, u64, Vec<WireMemberRecord>),
    TableDigests(Vec<u64>),
    Gossip(Vec<WireMemberRecord>),
    Announce(u64),
    Acknowledge(u64),
    Fetch(u64, u64),
    Fetched(u64, Option<Vec<WireDelta>>),
    Ends(Vec<WireEndRecord>),
    EndsDigest(u64),
    Confirm(WireConfirmation),
    QuotaRequest(WireQuotaRequest),
    QuotaReply(WireQuotaReply),
    /// Peer address of the deciding node, directive.
    RolloutDirective(SocketAddr, WireDirective),
    RolloutReport(WireGateReport),
}

impl From<&Datagram> for Body {
    fn from(d: &Datagram) -> Body {
        match d {
            Datagram::Announce(v) => Body::Announce(v.0),
            Datagram::Acknowledge(v) => Body::Acknowledge(v.0),
            Datagram::Fetch { fetch_id, since } => Body::Fetch(*fetch_id, since.0),
            Datagram::Fetched { fetch_id, deltas } => {
                let encode = |d: &Vec<Arc<Delta>>| d.iter().map(|d| (&**d).into()).collect();
                Body::Fetched(*fetch_id, deltas.as_ref().map(encode))
            }
            Datagram::Ends(records) => Body::Ends(records.iter().map(Into::into).collect()),
            Datagram::EndsDigest(digest) => Body::EndsDigest(*digest),
            Datagram::Confirm(confirmation) => Body::Confirm(confirmation.into()),
            Datagram::QuotaRequest(request) => Body::QuotaRequest(request.into()),
            Datagram::QuotaReply(reply) => Body::QuotaReply(reply.into()),
            Datagram::RolloutDirective { decider, directive } => {
                Body::RolloutDirective(*decider, directive.into())
            }
            Datagram::RolloutReport(report) => Body::RolloutReport(report.into()),
            Datagram::Member(m) => m.into(),
        }
    }
}

impl From<&Message> for Body {
    fn from(m: &Message) -> Body {
        let encode =
            |records: &[MemberRecord]| records.iter().map(WireMemberRecord::from).collect();
        match m {
            Message::Ping {
                sequence,
                summary,
                records,
            } => Body::Ping(
                *sequence,
                summary.version.0,
                summary.table_digest,
                encode(records),
            ),
            Message::Ack {
                sequence,
                summary,
                records,
            } => Body::Ack(
                *sequence,
                summary.version.0,
                summary.table_digest,
                encode(records),
            ),
            Message::PingRequest { sequence, peer } => Body::PingRequest(*sequence, *peer),
            Message::TableDigests { digests } => Body::TableDigests(digests.to_vec()),
            Message::Gossip { records } => Body::Gossip(encode(records)),
        }
    }
}

impl TryFrom<Body> for Datagram {
    type Error = WireError;

    fn try_from(body: Body) -> Result<Datagram, WireError> {
        let summary = |version, table_digest| PeerSummary {
            version: Version(version),
            table_digest,
        };
        Ok(match body {
            Body::Announce(v) => Datagram::Announce(Version(v)),
            Body::Acknowledge(v) => Datagram::Acknowledge(Version(v)),
            Body::Ends(records) => Datagram::Ends(convert_valid(records)),
            Body::EndsDigest(digest) => Datagram::EndsDigest(digest),
            Body::Confirm(wire) => Datagram::Confirm(wire.into()),
            Body::QuotaRequest(wire) => Datagram::QuotaRequest(wire.try_into()?),
            Body::QuotaReply(wire) => Datagram::QuotaReply(wire.try_into()?),
            Body::RolloutDirective(decider, wire) => Datagram::RolloutDirective {
                decider,
                directive: wire.try_into()?,
            },
            Body::RolloutReport(wire) => Datagram::RolloutReport(wire.try_into()?),
            Body::Fetch(fetch_id, since) => Datagram::Fetch {
                fetch_id,
                since: Version(since),
            },
            Body::Fetched(fetch_id, None) => Datagram::Fetched {
                fetch_id,
                deltas: None,
            },
            Body::Fetched(fetch_id, Some(wire_deltas)) => {
                let deltas: Vec<Delta> = convert_all(wire_deltas)?;
                Datagram::Fetched {
                    fetch_id,
                    deltas: Some(deltas.into_iter().map(Arc::new).collect()),
                }
            }
            Body::Ping(sequence, version, table_digest, records) => {
                Datagram::Member(Message::Ping {
                    sequence,
                    summary: summary(version, table_digest),
                    records: decode_records(records)?,
                })
            }
            Body::Ack(sequence, version, table_digest, records) => Datagram::Member(Message::Ack {
                sequence,
                summary: summary(version, table_digest),
                records: decode_records(records)?,
            }),
            Body::PingRequest(sequence, peer) => {
                Datagram::Member(Message::PingRequest { sequence, peer })
            }
            Body::TableDigests(digests) => Datagram::Member(Message::TableDigests {
                digests: decode_bucket_digests(digests)?,
            }),
            Body::Gossip(records) => Datagram::Member(Message::Gossip {
                records: decode_records(records)?,
            }),
        })
    }
}

fn decode_records(records: Vec<WireMemberRecord>) -> Result<Vec<MemberRecord>, WireError> {
    // A ping may carry one record more than a batch of gossip: if the sender's record of the pinged
    // node says suspect, leaving or gone, the ping contains it so that the node can refute it.
    if records.len() > RECORDS_PER_DATAGRAM + 1 {
        return Err(WireError::OutOfBounds("records"));
    }
    Ok(convert_valid(records))
}

fn decode_bucket_digests(digests: Vec<u64>) -> Result<Box<[u64; TABLE_BUCKETS]>, WireError> {
    digests
        .try_into()
        .map_err(|_| WireError::OutOfBounds("marks"))
}

/// Encodes and authenticates the datagrams of one node.
#[derive(Debug)]
pub struct DatagramSealer {
    key: FleetKey,
    sender: SocketAddr,
    incarnation: Incarnation,
    counter: u64,
}

impl DatagramSealer {
    /// Creates a sealer for one incarnation of a node.
    pub fn new(key: FleetKey, sender: SocketAddr, incarnation: Incarnation) -> DatagramSealer {
        DatagramSealer {
            key,
            sender,
            incarnation,
            counter: 0,
        }
    }

    /// The incarnation that the datagrams carry.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Sets a higher incarnation and resets the counter.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.counter = 0;
    }

    /// Encodes and authenticates a datagram.
    pub fn seal(&mut self, datagram: &Datagram) -> Vec<u8> {
        self.counter += 1;
        let envelope = Envelope {
            sender: self.sender,
            incarnation: self.incarnation.0,
            counter: self.counter,
            body: datagram.into(),
        };
        let mut bytes = postcard::to_stdvec(&envelope).expect("serializing plain data cannot fail");
        let mac = self.key.mac(&[b"datagram", &bytes]);
        bytes.extend_from_slice(&mac);
        bytes
    }
}

/// The datagram counters that were received from one peer, to reject replays.
#[derive(Debug, Default)]
struct ReplayWindow {
    incarnation: u64,
    /// Highest counter received in this incarnation.
    highest: u64,
    /// Bit `n` is set if the counter `highest - n` was received.
    seen: u64,
}

impl ReplayWindow {
    /// Records a counter and returns whether it was new. The last 64 counters may arrive in any
    /// order; older ones are rejected, and so are those of an earlier incarnation.
    fn accept(&mut self, incarnation: u64, counter: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = ReplayWindow {
                incarnation,
                ..ReplayWindow::default()
            };
        }
        if counter > self.highest {
            let step = counter - self.highest;
            self.seen = if step < 64 { self.seen << step } else { 0 };
            self.seen |= 1;
            self.highest = counter;
            return true;
        }
        let age = self.highest - counter;
        if age >= 64 || self.seen & (1 << age) != 0 {
            return false;
        }
        self.seen |= 1 << age;
        true
    }
}

/// Verifies and decodes datagrams of other nodes.
#[derive(Debug)]
pub struct DatagramOpener {
    key: FleetKey,
    windows: HashMap<SocketAddr, ReplayWindow>,
}

impl DatagramOpener {
    /// Creates an opener that has not received any datagrams yet.
    pub fn new(key: FleetKey) -> DatagramOpener {
        DatagramOpener {
            key,
            windows: HashMap::new(),
        }
    }

    /// Verifies and decodes a datagram. Returns the sender's peer address and the content.
    ///
    /// # Errors
    /// [`WireError`] when the datagram is too long, malformed, not authentic or a replay.
    pub fn open(&mut self, bytes: &[u8]) -> Result<(SocketAddr, Datagram), WireError> {
        if bytes.len() > DATAGRAM_MAX_BYTES {
            return Err(WireError::TooLong(bytes.len()));
        }
        let body_length = bytes.len().checked_sub(MAC_BYTES);
        let (body, mac) = bytes.split_at(body_length.ok_or(WireError::Malformed)?);
        if !self.key.verify(&[b"datagram", body], mac) {
            return Err(WireError::NotAuthentic);
        }
        let envelope: Envelope = postcard::from_bytes(body)?;
        let window = self.windows.entry(envelope.sender).or_default();
        if !window.accept(envelope.incarnation, envelope.counter) {
            return Err(WireError::Replayed);
        }
        Ok((envelope.sender, envelope.body.try_into()?))
    }
}
