//! The routing table: one configuration snapshot joined with one state of the member table.
//!
//! A table is immutable and is replaced by swapping one pointer, so that every request sees a
//! configuration and a member table that belong together. A table contains all services that its
//! routes refer to.

use std::collections::{BTreeMap, HashMap};
use std::iter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use smallvec::SmallVec;

use super::id::{Incarnation, Path, Version};
use super::member::{Health, MemberRecord, MemberTable, TargetStart, TargetVersion};
use super::object::{Limits, Object, Route, Service, TargetSettings};
use super::snapshot::Snapshot;
use super::workspace::{KeyDigest, Workspace, WorkspaceEntry, WorkspaceId};

/// A target to which a request can be sent, through the gate of its node.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Peer address of the target's node.
    pub peer: SocketAddr,
    /// Address of the node's gate.
    pub gate_addr: SocketAddr,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Start of the target.
    pub start: TargetStart,
    /// Availability zone.
    pub zone: Arc<str>,
    /// State of the member, from its newest record.
    pub health: Health,
    /// Number of requests that the target runs concurrently: the configured value, or the one that
    /// the target published if none is configured.
    pub slots: u32,
    /// Length of the target's slow start.
    pub ramp: Duration,
}

/// A service and the targets that can serve its requests.
#[derive(Clone, Debug, Default)]
pub struct ServiceEntry {
    /// Settings of the service.
    pub settings: Service,
    /// Targets to which requests may be sent.
    pub candidates: Vec<Candidate>,
    /// Versions of the targets that have published one, by the peer addresses of their nodes.
    pub versions: BTreeMap<SocketAddr, TargetVersion>,
}

/// A route with its path and the statistics of its requests.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Path of the route object.
    pub path: Path,
    pub route: Route,
    /// Statistics of the route at this node. They are kept when the configuration changes.
    stats: Arc<RouteStats>,
}

/// Statistics of one node about the requests of one route.
#[derive(Debug)]
struct RouteStats {
    /// Number of requests so far, from which the service of a split route is chosen. The count
    /// starts at a random value so that the nodes do not all choose the same service at the same
    /// time.
    request_count: AtomicU64,
    /// Longest timeout that a caller of the route has sent, in milliseconds.
    longest_timeout_ms: AtomicU64,
    /// Moving average of the size of responses, in bytes; zero before the first response.
    mean_response_bytes: AtomicU64,
}

impl Default for RouteStats {
    fn default() -> Self {
        RouteStats {
            request_count: AtomicU64::new(fastrand::u64(..1 << 20)),
            longest_timeout_ms: AtomicU64::new(0),
            mean_response_bytes: AtomicU64::new(0),
        }
    }
}

/// The weight of the newest response in the average response size is one divided by this number.
const RESPONSE_MEAN_WINDOW: u64 = 16;

impl RouteEntry {
    /// Counts a request and returns its number, from which the service of a split route is chosen.
    pub fn next_request_number(&self) -> u64 {
        self.stats.request_count.fetch_add(1, Ordering::Relaxed)
    }

    /// Estimates how long the caller has already been waiting, from the timeout `time_left` that it
    /// sent. Callers of a route are assumed to start with the same timeout and to send the
    /// remaining time when they retry, so the longest timeout received so far is used as the
    /// initial one.
    pub fn caller_elapsed(&self, time_left: Duration) -> Duration {
        let left_ms = u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX);
        let longest_ms = self
            .stats
            .longest_timeout_ms
            .fetch_max(left_ms, Ordering::Relaxed);
        Duration::from_millis(longest_ms.max(left_ms) - left_ms)
    }

    /// Adds the size of a response to the average.
    pub fn record_response_size(&self, bytes: u64) {
        let mean = self.stats.mean_response_bytes.load(Ordering::Relaxed);
        let next = match mean {
            0 => bytes,
            _ => (mean * (RESPONSE_MEAN_WINDOW - 1) + bytes) / RESPONSE_MEAN_WINDOW,
        };
        // Of two concurrent updates one may be lost. That is acceptable because the average only
        // influences where requests are sent.
        self.stats
            .mean_response_bytes
            .store(next, Ordering::Relaxed);
    }

    /// Moving average of the size of the route's responses, in bytes; zero before the first
    /// response.
    pub fn mean_response_bytes(&self) -> u64 {
        self.stats.mean_response_bytes.load(Ordering::Relaxed)
    }
}

/// The routes for one host, or for any host.
#[derive(Debug, Default)]
struct HostRoutes {
    /// Routes with the same prefix differ in their methods.
    by_prefix: HashMap<String, SmallVec<[Arc<RouteEntry>; 2]>>,
    /// Length of the longest prefix, in bytes.
    longest_prefix: usize,
}

