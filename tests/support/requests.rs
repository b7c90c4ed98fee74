//! Requests over HTTP to controllers, and who waits for their answers.

use super::*;

/// Who waits for an answer.
#[derive(Debug, Clone)]
pub(super) enum Requester {
    /// A machine that sent a heartbeat, in this epoch of its own and at this time.
    Worker { machine: u64, number: u64, session: u64, sent: u64 },
    /// A user, with the time of the question.
    User { job: String, call: UserRequest, asked: u64 },
    /// A health check.
    Probe { node: usize },
}

/// Requests that were sent.
#[derive(Debug, Default)]
pub struct RequestTable {
    /// Who waits for an answer, by the request's number.
    pub(super) pending: BTreeMap<u64, Requester>,
    counter: u64,
    /// Direct commands that were answered, or given up as unanswered: controller, epoch, number.
    pub(super) answered_commands: BTreeSet<(usize, u64, u64)>,
    /// How many direct commands controllers have sent.
    pub direct_commands: u64,
}

impl Simulation {
    /// The number of the next request to this controller: modulo the count of controllers it says which.
    pub(super) fn next_request(&mut self, node: u64) -> u64 {
        self.requests.counter += 1;
        self.requests.counter * self.controller_count() + node
    }

    /// The connection broke before there was an answer.
    pub(super) fn request_failed(&mut self, requester: Requester) {
        match requester {
            Requester::User { call: UserRequest::Get(_), .. } => {}
            Requester::User { job, call, .. } => self.schedule(1000, Event::UserRequest(job, call)),
            Requester::Worker { machine, number, .. } => self.heartbeat_failed(machine, number),
            Requester::Probe { node } => {
                self.users.health_checks.insert(node, false);
            }
        }
    }

    /// A controller has answered.
    pub(super) fn request_answered(&mut self, requester: Requester, answer: ApiResponse, delay: u64) {
        match requester {
            Requester::Worker { machine, number, session, sent } => {
                let answer = Box::new(answer);
                self.schedule(delay, Event::HeartbeatAnswered { machine, number, session, sent, answer });
            }
            Requester::User { job, call, asked } => self.user_answered(&job, call, asked, &answer),
            Requester::Probe { node } => {
                self.users.health_checks.insert(node, answer.status == 200);
            }
        }
    }

    /// A health check; the answer is in `users.health_checks` a few milliseconds later.
    pub fn check_health(&mut self, node: usize) {
        let id = self.next_request(node as u64);
        self.requests.pending.insert(id, Requester::Probe { node });
        self.send_input(node, Input::HealthCheck(RequestOrigin::Http(id)), 1);
    }
}
