//! Queued attempts of one priority level.

use super::fair::{Charge, FLOWS_MAX, FlowIndex, Flows, cost_of};
use super::{Queue, QueuedAttempt, WorkKind};
use crate::state::id::AttemptId;

/// Queued attempt with its flow.
#[derive(Debug)]
struct Entry {
    attempt: QueuedAttempt,
    flow: FlowIndex,
    /// Expected service time when the attempt was queued, in seconds.
    cost: f64,
}

/// Queued attempts of one level, ordered by [`QueuedAttempt::due`], and their flows.
#[derive(Debug, Default)]
pub(super) struct Level {
    entries: Vec<Entry>,
    pub(super) flows: Flows,
}

/// Attempt that was dequeued to run, and what its workspace was charged for it.
#[derive(Clone, Copy, Debug)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: QueuedAttempt,
    /// To be passed to [`Queue::record_end`] when the attempt has ended.
    pub charge: Charge,
}

impl Level {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn attempts(&self) -> impl Iterator<Item = &QueuedAttempt> {
        self.entries.iter().map(|e| &e.attempt)
    }

    pub(super) fn get(&self, at: usize) -> &QueuedAttempt {
        &self.entries[at].attempt
    }

    pub(super) fn waiting_of(&self, kind: WorkKind) -> impl Iterator<Item = &QueuedAttempt> {
        self.attempts().filter(move |a| a.kind == kind)
    }

    pub(super) fn insert(&mut self, attempt: QueuedAttempt, cost: f64) {
        let flow = self.flows.enqueue(attempt.workspace, cost);
        let at = self
            .entries
            .partition_point(|e| e.attempt.due() <= attempt.due());
        let entry = Entry {
            attempt,
            flow,
            cost,
        };
        self.entries.insert(at, entry);
    }

    /// Removes the attempt at a position, to run it.
    pub(super) fn take(&mut self, at: usize) -> Dispatch {
        let entry = self.entries.remove(at);
        Dispatch {
            attempt: entry.attempt,
            charge: self.flows.serve(entry.flow, entry.cost),
        }
    }

    /// Removes the attempts that match, and returns their identifiers.
    pub(super) fn remove_where(
        &mut self,
        mut matches: impl FnMut(&QueuedAttempt) -> bool,
    ) -> Vec<AttemptId> {
        let mut removed = Vec::new();
        let flows = &mut self.flows;
        self.entries.retain(|e| {
            let is_removed = matches(&e.attempt);
            if is_removed {
                flows.withdraw(e.flow, e.cost);
                removed.push(e.attempt.attempt);
            }
            !is_removed
        });
        removed
    }

    /// Position of the attempt that runs next: of the flow that has used the least, the first that
    /// can still meet its objective, or else the first.
    pub(super) fn next(
        &self,
        may_run: impl Fn(&QueuedAttempt) -> bool,
        is_late: impl Fn(&QueuedAttempt) -> bool,
    ) -> Option<usize> {
        let candidates = self.entries.iter().enumerate();
        let next = candidates
            .filter(|(_, e)| may_run(&e.attempt))
            .map(|(at, e)| (at, self.flows.tag(e.flow), is_late(&e.attempt)))
            .min_by(|(_, a, a_late), (_, b, b_late)| a.total_cmp(b).then(a_late.cmp(b_late)))?;
        Some(next.0)
    }

    /// The attempts in the order in which they are expected to run.
    pub(super) fn in_turn(
        &self,
        is_late: impl Fn(&QueuedAttempt) -> bool,
    ) -> impl Iterator<Item = &QueuedAttempt> {
        let (late, timely): (Vec<&Entry>, Vec<&Entry>) =
            self.entries.iter().partition(|e| is_late(&e.attempt));
        let mut tags = FlowTags::new(&self.flows);
        let mut order: Vec<(f64, &Entry)> = timely
            .into_iter()
            .chain(late)
            .map(|e| (tags.advance(e), e))
            .collect();
        order.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        order.into_iter().map(|(_, e)| &e.attempt)
    }

    /// The attempts that run before one that arrives now, except `without`. `is_ahead` tells for
    /// the attempts of its own flow.
    pub(super) fn ahead_of(
        &self,
        arrival: &QueuedAttempt,
        without: Option<AttemptId>,
        is_ahead: impl Fn(&QueuedAttempt) -> bool,
    ) -> impl Iterator<Item = &QueuedAttempt> {
        let own = self.flows.find(arrival.workspace);
        let own_ahead = move |e: &Entry| Some(e.flow) == own && is_ahead(&e.attempt);
        let own_cost = self.entries.iter().filter(|e| own_ahead(e)).map(|e| e.cost);
        let turn = self.flows.start_tag(own) + own_cost.sum::<f64>();
        let mut tags = FlowTags::new(&self.flows);
        let entries = self.entries.iter();
        let ahead = entries
            .filter(move |e| Some(e.attempt.attempt) != without)
            .filter(move |e| match Some(e.flow) == own {
                true => own_ahead(e),
                false => tags.advance(e) <= turn,
            });
        ahead.map(|e| &e.attempt)
    }

    /// The attempt that gives its place to one that arrives now: the last of the flow furthest over
    /// its share, if the flow of the arrival stays below that.
    pub(super) fn replaceable_by(
        &self,
        arrival: &QueuedAttempt,
        cost: f64,
        is_late: impl Fn(&QueuedAttempt) -> bool,
    ) -> Option<AttemptId> {
        let own = self.flows.find(arrival.workspace);
        let over = self.flows.furthest_over()?;
        let is_below = self.flows.end_tag(own) + cost < self.flows.end_tag(Some(over));
        if own == Some(over) || !is_below {
            return None;
        }
        let of_flow = self.entries.iter().filter(|e| e.flow == over);
        let last = of_flow.max_by_key(|e| is_late(&e.attempt))?;
        Some(last.attempt.attempt)
    }
}

/// Tags that the waiting attempts of each flow will have at their turns.
struct FlowTags([f64; FLOWS_MAX]);

impl FlowTags {
    fn new(flows: &Flows) -> FlowTags {
        FlowTags(flows.tags())
    }

    /// Returns the tag at the turn of the next attempt of a flow.
    fn advance(&mut self, entry: &Entry) -> f64 {
        let tag = &mut self.0[entry.flow.position()];
        let turn = *tag;
        *tag += entry.cost;
        turn
    }
}

impl Queue {
    /// Cost of an attempt of a kind, in seconds of service time.
    pub(super) fn cost(&self, kind: WorkKind) -> f64 {
        cost_of(self.mean_for(kind))
    }
}
