//! Restarts of peers that the member table does not contain yet.
//!
//! The load pattern is the return of a large part of a fleet at one moment: the records of hundreds
//! of new processes take seconds to spread. Until then, every request to a restarted gate would be
//! refused, because it names the incarnation of the earlier process. The refusal contains the
//! current incarnation, so that the request can be sent once more.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::state::id::Incarnation;

/// An incarnation that a gate has named.
#[derive(Clone, Copy, Debug)]
struct NamedIncarnation {
    /// Incarnation in the member table when the gate was asked.
    recorded: Incarnation,
    named: Incarnation,
}

/// Incarnations that the gates of peers have named, where they differ from the member table.
#[derive(Debug, Default)]
pub struct PeerRestarts {
    named: HashMap<SocketAddr, NamedIncarnation>,
}

impl PeerRestarts {
    /// Records that the gate of `peer` named its incarnation, while the member table contained
    /// `recorded`.
    pub fn record(&mut self, peer: SocketAddr, recorded: Incarnation, named: Incarnation) {
        self.named
            .insert(peer, NamedIncarnation { recorded, named });
    }

    /// The incarnation to which attempts at the gate of `peer` are addressed. What the gate named
    /// counts until the record in the member table changes.
    ///
    /// ```
    /// use tarragoncourse::coordination::restarts::PeerRestarts;
    /// use tarragoncourse::state::id::Incarnation;
    ///
    /// let peer = "10.0.0.1:7000".parse().unwrap();
    /// let mut restarts = PeerRestarts::default();
    /// restarts.record(peer, Incarnation(1), Incarnation(5));
    /// assert_eq!(restarts.current(peer, Incarnation(1)), Incarnation(5));
    /// assert_eq!(restarts.current(peer, Incarnation(6)), Incarnation(6));
    /// ```
    pub fn current(&mut self, peer: SocketAddr, recorded: Incarnation) -> Incarnation {
        match self.named.get(&peer) {
            None => recorded,
            Some(entry) if entry.recorded == recorded => entry.named,
            Some(_) => {
                self.named.remove(&peer);
                recorded
            }
        }
    }
}
