//! HTTP requests to controllers, and the clients that wait for the responses.

use super::*;

/// A client that waits for a response.
#[derive(Debug, Clone)]
pub(super) enum Requester {
    /// A worker that sent a heartbeat, with the worker's epoch and the time at that moment.
    Worker { machine: u64, number: u64, worker_epoch: u64, sent_at: u64 },
    /// A user, with the request and the time at which it was sent.
    User { job: String, request: UserRequest, requested_at: u64 },
    /// A health check of a controller.
    Probe { node: usize },
}

/// Pending requests and counters.
#[derive(Debug, Default)]
pub struct RequestTable {
    /// Clients that wait for a response, by the request's number.
    pub(super) pending: BTreeMap<u64, Requester>,
    counter: u64,
    /// Direct commands that got a response or timed out: controller, its epoch, number of the request.
    pub(super) completed_commands: BTreeSet<(usize, u64, u64)>,
    /// Number of direct commands sent by controllers.
    pub direct_commands: u64,
}

impl Simulation {
    /// Returns the number for the next request to this controller. The number modulo the count of controllers
    /// identifies the controller.
    pub(super) fn next_request(&mut self, node: u64) -> u64 {
        self.requests.counter += 1;
        self.requests.counter * self.controller_count() + node
    }

    /// Notifies a client that its connection broke before it got a response.
    pub(super) fn request_failed(&mut self, requester: Requester) {
        match requester {
            Requester::User { request: UserRequest::Get(_), .. } => {}
            Requester::User { job, request, .. } => self.schedule(1000, Event::UserRequest(job, request)),
            Requester::Worker { machine, number, .. } => self.heartbeat_failed(machine, number),
            Requester::Probe { node } => {
                self.users.health_checks.insert(node, false);
            }
        }
    }

    /// Delivers a controller's response to the client.
    pub(super) fn response_arrives(&mut self, requester: Requester, response: ApiResponse, delay: u64) {
        match requester {
            Requester::Worker { machine, number, worker_epoch, sent_at } => {
                let response = Box::new(response);
                self.schedule(delay, Event::HeartbeatResponded { machine, number, worker_epoch, sent_at, response });
            }
            Requester::User { job, request, requested_at } => {
                self.user_response_arrives(&job, request, requested_at, &response)
            }
            Requester::Probe { node } => {
                self.users.health_checks.insert(node, response.status == 200);
            }
        }
    }

    /// Starts a health check of a controller; a few milliseconds later, the result is in `users.health_checks`.
    pub fn check_health(&mut self, node: usize) {
        let id = self.next_request(node as u64);
        self.requests.pending.insert(id, Requester::Probe { node });
        self.send_input(node, Input::HealthCheck(RequestOrigin::Http(id)), 1);
    }
}
