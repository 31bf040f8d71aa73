//! Wire forms of configuration objects, deltas and snapshots.

use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::state::digest::Digest;
use crate::state::id::{ChangeId, Path, PathError, Version};
use crate::state::object::{
    Class, Idempotency, Limits, Object, Route, Service, TargetSettings, Team, WeightedService,
};
use crate::state::snapshot::{Delta, Edit, Entry, Snapshot};
use crate::state::workspace::{KeyDigest, RateLimit, Workspace};

/// Why a message or a stored value was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are not a message or a stored value of this protocol version.
    #[display("message cannot be decoded; upgrade the older of the two nodes")]
    Malformed,
    /// A value is outside its bounds.
    #[display("field `{_0}` is out of bounds; upgrade the older of the two nodes")]
    OutOfBounds(#[error(not(source))] &'static str),
    /// The authentication code is not valid.
    #[display("message is not authentic; give both nodes the same fleet key")]
    NotAuthentic,
    /// The message was received before, or it is so old that this cannot be determined.
    #[display("message is a replay; it was dropped")]
    Replayed,
    /// The message is longer than allowed.
    #[display("message of {_0} bytes is too long; it was dropped")]
    TooLong(#[error(not(source))] usize),
}

impl From<PathError> for WireError {
    fn from(_: PathError) -> WireError {
        WireError::OutOfBounds("path")
    }
}

impl From<postcard::Error> for WireError {
    fn from(_: postcard::Error) -> WireError {
        WireError::Malformed
    }
}

/// Wire form of [`Object`], with durations in milliseconds. The names of variants and fields appear
/// in JSON values that are stored in the platform and in the HTTP API for operators, so they must
/// not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WireObject {
    /// A team's token hash.
    Team(String),
    /// A service's shed status and the path of its health check.
    Service(Option<u16>, Option<String>),
    /// A target's settings.
    Target {
        /// Path of the service.
        service: String,
        /// Number of concurrent requests.
        slots: u32,
        /// Maximum number of connections.
        connections: u32,
        /// Length of slow start, in milliseconds.
        ramp: u64,
        /// Whether the target is out of service.
        drained: bool,
    },
    /// A route.
    Route(Box<WireRoute>),
    /// Limits on requests and connections of callers.
    Limits {
        /// Maximum size of a request's head, in bytes.
        head: u64,
        /// Maximum size of a request's body, in bytes.
        body: u64,
        /// Time within which a head must arrive, in milliseconds.
        patience: u64,
        /// Time after which an idle connection is closed, in milliseconds.
        idle: u64,
    },
    /// A route whose callers need no key. Other routes keep their encoding.
    PublicRoute(Box<WireRoute>),
    /// A workspace.
    Workspace {
        /// Name that targets receive.
        name: String,
        /// Digests of the keys.
        keys: Vec<[u8; 32]>,
        /// Priority of the requests.
        priority: Option<u8>,
        /// Requests per second; zero without a limit.
        rate: f64,
        /// Number of requests at once.
        burst: f64,
    },
}

/// Wire form of [`Route`], with durations in milliseconds. The field names appear in JSON, as
/// those of [`WireObject`] do.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireRoute {
    host: Option<String>,
    prefix: String,
    methods: Vec<String>,
    /// Paths of the services that receive the requests, with their weights.
    parts: Vec<(String, u32)>,
    class: u8,
    priority: u8,
    objective: Option<u64>,
    deadline: u64,
    attempts: u8,
    idempotency: u8,
    /// Whether requests must have an idempotency key.
    keyed: bool,
}

impl From<&Object> for WireObject {
    fn from(object: &Object) -> WireObject {
        match object {
            Object::Team(t) => WireObject::Team(t.token_hash.clone()),
            Object::Service(s) => WireObject::Service(s.shed_status, s.health_path.clone()),
            Object::Target(t) => WireObject::Target {
                service: t.service.to_string(),
                slots: t.slots,
                connections: t.max_connections,
                ramp: t.ramp.as_millis() as u64,
                drained: t.drained,
            },
            Object::Route(r) if r.public => WireObject::PublicRoute(Box::new(r.into())),
            Object::Route(r) => WireObject::Route(Box::new(r.into())),
            Object::Workspace(w) => w.into(),
            Object::Limits(l) => WireObject::Limits {
                head: l.max_head_bytes as u64,
                body: l.max_body_bytes,
                patience: l.head_timeout.as_millis() as u64,
                idle: l.idle_timeout.as_millis() as u64,
            },
        }
    }
}

