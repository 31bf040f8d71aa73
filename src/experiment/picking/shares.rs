//! The policy that nodes use.

use super::policy::{AttemptEnd, PickRequest, Picked, Policy};
use crate::coordination::pick::{PickCriteria, Picker, TargetFeedback};

/// The [`Picker`] of the nodes.
pub(super) struct Shares(Picker);

impl Policy for Shares {
    fn new(_targets: usize, rng: fastrand::Rng) -> Self {
        Shares(Picker::new(rng))
    }

    fn pick(&mut self, request: PickRequest<'_>) -> Picked {
        let criteria = PickCriteria {
            zone: request.zone,
            bytes: request.bytes,
            ..PickCriteria::default()
        };
        let picked = self.0.pick(request.candidates, criteria, request.now);
        let peer = picked.map(|c| c.peer);
        let index = request.candidates.iter().position(|c| Some(c.peer) == peer);
        index.unwrap_or(0).into()
    }

    fn record(&mut self, end: AttemptEnd<'_>) {
        let feedback = match end.response_time {
            Some(time) => TargetFeedback::Answered(end.load, Some(time)),
            None => TargetFeedback::Refused(end.load),
        };
        let peer = end.candidates[end.target].peer;
        self.0
            .record_feedback(peer, feedback, end.candidates, end.now);
    }
}
