//! The configuration objects that operators write: teams, services, targets, routes, limits and
//! workspaces.

use std::time::Duration;

use derive_more::{Display, From};
use smallvec::SmallVec;

use super::digest::{Digest, DigestBuilder};
use super::id::Path;
use super::workspace::Workspace;

/// One configuration object. Its path is stored separately, see [`Entry`].
///
/// [`Entry`]: super::snapshot::Entry
#[derive(Clone, Debug, PartialEq, From)]
pub enum Object {
    /// A team that owns a subtree of paths.
    Team(Team),
    /// A group of interchangeable targets.
    Service(Service),
    /// Settings of one target instance.
    Target(TargetSettings),
    /// A rule that assigns requests to services.
    Route(Route),
    /// Limits on requests and connections of callers.
    Limits(Limits),
    /// A group of callers with keys, a priority and a rate limit.
    Workspace(Workspace),
}

/// A team. The path of a team has one segment, the team's name. The team owns all paths that start
/// with this segment.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Salted hash of the team's bearer token, `salt:hash` in hexadecimal.
    pub token_hash: String,
}

/// A group of interchangeable targets.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Service {
    /// HTTP status with which targets report that they shed a request without running it.
    pub shed_status: Option<u16>,
    /// HTTP path of the targets' health check; without one, a target counts as healthy when it
    /// accepts a connection.
    pub health_path: Option<String>,
}

/// Settings of one target instance. The last segment of the object's path is the name of the
/// instance.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSettings {
    /// Path of the service that the instance belongs to.
    pub service: Path,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub max_connections: u32,
    /// Length of slow start: the time over which the target's share of requests grows to the full
    /// share.
    pub ramp: Duration,
    /// Whether operators have taken the target out of service.
    pub drained: bool,
}

/// Class of a request. The classes are listed in the order of their priority, most urgent first.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Internal lookups whose results other requests wait for.
    #[display("lookup")]
    Lookup,
    /// Orders and deposits.
    #[display("order")]
    Order,
    /// Requests whose response a person waits for.
    #[default]
    #[display("interactive")]
    Interactive,
    /// Uploads and other long transfers.
    #[display("bulk")]
    Bulk,
}

impl Class {
    /// All classes, most urgent first.
    pub const ALL: [Class; 4] = [Class::Lookup, Class::Order, Class::Interactive, Class::Bulk];

    /// Finds a class by its name in settings files.
    ///
    /// ```
    /// use tarragoncourse::state::object::Class;
    /// assert_eq!(Class::parse("bulk"), Some(Class::Bulk));
    /// ```
    pub fn parse(text: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|c| c.to_string() == text)
    }

    /// The default priority of routes of this class; zero is the highest priority.
    pub fn priority(self) -> u8 {
        self as u8
    }
}

/// Which requests of a route are idempotent and may therefore run more than once.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Idempotency {
    /// Requests whose method RFC 9110 defines as idempotent.
    #[default]
    #[display("by-method")]
    ByMethod,
    /// Every request is idempotent.
    #[display("always")]
    Always,
    /// No request is idempotent, whatever its method.
    #[display("never")]
    Never,
}

/// A rule that assigns requests to services and sets their priority, deadline and retry policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host of the request, in lower case; `None` matches any host.
    pub host: Option<String>,
    /// Prefix of the request's path, compared literally. One without a final slash matches whole
    /// segments: the path that equals it and the paths below it.
    pub prefix: String,
    /// Methods, in upper case; an empty list matches any method.
    pub methods: SmallVec<[String; 4]>,
    /// Services that receive the requests, with their weights.
    pub service_weights: SmallVec<[WeightedService; 1]>,
    /// Class of the requests.
    pub class: Class,
    /// Priority in the gate's queue; zero is the highest.
    pub priority: u8,
    /// Latency objective: the time within which a response is most useful to the caller.
    pub objective: Option<Duration>,
    /// Maximum duration of a request.
    pub deadline: Duration,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u8,
    /// Which of the requests are idempotent.
    pub idempotency: Idempotency,
    /// Whether requests must have an `Idempotency-Key` header. The ingress claims the key before
    /// the request runs.
    pub requires_key: bool,
    /// Whether callers need no key of a workspace.
    pub public: bool,
}

