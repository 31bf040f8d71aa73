//! Identifies the callers of requests by the keys that they carry, and keeps the keys at the ingress.

use http::HeaderMap;
use http::header::AUTHORIZATION;
use tokio::time::Instant;

use super::{Node, lock};
use crate::coordination::identity::{Credentials, Identity, identify};
use crate::coordination::outcome::NotRun;
use crate::protocol::dialect::{Dialect, bearer_key};
use crate::state::object::Route;
use crate::state::routing::RoutingTable;
use crate::state::workspace::KeyDigest;
use crate::transport::http::PeerAddress;
use crate::transport::platform::Platform;

impl<P: Platform> Node<P> {
    /// Identifies the caller of a request, removes the key from its headers and sets the name of the
    /// workspace. Without workspaces in the configuration, the headers stay as they are.
    ///
    /// # Errors
    /// The reason for which the request is refused.
    pub(super) fn identify_caller(
        &self,
        table: &RoutingTable,
        route: &Route,
        headers: &mut HeaderMap,
        sender: Option<PeerAddress>,
    ) -> Result<Identity, NotRun> {
        if !table.has_workspaces() {
            return Ok(Identity::default());
        }
        let credentials = match bearer_key(headers) {
            Some(key) => Credentials::Key(KeyDigest::of(key)),
            None => Credentials::None,
        };
        let confirmed = self.is_configuration_confirmed(Instant::now());
        let identity = identify(table, credentials, !route.public, confirmed)?;
        let identity = identity.with_target_call(self.is_local_target(sender));
        headers.remove(AUTHORIZATION);
        let name = identity.workspace.as_ref();
        self.platform
            .dialect()
            .set_workspace(headers, name.map(|w| w.workspace.name.as_str()));
        Ok(identity)
    }

    /// Whether a request comes from the instance of the local target. Callers are on other instances.
    fn is_local_target(&self, sender: Option<PeerAddress>) -> bool {
        let target = self.settings.target.as_ref().map(|t| t.address.ip());
        target.is_some() && sender.map(|s| s.0.ip()) == target
    }

    /// Whether the configuration was confirmed within the apply time to be the newest one.
    fn is_configuration_confirmed(&self, now: Instant) -> bool {
        lock(&self.freshness).age(now) <= self.settings.apply_time
    }
}
