//! The values that the platform keeps: JSON documents under fixed keys, and claim books as text.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::wire::{WireEdit, WireEntry, WireError, convert};
use crate::coordination::claims::{ClaimTable, KeyEntry, KeyHash, KeyState};
use crate::coordination::commit::{ChangeRecord, Head};
use crate::state::digest::Digest;
use crate::state::id::{AttemptId, ChangeId, Version, parse_hex};
use crate::state::snapshot::{Delta, Edit, Entry, Snapshot};

/// Key of the head.
pub const HEAD_KEY: &str = "head";
/// Key of the index of the newest whole snapshot.
pub const SNAPSHOT_KEY: &str = "snapshot";
/// Prefix of the watcher slots.
pub const SLOT_PREFIX: &str = "slot/";
/// Bytes of JSON in one piece of a snapshot; well under the platform's megabyte.
pub const PIECE_BYTES: usize = 512 << 10;

/// Key of a change's record.
///
/// ```
/// use tarragoncourse::protocol::record::change_key;
/// use tarragoncourse::state::id::{ChangeId, Version};
/// assert!(change_key(Version(7), ChangeId(1)).starts_with("change/00000000000000000007/"));
/// ```
pub fn change_key(version: Version, change: ChangeId) -> String {
    format!("{}{change}", change_prefix(version))
}

/// Prefix of all records that were written for a version, those that lost their race included.
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

/// Key of a claim book.
pub fn book_key(shard: u64) -> String {
    format!("claims/{shard:02}")
}

#[derive(Serialize, Deserialize)]
struct HeadDoc {
    version: u64,
    digest: String,
    change: String,
    author: String,
}

/// Writes a head.
pub fn encode_head(head: &Head) -> String {
    to_json(&HeadDoc {
        version: head.version.0,
        digest: head.digest.to_string(),
        change: head.change.to_string(),
        author: head.author.clone(),
    })
}

/// Reads a head.
///
/// # Errors
/// [`WireError`] when the value is not a head.
pub fn decode_head(text: &str) -> Result<Head, WireError> {
    let doc: HeadDoc = from_json(text)?;
    Ok(Head {
        version: Version(doc.version),
        digest: digest(&doc.digest)?,
        change: change(&doc.change)?,
        author: doc.author,
    })
}

#[derive(Serialize, Deserialize)]
struct ChangeDoc {
    version: u64,
    digest: String,
    change: String,
    previous: String,
    author: String,
    edits: Vec<WireEdit>,
    undo: Vec<WireEdit>,
}

/// Writes a change record.
pub fn encode_change(record: &ChangeRecord) -> String {
    let delta = &record.delta;
    to_json(&ChangeDoc {
        version: delta.version.0,
        digest: delta.digest.to_string(),
        change: delta.change.to_string(),
        previous: record.previous.to_string(),
        author: delta.author.clone(),
        edits: delta.edits.iter().map(WireEdit::from).collect(),
        undo: record.undo.iter().map(WireEdit::from).collect(),
    })
}

/// Reads a change record.
///
/// # Errors
/// [`WireError`] when the value is not a change record.
pub fn decode_change(text: &str) -> Result<ChangeRecord, WireError> {
    let doc: ChangeDoc = from_json(text)?;
    let edits: Vec<Edit> = convert(doc.edits)?;
    let delta = Delta {
        base: Version(doc.version.saturating_sub(1)),
        version: Version(doc.version),
        digest: digest(&doc.digest)?,
        change: change(&doc.change)?,
        author: doc.author,
        edits,
    };
    Ok(ChangeRecord {
        delta: Arc::new(delta),
        previous: change(&doc.previous)?,
        undo: convert(doc.undo)?,
    })
}

/// Names the pieces of a whole snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotIndex {
    /// Version of the snapshot.
    pub version: Version,
    /// The change that made the version.
    pub change: ChangeId,
    /// Digest of the whole.
    pub digest: Digest,
    /// Number of pieces.
    pub pieces: usize,
}

