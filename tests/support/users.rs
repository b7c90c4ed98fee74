//! Simulated users: the requests they send, and the guarantees their responses must keep.
//!
//! A user sends requests to any running controller, polls the status once a second from the job's acceptance on, and
//! retries refused requests. What a response has reported must stay true: an accepted job is never unknown, a terminal state
//! never changes, and a job is reported as done or cancelled only if it is.

use super::*;

/// Interval between two status queries of a user, in milliseconds.
const POLL_INTERVAL_MS: u64 = 1000;

/// How users behave, and the responses they got.
#[derive(Debug, Default)]
pub struct Users {
    /// Whether users query all controllers, and repeat their submission, as soon as they learn a new state.
    pub recheck_everywhere: bool,
    /// Cancellations and status queries that got a 503 or 429 response.
    pub refused_requests: (u64, u64),
    /// Maximum response time of a user's request since this was last set to 0, in milliseconds.
    pub slowest_response_ms: u64,
    /// Result of each controller's last health check.
    pub health_checks: BTreeMap<usize, bool>,
}

/// A job as its user sees it.
pub struct UserJob {
    pub(super) spec: Value,
    /// The status in the last response, as spelled in PROTOCOL, or the HTTP status of a rejection.
    pub last_status: String,
    pub accepted: bool,
    /// When its user first learned that it has ended.
    pub(super) ended_at: Option<u64>,
    /// When its user first got the confirmation of its cancellation.
    pub(super) cancel_confirmed_at: Option<u64>,
    /// Whether its user has requested its cancellation.
    pub(super) cancel_requested: bool,
    pub cancel_status: u16,
    pub submit_status: u16,
    /// When a status query last got a response, in milliseconds.
    pub status_received_at: u64,
    /// When the first of its tasks started, in milliseconds.
    pub first_task_started_at: Option<u64>,
    pub accepted_at: u64,
    pub submitted_at: u64,
    /// Number of rejections of its submission by an admission table.
    pub rejections: u32,
    /// Whether its user has given up on the submission.
    pub given_up: bool,
    /// When its user first requested its cancellation, in milliseconds.
    pub cancel_requested_at: Option<u64>,
}

impl UserJob {
    fn submitted(spec: Value, now: u64) -> UserJob {
        UserJob {
            spec,
            last_status: String::new(),
            accepted: false,
            ended_at: None,
            cancel_confirmed_at: None,
            cancel_requested: false,
            cancel_status: 0,
            submit_status: 0,
            status_received_at: 0,
            first_task_started_at: None,
            accepted_at: 0,
            submitted_at: now,
            rejections: 0,
            given_up: false,
            cancel_requested_at: None,
        }
    }

    /// Returns the number of its tasks.
    pub fn task_count(&self) -> u64 {
        self.spec["Pieces"].as_u64().expect("a count")
    }

    /// Returns the CPU cores of each of its tasks.
    pub(super) fn cores(&self) -> f64 {
        self.spec["Cores"].as_f64().expect("a number")
    }

    pub(super) fn image(&self) -> &str {
        self.spec["Reel"].as_str().unwrap_or_default()
    }

    /// Returns the run time of each of its tasks, in milliseconds.
    pub(super) fn run_ms(&self) -> u64 {
        (self.spec["RuntimeS"].as_f64().unwrap_or(0.0) * 1000.0) as u64
    }

    fn submission(&self) -> UserRequest {
        UserRequest::submit(self.spec.to_string().into_bytes())
    }
}

/// Requests.
impl Simulation {
    /// Submits a job: a batch job of two tasks, with `fields` set.
    pub fn submit(&mut self, id: &str, fields: &[(&str, Value)]) {
        self.add_job(id, fields);
        let submission = self.jobs[id].submission();
        self.schedule(0, Event::UserRequest(id.to_string(), submission));
        self.schedule(POLL_INTERVAL_MS, Event::UserPoll(id.to_string()));
        if self.users.recheck_everywhere {
            // Queries may arrive before the user got the acceptance; what these responses report must be durable as
            // well.
            for node in 0..self.site.nodes {
                let delay = 2 + self.random_below(200);
                self.schedule(delay, Event::UserRequestAt(node, id.to_string(), UserRequest::Get(id.to_string())));
            }
        }
    }

