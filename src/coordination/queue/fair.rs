//! Decides which workspace is served next within a priority level, and which one is furthest over
//! its share.
//!
//! Start-time fair queueing (Goyal, Vin, Cheng, 1996): each workspace is a flow with a tag, the
//! service time that it has used. The waiting flow with the smallest tag is served next. A flow
//! that had nothing waiting starts at the tag of the flow served last, so that time without
//! requests gives no credit.

use std::time::Duration;

use crate::state::workspace::WorkspaceId;

/// Maximum number of flows of a level; the attempts of further workspaces join the flow that their
/// identifier selects.
pub const FLOWS_MAX: usize = 64;
/// Minimum cost of an attempt, in seconds. The mean service time is zero before the first response.
const COST_MIN_S: f64 = 0.001;

/// Position of a flow in its level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FlowIndex(usize);

impl FlowIndex {
    pub(super) fn position(self) -> usize {
        self.0
    }
}

/// Service time that was charged to a flow in advance, until the attempt ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Charge {
    flow: FlowIndex,
    /// Charged time, in seconds.
    cost: f64,
}

/// Attempts of one workspace, or of several that share the flow.
#[derive(Debug, Default)]
struct Flow {
    owner: Option<WorkspaceId>,
    /// Service time used, in seconds, relative to the other flows.
    tag: f64,
    /// Expected service time of the waiting attempts, in seconds.
    queued_cost: f64,
    waiting: u32,
    running: u32,
}

/// Flows of one priority level.
#[derive(Debug, Default)]
pub(super) struct Flows {
    flows: Vec<Flow>,
    /// Tag of the flow served last; new flows start here.
    virtual_time: f64,
}

/// Cost of an attempt with this expected service time, in seconds.
pub(super) fn cost_of(mean: Duration) -> f64 {
    mean.as_secs_f64().max(COST_MIN_S)
}

impl Flows {
    /// Number of flows with waiting attempts.
    pub(super) fn waiting(&self) -> usize {
        self.flows.iter().filter(|f| f.waiting > 0).count()
    }

    /// Tag of a flow.
    pub(super) fn tag(&self, flow: FlowIndex) -> f64 {
        self.flows[flow.0].tag
    }

    /// Tags of all flows.
    pub(super) fn tags(&self) -> [f64; FLOWS_MAX] {
        std::array::from_fn(|at| self.flows.get(at).map_or(0.0, |f| f.tag))
    }

    /// Workspace of a flow, or one of them.
    pub(super) fn workspace(&self, flow: FlowIndex) -> Option<WorkspaceId> {
        self.flows[flow.0].owner
    }

    /// Service time by which the waiting attempts of a flow lie behind those of a new one.
    pub(super) fn excess(&self, flow: FlowIndex) -> f64 {
        self.end_tag(Some(flow)) - self.virtual_time
    }

    /// Flow that attempts of a workspace join; `None` if it gets a new one.
    pub(super) fn find(&self, workspace: Option<WorkspaceId>) -> Option<FlowIndex> {
        let is_own = |f: &Flow| f.owner == workspace && !self.is_idle(f);
        let own = self.flows.iter().position(is_own);
        let shared = || {
            let is_full = self.flows.len() >= FLOWS_MAX;
            let taken = is_full && !self.flows.iter().any(|f| self.is_idle(f));
            let hash = workspace.map_or(0, |w| w.0) % FLOWS_MAX as u64;
            taken.then_some(hash as usize)
        };
        own.or_else(shared).map(FlowIndex)
    }

    /// Tag with which the next attempt of a flow is queued, before the attempts ahead of it.
    pub(super) fn start_tag(&self, flow: Option<FlowIndex>) -> f64 {
        match flow.map(|f| &self.flows[f.0]) {
            Some(flow) if flow.waiting > 0 => flow.tag,
            Some(flow) => flow.tag.max(self.virtual_time),
            None => self.virtual_time,
        }
    }

    /// Tag that a flow will have when its waiting attempts have been served.
    pub(super) fn end_tag(&self, flow: Option<FlowIndex>) -> f64 {
        self.start_tag(flow) + flow.map_or(0.0, |f| self.flows[f.0].queued_cost)
    }

    /// The waiting flow that is furthest over its share: the one whose waiting attempts would be
    /// served last.
    pub(super) fn furthest_over(&self) -> Option<FlowIndex> {
        let waiting = (0..self.flows.len()).filter(|at| self.flows[*at].waiting > 0);
        let end = |flow: &FlowIndex| self.end_tag(Some(*flow));
        let flows = waiting.map(FlowIndex);
        flows.max_by(|a, b| end(a).total_cmp(&end(b)))
    }

    /// Adds a waiting attempt of a workspace.
    pub(super) fn enqueue(&mut self, workspace: Option<WorkspaceId>, cost: f64) -> FlowIndex {
        let index = self.find(workspace);
        let tag = self.start_tag(index);
        let FlowIndex(at) = index.unwrap_or_else(|| self.add(workspace));
        let flow = &mut self.flows[at];
        flow.tag = tag;
        flow.waiting += 1;
        flow.queued_cost += cost;
        FlowIndex(at)
    }

    /// Removes a waiting attempt that will not run.
    pub(super) fn withdraw(&mut self, flow: FlowIndex, cost: f64) {
        let flow = &mut self.flows[flow.0];
        flow.waiting -= 1;
        flow.queued_cost = match flow.waiting {
            0 => 0.0,
            _ => (flow.queued_cost - cost).max(0.0),
        };
    }

    /// Charges a flow for a waiting attempt that runs now.
    pub(super) fn serve(&mut self, index: FlowIndex, cost: f64) -> Charge {
        self.withdraw(index, cost);
        let flow = &mut self.flows[index.0];
        self.virtual_time = self.virtual_time.max(flow.tag);
        flow.tag += cost;
        flow.running += 1;
        // With nothing waiting, all flows have got what they asked for and are equal again.
        if self.waiting() == 0 {
            let tags = self.flows.iter().map(|f| f.tag);
            self.virtual_time = tags.fold(self.virtual_time, f64::max);
        }
        Charge { flow: index, cost }
    }

    /// Replaces the charged time of an attempt by the time that it took.
    pub(super) fn settle(&mut self, charge: Charge, elapsed: Duration) {
        let flow = &mut self.flows[charge.flow.0];
        flow.running -= 1;
        flow.tag += elapsed.as_secs_f64() - charge.cost;
    }

    /// Whether a flow can be forgotten: nothing of it is left, and it would start like a new one.
    fn is_idle(&self, flow: &Flow) -> bool {
        flow.waiting == 0 && flow.running == 0 && flow.tag <= self.virtual_time
    }

    fn add(&mut self, workspace: Option<WorkspaceId>) -> FlowIndex {
        let new = Flow {
            owner: workspace,
            ..Flow::default()
        };
        match self.flows.iter().position(|f| self.is_idle(f)) {
            Some(at) => {
                self.flows[at] = new;
                FlowIndex(at)
            }
            None => {
                self.flows.push(new);
                FlowIndex(self.flows.len() - 1)
            }
        }
    }
}
