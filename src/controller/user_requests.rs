//! Routing of users' requests at a node: the leader's state serves them, a follower forwards them to the leader, and
//! without a leader they are queued.

use super::Controller;
use crate::api::{ApiResponse, UserRequest};
use crate::effects::{Effect, RequestOrigin};
use crate::types::{Duration, Timestamp, WallClock};
use crate::wire::SubmissionRequest;
use caperstile_admission::{Decision, Submission};
use std::collections::{BTreeMap, VecDeque};

/// Time for which a user's request is queued without a leader before it is rejected with a request to retry.
const QUEUE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time within which the leader must respond to a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(3500);
/// Maximum number of requests that are queued without a leader.
const QUEUE_LIMIT: usize = 400;

/// A request that is queued until a leader is available.
#[derive(Debug)]
struct QueuedRequest {
    origin: RequestOrigin,
    request: UserRequest,
    deadline: Timestamp,
}

/// The requests that are queued until a leader is available, the oldest first.
#[derive(Debug, Default)]
pub(super) struct QueuedRequests(VecDeque<QueuedRequest>);

impl QueuedRequests {
    /// Removes and returns the oldest request if its deadline has passed.
    fn pop_expired(&mut self, now: Timestamp) -> Option<QueuedRequest> {
        self.0.front().filter(|queued| queued.deadline <= now)?;
        self.0.pop_front()
    }
}

/// A request that was forwarded to the leader and has no response yet.
#[derive(Debug)]
struct ForwardedRequest {
    origin: RequestOrigin,
    request: UserRequest,
    deadline: Timestamp,
    /// The node to which the request was forwarded.
    node: String,
}

/// The requests that were forwarded to the leader and have no response yet, by their number.
#[derive(Debug, Default)]
pub(super) struct ForwardedRequests {
    requests: BTreeMap<u64, ForwardedRequest>,
    /// Number of requests forwarded since the start of the process; the source of their numbers.
    counter: u64,
}

impl ForwardedRequests {
    fn add(&mut self, request: ForwardedRequest) -> u64 {
        self.counter += 1;
        self.requests.insert(self.counter, request);
        self.counter
    }

    /// Removes and returns the requests that meet `condition`, in the order in which they were forwarded.
    fn remove_matching(&mut self, condition: impl Fn(&ForwardedRequest) -> bool) -> Vec<ForwardedRequest> {
        let matching_id = |(id, request): (&u64, &ForwardedRequest)| condition(request).then_some(*id);
        let ids: Vec<u64> = self.requests.iter().filter_map(matching_id).collect();
        ids.into_iter().filter_map(|id| self.requests.remove(&id)).collect()
    }
}

impl Controller {
    /// Accepts a request that has just arrived at this node.
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

    /// Serves the request if this node leads, forwards it if the leader is connected, and otherwise queues or rejects
    /// it.
    fn route_user_request(&mut self, now: Timestamp, wall: WallClock, queued: QueuedRequest, out: &mut Vec<Effect>) {
        let context = self.input_context(now, wall);
        if let Some(leader) = &mut self.leader {
            if leader.is_loaded() {
                return leader.handle_user_request(context, queued.origin, &queued.request, out);
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

    /// The leader, if its link is established. A request that another node forwarded to this one is not forwarded
    /// again.
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

    /// Decides by the leader's admission table whether to forward a request. A malformed submission is forwarded, since
    /// its job may be one that the leader has accepted.
    fn admission_decision(&mut self, now: Timestamp, request: &UserRequest) -> Decision {
        let UserRequest::Submit(SubmissionRequest::Valid(submission)) = request else { return Decision::Admit };
        let Some(table) = self.admission_table(now).filter(|table| !table.admits_all()) else {
            return Decision::Admit;
        };
        let (team, class) = (&submission.team, &submission.class);
        let decision = table.decide(&Submission { job: submission.job, team, class });
        if decision != Decision::Admit {
            self.refused_demand.record_refused(team, class, submission.task_count);
        }
        decision
    }

    /// Passes the leader's response to a forwarded request on to the user.
    pub(super) fn handle_forward_response(&mut self, id: u64, response: ApiResponse, out: &mut Vec<Effect>) {
        if let Some(forwarded) = self.forwarded_requests.requests.remove(&id) {
            out.push(Effect::Respond(forwarded.origin, response));
        }
    }

    /// Routes all queued requests again.
    pub(super) fn retry_queued_requests(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        for queued in std::mem::take(&mut self.queued_requests.0) {
            self.route_user_request(now, wall, queued, out);
        }
    }

    /// Routes those requests again that were forwarded to a node whose link was lost. The node may have executed them
    /// already, which is harmless: all users' requests are idempotent.
    pub(super) fn retry_forwarded_requests(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        node: &str,
        out: &mut Vec<Effect>,
    ) {
        for forwarded in self.forwarded_requests.remove_matching(|forwarded| forwarded.node == node) {
            let deadline = forwarded.deadline.min(now + QUEUE_TIMEOUT);
            let queued = QueuedRequest { origin: forwarded.origin, request: forwarded.request, deadline };
            self.route_user_request(now, wall, queued, out);
        }
    }

    /// Serves queued requests once this node leads and its state is loaded, and rejects requests whose deadline has
    /// passed.
    pub(super) fn tick_user_requests(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let loaded = self.leader.as_ref().is_some_and(|leader| leader.is_loaded());
        if loaded && !self.queued_requests.0.is_empty() {
            self.retry_queued_requests(now, wall, out);
        }
        while let Some(expired) = self.queued_requests.pop_expired(now) {
            out.push(Effect::Respond(expired.origin, ApiResponse::unavailable("no leader")));
        }
        for expired in self.forwarded_requests.remove_matching(|forwarded| forwarded.deadline <= now) {
            out.push(Effect::Respond(expired.origin, ApiResponse::unavailable("the leader does not answer")));
        }
    }
}