#[derive(Serialize, Deserialize)]
struct IndexDoc {
    version: u64,
    change: String,
    digest: String,
    pieces: usize,
}

/// Writes a snapshot's index.
pub fn encode_index(index: &SnapshotIndex) -> String {
    to_json(&IndexDoc {
        version: index.version.0,
        change: index.change.to_string(),
        digest: index.digest.to_string(),
        pieces: index.pieces,
    })
}

/// Reads a snapshot's index.
///
/// # Errors
/// [`WireError`] when the value is not an index.
pub fn decode_index(text: &str) -> Result<SnapshotIndex, WireError> {
    let doc: IndexDoc = from_json(text)?;
    Ok(SnapshotIndex {
        version: Version(doc.version),
        change: change(&doc.change)?,
        digest: digest(&doc.digest)?,
        pieces: doc.pieces,
    })
}

/// Splits a snapshot into pieces, each a JSON list of entries.
pub fn encode_pieces(snapshot: &Snapshot) -> (SnapshotIndex, Vec<String>) {
    let mut pieces = vec![String::from("[")];
    for e in snapshot.entries() {
        let text = to_json(&WireEntry::from(e));
        if pieces
            .last()
            .is_some_and(|p| p.len() + text.len() > PIECE_BYTES)
        {
            pieces.push(String::from("["));
        }
        let piece = pieces.last_mut().expect("starts with one piece");
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
        pieces: pieces.len(),
    };
    (index, pieces)
}

/// Joins the pieces of a snapshot and checks its digest.
///
/// # Errors
/// [`WireError`] when a piece is malformed or the digest differs.
pub fn decode_pieces(index: &SnapshotIndex, pieces: &[String]) -> Result<Snapshot, WireError> {
    let mut entries: Vec<Entry> = Vec::new();
    for p in pieces {
        let wires: Vec<WireEntry> = from_json(p)?;
        entries.extend(convert::<_, Entry>(wires)?);
    }
    Snapshot::from_entries(index.version, index.change, index.digest, entries)
        .map_err(|_| WireError::Bounds("digest"))
}

/// Writes the holder of a watcher slot.
pub fn encode_slot(peer: SocketAddr) -> String {
    peer.to_string()
}

/// Reads the holder of a watcher slot.
pub fn decode_slot(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

/// Writes a claim book: one line a key.
pub fn encode_book(book: &ClaimTable) -> String {
    let line = |(key, e): (&KeyHash, &KeyEntry)| {
        let status = match e.state {
            KeyState::Pending => 0,
            KeyState::Answered(status) => status,
        };
        format!("{key} {} {} {status}\n", e.claim, e.claimed_at)
    };
    book.entries.iter().map(line).collect()
}

/// Reads a claim book.
///
/// # Errors
/// [`WireError::Malformed`] when a line is not understood.
pub fn decode_book(text: &str) -> Result<ClaimTable, WireError> {
    let entries: Option<HashMap<_, _>> = text.lines().map(book_line).collect();
    let entries = entries.ok_or(WireError::Malformed)?;
    Ok(ClaimTable { entries })
}

fn book_line(line: &str) -> Option<(KeyHash, KeyEntry)> {
    let mut fields = line.split(' ');
    let key = KeyHash(parse_hex(fields.next()?)?);
    let claim = AttemptId(parse_hex(fields.next()?)?);
    let claimed_at = fields.next()?.parse().ok()?;
    let state = match fields.next()?.parse().ok()? {
        0 => KeyState::Pending,
        status => KeyState::Answered(status),
    };
    Some((
        key,
        KeyEntry {
            claim,
            claimed_at,
            state,
        },
    ))
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("plain data encodes")
}

fn from_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, WireError> {
    serde_json::from_str(text).map_err(|_| WireError::Malformed)
}

fn digest(text: &str) -> Result<Digest, WireError> {
    Digest::parse(text).ok_or(WireError::Bounds("digest"))
}

fn change(text: &str) -> Result<ChangeId, WireError> {
    let id = parse_hex(text).ok_or(WireError::Bounds("change"))?;
    Ok(ChangeId(id))
}