    /// Submits a job with this body at a controller. Its tasks run like those of a job with default fields.
    pub fn submit_body(&mut self, node: usize, id: &str, body: Vec<u8>) {
        self.add_job(id, &[]);
        self.send_user_request(node, id.to_string(), UserRequest::submit(body));
    }

    /// Adds a job that a controller of the version in production has accepted; its user polls it from now on.
    pub(super) fn add_job_accepted_by_production_version(&mut self, id: &str) {
        self.add_job(id, &[("Pieces", json!(1)), ("Cores", json!(1.0)), ("RuntimeS", json!(2.0))]);
        if let Some(job) = self.jobs.get_mut(id) {
            (job.accepted, job.accepted_at) = (true, self.now);
        }
        self.schedule(POLL_INTERVAL_MS, Event::UserPoll(id.to_string()));
    }

    /// Records a job as its user sees it.
    fn add_job(&mut self, id: &str, fields: &[(&str, Value)]) {
        let mut spec = json!({"Ref": id, "Lane": "render", "Crew": "crew", "Shape": "batch", "Rank": "standard", "Pieces": 2,
            "Cores": 2.0, "Cards": 0.0, "MemoryGb": 4.0, "Reel": "img-1", "ImageGb": 1.0, "Together": false,
            "Spread": false, "Loaners": false, "RuntimeS": 10.0, "BookmarkS": 0.0, "StashS": 0.0});
        for (name, value) in fields {
            spec[*name] = value.clone();
        }
        self.jobs.insert(id.to_string(), UserJob::submitted(spec, self.now));
    }

    /// Submits a known job again, like a late retry.
    pub fn resubmit(&mut self, id: &str) {
        let submission = self.jobs[id].submission();
        self.schedule(0, Event::UserRequest(id.to_string(), submission));
    }

    /// Requests the cancellation of a job.
    pub fn cancel(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancel_requested = true;
            job.cancel_requested_at.get_or_insert(self.now);
        }
        self.note_cancelled(id);
        self.schedule(0, Event::UserRequest(id.to_string(), UserRequest::Cancel(id.to_string())));
    }

    /// Queries the status of an accepted job, and schedules the next query unless its user has given up on the
    /// submission.
    pub(super) fn poll(&mut self, id: &str) {
        let job = &self.jobs[id];
        if job.given_up && !job.accepted {
            return;
        }
        self.schedule(POLL_INTERVAL_MS, Event::UserPoll(id.to_string()));
        self.check_status_responses(id);
        if self.jobs[id].accepted {
            self.send_user_request_to_any(id.to_string(), UserRequest::Get(id.to_string()));
        }
    }

    /// Sends a request to a random running controller, or retries a second later if there is none.
    pub(super) fn send_user_request_to_any(&mut self, job: String, request: UserRequest) {
        let running_controllers: Vec<usize> =
            (0..self.site.nodes).filter(|n| self.controllers.processes[*n].is_some()).collect();
        if running_controllers.is_empty() {
            return self.schedule(1000, Event::UserRequest(job, request));
        }
        let node = running_controllers[self.random_below(running_controllers.len() as u64) as usize];
        self.send_user_request(node, job, request);
    }

    /// Sends a request to this controller.
    pub fn send_user_request(&mut self, node: usize, job: String, request: UserRequest) {
        let id = self.next_request(node as u64);
        let requested_at = self.now;
        self.requests.pending.insert(id, Requester::User { job, request: request.clone(), requested_at });
        self.send_input(node, Input::User(RequestOrigin::Http(id), request), 2);
    }

    /// Queries a job at all controllers several times within milliseconds and repeats its submission; a quarter of the
    /// jobs that have not ended are cancelled right away.
    fn recheck_at_every_controller(&mut self, id: &str) {
        let submission = self.jobs[id].submission();
        for node in 0..self.site.nodes {
            for gap in [1, 4, 15, 60] {
                let delay = gap + self.random_below(gap);
                self.schedule(delay, Event::UserRequestAt(node, id.to_string(), UserRequest::Get(id.to_string())));
            }
            let delay = 1 + self.random_below(30);
            self.schedule(delay, Event::UserRequestAt(node, id.to_string(), submission.clone()));
        }
        if self.jobs[id].ended_at.is_none() && self.random_below(4) == 0 {
            self.cancel(id);
        }
    }

    fn all_tasks_finished(&self, id: &str) -> bool {
        let tasks = self.jobs.get(id).map_or(0, |j| j.spec["Pieces"].as_u64().unwrap_or(0));
        (0..tasks).all(|i| self.tasks.finished.contains(&format!("{id}/{i}")))
    }
}