/// The routes of one configuration version, indexed by host and prefix, with the target settings
/// and limits of that version.
#[derive(Debug, Default)]
struct RouteIndex {
    by_host: HashMap<String, HostRoutes>,
    any_host: HostRoutes,
    target_settings: HashMap<String, TargetSettings>,
    limits: Limits,
    stats: HashMap<Path, Arc<RouteStats>>,
    /// Workspaces by the digests of their keys.
    by_key: HashMap<KeyDigest, Arc<WorkspaceEntry>>,
    workspaces: HashMap<WorkspaceId, Arc<WorkspaceEntry>>,
}

/// The routes of a configuration, and its services with the targets that can serve their requests.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    version: Version,
    index: Arc<RouteIndex>,
    services: HashMap<Path, Arc<ServiceEntry>>,
}

impl RoutingTable {
    /// Builds a table from a configuration and the member table.
    pub fn build(config: &Snapshot, members: &MemberTable) -> RoutingTable {
        RoutingTable::default().rebuild(config, members)
    }

    /// Builds the table of a newer configuration. Services whose settings did not change keep their
    /// candidates, provided that no target settings changed. Changes of the members are applied by
    /// [`RoutingTable::refresh`].
    pub fn rebuild(&self, config: &Snapshot, members: &MemberTable) -> RoutingTable {
        let mut index = RouteIndex::default();
        let mut services = HashMap::new();
        for e in config.entries() {
            match &*e.object {
                Object::Route(r) => {
                    let stats = self.index.stats.get(&e.path).cloned();
                    index.add(&e.path, r, stats.unwrap_or_default());
                }
                Object::Target(t) => {
                    index
                        .target_settings
                        .insert(e.path.name().to_string(), t.clone());
                }
                Object::Service(s) => {
                    services.insert(e.path.clone(), s.clone());
                }
                Object::Limits(l) => index.limits = *l,
                Object::Workspace(w) => index.add_workspace(&e.path, w),
                Object::Team(_) => {}
            }
        }
        let mut table = RoutingTable {
            version: config.version(),
            index: Arc::new(index),
            services: HashMap::new(),
        };
        let targets_unchanged = self.index.target_settings == table.index.target_settings;
        for (path, settings) in services {
            let previous = self.services.get(&path);
            let entry = match previous.filter(|e| targets_unchanged && e.settings == settings) {
                Some(previous) => previous.clone(),
                None => Arc::new(table.build_service_entry(&path, settings, members)),
            };
            table.services.insert(path, entry);
        }
        table
    }

    /// Returns the table of the same configuration, with the candidates of the services `changed`
    /// rebuilt from the member table.
    pub fn refresh<'a>(
        &self,
        members: &MemberTable,
        changed: impl IntoIterator<Item = &'a Path>,
    ) -> RoutingTable {
        let mut next = self.clone();
        for path in changed {
            if let Some(previous) = self.services.get(path) {
                let entry = self.build_service_entry(path, previous.settings.clone(), members);
                next.services.insert(path.clone(), Arc::new(entry));
            }
        }
        next
    }

    /// Version of the configuration that the table was built from.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Finds the route of a request. A route for the request's host takes precedence over a route
    /// for any host, a longer prefix over a shorter one, and a route that lists the method over a
    /// route for any method.
    pub fn route(&self, host: &str, path: &str, method: &str) -> Option<&Arc<RouteEntry>> {
        let host = host.split(':').next().unwrap_or_default();
        let lowercased;
        let host = if host.bytes().any(|b| b.is_ascii_uppercase()) {
            lowercased = host.to_ascii_lowercase();
            &lowercased
        } else {
            host
        };
        let host_routes = self.index.by_host.get(host);
        host_routes
            .and_then(|routes| routes.find(path, method))
            .or_else(|| self.index.any_host.find(path, method))
    }

    /// Returns the service at a path, with its candidates.
    pub fn service(&self, path: &Path) -> Option<&Arc<ServiceEntry>> {
        self.services.get(path)
    }

    /// All services, with their paths.
    pub fn services(&self) -> impl Iterator<Item = (&Path, &Arc<ServiceEntry>)> {
        self.services.iter()
    }

    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        let host_routes = self.index.by_host.values().chain([&self.index.any_host]);
        host_routes.flat_map(|h| h.by_prefix.values().flatten())
    }

    /// Limits on requests and connections of callers.
    pub fn limits(&self) -> &Limits {
        &self.index.limits
    }

    /// Whether the configuration contains workspaces, so that callers need keys.
    pub fn has_workspaces(&self) -> bool {
        !self.index.workspaces.is_empty()
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace_of_key(&self, key: &KeyDigest) -> Option<&Arc<WorkspaceEntry>> {
        self.index.by_key.get(key)
    }

    /// Returns the workspace with this identifier.
    pub fn workspace(&self, id: WorkspaceId) -> Option<&Arc<WorkspaceEntry>> {
        self.index.workspaces.get(&id)
    }

    /// All workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<WorkspaceEntry>> {
        self.index.workspaces.values()
    }

    /// Settings of the target instance with this name.
    pub fn target_settings(&self, instance: &str) -> Option<&TargetSettings> {
        self.index.target_settings.get(instance)
    }

    fn build_service_entry(
        &self,
        path: &Path,
        settings: Service,
        members: &MemberTable,
    ) -> ServiceEntry {
        let accepting = |r: &&Arc<MemberRecord>| r.health.accepts_requests();
        let candidates = members
            .records_of_service(path)
            .filter(accepting)
            .filter(|r| !members.has_left(r))
            .filter_map(|r| self.candidate(r))
            .collect();
        let version_of =
            |r: &Arc<MemberRecord>| Some((r.peer, r.target.as_ref()?.version.clone()?));
        let versions = members.records_of_service(path).filter_map(version_of);
        ServiceEntry {
            settings,
            candidates,
            versions: versions.collect(),
        }
    }

    /// Returns the target of a member as a candidate, or `None` if the member has no target or its
    /// target is drained.
    fn candidate(&self, record: &MemberRecord) -> Option<Candidate> {
        let target = record.target.as_ref()?;
        let settings = self.target_settings(&target.instance);
        if settings.is_some_and(|t| t.drained) {
            return None;
        }
        Some(Candidate {
            peer: record.peer,
            gate_addr: record.gate_addr(),
            incarnation: record.incarnation,
            start: target.start(),
            zone: record.zone.clone(),
            health: record.health,
            slots: settings.map_or(target.slots, |t| t.slots),
            ramp: settings.map_or(Duration::ZERO, |t| t.ramp),
        })
    }
}

