//! The fields of the objects in settings files, and their validation.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use smallvec::{SmallVec, smallvec};

use super::{
    ATTEMPTS_DEFAULT, ATTEMPTS_MAX, CONNECTIONS_MAX, DEADLINE_DEFAULT, DEADLINE_MAX,
    HEAD_MAX_BYTES, HEAD_MIN_BYTES, RAMP_DEFAULT, RAMP_MAX, SLOTS_MAX,
};
use crate::state::id::Path;
use crate::state::object::{
    Class, Idempotency, Limits, Route, Service, TargetSettings, Team, WeightedService,
};
use crate::state::units::{format_duration, parse_duration};
use crate::state::workspace::{KeyDigest, RateLimit, Workspace};

/// A team as written in YAML, before validation. Like the other `Raw` types, it declares `kind` and
/// `path` only because unknown fields are rejected; their values are read through
/// [`super::DocumentHead`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct RawTeam {
    #[serde(rename = "kind")]
    _kind: String,
    #[serde(rename = "path")]
    _path: String,
    token_hash: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct RawService {
    #[serde(rename = "kind")]
    _kind: String,
    #[serde(rename = "path")]
    _path: String,
    shed_status: Option<u16>,
    health: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct RawTarget {
    #[serde(rename = "kind")]
    _kind: String,
    #[serde(rename = "path")]
    _path: String,
    service: String,
    slots: u32,
    connections: Option<u32>,
    ramp: Option<String>,
    #[serde(default)]
    drained: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct RawRoute {
    #[serde(rename = "kind")]
    _kind: String,
    #[serde(rename = "path")]
    _path: String,
    host: Option<String>,
    prefix: String,
    #[serde(default)]
    methods: Vec<String>,
    service: Option<String>,
    #[serde(default)]
    split: BTreeMap<String, u32>,
    class: Option<String>,
    priority: Option<u8>,
    objective: Option<String>,
    deadline: Option<String>,
    attempts: Option<u8>,
    idempotent: Option<String>,
    #[serde(default)]
    keyed: bool,
    #[serde(default)]
    public: bool,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct RawLimits {
    #[serde(rename = "kind")]
    _kind: String,
    #[serde(rename = "path")]
    _path: String,
    head: Option<usize>,
    body: Option<u64>,
    patience: Option<String>,
    idle: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct RawWorkspace {
    #[serde(rename = "kind")]
    _kind: String,
    path: String,
    name: Option<String>,
    #[serde(default)]
    keys: Vec<String>,
    priority: Option<u8>,
    rate: Option<f64>,
    burst: Option<f64>,
}

fn parse_duration_field(
    name: &str,
    text: Option<&str>,
    default: Duration,
) -> Result<Duration, String> {
    let parsed = text.map_or(Ok(default), parse_duration);
    parsed.map_err(|e| format!("{name} {e}"))
}

impl TryFrom<RawTeam> for Team {
    type Error = String;

    fn try_from(raw: RawTeam) -> Result<Team, String> {
        let well_formed = raw
            .token_hash
            .split_once(':')
            .is_some_and(|(salt, hash)| salt.len() == 32 && hash.len() == 64);
        if !well_formed {
            return Err("token-hash is malformed; make one with `tarragon token`".to_string());
        }
        Ok(Team {
            token_hash: raw.token_hash,
        })
    }
}

impl TryFrom<RawService> for Service {
    type Error = String;

    fn try_from(raw: RawService) -> Result<Service, String> {
        if let Some(code) = raw.shed_status.filter(|c| !(400..=599).contains(c)) {
            return Err(format!(
                "shed-status {code} is not an HTTP error status; use 400 to 599"
            ));
        }
        if let Some(path) = raw.health.iter().find(|h| !h.starts_with('/')) {
            return Err(format!("health `{path}` must start with `/`; add it"));
        }
        Ok(Service {
            shed_status: raw.shed_status,
            health_path: raw.health,
        })
    }
}

impl TryFrom<RawTarget> for TargetSettings {
    type Error = String;

    fn try_from(raw: RawTarget) -> Result<TargetSettings, String> {
        let connections = raw.connections.unwrap_or(raw.slots.saturating_mul(2));
        let ramp = parse_duration_field("ramp", raw.ramp.as_deref(), RAMP_DEFAULT)?;
        check_range("slots", raw.slots, 1, SLOTS_MAX)?;
        check_range("connections", connections, raw.slots, CONNECTIONS_MAX)?;
        check_max_duration("ramp", ramp, RAMP_MAX)?;
        Ok(TargetSettings {
            service: Path::new(&raw.service).map_err(|e| e.to_string())?,
            slots: raw.slots,
            max_connections: connections,
            ramp,
            drained: raw.drained,
        })
    }
}

impl TryFrom<RawRoute> for Route {
    type Error = String;

    fn try_from(raw: RawRoute) -> Result<Route, String> {
        let deadline = parse_duration_field("deadline", raw.deadline.as_deref(), DEADLINE_DEFAULT)?;
        let attempts = raw.attempts.unwrap_or(ATTEMPTS_DEFAULT);
        let class = raw
            .class
            .as_deref()
            .map_or(Ok(Class::default()), parse_class)?;
        let objective = raw.objective.as_deref().map(parse_duration).transpose();
        let objective = objective.map_err(|e| format!("objective {e}"))?;
        if !raw.prefix.starts_with('/') {
            return Err(format!(
                "prefix `{}` must start with `/`; add it",
                raw.prefix
            ));
        }
        if deadline.is_zero() {
            return Err("deadline is zero; write a positive duration such as `2s`".to_string());
        }
        check_max_duration("deadline", deadline, DEADLINE_MAX)?;
        check_range("attempts", attempts, 1, ATTEMPTS_MAX)?;
        Ok(Route {
            host: raw.host.map(|h| h.to_ascii_lowercase()),
            prefix: raw.prefix,
            methods: raw
                .methods
                .into_iter()
                .map(check_method)
                .collect::<Result<_, _>>()?,
            service_weights: parse_service_weights(raw.service, raw.split)?,
            priority: raw.priority.unwrap_or(class.priority()),
            class,
            objective,
            deadline,
            max_attempts: attempts,
            idempotency: raw
                .idempotent
                .as_deref()
                .map_or(Ok(Idempotency::ByMethod), parse_idempotency)?,
            requires_key: raw.keyed,
            public: raw.public,
        })
    }
}

impl TryFrom<RawLimits> for Limits {
    type Error = String;

    fn try_from(raw: RawLimits) -> Result<Limits, String> {
        let defaults = Limits::default();
        let limits = Limits {
            max_head_bytes: raw.head.unwrap_or(defaults.max_head_bytes),
            max_body_bytes: raw.body.unwrap_or(defaults.max_body_bytes),
            head_timeout: parse_duration_field(
                "patience",
                raw.patience.as_deref(),
                defaults.head_timeout,
            )?,
            idle_timeout: parse_duration_field("idle", raw.idle.as_deref(), defaults.idle_timeout)?,
        };
        check_range(
            "head",
            limits.max_head_bytes,
            HEAD_MIN_BYTES,
            HEAD_MAX_BYTES,
        )?;
        if limits.head_timeout.is_zero() || limits.idle_timeout.is_zero() {
            return Err(
                "patience and idle must be positive; write a duration such as `10s`".to_string(),
            );
        }
        Ok(limits)
    }
}

impl TryFrom<RawWorkspace> for Workspace {
    type Error = String;

    fn try_from(raw: RawWorkspace) -> Result<Workspace, String> {
        let limit = parse_rate_limit(raw.rate, raw.burst)?;
        let last_segment = raw.path.rsplit('/').next().unwrap_or_default();
        let workspace = Workspace {
            name: raw.name.unwrap_or_else(|| last_segment.to_string()),
            keys: raw
                .keys
                .iter()
                .map(|k| parse_key(k))
                .collect::<Result<_, _>>()?,
            priority: raw.priority,
            limit,
        };
        workspace.check().map_err(|e| format!("name {e}"))?;
        Ok(workspace)
    }
}

fn parse_key(text: &str) -> Result<KeyDigest, String> {
    KeyDigest::parse(text).ok_or_else(|| {
        "keys must be digests of 64 hexadecimal digits; make one with `tarragon token --key`"
            .to_string()
    })
}

fn parse_rate_limit(rate: Option<f64>, burst: Option<f64>) -> Result<Option<RateLimit>, String> {
    let valid = |n: f64| n.is_finite() && n >= 0.0;
    if let Some(rate) = rate.filter(|r| !valid(*r)) {
        return Err(format!(
            "rate {rate} is not valid; write requests per second, 0 for no limit"
        ));
    }
    if let Some(burst) = burst.filter(|b| !valid(*b)) {
        return Err(format!(
            "burst {burst} is not valid; write a number of requests"
        ));
    }
    match (rate.filter(|r| *r > 0.0), burst) {
        (None, Some(burst)) if burst > 0.0 => {
            Err("burst has no effect without a rate; add `rate` or remove it".to_string())
        }
        (rate, burst) => Ok(rate.and_then(|r| RateLimit::new(r, burst.unwrap_or(r)))),
    }
}

fn parse_service_weights(
    service: Option<String>,
    split: BTreeMap<String, u32>,
) -> Result<SmallVec<[WeightedService; 1]>, String> {
    let path = |text: &str| Path::new(text).map_err(|e| e.to_string());
    match (service, split.is_empty()) {
        (Some(service), true) => Ok(smallvec![WeightedService::single(path(&service)?)]),
        (None, false) if split.values().all(|w| *w == 0) => Err(
            "split gives every service a weight of zero; give at least one a positive weight"
                .to_string(),
        ),
        (None, false) => split
            .into_iter()
            .map(|(service, weight)| {
                let service = path(&service)?;
                Ok(WeightedService { service, weight })
            })
            .collect(),
        (Some(_), false) => {
            Err("service and split cannot be combined; remove one of them".to_string())
        }
        (None, true) => Err("missing field `service`; add `service` or `split`".to_string()),
    }
}

fn check_method(text: String) -> Result<String, String> {
    let valid = !text.is_empty() && text.bytes().all(|b| b.is_ascii_uppercase());
    if valid {
        return Ok(text);
    }
    Err(format!(
        "method `{text}` must be upper-case letters, such as `POST`"
    ))
}

fn parse_class(text: &str) -> Result<Class, String> {
    let hint = "use lookup, order, interactive or bulk";
    Class::parse(text).ok_or_else(|| format!("class `{text}` is not known; {hint}"))
}

fn parse_idempotency(text: &str) -> Result<Idempotency, String> {
    let all = [
        Idempotency::ByMethod,
        Idempotency::Always,
        Idempotency::Never,
    ];
    let hint = "use by-method, always or never";
    all.into_iter()
        .find(|i| i.to_string() == text)
        .ok_or_else(|| format!("idempotent `{text}` is not known; {hint}"))
}

fn check_range<N: PartialOrd + std::fmt::Display>(
    name: &str,
    n: N,
    min: N,
    max: N,
) -> Result<(), String> {
    if n < min || n > max {
        return Err(format!("{name} {n} is out of bounds; use {min} to {max}"));
    }
    Ok(())
}

fn check_max_duration(name: &str, d: Duration, max: Duration) -> Result<(), String> {
    if d > max {
        let (d, max) = (format_duration(d), format_duration(max));
        return Err(format!("{name} {d} is too long; use at most {max}"));
    }
    Ok(())
}
