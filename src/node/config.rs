//! A node's own settings: one YAML file.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, de};

use crate::state::id::Path;
use crate::state::settings::SLOTS_MAX;
use crate::state::units::{parse_duration, parse_size};

/// Largest body that is kept whole so that the request can be sent again, by default, in bytes.
const REPLAY_DEFAULT: u64 = 64 << 10;
/// Most connections of callers, by default.
const CONNECTIONS_DEFAULT: usize = 10_000;
/// Longest graceful stop, by default.
const DRAIN_DEFAULT: Duration = Duration::from_secs(30);
/// Time between the announcement of leaving and the closing of the listeners, by default, so that
/// callers and other nodes turn away first.
const NOTICE_DEFAULT: Duration = Duration::from_millis(500);
/// Jitter before a joining node reads the platform, by default.
const JITTER_DEFAULT: Duration = Duration::from_millis(200);
/// Shortest fleet key, in bytes.
const KEY_MIN: usize = 16;

/// Settings of one node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct NodeSettings {
    /// Name of the instance.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Where to listen.
    pub listen: Listen,
    /// Port of the gate as other nodes reach it, where that is not the one it listens on, such as
    /// behind a port mapping.
    pub advertised_gate: Option<u16>,
    /// Address of the platform's key-value service.
    pub platform: SocketAddr,
    /// Secret that all nodes of the fleet share.
    pub fleet_key: String,
    /// Salted hash of the administrators' token; none refuses administrators.
    pub admin_token_hash: Option<String>,
    /// The target beside this node.
    pub target: Option<LocalTarget>,
    /// Peer addresses to try when the platform is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "info")]
    pub log: log::LevelFilter,
    /// Longest graceful stop.
    #[serde(default = "drain", deserialize_with = "duration")]
    pub drain: Duration,
    /// Bound of the random wait before a joining node reads the platform.
    #[serde(default = "jitter", deserialize_with = "duration")]
    pub join_jitter: Duration,
    /// Largest body that is kept whole so that the request can be sent again, in bytes.
    #[serde(default = "replay", deserialize_with = "size")]
    pub replay_body: u64,
    /// Most connections of callers.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Time between the announcement of leaving and the closing of the listeners.
    #[serde(default = "notice", deserialize_with = "duration")]
    pub leave_notice: Duration,
    /// Rate of the instance's link, in megabits a second.
    pub link_mbit: Option<f64>,
    /// Worker threads; one runs everything on one thread.
    pub workers: Option<usize>,
    /// What the whole fleet may repeat; a plain share of this node's answers if it is left out.
    pub retries: Option<FleetRetries>,
}

/// What the whole fleet may send again of a service's requests within a window.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetRetries {
    /// Share of the service's requests.
    pub ratio: f64,
    /// Repeats beyond the share.
    pub slack: f64,
}

/// Where a node listens. Port zero lets the operating system choose.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Other nodes, UDP and TCP.
    pub peers: SocketAddr,
    /// Requests from other nodes to the target beside this one.
    pub gate: SocketAddr,
    /// Callers.
    pub callers: SocketAddr,
    /// Operators.
    pub admin: SocketAddr,
    /// A readiness page of its own, beside the operators' one.
    pub ready: Option<SocketAddr>,
    /// Reports of the target beside this node, where it announces itself.
    pub reports: Option<SocketAddr>,
}

/// The target beside a node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalTarget {
    /// Where the target listens.
    pub address: SocketAddr,
    /// Service that it belongs to.
    #[serde(deserialize_with = "path")]
    pub service: Path,
    /// Requests that it runs at once, unless the operators' settings or the target itself say
    /// otherwise.
    #[serde(default = "one_slot")]
    pub slots: u32,
    /// Whether the target announces itself. Nothing is sent to it before it has.
    #[serde(default)]
    pub announced: bool,
}

/// Why a node's settings are refused.
#[derive(Clone, Debug, Display, Error)]
pub enum ConfigError {
    /// The YAML is not understood.
    #[display("{file}: {message}; correct the field or see docs/SETTINGS.md")]
    Yaml {
        /// File name.
        file: String,
        /// What is wrong, with line and column.
        message: String,
    },
    /// The fleet key is too short to be a secret.
    #[display("{file}: fleet-key has under {KEY_MIN} bytes; make one with `tarragon token`")]
    ShortKey {
        /// File name.
        file: String,
    },
    /// A number is out of bounds.
    #[display("{file}: target.slots {slots} is out of bounds; use 1 to {SLOTS_MAX}")]
    Slots {
        /// File name.
        file: String,
        /// The number given.
        slots: u32,
    },
    /// Other nodes could not reach the address.
    #[display("{file}: listen.{field} is a wildcard; give the address that other nodes use")]
    Wildcard {
        /// File name.
        file: String,
        /// The field.
        field: &'static str,
    },
}

impl NodeSettings {
    /// Reads a node's settings.
    ///
    /// # Errors
    /// [`ConfigError`] with the remedy.
    ///
    /// ```
    /// use tarragoncourse::node::config::NodeSettings;
    /// let error = NodeSettings::parse("node.yaml", "instance: a\n").unwrap_err();
    /// assert!(error.to_string().starts_with("node.yaml: missing field"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<NodeSettings, ConfigError> {
        let file = file.to_string();
        let settings: NodeSettings = match serde_yaml_ng::from_str(text) {
            Ok(settings) => settings,
            Err(e) => {
                let message = e.to_string();
                return Err(ConfigError::Yaml { file, message });
            }
        };
        settings.check(file)?;
        Ok(settings)
    }

    fn check(&self, file: String) -> Result<(), ConfigError> {
        if self.fleet_key.len() < KEY_MIN {
            return Err(ConfigError::ShortKey { file });
        }
        let slots = self.target.as_ref().map_or(1, |t| t.slots);
        if slots == 0 || slots > SLOTS_MAX {
            return Err(ConfigError::Slots { file, slots });
        }
        for (field, address) in [("peers", self.listen.peers), ("gate", self.listen.gate)] {
            if address.ip().is_unspecified() {
                return Err(ConfigError::Wildcard { file, field });
            }
        }
        Ok(())
    }
}

fn one_slot() -> u32 {
    1
}

fn notice() -> Duration {
    NOTICE_DEFAULT
}

fn info() -> log::LevelFilter {
    log::LevelFilter::Info
}

fn drain() -> Duration {
    DRAIN_DEFAULT
}

fn jitter() -> Duration {
    JITTER_DEFAULT
}

fn replay() -> u64 {
    REPLAY_DEFAULT
}

fn connections() -> usize {
    CONNECTIONS_DEFAULT
}

fn duration<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    parse_duration(&text).map_err(de::Error::custom)
}

fn size<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    let text = String::deserialize(d)?;
    parse_size(&text).map_err(de::Error::custom)
}

fn path<'de, D: Deserializer<'de>>(d: D) -> Result<Path, D::Error> {
    let text = String::deserialize(d)?;
    Path::new(&text).map_err(de::Error::custom)
}
