//! The settings objects that operators write: teams, services, targets and routes.

use std::time::Duration;

use derive_more::{Display, From};
use smallvec::SmallVec;

use super::digest::{Digest, DigestBuilder};
use super::id::Path;

/// One settings object. Its path is kept beside it.
#[derive(Clone, Debug, PartialEq, From)]
pub enum Object {
    /// The owner of a subtree.
    Team(Team),
    /// A named group of targets.
    Service(Service),
    /// Limits and state of one target instance.
    Target(TargetSettings),
    /// Which requests go to which service, and under what policy.
    Route(Route),
    /// Bounds on what callers may send.
    Limits(Limits),
}

/// The owner of the subtree named by its path's only segment.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Salted hash of the team's bearer token, `salt:hash` in hexadecimal.
    pub token_hash: String,
}

/// A named group of targets.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct Service {
    /// HTTP status with which targets say that they shed a request without running it.
    pub shed_status: Option<u16>,
    /// HTTP path of the targets' health page; none means the connection alone is checked.
    pub health_path: Option<String>,
}

/// Limits and state of one target instance, matched by the instance's name.
#[derive(Clone, Debug, PartialEq)]
pub struct TargetSettings {
    /// Path of the service that the instance belongs to.
    pub service: Path,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Connections that the target accepts.
    pub max_connections: u32,
    /// Time over which a cold target's share grows to its whole.
    pub ramp: Duration,
    /// Whether the operators have taken the target out of service.
    pub drained: bool,
}

/// Priority class of a request, most urgent first.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Internal lookups that other calls wait for.
    #[display("lookup")]
    Lookup,
    /// Orders and deposits.
    #[display("order")]
    Order,
    /// Calls that a person waits for.
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

    /// Finds a class by its settings name.
    ///
    /// ```
    /// use tarragoncourse::state::object::Class;
    /// assert_eq!(Class::parse("bulk"), Some(Class::Bulk));
    /// ```
    pub fn parse(text: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|c| c.to_string() == text)
    }

    /// The priority of the class's requests where a route names none; zero is the highest.
    pub fn priority(self) -> u8 {
        self as u8
    }
}

/// Which requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum Idempotency {
    /// As RFC 9110 defines for the request's method.
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

/// Which requests go to which service, and under what policy.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host that the request must name, in lower case; none matches any host.
    pub host: Option<String>,
    /// Path prefix, matched on whole segments.
    pub prefix: String,
    /// Methods in upper case; empty matches any method.
    pub methods: SmallVec<[String; 4]>,
    /// Services that answer, by weight.
    pub weighted_services: SmallVec<[WeightedService; 1]>,
    /// What kind of work it is.
    pub class: Class,
    /// Rank at the gate; zero is the highest.
    pub priority: u8,
    /// Time within which an answer is worth most to the caller.
    pub objective: Option<Duration>,
    /// Longest time a request may take.
    pub deadline: Duration,
    /// Most attempts a request may use, the first included.
    pub max_attempts: u8,
    /// Which requests may run more than once.
    pub idempotency: Idempotency,
    /// Whether an `Idempotency-Key` header is required and claimed before the request runs.
    pub requires_key: bool,
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Path of the service.
    pub service: Path,
    /// Share, relative to the weights of the route's other parts.
    pub weight: u32,
}

impl WeightedService {
    /// The only part of a route that goes to one service.
    pub fn single(service: Path) -> WeightedService {
        WeightedService { service, weight: 1 }
    }
}

/// Bounds on what callers may send, for every node of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time in which a request's head must arrive.
    pub head_timeout: Duration,
    /// Time for which a connection is kept without a request.
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
    /// The settings name of the object's kind.
    pub fn kind(&self) -> &'static str {
        match self {
            Object::Team(_) => "team",
            Object::Service(_) => "service",
            Object::Target(_) => "target",
            Object::Route(_) => "route",
            Object::Limits(_) => "limits",
        }
    }

    /// The services that the object refers to.
    pub fn services(&self) -> SmallVec<[&Path; 2]> {
        match self {
            Object::Target(t) => SmallVec::from_slice(&[&t.service]),
            Object::Route(r) => r.weighted_services.iter().map(|p| &p.service).collect(),
            Object::Team(_) | Object::Service(_) | Object::Limits(_) => SmallVec::new(),
        }
    }

    /// Digest of the object under its path.
    pub fn digest(&self, path: &Path) -> Digest {
        let mut digest = DigestBuilder::default();
        digest.text(path.as_str()).text(self.kind());
        match self {
            Object::Team(t) => t.hash_into(&mut digest),
            Object::Service(s) => s.hash_into(&mut digest),
            Object::Target(t) => t.hash_into(&mut digest),
            Object::Route(r) => r.hash_into(&mut digest),
            Object::Limits(l) => l.hash_into(&mut digest),
        }
        digest.finish()
    }
}

impl Team {
    fn hash_into(&self, digest: &mut DigestBuilder) {
        digest.text(&self.token_hash);
    }
}

impl Service {
    fn hash_into(&self, digest: &mut DigestBuilder) {
        digest.number(self.shed_status.map_or(0, u64::from));
        digest.text(self.health_path.as_deref().unwrap_or_default());
    }
}

impl TargetSettings {
    fn hash_into(&self, digest: &mut DigestBuilder) {
        digest.text(self.service.as_str());
        digest.number(self.slots.into());
        digest.number(self.max_connections.into());
        digest.number(self.ramp.as_millis() as u64);
        digest.number(self.drained.into());
    }
}

impl Route {
    fn hash_into(&self, digest: &mut DigestBuilder) {
        digest.text(self.host.as_deref().unwrap_or_default());
        digest.text(&self.prefix);
        digest.number(self.methods.len() as u64);
        for m in &self.methods {
            digest.text(m);
        }
        digest.number(self.weighted_services.len() as u64);
        for p in &self.weighted_services {
            digest.text(p.service.as_str());
            digest.number(p.weight.into());
        }
        digest.number(self.class as u64);
        digest.number(self.priority.into());
        digest.number(self.objective.map_or(0, |o| o.as_millis() as u64));
        digest.number(self.deadline.as_millis() as u64);
        digest.number(self.max_attempts.into());
        digest.number(self.idempotency as u64);
        digest.number(self.requires_key.into());
    }
}

impl Limits {
    fn hash_into(&self, digest: &mut DigestBuilder) {
        digest.number(self.max_head_bytes as u64);
        digest.number(self.max_body_bytes);
        digest.number(self.head_timeout.as_millis() as u64);
        digest.number(self.idle_timeout.as_millis() as u64);
    }
}
