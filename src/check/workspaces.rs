//! Checks of workspaces.

use super::Files;
use super::finding::{Finding, Issue};
use crate::state::object::Object;

/// Checks all workspaces.
pub(super) fn check(files: &Files<'_>) -> Vec<Finding> {
    let without_keys =
        |object: &Object| matches!(object, Object::Workspace(w) if w.keys.is_empty());
    let entries = files.entries().filter(|(_, o)| without_keys(o));
    entries
        .map(|(path, _)| files.finding(path, Issue::WorkspaceWithoutKeys))
        .collect()
}