impl RouteIndex {
    fn add(&mut self, path: &Path, route: &Route, stats: Arc<RouteStats>) {
        self.stats.insert(path.clone(), stats.clone());
        let entry = Arc::new(RouteEntry {
            path: path.clone(),
            route: route.clone(),
            stats,
        });
        let routes = match &route.host {
            Some(h) => self.by_host.entry(h.clone()).or_default(),
            None => &mut self.any_host,
        };
        routes.add(entry);
    }
}

impl RouteIndex {
    /// Adds a workspace. If two workspaces have the same key, it belongs to the one whose path comes
    /// first on every node.
    fn add_workspace(&mut self, path: &Path, workspace: &Workspace) {
        let entry = Arc::new(WorkspaceEntry::new(path, workspace));
        for key in &workspace.keys {
            let holder = self.by_key.entry(*key).or_insert_with(|| entry.clone());
            if holder.path > entry.path {
                *holder = entry.clone();
            }
        }
        self.workspaces.insert(entry.id, entry);
    }
}

impl HostRoutes {
    fn add(&mut self, entry: Arc<RouteEntry>) {
        let prefix = entry.route.prefix.clone();
        self.longest_prefix = self.longest_prefix.max(prefix.len());
        self.by_prefix.entry(prefix).or_default().push(entry);
    }

    /// Finds the route with the longest prefix of `path` that takes the method.
    fn find(&self, path: &str, method: &str) -> Option<&Arc<RouteEntry>> {
        matching_prefixes(path, self.longest_prefix)
            .filter_map(|prefix| self.by_prefix.get(prefix))
            .find_map(|routes| match_method(routes, method))
    }
}

/// Returns the prefixes of at most `max_len` bytes to which `path` belongs, the longest first: the
/// path itself, and for each of its slashes what ends with the slash and what ends before it. A
/// prefix that ends with a slash therefore does not match the path without that slash.
fn matching_prefixes(path: &str, max_len: usize) -> impl Iterator<Item = &str> {
    let slashes = path.bytes().enumerate().rev().filter(|(_, b)| *b == b'/');
    let ends = slashes.flat_map(|(slash, _)| [slash + 1, slash]);
    iter::once(path.len())
        .chain(ends)
        .filter(move |end| *end <= max_len)
        .map(|end| &path[..end])
}

fn match_method<'a>(routes: &'a [Arc<RouteEntry>], method: &str) -> Option<&'a Arc<RouteEntry>> {
    let exact = |r: &&Arc<RouteEntry>| r.route.methods.iter().any(|m| m == method);
    let any_method = |r: &&Arc<RouteEntry>| r.route.methods.is_empty();
    let found = routes.iter().find(exact);
    found.or_else(|| routes.iter().find(any_method))
}