impl From<&Route> for WireRoute {
    fn from(r: &Route) -> WireRoute {
        WireRoute {
            host: r.host.clone(),
            prefix: r.prefix.clone(),
            methods: r.methods.to_vec(),
            parts: r
                .service_weights
                .iter()
                .map(|w| (w.service.to_string(), w.weight))
                .collect(),
            class: r.class as u8,
            priority: r.priority,
            objective: r.objective.map(|o| o.as_millis() as u64),
            deadline: r.deadline.as_millis() as u64,
            attempts: r.max_attempts,
            idempotency: r.idempotency as u8,
            keyed: r.requires_key,
        }
    }
}

impl From<&Workspace> for WireObject {
    fn from(w: &Workspace) -> WireObject {
        let (rate, burst) = w.limit.map_or((0.0, 0.0), |l| (l.rate, l.burst));
        WireObject::Workspace {
            name: w.name.clone(),
            keys: w.keys.iter().map(|k| k.0).collect(),
            priority: w.priority,
            rate,
            burst,
        }
    }
}

impl TryFrom<WireObject> for Object {
    type Error = WireError;

    fn try_from(wire: WireObject) -> Result<Object, WireError> {
        Ok(match wire {
            WireObject::Team(token_hash) => Team { token_hash }.into(),
            WireObject::Service(shed_status, health) => Service {
                shed_status,
                health_path: health,
            }
            .into(),
            WireObject::Target {
                service,
                slots,
                connections,
                ramp,
                drained,
            } => TargetSettings {
                service: Path::new(&service)?,
                slots,
                max_connections: connections,
                ramp: Duration::from_millis(ramp),
                drained,
            }
            .into(),
            WireObject::Route(r) => Route::try_from(*r)?.into(),
            WireObject::PublicRoute(r) => Route {
                public: true,
                ..Route::try_from(*r)?
            }
            .into(),
            WireObject::Workspace {
                name,
                keys,
                priority,
                rate,
                burst,
            } => Workspace {
                name,
                keys: keys.into_iter().map(KeyDigest).collect(),
                priority,
                limit: RateLimit::new(rate, burst),
            }
            .into(),
            WireObject::Limits {
                head,
                body,
                patience,
                idle,
            } => Limits {
                max_head_bytes: usize::try_from(head)
                    .map_err(|_| WireError::OutOfBounds("head"))?,
                max_body_bytes: body,
                head_timeout: Duration::from_millis(patience),
                idle_timeout: Duration::from_millis(idle),
            }
            .into(),
        })
    }
}

impl TryFrom<WireRoute> for Route {
    type Error = WireError;

    fn try_from(wire: WireRoute) -> Result<Route, WireError> {
        let policies = [
            Idempotency::ByMethod,
            Idempotency::Always,
            Idempotency::Never,
        ];
        let class = Class::ALL.get(usize::from(wire.class));
        let policy = policies.get(usize::from(wire.idempotency));
        Ok(Route {
            host: wire.host,
            prefix: wire.prefix,
            methods: wire.methods.into(),
            service_weights: wire
                .parts
                .into_iter()
                .map(weighted_service)
                .collect::<Result<_, _>>()?,
            priority: wire.priority,
            objective: wire.objective.map(Duration::from_millis),
            class: *class.ok_or(WireError::OutOfBounds("class"))?,
            deadline: Duration::from_millis(wire.deadline),
            max_attempts: wire.attempts,
            idempotency: *policy.ok_or(WireError::OutOfBounds("idempotency"))?,
            requires_key: wire.keyed,
            public: false,
        })
    }
}

fn weighted_service((service, weight): (String, u32)) -> Result<WeightedService, WireError> {
    let service = Path::new(&service)?;
    Ok(WeightedService { service, weight })
}

/// Wire form of [`Entry`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireEntry {
    path: String,
    object: WireObject,
}

