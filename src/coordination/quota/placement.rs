//! Chooses the ledger of each shard by rendezvous hashing.

use std::cmp::Reverse;
use std::net::SocketAddr;

use smallvec::SmallVec;

use super::SHARD_COUNT;
use crate::state::digest::DigestBuilder;
use crate::state::member::{Health, MemberRecord};

/// Number of members among which the ledgers are chosen. Each node renews a lease with each of them,
/// so twice as many would cost twice the bytes.
const LEDGERS_MAX: usize = 4;

/// Ledgers in order of preference.
type Ranking = SmallVec<[SocketAddr; LEDGERS_MAX]>;

/// The ledgers of all shards, by one node's member table.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    rankings: [Ranking; SHARD_COUNT],
}

impl Placement {
    /// Chooses among the members with the fastest links. Members that are only suspected stay, so
    /// that a false suspicion moves no ledger.
    pub fn new<'a>(members: impl Iterator<Item = &'a MemberRecord>) -> Placement {
        let mut fastest: SmallVec<[(Reverse<u32>, u64, SocketAddr); LEDGERS_MAX + 1]> =
            SmallVec::new();
        for member in members.filter(|m| m.health <= Health::Suspect) {
            let link = Reverse(member.link_mbit);
            if fastest.len() == LEDGERS_MAX && fastest.last().is_some_and(|f| link > f.0) {
                continue;
            }
            fastest.push((link, weight(&member.peer, SHARD_COUNT), member.peer));
            fastest.sort_unstable();
            fastest.truncate(LEDGERS_MAX);
        }
        let rank = |shard| {
            let mut ranking: Ranking = fastest.iter().map(|f| f.2).collect();
            ranking.sort_unstable_by_key(|peer| weight(peer, shard));
            ranking
        };
        Placement {
            rankings: std::array::from_fn(rank),
        }
    }

    /// The ledgers of a shard, the preferred one first. Empty before any member is known.
    pub fn ledgers(&self, shard: usize) -> &[SocketAddr] {
        &self.rankings[shard]
    }
}

fn weight(peer: &SocketAddr, shard: usize) -> u64 {
    let mut builder = DigestBuilder::default();
    let digest = builder
        .text(&peer.to_string())
        .number(shard as u64)
        .finish();
    u64::from_le_bytes(digest.0[..8].try_into().expect("the slice has eight bytes"))
}
