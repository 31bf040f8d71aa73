//! Numbers that the platform's store gives out: revisions of its keys, and leases.
//!
//! The store may come back from an older copy of its data. It then gives the numbers after that copy
//! out once more, to other writes and other leases. Each number therefore goes with the era in which
//! it was given out, and numbers of different eras are never the same.

use derive_more::{Display, From};

/// Counts the returns of the store from an older copy of its data. Zero if the store does not tell.
#[derive(Clone, Copy, Debug, Default, Display, From, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Era(pub u64);

/// A revision of the store. Within an era, each write to any key has a higher one than all before.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
#[display("{number}@{era}")]
pub struct Revision {
    /// Era in which the revision was given out.
    pub era: Era,
    /// Number of the revision in the store.
    pub number: u64,
}

impl Revision {
    /// The revision of a key that does not exist, in every era.
    pub const ABSENT: Revision = Revision {
        era: Era(0),
        number: 0,
    };

    /// Returns the revision with this number. A key that does not exist has the same revision in
    /// every era.
    ///
    /// ```
    /// use tarragoncourse::state::revision::{Era, Revision};
    /// assert_ne!(Revision::new(Era(1), 7), Revision::new(Era(2), 7));
    /// assert_eq!(Revision::new(Era(2), 0), Revision::ABSENT);
    /// ```
    pub fn new(era: Era, number: u64) -> Revision {
        match number {
            0 => Revision::ABSENT,
            _ => Revision { era, number },
        }
    }
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display("{number}@{era}")]
pub struct Lease {
    /// Era in which the lease was granted.
    pub era: Era,
    /// Number of the lease in the store.
    pub number: u64,
}
