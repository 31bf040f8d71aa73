//! Keys and values in the platform's key-value store: JSON documents, and claim tables as lines of
//! text.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::wire::{WireEdit, WireEntry, WireError, convert_all};
use super::wire_member::is_peer_address;
use crate::coordination::claims::{ClaimTable, KeyEntry, KeyHash, KeyState};
use crate::coordination::commit::{ChangeRecord, Head};
use crate::state::digest::Digest;
use crate::state::id::{AttemptId, ChangeId, Version, parse_hex};
use crate::state::snapshot::{Delta, Edit, Entry, Snapshot};

/// Key of the head, which refers to the newest accepted version.
pub const HEAD_KEY: &str = "head";
/// Key of the index of the newest complete snapshot.
pub const SNAPSHOT_KEY: &str = "snapshot";
/// Prefix of the keys of watcher slots. A node that watches the platform holds one of these keys,
/// attached to a lease.
pub const SLOT_PREFIX: &str = "slot/";
/// Maximum size of a piece of a snapshot, separators aside; a larger entry is a piece by itself. It
/// is well below the platform's limit of one megabyte for a value.
pub const PIECE_MAX_BYTES: usize = 512 << 10;
/// Largest number of pieces of a snapshot that is read.
const PIECES_MAX: usize = 4096;

/// Key of the record of a change.
///
/// ```
/// use tarragoncourse::protocol::record::change_key;
/// use tarragoncourse::state::id::{ChangeId, Version};
/// assert!(change_key(Version(7), ChangeId(1)).starts_with("change/00000000000000000007/"));
/// ```
pub fn change_key(version: Version, change: ChangeId) -> String {
    format!("{}{change}", change_prefix(version))
}

/// Prefix of the keys of all change records for a version. It includes the records of changes that
/// lost the race for the version.
pub fn change_prefix(version: Version) -> String {
    format!("change/{:020}/", version.0)
}

/// Key of one piece of a snapshot.
pub fn piece_key(index: &SnapshotIndex, piece: usize) -> String {
    format!("snapshot/{:020}/{}/{piece}", index.version.0, index.change)
}

/// Key of a watcher slot.
pub fn slot_key(zone: &str, number: usize) -> String {
    format!("{SLOT_PREFIX}{zone}/{number}")
}

/// Key of the claim table of a shard.
pub fn claim_table_key(shard: u64) -> String {
    format!("claims/{shard:02}")
}

#[derive(Serialize, Deserialize)]
struct HeadDocument {
    version: u64,
    digest: String,
    change: String,
    author: String,
}

/// Encodes the head.
pub fn encode_head(head: &Head) -> String {
    to_json(&HeadDocument {
        version: head.version.0,
        digest: head.digest.to_string(),
        change: head.change.to_string(),
        author: head.author.clone(),
    })
}

/// Decodes the head.
///
/// # Errors
/// [`WireError`] when the value is not a valid head.
pub fn decode_head(text: &str) -> Result<Head, WireError> {
    let doc: HeadDocument = from_json(text)?;
    Ok(Head {
        version: Version(doc.version),
        digest: parse_digest(&doc.digest)?,
        change: parse_change_id(&doc.change)?,
        author: doc.author,
    })
}

#[derive(Serialize, Deserialize)]
struct ChangeDocument {
    version: u64,
    digest: String,
    change: String,
    previous: String,
    author: String,
    edits: Vec<WireEdit>,
    undo: Vec<WireEdit>,
}

/// Encodes a change record.
pub fn encode_change(record: &ChangeRecord) -> String {
    let delta = &record.delta;
    to_json(&ChangeDocument {
        version: delta.version.0,
        digest: delta.digest.to_string(),
        change: delta.change.to_string(),
        previous: record.previous.to_string(),
        author: delta.author.clone(),
        edits: delta.edits.iter().map(WireEdit::from).collect(),
        undo: record.undo.iter().map(WireEdit::from).collect(),
    })
}

/// Decodes a change record.
///
/// # Errors
/// [`WireError`] when the value is not a valid change record.
pub fn decode_change(text: &str) -> Result<ChangeRecord, WireError> {
    let doc: ChangeDocument = from_json(text)?;
    let edits: Vec<Edit> = convert_all(doc.edits)?;
    let delta = Delta {
        base: Version(doc.version.saturating_sub(1)),
        version: Version(doc.version),
        digest: parse_digest(&doc.digest)?,
        change: parse_change_id(&doc.change)?,
        author: doc.author,
        edits,
    };
    Ok(ChangeRecord {
        delta: Arc::new(delta),
        previous: parse_change_id(&doc.previous)?,
        undo: convert_all(doc.undo)?,
    })
}

/// Index of a complete snapshot, which is stored in pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotIndex {
    /// Version of the snapshot.
    pub version: Version,
    /// The change that produced the version.
    pub change: ChangeId,
    /// Digest of the configuration.
    pub digest: Digest,
    /// Number of pieces.
    pub piece_count: usize,
}

#[derive(Serialize, Deserialize)]
struct IndexDocument {
    version: u64,
    change: String,
    digest: String,
    pieces: usize,
}