/// One of the services that receive a route's requests, with its share of them.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Path of the service.
    pub service: Path,
    /// Share of the requests, relative to the weights of the route's other services.
    pub weight: u32,
}

impl WeightedService {
    /// Creates the only service of a route that is not split.
    pub fn single(service: Path) -> WeightedService {
        WeightedService { service, weight: 1 }
    }
}

/// Limits on requests and connections of callers, the same for all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head.
    pub max_head_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: u64,
    /// Time within which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_head_bytes: 64 << 10,
            max_body_bytes: 1 << 40,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(10),
        }
    }
}

impl Object {
    /// The name of the object's kind in settings files.
    pub fn kind(&self) -> &'static str {
        match self {
            Object::Team(_) => "team",
            Object::Service(_) => "service",
            Object::Target(_) => "target",
            Object::Route(_) => "route",
            Object::Limits(_) => "limits",
            Object::Workspace(_) => "workspace",
        }
    }

    /// The services that the object refers to.
    pub fn services(&self) -> SmallVec<[&Path; 2]> {
        match self {
            Object::Target(t) => SmallVec::from_slice(&[&t.service]),
            Object::Route(r) => r.service_weights.iter().map(|w| &w.service).collect(),
            Object::Team(_) | Object::Service(_) | Object::Limits(_) | Object::Workspace(_) => {
                SmallVec::new()
            }
        }
    }

    /// Returns the digest of the object and its path.
    pub fn digest(&self, path: &Path) -> Digest {
        let mut builder = DigestBuilder::default();
        builder.text(path.as_str()).text(self.kind());
        match self {
            Object::Team(t) => t.hash_into(&mut builder),
            Object::Service(s) => s.hash_into(&mut builder),
            Object::Target(t) => t.hash_into(&mut builder),
            Object::Route(r) => r.hash_into(&mut builder),
            Object::Limits(l) => l.hash_into(&mut builder),
            Object::Workspace(w) => w.hash_into(&mut builder),
        }
        builder.finish()
    }
}

impl Team {
    fn hash_into(&self, builder: &mut DigestBuilder) {
        builder.text(&self.token_hash);
    }
}

impl Service {
    fn hash_into(&self, builder: &mut DigestBuilder) {
        builder.number(self.shed_status.map_or(0, u64::from));
        builder.text(self.health_path.as_deref().unwrap_or_default());
    }
}

impl TargetSettings {
    fn hash_into(&self, builder: &mut DigestBuilder) {
        builder.text(self.service.as_str());
        builder.number(self.slots.into());
        builder.number(self.max_connections.into());
        builder.number(self.ramp.as_millis() as u64);
        builder.number(self.drained.into());
    }
}

impl Route {
    fn hash_into(&self, builder: &mut DigestBuilder) {
        builder.text(self.host.as_deref().unwrap_or_default());
        builder.text(&self.prefix);
        builder.number(self.methods.len() as u64);
        for m in &self.methods {
            builder.text(m);
        }
        builder.number(self.service_weights.len() as u64);
        for w in &self.service_weights {
            builder.text(w.service.as_str());
            builder.number(w.weight.into());
        }
        builder.number(self.class as u64);
        builder.number(self.priority.into());
        builder.number(self.objective.map_or(0, |o| o.as_millis() as u64));
        builder.number(self.deadline.as_millis() as u64);
        builder.number(self.max_attempts.into());
        builder.number(self.idempotency as u64);
        builder.number(self.requires_key.into());
        // Only if set, so that the digests of other routes are those of earlier versions.
        if self.public {
            builder.text("public");
        }
    }
}

impl Limits {
    fn hash_into(&self, builder: &mut DigestBuilder) {
        builder.number(self.max_head_bytes as u64);
        builder.number(self.max_body_bytes);
        builder.number(self.head_timeout.as_millis() as u64);
        builder.number(self.idle_timeout.as_millis() as u64);
    }
}
