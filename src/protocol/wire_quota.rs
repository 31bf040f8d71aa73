//! Wire forms of the messages between nodes and ledgers.

use serde::{Deserialize, Serialize};

use super::wire::WireError;
use crate::coordination::quota::{ASKS_MAX, Ask, Echo, Grant, QuotaReply, QuotaRequest, ShardSet};
use crate::state::workspace::WorkspaceId;

/// Wire form of [`QuotaRequest`]: the id, the size of the fleet, the lent shards, the echoed stamp
/// and its age, and the asks as little-endian ids with numbers of tokens.
#[derive(Serialize, Deserialize)]
pub(super) struct WireQuotaRequest(u32, u32, u8, Option<(u32, u32)>, Vec<([u8; 8], u16)>);

/// Wire form of [`QuotaReply`]: the id, the size of the fleet, the stamp, and the grants as numbers
/// of tokens with milliseconds to wait.
#[derive(Serialize, Deserialize)]
pub(super) struct WireQuotaReply(u32, u32, u32, Vec<(u16, u16)>);

impl From<&QuotaRequest> for WireQuotaRequest {
    fn from(r: &QuotaRequest) -> WireQuotaRequest {
        let echo = r.echo.map(|e| (e.stamp, e.held_ms));
        let asks = r.asks.iter();
        let asks = asks.map(|a| (a.workspace.0.to_le_bytes(), a.tokens));
        WireQuotaRequest(r.id, r.nodes, r.lent.0, echo, asks.collect())
    }
}

impl TryFrom<WireQuotaRequest> for QuotaRequest {
    type Error = WireError;

    fn try_from(wire: WireQuotaRequest) -> Result<QuotaRequest, WireError> {
        let WireQuotaRequest(id, nodes, lent, echo, asks) = wire;
        if asks.len() > ASKS_MAX {
            return Err(WireError::OutOfBounds("asks"));
        }
        let ask = |(workspace, tokens)| Ask {
            workspace: WorkspaceId(u64::from_le_bytes(workspace)),
            tokens,
        };
        Ok(QuotaRequest {
            id,
            nodes,
            lent: ShardSet(lent),
            echo: echo.map(|(stamp, held_ms)| Echo { stamp, held_ms }),
            asks: asks.into_iter().map(ask).collect(),
        })
    }
}

impl From<&QuotaReply> for WireQuotaReply {
    fn from(r: &QuotaReply) -> WireQuotaReply {
        let grants = r.grants.iter().map(|g| (g.tokens, g.wait_ms));
        WireQuotaReply(r.id, r.nodes, r.stamp, grants.collect())
    }
}

impl TryFrom<WireQuotaReply> for QuotaReply {
    type Error = WireError;

    fn try_from(wire: WireQuotaReply) -> Result<QuotaReply, WireError> {
        let WireQuotaReply(id, nodes, stamp, grants) = wire;
        if grants.len() > ASKS_MAX {
            return Err(WireError::OutOfBounds("grants"));
        }
        let grant = |(tokens, wait_ms)| Grant { tokens, wait_ms };
        Ok(QuotaReply {
            id,
            nodes,
            stamp,
            grants: grants.into_iter().map(grant).collect(),
        })
    }
}