/// Encodes the index of a snapshot.
pub fn encode_index(index: &SnapshotIndex) -> String {
    to_json(&IndexDocument {
        version: index.version.0,
        change: index.change.to_string(),
        digest: index.digest.to_string(),
        pieces: index.piece_count,
    })
}

/// Decodes the index of a snapshot.
///
/// # Errors
/// [`WireError`] when the value is not a valid index.
pub fn decode_index(text: &str) -> Result<SnapshotIndex, WireError> {
    let doc: IndexDocument = from_json(text)?;
    if doc.pieces > PIECES_MAX {
        return Err(WireError::OutOfBounds("pieces"));
    }
    Ok(SnapshotIndex {
        version: Version(doc.version),
        change: parse_change_id(&doc.change)?,
        digest: parse_digest(&doc.digest)?,
        piece_count: doc.pieces,
    })
}

/// Splits a snapshot into pieces, each of which is a JSON array of entries.
pub fn encode_pieces(snapshot: &Snapshot) -> (SnapshotIndex, Vec<String>) {
    let mut pieces = vec![String::from("[")];
    for e in snapshot.entries() {
        let text = to_json(&WireEntry::from(e));
        if pieces
            .last()
            .is_some_and(|p| p.len() + text.len() > PIECE_MAX_BYTES)
        {
            pieces.push(String::from("["));
        }
        let piece = pieces.last_mut().expect("the list is never empty");
        if piece.len() > 1 {
            piece.push(',');
        }
        piece.push_str(&text);
    }
    pieces.iter_mut().for_each(|p| p.push(']'));
    let index = SnapshotIndex {
        version: snapshot.version(),
        change: snapshot.change(),
        digest: snapshot.digest(),
        piece_count: pieces.len(),
    };
    (index, pieces)
}

/// Joins the pieces of a snapshot and verifies its digest.
///
/// # Errors
/// [`WireError`] when a piece is malformed or the digest does not match.
pub fn decode_pieces(index: &SnapshotIndex, pieces: &[String]) -> Result<Snapshot, WireError> {
    let mut entries: Vec<Entry> = Vec::new();
    for p in pieces {
        let wire_entries: Vec<WireEntry> = from_json(p)?;
        entries.extend(convert_all::<_, Entry>(wire_entries)?);
    }
    Snapshot::from_entries(index.version, index.change, index.digest, entries)
        .map_err(|_| WireError::OutOfBounds("digest"))
}

/// Encodes the peer address of the node that holds a watcher slot.
pub fn encode_slot(peer: SocketAddr) -> String {
    peer.to_string()
}

/// Decodes the peer address of the node that holds a watcher slot; `None` if the value, which another
/// writer may have left, is no address that can be connected to.
///
/// ```
/// use tarragoncourse::protocol::record::decode_slot;
/// assert!(decode_slot("10.0.0.1:7600").is_some());
/// assert!(decode_slot("10.0.0.1:0").is_none());
/// ```
pub fn decode_slot(text: &str) -> Option<SocketAddr> {
    text.parse().ok().filter(is_peer_address)
}

/// Encodes a claim table, with one line for each key. The last field of a line is the HTTP status
/// of the response, or zero while the request is pending.
pub fn encode_claim_table(table: &ClaimTable) -> String {
    let line = |(key, entry): (&KeyHash, &KeyEntry)| {
        let status = match entry.state {
            KeyState::Pending => 0,
            KeyState::Answered(status) => status,
        };
        format!("{key} {} {} {status}\n", entry.attempt, entry.claimed_at)
    };
    table.entries.iter().map(line).collect()
}

/// Decodes a claim table.
///
/// # Errors
/// [`WireError::Malformed`] when a line cannot be parsed.
pub fn decode_claim_table(text: &str) -> Result<ClaimTable, WireError> {
    let entries: Option<HashMap<_, _>> = text.lines().map(decode_claim_line).collect();
    let entries = entries.ok_or(WireError::Malformed)?;
    Ok(ClaimTable { entries })
}

fn decode_claim_line(line: &str) -> Option<(KeyHash, KeyEntry)> {
    let mut fields = line.split(' ');
    let key = KeyHash(parse_hex(fields.next()?)?);
    let attempt = AttemptId(parse_hex(fields.next()?)?);
    let claimed_at = fields.next()?.parse().ok()?;
    let state = match fields.next()?.parse().ok()? {
        0 => KeyState::Pending,
        status => KeyState::Answered(status),
    };
    Some((
        key,
        KeyEntry {
            attempt,
            claimed_at,
            state,
        },
    ))
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("serializing plain data cannot fail")
}

fn from_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, WireError> {
    serde_json::from_str(text).map_err(|_| WireError::Malformed)
}

fn parse_digest(text: &str) -> Result<Digest, WireError> {
    Digest::parse(text).ok_or(WireError::OutOfBounds("digest"))
}

fn parse_change_id(text: &str) -> Result<ChangeId, WireError> {
    let id = parse_hex(text).ok_or(WireError::OutOfBounds("change"))?;
    Ok(ChangeId(id))
}
