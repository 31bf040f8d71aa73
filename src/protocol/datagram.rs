//! Datagrams between nodes: membership and announcements, authenticated, with a replay window.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::key::{FleetKey, MAC_BYTES};
use super::wire::{WireDelta, WireError, WireRecord, convert};
use crate::coordination::members::{Message, PeerSummary, RECORDS_PER_DATAGRAM};
use crate::state::id::{Incarnation, Version};
use crate::state::member::{Record, TABLE_BUCKETS};
use crate::state::snapshot::Delta;

/// Largest datagram sent or taken, in bytes.
pub const DATAGRAM_MAX: usize = 1400;

/// What a datagram carries.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// Membership.
    Member(Message),
    /// The sender holds this version.
    Announce(Version),
    /// The sender has heard of this version.
    Acknowledge(Version),
    /// Asks for the deltas after a version.
    Fetch {
        /// Matches the answer to the question.
        ticket: u64,
        /// The version held.
        since: Version,
    },
    /// Answers a fetch; none when they do not fit into a datagram.
    Fetched {
        /// The question that is answered.
        ticket: u64,
        /// The deltas, oldest first.
        deltas: Option<Vec<Arc<Delta>>>,
    },
}

impl Datagram {
    /// Name of the kind, for counting bytes.
    pub fn kind(&self) -> &'static str {
        match self {
            Datagram::Announce(_) | Datagram::Acknowledge(_) => "announce",
            Datagram::Fetch { .. } | Datagram::Fetched { .. } => "delta",
            Datagram::Member(Message::Gossip { .. }) => "member",
            Datagram::Member(Message::TableDigests { .. }) => "repair",
            Datagram::Member(_) => "probe",
        }
    }
}

#[derive(Serialize, Deserialize)]
struct Envelope {
    from: SocketAddr,
    incarnation: u64,
    counter: u64,
    body: Body,
}

#[derive(Serialize, Deserialize)]
enum Body {
    Ping(u32, u64, u64, Vec<WireRecord>),
    PingRequest(u32, SocketAddr),
    Ack(u32, u64, u64, Vec<WireRecord>),
    Compare(Vec<u64>),
    News(Vec<WireRecord>),
    Announce(u64),
    Acknowledge(u64),
    Fetch(u64, u64),
    Fetched(u64, Option<Vec<WireDelta>>),
}

impl From<&Datagram> for Body {
    fn from(d: &Datagram) -> Body {
        match d {
            Datagram::Announce(v) => Body::Announce(v.0),
            Datagram::Acknowledge(v) => Body::Acknowledge(v.0),
            Datagram::Fetch { ticket, since } => Body::Fetch(*ticket, since.0),
            Datagram::Fetched { ticket, deltas } => {
                let wires = |d: &Vec<Arc<Delta>>| d.iter().map(|d| (&**d).into()).collect();
                Body::Fetched(*ticket, deltas.as_ref().map(wires))
            }
            Datagram::Member(m) => m.into(),
        }
    }
}

impl From<&Message> for Body {
    fn from(m: &Message) -> Body {
        let wires = |records: &[Record]| records.iter().map(WireRecord::from).collect();
        match m {
            Message::Ping {
                sequence,
                summary,
                records,
            } => Body::Ping(
                *sequence,
                summary.version.0,
                summary.table_digest,
                wires(records),
            ),
            Message::Ack {
                sequence,
                summary,
                records,
            } => Body::Ack(
                *sequence,
                summary.version.0,
                summary.table_digest,
                wires(records),
            ),
            Message::PingRequest { sequence, peer } => Body::PingRequest(*sequence, *peer),
            Message::TableDigests { digests } => Body::Compare(digests.to_vec()),
            Message::Gossip { records } => Body::News(wires(records)),
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
            Body::Fetch(ticket, since) => Datagram::Fetch {
                ticket,
                since: Version(since),
            },
            Body::Fetched(ticket, None) => Datagram::Fetched {
                ticket,
                deltas: None,
            },
            Body::Fetched(ticket, Some(wires)) => {
                let deltas: Vec<Delta> = convert(wires)?;
                Datagram::Fetched {
                    ticket,
                    deltas: Some(deltas.into_iter().map(Arc::new).collect()),
                }
            }
            Body::Ping(sequence, version, table_digest, wires) => Datagram::Member(Message::Ping {
                sequence,
                summary: summary(version, table_digest),
                records: records(wires)?,
            }),
            Body::Ack(sequence, version, table_digest, wires) => Datagram::Member(Message::Ack {
                sequence,
                summary: summary(version, table_digest),
                records: records(wires)?,
            }),
            Body::PingRequest(sequence, peer) => {
                Datagram::Member(Message::PingRequest { sequence, peer })
            }
            Body::Compare(digests) => Datagram::Member(Message::TableDigests {
                digests: buckets(digests)?,
            }),
            Body::News(wires) => Datagram::Member(Message::Gossip {
                records: records(wires)?,
            }),
        })
    }
}

