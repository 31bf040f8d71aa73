//! Wire forms of member records.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::wire::WireError;
use super::wire_rollout::parse_version;
use crate::state::id::{Incarnation, Path};
use crate::state::member::{Health, INSTANCE_MAX_BYTES, MemberRecord, TargetRecord};
use crate::state::settings::SLOTS_MAX;

/// Wire form of [`MemberRecord`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireMemberRecord {
    peer: SocketAddr,
    gate_port: u16,
    incarnation: u64,
    sequence: u32,
    zone: String,
    health: u8,
    watcher: bool,
    link_mbit: u32,
    target: WireTarget,
}

/// Largest incarnation that is accepted; far beyond any start time in milliseconds. A node takes a
/// larger one than others hold of it, which must not overflow.
const INCARNATION_MAX: u64 = 1 << 53;
/// Largest sequence number of a record that is accepted. A node continues from the largest one that
/// others hold of it.
const RECORD_SEQUENCE_MAX: u32 = u32::MAX / 2;

/// The states of a member; each is encoded on the wire as its index in this list.
const HEALTH_VALUES: [Health; 6] = [
    Health::Cold,
    Health::Ready,
    Health::Down,
    Health::Suspect,
    Health::Leaving,
    Health::Gone,
];

impl From<&MemberRecord> for WireMemberRecord {
    fn from(r: &MemberRecord) -> WireMemberRecord {
        let target = r.target.as_ref();
        WireMemberRecord {
            peer: r.peer,
            gate_port: r.gate_port,
            incarnation: r.incarnation.0,
            sequence: r.sequence,
            zone: r.zone.to_string(),
            health: r.health as u8,
            watcher: r.watcher,
            link_mbit: r.link_mbit,
            target: target.into(),
        }
    }
}

impl TryFrom<WireMemberRecord> for MemberRecord {
    type Error = WireError;

    fn try_from(wire: WireMemberRecord) -> Result<MemberRecord, WireError> {
        let health = HEALTH_VALUES.get(usize::from(wire.health));
        if wire.incarnation > INCARNATION_MAX {
            return Err(WireError::OutOfBounds("incarnation"));
        }
        if wire.sequence > RECORD_SEQUENCE_MAX {
            return Err(WireError::OutOfBounds("sequence"));
        }
        if !is_peer_address(&wire.peer) || wire.gate_port == 0 {
            return Err(WireError::OutOfBounds("address"));
        }
        Ok(MemberRecord {
            peer: wire.peer,
            gate_port: wire.gate_port,
            incarnation: Incarnation(wire.incarnation),
            sequence: wire.sequence,
            zone: wire.zone.into(),
            health: *health.ok_or(WireError::OutOfBounds("health"))?,
            watcher: wire.watcher,
            link_mbit: wire.link_mbit,
            target: wire.target.try_into()?,
        })
    }
}

/// Wire form of an optional [`TargetRecord`]. Variants are encoded by their position. The first two are
/// encoded like an `Option`, which this type has replaced: records without a version have the same
/// bytes as before there were versions.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum WireTarget {
    None,
    Unversioned(WireTargetRecord),
    Versioned(WireTargetRecord, String),
}

impl From<Option<&TargetRecord>> for WireTarget {
    fn from(target: Option<&TargetRecord>) -> WireTarget {
        match target.map(|t| (t, &t.version)) {
            None => WireTarget::None,
            Some((t, None)) => WireTarget::Unversioned(t.into()),
            Some((t, Some(version))) => WireTarget::Versioned(t.into(), version.to_string()),
        }
    }
}

impl TryFrom<WireTarget> for Option<TargetRecord> {
    type Error = WireError;

    fn try_from(wire: WireTarget) -> Result<Option<TargetRecord>, WireError> {
        Ok(match wire {
            WireTarget::None => None,
            WireTarget::Unversioned(target) => Some(target.try_into()?),
            WireTarget::Versioned(target, version) => Some(TargetRecord {
                version: Some(parse_version(&version)?),
                ..target.try_into()?
            }),
        })
    }
}

/// Wire form of [`TargetRecord`], without its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireTargetRecord {
    instance: String,
    service: String,
    slots: u32,
    /// Start time of the target's process and sequence number of its last report.
    last_report: (u64, u64),
    leaving: bool,
}

impl From<&TargetRecord> for WireTargetRecord {
    fn from(t: &TargetRecord) -> WireTargetRecord {
        WireTargetRecord {
            instance: t.instance.to_string(),
            service: t.service.to_string(),
            slots: t.slots,
            last_report: t.last_report,
            leaving: t.leaving,
        }
    }
}

impl TryFrom<WireTargetRecord> for TargetRecord {
    type Error = WireError;

    fn try_from(wire: WireTargetRecord) -> Result<TargetRecord, WireError> {
        if wire.instance.len() > INSTANCE_MAX_BYTES {
            return Err(WireError::OutOfBounds("instance"));
        }
        Ok(TargetRecord {
            instance: wire.instance.into(),
            service: Path::new(&wire.service)?,
            slots: wire.slots.min(SLOTS_MAX),
            last_report: wire.last_report,
            leaving: wire.leaving,
            version: None,
        })
    }
}

/// Whether other nodes can connect to an address.
pub fn is_peer_address(address: &SocketAddr) -> bool {
    let ip = address.ip();
    let broadcast = ip == IpAddr::V4(Ipv4Addr::BROADCAST);
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}
