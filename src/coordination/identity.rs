//! Decides which workspace a request belongs to, once, at the node where it entered.
//!
//! Only digests of keys are compared. A key that the configuration does not contain is refused for
//! good only by a node whose configuration was confirmed recently; another one may be behind the
//! version that added the key, so it asks the caller to return.

use std::sync::Arc;

use super::outcome::NotRun;
use crate::state::routing::RoutingTable;
use crate::state::workspace::{KeyDigest, WorkspaceEntry};

/// What a request says about its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// The request carries no key.
    None,
    /// The digest of the key that the request carries.
    Key(KeyDigest),
}

/// Who sent a request.
#[derive(Clone, Debug, Default)]
pub struct Identity {
    /// Workspace of the caller; `None` if the request needs no key and has none.
    pub workspace: Option<Arc<WorkspaceEntry>>,
    /// Key by which the workspace was found.
    key: Option<KeyDigest>,
    /// Whether the local target sent the request, as a part of one that it is running.
    from_target: bool,
}

/// Finds the workspace of a request. `needs_key` is false for requests of public routes.
///
/// # Errors
/// [`NotRun::UnknownKey`] if the request needs a key and the configuration does not contain the one
/// that it carries; [`NotRun::NotReady`] instead if the configuration was not confirmed recently.
pub fn identify(
    table: &RoutingTable,
    credentials: Credentials,
    needs_key: bool,
    confirmed: bool,
) -> Result<Identity, NotRun> {
    let found = match credentials {
        Credentials::Key(key) => table.workspace_of_key(&key).map(|entry| Identity {
            workspace: Some(entry.clone()),
            key: Some(key),
            from_target: false,
        }),
        Credentials::None => None,
    };
    match found {
        Some(identity) => Ok(identity),
        None if !needs_key => Ok(Identity::default()),
        None if confirmed => Err(NotRun::UnknownKey),
        None => Err(NotRun::NotReady),
    }
}

impl Identity {
    /// Whether the key still identifies the same workspace in a newer configuration. A key that was
    /// removed ends also for requests that wait or are retried.
    pub fn is_valid_in(&self, table: &RoutingTable) -> bool {
        let (Some(entry), Some(key)) = (&self.workspace, &self.key) else {
            return true;
        };
        let current = table.workspace_of_key(key);
        current.is_some_and(|w| w.id == entry.id)
    }

    /// Marks a request without a workspace as a call that the local target makes.
    #[must_use]
    pub fn with_target_call(mut self, from_target: bool) -> Identity {
        self.from_target = from_target && self.workspace.is_none();
        self
    }

    /// Priority of the request on a route with this priority.
    ///
    /// The load pattern is a shortage in which targets call each other. A call that is refused wastes
    /// the slot of the request that it belongs to, so calls go one level before. Priorities of
    /// workspaces replace those of the routes, by which operators order calls and requests.
    pub fn priority(&self, route_priority: u8) -> u8 {
        match &self.workspace {
            Some(entry) => entry.workspace.priority.unwrap_or(route_priority),
            None if self.from_target => route_priority.saturating_sub(1),
            None => route_priority,
        }
    }
}
