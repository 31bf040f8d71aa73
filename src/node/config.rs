//! Settings of a node, read from a YAML file.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, de};

use crate::coordination::shutdown::ShutdownTimes;
use crate::state::id::Path;
use crate::state::settings::SLOTS_MAX;
use crate::state::units::{parse_duration, parse_size};

/// Default size limit of request bodies that are buffered for retries, in bytes.
const REPLAY_BODY_DEFAULT_BYTES: u64 = 64 << 10;
/// Default limit on connections from callers, and on those from other nodes to the gate.
const CONNECTIONS_MAX_DEFAULT: usize = 10_000;
/// Default timeout for draining requests at shutdown.
const DRAIN_TIMEOUT_DEFAULT: Duration = Duration::from_secs(30);
/// Default time between the start of a shutdown and closing the listeners, in which callers and
/// other nodes stop sending requests to this node.
const LEAVE_NOTICE_DEFAULT: Duration = Duration::from_millis(500);
/// Default time within which an accepted version must be in force on every node.
const APPLY_TIME_DEFAULT: Duration = Duration::from_secs(2);
/// Shortest time within which an accepted version can be in force.
const APPLY_TIME_MIN: Duration = Duration::from_millis(500);
/// Default upper bound of the random delay before a joining node reads the platform.
const JOIN_JITTER_DEFAULT: Duration = Duration::from_millis(200);
/// Shortest fleet key, in bytes.
const FLEET_KEY_MIN_BYTES: usize = 16;

/// Settings of one node.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct NodeSettings {
    /// Name of the instance that the node runs on.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Listen addresses.
    pub listen: Listen,
    /// Port of the gate that is advertised to other nodes, if it differs from the listen port, for
    /// example behind a port mapping.
    pub advertised_gate: Option<u16>,
    /// Address of the platform's key-value service.
    pub platform: SocketAddr,
    /// Secret shared by all nodes of the fleet.
    pub fleet_key: String,
    /// Salted hash of the administrators' token. Without it, no token authenticates administrators.
    pub admin_token_hash: Option<String>,
    /// The local target, if the node has one.
    pub target: Option<LocalTarget>,
    /// Peers to join in addition to those found in the platform, for when the platform is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Log level: error, warn, info, debug or trace.
    #[serde(default = "default_log_level")]
    pub log: log::LevelFilter,
    /// Timeout for draining requests at shutdown.
    #[serde(
        default = "default_drain_timeout",
        deserialize_with = "deserialize_duration"
    )]
    pub drain: Duration,
    /// Upper bound of the random delay before a joining node reads the platform, so that nodes that
    /// start together do not read it at the same moment.
    #[serde(
        default = "default_join_jitter",
        deserialize_with = "deserialize_duration"
    )]
    pub join_jitter: Duration,
    /// Size limit of request bodies that are buffered for retries, in bytes.
    #[serde(default = "default_replay_body", deserialize_with = "deserialize_size")]
    pub replay_body: u64,
    /// Limit on connections from callers, and separately on those from other nodes to the gate.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Time between the start of a shutdown, when the node reports that it is not ready, and
    /// closing the listeners.
    #[serde(
        default = "default_leave_notice",
        deserialize_with = "deserialize_duration"
    )]
    pub leave_notice: Duration,
    /// Time from SIGTERM until the supervisor kills the process. The shutdown is fitted into it.
    #[serde(default, deserialize_with = "deserialize_optional_duration")]
    pub grace_period: Option<Duration>,
    /// Time within which an accepted version must be in force on every node.
    #[serde(
        default = "default_apply_time",
        deserialize_with = "deserialize_duration"
    )]
    pub apply_time: Duration,
    /// Rate of the instance's network link, in megabits per second.
    pub link_mbit: Option<f64>,
    /// Number of worker threads; one selects the single-threaded runtime.
    pub workers: Option<usize>,
    /// Retry allowance of the whole fleet. Without it, this node's retries are limited to a fixed
    /// share of its own requests.
    pub retries: Option<FleetRetries>,
}

/// Retries that the whole fleet may make for one service within a time window.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct FleetRetries {
    /// Retries as a share of the service's requests.
    pub ratio: f64,
    /// Number of retries allowed beyond that share.
    pub slack: f64,
}

/// The addresses that a node listens on. With port zero, the operating system picks a port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For control messages from other nodes, over UDP and TCP.
    pub peers: SocketAddr,
    /// For requests from other nodes to the local target.
    pub gate: SocketAddr,
    /// For callers' requests.
    pub callers: SocketAddr,
    /// For the operators' API.
    pub admin: SocketAddr,
    /// For an additional readiness endpoint besides that of the operators' API.
    pub ready: Option<SocketAddr>,
    /// For reports from the local target, if it is `announced`.
    pub reports: Option<SocketAddr>,
}

