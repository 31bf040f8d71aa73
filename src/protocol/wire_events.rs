//! Wire forms of confirmations and of ends of targets.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::wire::WireError;
use crate::coordination::crash_table::{EndId, EndRecord};
use crate::coordination::freshness::Confirmation;
use crate::coordination::target_end::CONCERNED_MAX;
use crate::state::id::{Fingerprint, Version};
use crate::state::revision::{Era, Revision};

/// Wire form of [`Confirmation`]: the version, the era and number of the revision, and the age in
/// milliseconds.
#[derive(Serialize, Deserialize)]
pub(super) struct WireConfirmation(u64, Option<(u64, u64)>, u32);

impl From<&Confirmation> for WireConfirmation {
    fn from(c: &Confirmation) -> WireConfirmation {
        let revision = c.revision.map(|r| (r.era.0, r.number));
        let age_ms = u32::try_from(c.age.as_millis()).unwrap_or(u32::MAX);
        WireConfirmation(c.version.0, revision, age_ms)
    }
}

impl From<WireConfirmation> for Confirmation {
    fn from(wire: WireConfirmation) -> Confirmation {
        let WireConfirmation(version, revision, age_ms) = wire;
        Confirmation {
            version: Version(version),
            revision: revision.map(|(era, number)| Revision::new(Era(era), number)),
            age: Duration::from_millis(age_ms.into()),
        }
    }
}

/// Wire form of [`EndRecord`]: the end, the fingerprints in little-endian bytes, and the bit set.
#[derive(Serialize, Deserialize)]
pub(super) struct WireEndRecord(u64, Vec<[u8; 8]>, u128);

impl From<&EndRecord> for WireEndRecord {
    fn from(r: &EndRecord) -> WireEndRecord {
        let concerned = r.concerned.iter().map(|f| f.0.to_le_bytes());
        WireEndRecord(r.end.0, concerned.collect(), r.cleared)
    }
}

impl TryFrom<WireEndRecord> for EndRecord {
    type Error = WireError;

    fn try_from(wire: WireEndRecord) -> Result<EndRecord, WireError> {
        let WireEndRecord(end, concerned, cleared) = wire;
        if concerned.len() > CONCERNED_MAX {
            return Err(WireError::OutOfBounds("fingerprints"));
        }
        let concerned = concerned.into_iter().map(u64::from_le_bytes);
        Ok(EndRecord {
            end: EndId(end),
            concerned: concerned.map(Fingerprint).collect(),
            cleared,
        })
    }
}