impl From<&Entry> for WireEntry {
    fn from(e: &Entry) -> WireEntry {
        WireEntry {
            path: e.path.to_string(),
            object: (&*e.object).into(),
        }
    }
}

impl TryFrom<WireEntry> for Entry {
    type Error = WireError;

    fn try_from(wire: WireEntry) -> Result<Entry, WireError> {
        Ok(Entry {
            path: Path::new(&wire.path)?,
            object: Arc::new(wire.object.try_into()?),
        })
    }
}

/// Wire form of [`Edit`]. An edit without an object deletes the path.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireEdit {
    path: String,
    object: Option<WireObject>,
}

impl From<&Edit> for WireEdit {
    fn from(edit: &Edit) -> WireEdit {
        let object = match edit {
            Edit::Put(_, object) => Some((&**object).into()),
            Edit::Delete(_) => None,
        };
        WireEdit {
            path: edit.path().to_string(),
            object,
        }
    }
}

impl TryFrom<WireEdit> for Edit {
    type Error = WireError;

    fn try_from(wire: WireEdit) -> Result<Edit, WireError> {
        let path = Path::new(&wire.path)?;
        Ok(match wire.object {
            Some(object) => Edit::Put(path, Arc::new(object.try_into()?)),
            None => Edit::Delete(path),
        })
    }
}

/// Wire form of [`Delta`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireDelta {
    base: u64,
    version: u64,
    digest: [u8; 32],
    change: u128,
    author: String,
    edits: Vec<WireEdit>,
}

impl From<&Delta> for WireDelta {
    fn from(d: &Delta) -> WireDelta {
        WireDelta {
            base: d.base.0,
            version: d.version.0,
            digest: d.digest.0,
            change: d.change.0,
            author: d.author.clone(),
            edits: d.edits.iter().map(WireEdit::from).collect(),
        }
    }
}

impl TryFrom<WireDelta> for Delta {
    type Error = WireError;

    fn try_from(wire: WireDelta) -> Result<Delta, WireError> {
        let edits = wire.edits.into_iter().map(Edit::try_from);
        Ok(Delta {
            base: Version(wire.base),
            version: Version(wire.version),
            digest: Digest(wire.digest),
            change: ChangeId(wire.change),
            author: wire.author,
            edits: edits.collect::<Result<_, _>>()?,
        })
    }
}

/// Wire form of a [`Snapshot`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireSnapshot {
    version: u64,
    digest: [u8; 32],
    change: u128,
    entries: Vec<WireEntry>,
}

impl From<&Snapshot> for WireSnapshot {
    fn from(s: &Snapshot) -> WireSnapshot {
        WireSnapshot {
            version: s.version().0,
            digest: s.digest().0,
            change: s.change().0,
            entries: s.entries().map(WireEntry::from).collect(),
        }
    }
}

impl TryFrom<WireSnapshot> for Snapshot {
    type Error = WireError;

    fn try_from(wire: WireSnapshot) -> Result<Snapshot, WireError> {
        let entries = wire.entries.into_iter().map(Entry::try_from);
        let entries = entries.collect::<Result<_, _>>()?;
        let (version, change) = (Version(wire.version), ChangeId(wire.change));
        Snapshot::from_entries(version, change, Digest(wire.digest), entries)
            .map_err(|_| WireError::OutOfBounds("digest"))
    }
}

/// Converts the values of a list that are not rejected, and counts the others in one log line.
pub fn convert_valid<W, T>(wire_values: Vec<W>) -> Vec<T>
where
    T: TryFrom<W, Error = WireError>,
{
    let mut first_error = None;
    let mut values = Vec::with_capacity(wire_values.len());
    let count = wire_values.len();
    for value in wire_values {
        match T::try_from(value) {
            Ok(value) => values.push(value),
            Err(e) => first_error = first_error.or(Some(e)),
        }
    }
    if let Some(e) = first_error {
        let ignored = count - values.len();
        log::warn!("ignored values from a peer that are not valid count={ignored}: {e}");
    }
    values
}

/// Converts a list of wire values. Returns the first error if any of them is rejected.
pub fn convert_all<W, T>(wire_values: Vec<W>) -> Result<Vec<T>, WireError>
where
    T: TryFrom<W, Error = WireError>,
{
    wire_values.into_iter().map(T::try_from).collect()
}
