//! Users' requests at a node: served by the leader's state, forwarded to the leader, or queued until there is one.

use super::Controller;
use crate::api::{ApiResponse, UserRequest};
use crate::effects::{Effect, RequestOrigin};
use crate::types::{Duration, Timestamp, WallClock};
use crate::wire::SubmissionHead;
use caperstile_admission::{Decision, Submission};
use std::collections::{BTreeMap, VecDeque};

/// How long a user's request waits for a leader before it is told to come back.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(1200);
/// How long the leader may take over a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(3500);
/// Requests that may wait for a leader.
const QUEUE_LIMIT: usize = 400;

/// A request that waits for a leader.
#[derive(Debug)]
struct QueuedRequest {
    origin: RequestOrigin,
    request: UserRequest,
    deadline: Timestamp,
}

/// Requests that wait for a leader, the oldest first.
#[derive(Debug, Default)]
pub(super) struct QueuedRequests(VecDeque<QueuedRequest>);

impl QueuedRequests {
    /// Takes out the first request if its deadline has passed.
    fn pop_late(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        self.0.front().filter(|queued| queued.deadline <= now)?;
        self.0.pop_front()
    }
}

/// A request that was forwarded to the leader.
#[derive(Debug)]
struct ForwardedRequest {
    origin: RequestOrigin,
    request: UserRequest,
    deadline: Timestamp,
    /// The node that it was forwarded to.
    node: String,
}

/// Requests that were forwarded to the leader, by their number.
#[derive(Debug, Default)]
pub(super) struct ForwardedRequests {
    requests: BTreeMap<u64, ForwardedRequest>,
    /// Requests forwarded so far; numbers them.
    counter: u64,
}

impl ForwardedRequests {
    fn add(&mut self, request: ForwardedRequest) -> u64 {
        self.counter += 1;
        self.requests.insert(self.counter, request);
        self.counter
    }

    /// Takes out, in order, the requests that meet a condition.
    fn take_where(&mut self, condition: impl Fn(&ForwardedRequest) -> bool) -> Vec<ForwardedRequest> {
        let meets = |(id, request): (&u64, &ForwardedRequest)| condition(request).then_some(*id);
        let ids: Vec<u64> = self.requests.iter().filter_map(meets).collect();
        ids.into_iter().filter_map(|id| self.requests.remove(&id)).collect()
    }
}

impl Controller {
    /// Takes a request that has just come in.
    pub(super) fn accept_user_request(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        origin: RequestOrigin,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) {
        let request = QueuedRequest { origin, request, deadline: now + QUEUE_TIMEOUT };
        self.route_user_request(now, wall, request, out);
    }

    /// Serves, forwards or queues a request.
    fn route_user_request(&mut self, now: Timestamp, wall: WallClock, queued: QueuedRequest, out: &mut Vec<Effect>) {
        let lease_valid = self.leadership.holds_valid_lease(now);
        if let Some(leader) = &mut self.leader {
            if leader.is_loaded() {
                return leader.handle_user_request(now, wall, lease_valid, queued.origin, &queued.request, out);
            }
        } else if let Some(leader) = self.leader_to_forward_to(queued.origin) {
            return self.forward(now, leader, queued.origin, queued.request, out);
        }
        let queue_full = self.queued_requests.0.len() >= QUEUE_LIMIT;
        if now >= queued.deadline || queue_full || !self.has_seen_leader || self.is_isolated(now) {
            out.push(Effect::Respond(queued.origin, ApiResponse::unavailable("no leader")));
        } else {
            self.queued_requests.0.push_back(queued);
        }
    }

    /// The leader, if its link is up. A request that was forwarded to this node is not forwarded again.
    fn leader_to_forward_to(&self, origin: RequestOrigin) -> Option<String> {
        let leader = self.leadership.leader().filter(|leader| self.connected_peers.contains(*leader))?;
        matches!(origin, RequestOrigin::Http(_)).then(|| leader.to_string())
    }

    fn forward(
        &mut self,
        now: Timestamp,
        leader: String,
        origin: RequestOrigin,
        request: UserRequest,
        out: &mut Vec<Effect>,
    ) {
        if let Decision::Refuse { retry_after_s } = self.admission_decision(now, &request) {
            out.push(Effect::Respond(origin, ApiResponse::too_many_submissions(retry_after_s)));
            return;
        }
        let deadline = now + FORWARD_TIMEOUT;
        let forwarded = ForwardedRequest { origin, request: request.clone(), deadline, node: leader.clone() };
        let id = self.forwarded_requests.add(forwarded);
        out.push(Effect::Forward(leader, id, request));
    }

    /// Decides by the leader's admission table whether a request is worth forwarding. What cannot be read is the leader's to refuse.
    fn admission_decision(&mut self, now: Timestamp, request: &UserRequest) -> Decision {
        let UserRequest::Submit(body) = request else { return Decision::Admit };
        let Some(table) = self.admission_table(now).filter(|table| !table.is_open()) else {
            return Decision::Admit;
        };
        let Ok(head) = serde_json::from_slice::<SubmissionHead>(body) else { return Decision::Admit };
        let Ok(job) = head.job.parse() else { return Decision::Admit };
        let decision = table.decide(&Submission { job, team: &head.team, class: &head.class });
        if decision != Decision::Admit {
            self.refused_demand.refused(&head.team, &head.class, head.tasks);
        }
        decision
    }

    /// The leader's response to a forwarded request.
    pub(super) fn handle_forward_response(&mut self, id: u64, response: ApiResponse, out: &mut Vec<Effect>) {
        if let Some(forwarded) = self.forwarded_requests.requests.remove(&id) {
            out.push(Effect::Respond(forwarded.origin, response));
        }
    }

    /// Requests that waited for a leader try again.
    pub(super) fn retry_queued_requests(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        for queued in std::mem::take(&mut self.queued_requests.0) {
            self.route_user_request(now, wall, queued, out);
        }
    }

    /// Requests that were forwarded to a node whose link is down try again: all of the users' requests may be repeated.
    pub(super) fn retry_forwarded_requests(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        node: &str,
        out: &mut Vec<Effect>,
    ) {
        for forwarded in self.forwarded_requests.take_where(|forwarded| forwarded.node == node) {
            let deadline = forwarded.deadline.min(now + QUEUE_TIMEOUT);
            let queued = QueuedRequest { origin: forwarded.origin, request: forwarded.request, deadline };
            self.route_user_request(now, wall, queued, out);
        }
    }

    /// Serves queued requests as soon as a leader's state is loaded, and refuses what has waited too long.
    pub(super) fn tick_user_requests(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let loaded = self.leader.as_ref().is_some_and(|leader| leader.is_loaded());
        if loaded && !self.queued_requests.0.is_empty() {
            self.retry_queued_requests(now, wall, out);
        }
        while let Some(late) = self.queued_requests.pop_late(now) {
            out.push(Effect::Respond(late.origin, ApiResponse::unavailable("no leader")));
        }
        for late in self.forwarded_requests.take_where(|forwarded| forwarded.deadline <= now) {
            out.push(Effect::Respond(late.origin, ApiResponse::unavailable("the leader does not answer")));
        }
    }
}