fn records(wires: Vec<WireRecord>) -> Result<Vec<Record>, WireError> {
    // One more than a batch: a probe adds the record of a doubted target.
    if wires.len() > RECORDS_PER_DATAGRAM + 1 {
        return Err(WireError::Bounds("records"));
    }
    convert(wires)
}

fn buckets(marks: Vec<u64>) -> Result<Box<[u64; TABLE_BUCKETS]>, WireError> {
    marks.try_into().map_err(|_| WireError::Bounds("marks"))
}

/// Seals this node's datagrams.
#[derive(Debug)]
pub struct Sealer {
    key: FleetKey,
    from: SocketAddr,
    incarnation: Incarnation,
    counter: u64,
}

impl Sealer {
    /// A sealer for one life of a node.
    pub fn new(key: FleetKey, from: SocketAddr, incarnation: Incarnation) -> Sealer {
        Sealer {
            key,
            from,
            incarnation,
            counter: 0,
        }
    }

    /// The life that the datagrams are sealed for.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Follows a raised incarnation of the node; the counter starts anew.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.counter = 0;
    }

    /// Encodes and authenticates a datagram.
    pub fn seal(&mut self, datagram: &Datagram) -> Vec<u8> {
        self.counter += 1;
        let envelope = Envelope {
            from: self.from,
            incarnation: self.incarnation.0,
            counter: self.counter,
            body: datagram.into(),
        };
        let mut bytes = postcard::to_stdvec(&envelope).expect("plain data encodes");
        let mac = self.key.mac(&[b"datagram", &bytes]);
        bytes.extend_from_slice(&mac);
        bytes
    }
}

#[derive(Debug, Default)]
struct Window {
    incarnation: u64,
    highest: u64,
    seen: u64,
}

impl Window {
    /// Whether a counter is new. The 64 counters below the highest may come out of order.
    fn accept(&mut self, incarnation: u64, counter: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = Window {
                incarnation,
                ..Window::default()
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

/// Opens peers' datagrams.
#[derive(Debug)]
pub struct Opener {
    key: FleetKey,
    windows: HashMap<SocketAddr, Window>,
}

impl Opener {
    /// An opener that has seen nothing.
    pub fn new(key: FleetKey) -> Opener {
        Opener {
            key,
            windows: HashMap::new(),
        }
    }

    /// Checks and decodes a datagram; tells who sent it.
    ///
    /// # Errors
    /// [`WireError`] when it is malformed, not authentic, or seen before.
    pub fn open(&mut self, bytes: &[u8]) -> Result<(SocketAddr, Datagram), WireError> {
        if bytes.len() > DATAGRAM_MAX {
            return Err(WireError::TooLong(bytes.len()));
        }
        let split = bytes.len().checked_sub(MAC_BYTES);
        let (body, mac) = bytes.split_at(split.ok_or(WireError::Malformed)?);
        if !self.key.verify(&[b"datagram", body], mac) {
            return Err(WireError::Authentic);
        }
        let envelope: Envelope = postcard::from_bytes(body)?;
        let window = self.windows.entry(envelope.from).or_default();
        if !window.accept(envelope.incarnation, envelope.counter) {
            return Err(WireError::Replay);
        }
        Ok((envelope.from, envelope.body.try_into()?))
    }
}