/// Responses.
impl Simulation {
    pub(super) fn user_response_arrives(
        &mut self,
        id: &str,
        request: UserRequest,
        requested_at: u64,
        response: &ApiResponse,
    ) {
        let now = self.now;
        self.users.slowest_response_ms = self.users.slowest_response_ms.max(now - requested_at);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if matches!(request, UserRequest::Get(_)) && matches!(response.status, 200 | 404) {
            job.status_received_at = now;
        }
        match request {
            UserRequest::Submit(_) => job.submit_status = response.status,
            UserRequest::Cancel(_) => job.cancel_status = response.status,
            UserRequest::Get(_) => {}
        }
        match response.status {
            503 | 429 => self.request_refused(id, request, response),
            404 => self.not_found_received(id, requested_at),
            200 | 201 => self.status_received(id, requested_at, response),
            _ => self.rejection_received(id, response.status),
        }
    }

    /// Handles a temporary refusal: submissions and cancellations are retried; queries are not, since polling repeats
    /// them.
    fn request_refused(&mut self, id: &str, request: UserRequest, response: &ApiResponse) {
        self.users.refused_requests.0 += u64::from(matches!(request, UserRequest::Cancel(_)));
        self.users.refused_requests.1 += u64::from(matches!(request, UserRequest::Get(_)));
        if response.status == 429 {
            return self.submission_rejected_by_table(id, request, response.retry_after);
        }
        if !matches!(request, UserRequest::Get(_)) {
            self.schedule(1000, Event::UserRequest(id.to_string(), request));
        }
    }

    /// Handles the response that the controller does not know the job.
    fn not_found_received(&mut self, id: &str, requested_at: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.accepted && requested_at <= job.accepted_at {
            // The query was already in flight when another controller accepted the job.
        } else if job.accepted {
            self.violations.push(format!("{} unknown_job: {id} was accepted before", self.now));
        } else {
            job.last_status = "404".into();
        }
    }

    /// Handles a permanent rejection of the submission.
    fn rejection_received(&mut self, id: &str, status: u16) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.accepted {
            self.violations.push(format!("{} rejected_retry: {id} gets {status} on a repeated submission", self.now));
        }
        job.last_status = status.to_string();
    }

    /// Handles a status: it must be consistent with the statuses that the user got before.
    fn status_received(&mut self, id: &str, requested_at: u64, response: &ApiResponse) {
        let now = self.now;
        let finished = self.all_tasks_finished(id);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut is_new_state = !job.accepted;
        if !std::mem::replace(&mut job.accepted, true) {
            job.accepted_at = now;
        }
        let body: Value = serde_json::from_str(&response.body).expect("the response is JSON");
        let status = body["Status"].as_str().expect("a status").to_string();
        // A response to a query that was in flight when the user learned the terminal state may be older, and is no
        // violation.
        if job.ended_at.is_some_and(|at| requested_at <= at) {
            return;
        }
        let had_ended = matches!(job.last_status.as_str(), "done" | "aborted");
        if had_ended && status != job.last_status {
            self.violations.push(format!("{now} state_reverted: {id} was {} and is {status} now", job.last_status));
        }
        if status == "aborted" {
            if !job.cancel_requested {
                self.violations.push(format!("{now} unrequested_cancellation: {id}"));
            }
            job.cancel_confirmed_at.get_or_insert(now);
        }
        if status == "done" && !finished {
            self.violations.push(format!("{now} premature_done: {id} has unfinished tasks"));
        }
        if matches!(status.as_str(), "done" | "aborted") {
            is_new_state |= job.ended_at.is_none();
            job.ended_at.get_or_insert(now);
        }
        job.last_status = status;
        if is_new_state && self.users.recheck_everywhere {
            self.recheck_at_every_controller(id);
        }
    }
}
