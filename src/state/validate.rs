//! Validation of a change and of the resulting configuration, before the change is accepted.

use std::collections::{BTreeMap, HashMap};

use derive_more::{Display, Error};

use super::id::Path;
use super::object::{Object, Route};
use super::snapshot::{Edit, Snapshot};
use super::workspace::{KeyDigest, Workspace};

/// Why a change or a configuration is not valid.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum ValidationError {
    /// A route or target refers to a service that does not exist.
    #[display(
        "{path}: service `{service}` does not exist; add it in this change or correct the name"
    )]
    MissingService {
        /// Path of the object that refers to the service.
        path: Path,
        /// Path of the missing service.
        service: Path,
    },
    /// The first segment of the path is not the path of a team.
    #[display("{path}: team `{team}` does not exist; add a team at path `{team}` first")]
    MissingTeam {
        /// Path of the object without an owner.
        path: Path,
        /// Name of the missing team.
        team: String,
    },
    /// Two routes match the same requests.
    #[display("{path}: matches the same host, prefix and method as `{other}`; change one of them")]
    AmbiguousRoute {
        /// Path of the route that comes later in the order of paths.
        path: Path,
        /// Path of the earlier route.
        other: Path,
    },
    /// Two workspaces have one key, so that it does not identify either.
    #[display("{path}: has a key of `{other}`; remove it from one of them")]
    SharedKey {
        /// Path of the workspace that comes later in the order of paths.
        path: Path,
        /// Path of the earlier workspace.
        other: Path,
    },
    /// Two workspaces have one name, so that targets cannot tell their requests apart.
    #[display("{path}: has the same name as `{other}`; rename one of them")]
    SharedName {
        /// Path of the workspace that comes later in the order of paths.
        path: Path,
        /// Path of the earlier workspace.
        other: Path,
    },
    /// A team has a path of several segments, or another object has a path of one segment.
    #[display(
        "{path}: a team must have a path of one segment, any other object a longer one; move the object"
    )]
    TeamPath {
        /// Path of the misplaced object.
        path: Path,
    },
    /// The author does not own the path.
    #[display("{path}: team `{author}` does not own this path; ask team `{owner}` to change it")]
    NotOwner {
        /// Path that the change modifies.
        path: Path,
        /// Team that submitted the change.
        author: String,
        /// Team that owns the path.
        owner: String,
    },
}

impl ValidationError {
    /// Path of the object with the error.
    pub fn path(&self) -> &Path {
        match self {
            ValidationError::MissingService { path, .. }
            | ValidationError::MissingTeam { path, .. }
            | ValidationError::AmbiguousRoute { path, .. }
            | ValidationError::SharedKey { path, .. }
            | ValidationError::SharedName { path, .. }
            | ValidationError::TeamPath { path }
            | ValidationError::NotOwner { path, .. } => path,
        }
    }
}

/// Author name of administrators, who may change every path.
pub const ADMIN: &str = "admin";

/// Checks that the author owns every path that a change modifies, and returns all violations. A
/// team cannot change its own team object; only [`ADMIN`] can.
pub fn check_ownership(author: &str, edits: &[Edit]) -> Vec<ValidationError> {
    if author == ADMIN {
        return Vec::new();
    }
    let not_owned = |path: &&Path| path.team() != author || path.as_str() == path.team();
    let paths = edits.iter().map(Edit::path).filter(not_owned);
    paths
        .map(|path| ValidationError::NotOwner {
            path: path.clone(),
            author: author.to_string(),
            owner: path.team().to_string(),
        })
        .collect()
}

/// Checks only the references to services, for a configuration from an external source. The source
/// has already accepted the configuration, which contains no teams. It may be activated if the
/// result is empty.
pub fn check_references(config: &Snapshot) -> Vec<ValidationError> {
    let entries = config.entries();
    entries
        .filter_map(|e| check_service_references(config, &e.path, &e.object))
        .collect()
}

/// Checks a complete configuration. It may be accepted if the result is empty.
///
/// ```
/// use tarragoncourse::state::{snapshot::Snapshot, validate::check_config};
/// assert!(check_config(&Snapshot::default()).is_empty());
/// ```
pub fn check_config(config: &Snapshot) -> Vec<ValidationError> {
    let mut errors = Vec::new();
    let mut seen_routes = BTreeMap::new();
    let mut seen_workspaces = SeenWorkspaces::default();
    let mut entries: Vec<_> = config.entries().collect();
    entries.sort_by(|a, b| a.path.cmp(&b.path));
    for e in entries {
        errors.extend(check_team(config, &e.path, &e.object));
        errors.extend(check_service_references(config, &e.path, &e.object));
        if let Object::Route(r) = &*e.object {
            errors.extend(check_route_conflict(&mut seen_routes, &e.path, r));
        }
        if let Object::Workspace(w) = &*e.object {
            errors.extend(seen_workspaces.check(&e.path, w));
        }
    }
    errors
}

fn check_team(config: &Snapshot, path: &Path, object: &Object) -> Option<ValidationError> {
    let one_segment = path.as_str() == path.team();
    if one_segment != matches!(object, Object::Team(_)) {
        return Some(ValidationError::TeamPath { path: path.clone() });
    }
    let team = Path::new(path.team()).ok()?;
    let team_exists = matches!(config.get(&team).map(|o| &**o), Some(Object::Team(_)));
    (!team_exists).then(|| ValidationError::MissingTeam {
        path: path.clone(),
        team: path.team().to_string(),
    })
}

fn check_service_references(
    config: &Snapshot,
    path: &Path,
    object: &Object,
) -> Option<ValidationError> {
    let exists =
        |service: &Path| matches!(config.get(service).map(|o| &**o), Some(Object::Service(_)));
    let services = object.services();
    let missing = services.into_iter().find(|s| !exists(s))?;
    Some(ValidationError::MissingService {
        path: path.clone(),
        service: missing.clone(),
    })
}

type SeenRoutes = BTreeMap<(Option<String>, String, String), Path>;

fn check_route_conflict(
    seen_routes: &mut SeenRoutes,
    path: &Path,
    route: &Route,
) -> Option<ValidationError> {
    let any_method = [String::new()];
    let methods = if route.methods.is_empty() {
        &any_method[..]
    } else {
        &route.methods[..]
    };
    let mut conflict = None;
    for m in methods {
        let key = (route.host.clone(), route.prefix.clone(), m.clone());
        if let Some(other) = seen_routes.insert(key, path.clone()) {
            conflict = Some(ValidationError::AmbiguousRoute {
                path: path.clone(),
                other,
            });
        }
    }
    conflict
}

/// The workspaces that were checked, by their keys and names.
#[derive(Default)]
struct SeenWorkspaces<'a> {
    keys: HashMap<&'a KeyDigest, &'a Path>,
    names: HashMap<&'a str, &'a Path>,
}

impl<'a> SeenWorkspaces<'a> {
    /// Compares a workspace with the earlier ones: at most one error for its keys and one for its name.
    fn check(&mut self, path: &'a Path, workspace: &'a Workspace) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        let mut shared = None;
        for key in &workspace.keys {
            let other = self.keys.insert(key, path);
            shared = shared.or(other.filter(|o| *o != path));
        }
        errors.extend(shared.map(|other| ValidationError::SharedKey {
            path: path.clone(),
            other: other.clone(),
        }));
        let other = self.names.insert(&workspace.name, path);
        errors.extend(other.map(|other| ValidationError::SharedName {
            path: path.clone(),
            other: other.clone(),
        }));
        errors
    }
}
