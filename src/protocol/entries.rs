//! Lists to which other writers may have added entries that cannot be read.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

/// Deserializes a list without the entries that cannot be read, whatever they are. Those are counted in
/// one log line for each list.
///
/// # Errors
/// If the list itself is not valid JSON.
///
/// ```
/// use tarragoncourse::protocol::entries::readable_entries;
/// let mut list = serde_json::Deserializer::from_str("[1, {}, 1e400, 2]");
/// assert_eq!(readable_entries::<_, u8>(&mut list).unwrap(), [1, 2]);
/// ```
pub fn readable_entries<'de, D, T>(d: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned,
{
    // A raw value is scanned without recursion, so its depth does not matter.
    let raw: Vec<Box<RawValue>> = Vec::deserialize(d)?;
    let mut entries = Vec::with_capacity(raw.len());
    let mut unreadable = None;
    for entry in &raw {
        match serde_json::from_str(entry.get()) {
            Ok(entry) => entries.push(entry),
            Err(e) => unreadable = unreadable.or(Some(e)),
        }
    }
    if let Some(first) = unreadable {
        let count = raw.len() - entries.len();
        log::warn!("ignored entries that cannot be read count={count}: {first}");
    }
    Ok(entries)
}
