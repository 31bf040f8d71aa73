//! The routing table: one configuration snapshot joined with one view of the targets.
//!
//! A table is immutable and swapped as one pointer, so every request sees one consistent pair.
//! A route in the table always names a service that the table holds.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use smallvec::SmallVec;

use super::id::{Incarnation, Path, Version};
use super::member::{Health, MemberRecord, MemberTable};
use super::object::{Limits, Object, Route, Service, TargetSettings};
use super::snapshot::Snapshot;

/// A target that a request can be sent to, through the gate of the node beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Peer address of the node beside the target.
    pub peer: SocketAddr,
    /// Address of the gate.
    pub gate_addr: SocketAddr,
    /// Life of the node that the record speaks of.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub zone: Arc<str>,
    /// State as last heard.
    pub health: Health,
    /// Slots by settings, or by the target's own record where the settings name none.
    pub slots: u32,
    /// Time over which a cold target's share grows.
    pub ramp: Duration,
}

/// A service with its candidates.
#[derive(Clone, Debug, Default)]
pub struct ServiceEntry {
    /// Settings of the service.
    pub settings: Service,
    /// Targets that may take work.
    pub candidates: Vec<Candidate>,
}

/// A route with its path.
#[derive(Clone, Debug)]
pub struct RouteEntry {
    /// Where the route lives in the settings.
    pub path: Path,
    /// The route.
    pub route: Route,
    /// What the node has seen of the route; outlives versions of the configuration.
    stats: Arc<RouteStats>,
}

/// What a node has seen of the requests of one route.
#[derive(Debug)]
struct RouteStats {
    /// Requests drawn so far, for routes that are split. Starts at random, so that the nodes of a
    /// fleet do not draw in step.
    request_count: AtomicU64,
    /// Longest time that a caller said it waits, in milliseconds.
    longest_timeout_ms: AtomicU64,
    /// Mean length of the answers, in bytes.
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

/// Part of the newest answer in the mean length: one in so many.
const RESPONSE_MEAN_WINDOW: u64 = 16;

impl RouteEntry {
    /// Number of the next request, for drawing its part.
    pub fn next_request_number(&self) -> u64 {
        self.stats.request_count.fetch_add(1, Ordering::Relaxed)
    }

    /// Time that a caller has spent before this try, from what it says is left: callers of a route
    /// start with the same time, and those who come back have less.
    pub fn caller_elapsed(&self, left: Duration) -> Duration {
        let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        let longest_ms = self
            .stats
            .longest_timeout_ms
            .fetch_max(left_ms, Ordering::Relaxed);
        Duration::from_millis(longest_ms.max(left_ms) - left_ms)
    }

    /// Takes in the length of an answer, in bytes.
    pub fn record_response_size(&self, bytes: u64) {
        let mean = self.stats.mean_response_bytes.load(Ordering::Relaxed);
        let next = match mean {
            0 => bytes,
            _ => (mean * (RESPONSE_MEAN_WINDOW - 1) + bytes) / RESPONSE_MEAN_WINDOW,
        };
        // Two answers at once may count as one; the mean only guides where requests go.
        self.stats
            .mean_response_bytes
            .store(next, Ordering::Relaxed);
    }

    /// Mean length of the route's answers, in bytes; zero before the first.
    pub fn mean_response_bytes(&self) -> u64 {
        self.stats.mean_response_bytes.load(Ordering::Relaxed)
    }
}

type HostRoutes = HashMap<String, SmallVec<[Arc<RouteEntry>; 2]>>;

/// The routes of one configuration version, indexed by host and prefix.
#[derive(Debug, Default)]
struct RouteIndex {
    by_host: HashMap<String, HostRoutes>,
    any_host: HostRoutes,
    target_settings: HashMap<String, TargetSettings>,
    limits: Limits,
    stats: HashMap<Path, Arc<RouteStats>>,
}

/// Routes, services and targets that were joined together.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    version: Version,
    index: Arc<RouteIndex>,
    services: HashMap<Path, Arc<ServiceEntry>>,
}

