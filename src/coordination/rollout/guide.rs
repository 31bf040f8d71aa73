//! What ingresses do with the directives of the deciding node.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use super::counts::Side;
use super::message::{COMPARE_LEASE, Directive, Mode};
use crate::state::member::TargetVersion;

/// Time for which a version that was rolled out remains the only one after the last directive. Until
/// then, targets of other versions that start without an order get no requests.
const NEW_ONLY_RETENTION: Duration = Duration::from_secs(60);
/// Time for which a version that was not rolled out gets no requests after the last directive. Longer,
/// because the store may be away, so that no node decides.
const OLD_ONLY_RETENTION: Duration = Duration::from_secs(3600);

/// The newest directive of one roll-out, and when it was received.
#[derive(Clone, Debug)]
pub struct HeldDirective {
    directive: Directive,
    received: Instant,
    /// Age of the directive when it was received, by which it is held for a shorter time.
    age: Duration,
}

/// Result of receiving a directive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reception {
    /// The directive replaces the one before.
    Accepted,
    /// The directive is known, or older than the one that is held.
    Outdated,
    /// The directive is of a node that does not know what was decided about the roll-out.
    Contradictory,
}

/// Targets to which a request under a roll-out may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Destination<'a> {
    /// All targets of other versions than the one that is rolled out.
    Old,
    /// These targets of the new version.
    Chosen(&'a [SocketAddr]),
    /// All targets of the new version.
    New,
}

/// What is known about the version of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownSide {
    /// The target has published its version.
    Known(Side),
    /// The target has not published a version since the roll-out began.
    Unknown,
}

impl Destination<'_> {
    /// Removes the targets to which the request may not be sent. A target of unknown version may have
    /// started for the roll-out, or its node may have started since. It is used only if no target of the
    /// version that takes all requests is known.
    pub fn retain<T>(
        &self,
        targets: &mut Vec<T>,
        peer: impl Fn(&T) -> SocketAddr,
        side: impl Fn(&T) -> KnownSide,
    ) {
        let known = match self {
            Destination::Old => KnownSide::Known(Side::Old),
            Destination::Chosen(_) | Destination::New => KnownSide::Known(Side::New),
        };
        let takes_all = !matches!(self, Destination::Chosen(_));
        let accepted = match takes_all && !targets.iter().any(|t| side(t) == known) {
            true => KnownSide::Unknown,
            false => known,
        };
        targets.retain(|t| {
            let is_chosen = match self {
                Destination::Chosen(chosen) => chosen.contains(&peer(t)),
                Destination::Old | Destination::New => true,
            };
            side(t) == accepted && is_chosen
        });
    }
}

impl HeldDirective {
    /// Holds the first directive of a roll-out.
    pub fn new(directive: Directive, received: Instant) -> HeldDirective {
        HeldDirective::with_age(directive, Duration::ZERO, received)
    }

    /// Holds a directive that another node has held for some time.
    pub fn with_age(directive: Directive, age: Duration, received: Instant) -> HeldDirective {
        HeldDirective {
            directive,
            received,
            age,
        }
    }

    /// Replaces the directive by a newer one. In one window, only a stop replaces a comparison. A
    /// decision about a roll-out is never replaced by another one, or by none.
    pub fn receive(&mut self, directive: &Directive, now: Instant) -> Reception {
        let held = &self.directive;
        let compares = |d: &Directive| matches!(d.mode, Mode::Compare { .. });
        let stops = directive.issued == held.issued && compares(held) && !compares(directive);
        if directive.issued < held.issued || directive.issued == held.issued && !stops {
            return Reception::Outdated;
        }
        let decision = held.mode.decision();
        let is_contradictory = decision.is_some() && directive.mode.decision() != decision;
        if directive.rollout == held.rollout && is_contradictory {
            return Reception::Contradictory;
        }
        *self = HeldDirective::new(directive.clone(), now);
        Reception::Accepted
    }

    /// The directive as it was received.
    pub fn directive(&self) -> &Directive {
        &self.directive
    }

    /// Whether the directive still counts. The deciding node repeats it until the targets that get no
    /// more requests are gone.
    pub fn is_retained(&self, now: Instant) -> bool {
        let retention = match self.directive.mode {
            Mode::NewOnly => NEW_ONLY_RETENTION,
            Mode::OldOnly | Mode::Compare { .. } | Mode::Stopped => OLD_ONLY_RETENTION,
        };
        now < self.received + retention.saturating_sub(self.age)
    }

    /// Whether the directive is in force. A comparison ends if the deciding node is lost.
    pub fn is_in_force(&self, now: Instant) -> bool {
        !matches!(self.directive.mode, Mode::Compare { .. }) || now < self.received + COMPARE_LEASE
    }

    /// Chooses the targets of a request. `draw` is a random number from 0 up to 1.
    pub fn destination(&self, draw: f64, now: Instant) -> Destination<'_> {
        match &self.directive.mode {
            Mode::NewOnly => Destination::New,
            Mode::Compare { share, targets, .. }
                if self.is_in_force(now) && draw < share.fraction() =>
            {
                Destination::Chosen(targets)
            }
            Mode::Compare { .. } | Mode::OldOnly | Mode::Stopped => Destination::Old,
        }
    }

    /// The side of a target that has published this version.
    pub fn side_of(&self, version: Option<&TargetVersion>) -> KnownSide {
        match version {
            None => KnownSide::Unknown,
            Some(v) if *v == self.directive.version => KnownSide::Known(Side::New),
            Some(_) => KnownSide::Known(Side::Old),
        }
    }
}