/// The target instance that a node runs next to.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocalTarget {
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Service that it belongs to.
    #[serde(deserialize_with = "deserialize_path")]
    pub service: Path,
    /// Number of requests that the target runs concurrently. A report from the target overrides
    /// this, and the operators' configuration overrides both.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether the target reports its state to the node. If so, it receives no requests before its
    /// first report.
    #[serde(default)]
    pub announced: bool,
    /// Software version of the target, by which it is recognised in a roll-out. A version that the
    /// target reports overrides this.
    #[serde(default)]
    pub version: Option<String>,
}

/// An error in a node's settings.
#[derive(Clone, Debug, Display, Error)]
pub enum ConfigError {
    /// The file is not valid YAML, or a field is missing, unknown or of the wrong type.
    #[display("{file}: {message}; correct the field or see docs/SETTINGS.md")]
    Yaml {
        /// File name.
        file: String,
        /// The parser's message, with line and column.
        message: String,
    },
    /// The fleet key is too short to be secure.
    #[display(
        "{file}: fleet-key is shorter than {FLEET_KEY_MIN_BYTES} bytes; generate one with `tarragon token`"
    )]
    ShortKey {
        /// File name.
        file: String,
    },
    /// The number of slots is out of range.
    #[display("{file}: target.slots is {slots}; it must be between 1 and {SLOTS_MAX}")]
    SlotsOutOfRange {
        /// File name.
        file: String,
        /// The configured number.
        slots: u32,
    },
    /// The apply time is too short.
    #[display(
        "{file}: apply-time is shorter than {}ms; the platform would be asked too often",
        APPLY_TIME_MIN.as_millis()
    )]
    ShortApplyTime {
        /// File name.
        file: String,
    },
    /// A listen address is a wildcard, which other nodes cannot connect to.
    #[display(
        "{file}: listen.{field} is a wildcard address; use one that other nodes can connect to"
    )]
    WildcardAddress {
        /// File name.
        file: String,
        /// The name of the field.
        field: &'static str,
    },
}

impl NodeSettings {
    /// Parses and checks a node's settings. `file` is the name that error messages refer to.
    ///
    /// # Errors
    /// Returns a [`ConfigError`] that says how to correct the file.
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

    /// Replaces the apply time if one is given, such as on the command line, and checks the result.
    ///
    /// # Errors
    /// [`ConfigError::ShortApplyTime`].
    pub fn with_apply_time(
        mut self,
        file: &str,
        apply_time: Option<Duration>,
    ) -> Result<NodeSettings, ConfigError> {
        self.apply_time = apply_time.unwrap_or(self.apply_time);
        self.check(file.to_string())?;
        Ok(self)
    }

    /// Times of a graceful shutdown.
    pub fn shutdown_times(&self) -> ShutdownTimes {
        ShutdownTimes::new(self.leave_notice, self.drain, self.grace_period)
    }

    fn check(&self, file: String) -> Result<(), ConfigError> {
        if self.fleet_key.len() < FLEET_KEY_MIN_BYTES {
            return Err(ConfigError::ShortKey { file });
        }
        if self.apply_time < APPLY_TIME_MIN {
            return Err(ConfigError::ShortApplyTime { file });
        }
        let slots = self.target.as_ref().map_or(1, |t| t.slots);
        if slots == 0 || slots > SLOTS_MAX {
            return Err(ConfigError::SlotsOutOfRange { file, slots });
        }
        for (field, address) in [("peers", self.listen.peers), ("gate", self.listen.gate)] {
            if address.ip().is_unspecified() {
                return Err(ConfigError::WildcardAddress { file, field });
            }
        }
        Ok(())
    }
}

fn default_slots() -> u32 {
    1
}

fn default_leave_notice() -> Duration {
    LEAVE_NOTICE_DEFAULT
}

fn default_log_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

fn default_drain_timeout() -> Duration {
    DRAIN_TIMEOUT_DEFAULT
}

fn default_apply_time() -> Duration {
    APPLY_TIME_DEFAULT
}

fn default_join_jitter() -> Duration {
    JOIN_JITTER_DEFAULT
}

fn default_replay_body() -> u64 {
    REPLAY_BODY_DEFAULT_BYTES
}

fn default_connections() -> usize {
    CONNECTIONS_MAX_DEFAULT
}

fn deserialize_duration<'de, D: Deserializer<'de>>(d: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(d)?;
    parse_duration(&text).map_err(de::Error::custom)
}

fn deserialize_optional_duration<'de, D>(d: D) -> Result<Option<Duration>, D::Error>
where
    D: Deserializer<'de>,
{
    deserialize_duration(d).map(Some)
}

fn deserialize_size<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    let text = String::deserialize(d)?;
    parse_size(&text).map_err(de::Error::custom)
}

fn deserialize_path<'de, D: Deserializer<'de>>(d: D) -> Result<Path, D::Error> {
    let text = String::deserialize(d)?;
    Path::new(&text).map_err(de::Error::custom)
}