impl RoutingTable {
    /// Joins a configuration with the known targets.
    pub fn build(config: &Snapshot, members: &MemberTable) -> RoutingTable {
        RoutingTable::default().rebuild(config, members)
    }

    /// Joins a newer configuration with the known targets. Services whose settings are the same
    /// keep their candidates; [`RoutingTable::refresh`] follows the members.
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
                None => Arc::new(table.join(&path, settings, members)),
            };
            table.services.insert(path, entry);
        }
        table
    }

    /// The same configuration with some services' targets joined anew.
    pub fn refresh<'a>(
        &self,
        members: &MemberTable,
        changed: impl IntoIterator<Item = &'a Path>,
    ) -> RoutingTable {
        let mut next = self.clone();
        for path in changed {
            if let Some(previous) = self.services.get(path) {
                let entry = self.join(path, previous.settings.clone(), members);
                next.services.insert(path.clone(), Arc::new(entry));
            }
        }
        next
    }

    /// The configuration version that the table was built from.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Finds the route for a request: the request's host before any host, the longest prefix
    /// before shorter ones, a named method before any method.
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
            .and_then(|routes| longest_prefix_match(routes, path, method))
            .or_else(|| longest_prefix_match(&self.index.any_host, path, method))
    }

    /// The service of a path, with its candidates.
    pub fn service(&self, path: &Path) -> Option<&Arc<ServiceEntry>> {
        self.services.get(path)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = (&Path, &Arc<ServiceEntry>)> {
        self.services.iter()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<RouteEntry>> {
        let host_routes = self.index.by_host.values().chain([&self.index.any_host]);
        host_routes.flat_map(|h| h.values().flatten())
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> &Limits {
        &self.index.limits
    }

    /// Settings of a target instance, by its name.
    pub fn target(&self, instance: &str) -> Option<&TargetSettings> {
        self.index.target_settings.get(instance)
    }

    fn join(&self, path: &Path, settings: Service, members: &MemberTable) -> ServiceEntry {
        let accepting = |r: &&Arc<MemberRecord>| r.health.accepts_requests();
        let candidates = members
            .records_of_service(path)
            .filter(accepting)
            .filter_map(|r| self.candidate(r))
            .collect();
        ServiceEntry {
            settings,
            candidates,
        }
    }

    fn candidate(&self, record: &MemberRecord) -> Option<Candidate> {
        let target = record.target.as_ref().filter(|t| !t.leaving)?;
        let settings = self.target(&target.instance);
        if settings.is_some_and(|t| t.drained) {
            return None;
        }
        Some(Candidate {
            peer: record.peer,
            gate_addr: record.gate_addr(),
            incarnation: record.incarnation,
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
        let prefix = route.prefix.trim_end_matches('/').to_string();
        routes.entry(prefix).or_default().push(entry);
    }
}

fn longest_prefix_match<'a>(
    routes: &'a HostRoutes,
    path: &str,
    method: &str,
) -> Option<&'a Arc<RouteEntry>> {
    let mut prefix = path.trim_end_matches('/');
    loop {
        let found = routes.get(prefix).and_then(|r| match_method(r, method));
        if found.is_some() || prefix.is_empty() {
            return found;
        }
        prefix = &prefix[..prefix.rfind('/').unwrap_or(0)];
    }
}

fn match_method<'a>(routes: &'a [Arc<RouteEntry>], method: &str) -> Option<&'a Arc<RouteEntry>> {
    let exact = |r: &&Arc<RouteEntry>| r.route.methods.iter().any(|m| m == method);
    let any_method = |r: &&Arc<RouteEntry>| r.route.methods.is_empty();
    let found = routes.iter().find(exact);
    found.or_else(|| routes.iter().find(any_method))
}
