//! Users of the simulation: what they submit, ask and cancel, and what they may be told.
//!
//! A user asks any controller that is up, once a second while the job is accepted, and repeats what was refused. What a user was told
//! once must hold: a job is not forgotten, a terminal state is not taken back, and nothing is done or cancelled that is not.

use super::*;

/// Milliseconds after which a user asks again.
const POLL_MS: u64 = 1000;

/// What users do, and how they were answered.
#[derive(Debug, Default)]
pub struct Users {
    /// Users ask at all controllers, and repeat what they sent, right after they were told something new.
    pub recheck_everywhere: bool,
    /// Cancellations and questions that were answered with 503 or 429.
    pub refused_requests: (u64, u64),
    /// Slowest answer to a user since this was set to 0.
    pub slowest_response_ms: u64,
    /// What the controllers answered to the last health check.
    pub health_checks: BTreeMap<usize, bool>,
}

/// A job as its user knows it.
pub struct UserJob {
    pub(super) spec: Value,
    /// The status in the last answer: a word of PROTOCOL, or the code of a refusal.
    pub last_status: String,
    pub accepted: bool,
    /// When its user was first told that it has ended.
    pub(super) ended_at: Option<u64>,
    /// When its user was first told that it is cancelled.
    pub(super) cancelled_at: Option<u64>,
    /// Whether its user has asked to cancel it.
    pub(super) cancelling: bool,
    pub cancel_status: u16,
    pub submit_status: u16,
    /// When a question about it was answered last.
    pub status_received_at: u64,
    /// When the first of its tasks started.
    pub first_task_started_at: Option<u64>,
    pub accepted_at: u64,
    pub submitted_at: u64,
    /// How often its submission was refused by an admission table, and whether its user has given up.
    pub rejections: u32,
    pub given_up: bool,
    /// When its user first asked to cancel it.
    pub cancel_requested_at: Option<u64>,
}

impl UserJob {
    fn submitted(spec: Value, now: u64) -> UserJob {
        UserJob {
            spec,
            last_status: String::new(),
            accepted: false,
            ended_at: None,
            cancelled_at: None,
            cancelling: false,
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

    /// How many tasks it has.
    pub fn task_count(&self) -> u64 {
        self.spec["Pieces"].as_u64().expect("a count")
    }

    /// Cores of each of its tasks.
    pub(super) fn cores(&self) -> f64 {
        self.spec["Cores"].as_f64().expect("a number")
    }

    pub(super) fn image(&self) -> &str {
        self.spec["Reel"].as_str().unwrap_or_default()
    }

    /// How long each of its tasks runs, in milliseconds.
    pub(super) fn run_ms(&self) -> u64 {
        (self.spec["RuntimeS"].as_f64().unwrap_or(0.0) * 1000.0) as u64
    }

    fn submission(&self) -> UserRequest {
        UserRequest::Submit(self.spec.to_string().into_bytes())
    }
}

/// What users ask.
impl Simulation {
    /// Submits a job; `change` sets fields of a two-task batch job.
    pub fn submit(&mut self, id: &str, change: &[(&str, Value)]) {
        self.add_job(id, change);
        let submission = self.jobs[id].submission();
        self.schedule(0, Event::UserRequest(id.to_string(), submission));
        self.schedule(POLL_MS, Event::UserPoll(id.to_string()));
        if self.users.recheck_everywhere {
            // Some ask before they were told that it is accepted: what is told then must last as well.
            for node in 0..self.site.nodes {
                let soon = 2 + self.random_below(200);
                self.schedule(soon, Event::UserRequestAt(node, id.to_string(), UserRequest::Get(id.to_string())));
            }
        }
    }

    /// A job that the stand-in of an old leader has accepted; its user asks for it from now on.
    pub(super) fn accepted_by_production_version(&mut self, id: &str) {
        self.add_job(id, &[("Pieces", json!(1)), ("Cores", json!(1.0)), ("RuntimeS", json!(2.0))]);
        if let Some(job) = self.jobs.get_mut(id) {
            (job.accepted, job.accepted_at) = (true, self.now);
        }
        self.schedule(POLL_MS, Event::UserPoll(id.to_string()));
    }

    /// Notes a job as its user knows it.
    fn add_job(&mut self, id: &str, change: &[(&str, Value)]) {
        let mut spec = json!({"Ref": id, "Lane": "render", "Crew": "crew", "Shape": "batch", "Rank": "standard", "Pieces": 2,
            "Cores": 2.0, "Cards": 0.0, "MemoryGb": 4.0, "Reel": "img-1", "ImageGb": 1.0, "Together": false,
            "Spread": false, "Loaners": false, "RuntimeS": 10.0, "BookmarkS": 0.0, "StashS": 0.0});
        for (name, value) in change {
            spec[*name] = value.clone();
        }
        self.jobs.insert(id.to_string(), UserJob::submitted(spec, self.now));
    }

    /// Submits a known job once more, as a late retry does.
    pub fn resubmit(&mut self, id: &str) {
        let submission = self.jobs[id].submission();
        self.schedule(0, Event::UserRequest(id.to_string(), submission));
    }

    /// Asks to cancel a job.
    pub fn cancel(&mut self, id: &str) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.cancelling = true;
            job.cancel_requested_at.get_or_insert(self.now);
        }
        self.note_cancelled(id);
        self.schedule(0, Event::UserRequest(id.to_string(), UserRequest::Cancel(id.to_string())));
    }

    /// A user asks for the state of a job once a second, until the submission was given up.
    pub(super) fn poll(&mut self, id: &str) {
        let job = &self.jobs[id];
        if job.given_up && !job.accepted {
            return;
        }
        self.schedule(POLL_MS, Event::UserPoll(id.to_string()));
        self.check_answered(id);
        if self.jobs[id].accepted {
            self.send_user_request_to_any(id.to_string(), UserRequest::Get(id.to_string()));
        }
    }

    /// Asks a controller that is up, or again a second later if there is none.
    pub(super) fn send_user_request_to_any(&mut self, job: String, call: UserRequest) {
        let up: Vec<usize> = (0..self.site.nodes).filter(|n| self.controllers.processes[*n].is_some()).collect();
        if up.is_empty() {
            return self.schedule(1000, Event::UserRequest(job, call));
        }
        let node = up[self.random_below(up.len() as u64) as usize];
        self.send_user_request(node, job, call);
    }

    /// Asks this controller.
    pub fn send_user_request(&mut self, node: usize, job: String, call: UserRequest) {
        let id = self.next_request(node as u64);
        let asked = self.now;
        self.requests.pending.insert(id, Requester::User { job, call: call.clone(), asked });
        self.send_input(node, Input::User(RequestOrigin::Http(id), call), 2);
    }

    /// Users ask at all controllers within milliseconds, again and again, and repeat the submission; some cancel at once.
    fn recheck_at_every_controller(&mut self, id: &str) {
        let submission = self.jobs[id].submission();
        for node in 0..self.site.nodes {
            for gap in [1, 4, 15, 60] {
                let soon = gap + self.random_below(gap);
                self.schedule(soon, Event::UserRequestAt(node, id.to_string(), UserRequest::Get(id.to_string())));
            }
            let soon = 1 + self.random_below(30);
            self.schedule(soon, Event::UserRequestAt(node, id.to_string(), submission.clone()));
        }
        if self.jobs[id].ended_at.is_none() && self.random_below(4) == 0 {
            self.cancel(id);
        }
    }

    fn all_finished(&self, id: &str) -> bool {
        let tasks = self.jobs.get(id).map_or(0, |j| j.spec["Pieces"].as_u64().unwrap_or(0));
        (0..tasks).all(|i| self.tasks.finished.contains(&format!("{id}/{i}")))
    }
}

/// What users are told.
impl Simulation {
    pub(super) fn user_answered(&mut self, id: &str, call: UserRequest, asked: u64, answer: &ApiResponse) {
        let now = self.now;
        self.users.slowest_response_ms = self.users.slowest_response_ms.max(now - asked);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if matches!(call, UserRequest::Get(_)) && matches!(answer.status, 200 | 404) {
            job.status_received_at = now;
        }
        match call {
            UserRequest::Submit(_) => job.submit_status = answer.status,
            UserRequest::Cancel(_) => job.cancel_status = answer.status,
            UserRequest::Get(_) => {}
        }
        match answer.status {
            503 | 429 => self.refused(id, call, answer),
            404 => self.told_unknown(id, asked),
            200 | 201 => self.told_status(id, asked, answer),
            _ => self.told_invalid(id, answer.status),
        }
    }

    /// A request was refused for now: it is repeated, unless it was a question, which comes again anyhow.
    fn refused(&mut self, id: &str, call: UserRequest, answer: &ApiResponse) {
        self.users.refused_requests.0 += u64::from(matches!(call, UserRequest::Cancel(_)));
        self.users.refused_requests.1 += u64::from(matches!(call, UserRequest::Get(_)));
        if answer.status == 429 {
            return self.refused_by_table(id, call, answer.retry_after);
        }
        if !matches!(call, UserRequest::Get(_)) {
            self.schedule(1000, Event::UserRequest(id.to_string(), call));
        }
    }

    /// The controller knows no such job.
    fn told_unknown(&mut self, id: &str, asked: u64) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.accepted && asked <= job.accepted_at {
            // It was under way when another controller accepted the job.
        } else if job.accepted {
            self.violations.push(format!("{} forgotten: {id}", self.now));
        } else {
            job.last_status = "404".into();
        }
    }

    /// The submission is refused for good.
    fn told_invalid(&mut self, id: &str, status: u16) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.accepted {
            self.violations.push(format!("{} forgotten: {id} is answered {status} on a repeat", self.now));
        }
        job.last_status = status.to_string();
    }

    /// The job's state: no step back from what the user was told before.
    fn told_status(&mut self, id: &str, asked: u64, answer: &ApiResponse) {
        let now = self.now;
        let finished = self.all_finished(id);
        let Some(job) = self.jobs.get_mut(id) else { return };
        let mut news = !job.accepted;
        if !std::mem::replace(&mut job.accepted, true) {
            job.accepted_at = now;
        }
        let body: Value = serde_json::from_str(&answer.body).expect("an answer is JSON");
        let status = body["Status"].as_str().expect("a status").to_string();
        // An answer that was under way when the user was told the final state is no step back.
        if job.ended_at.is_some_and(|at| asked <= at) {
            return;
        }
        let over = matches!(job.last_status.as_str(), "done" | "aborted");
        if over && status != job.last_status {
            self.violations.push(format!("{now} went_back: {id} {} then {status}", job.last_status));
        }
        if status == "aborted" {
            if !job.cancelling {
                self.violations.push(format!("{now} went_back: {id} was never cancelled"));
            }
            job.cancelled_at.get_or_insert(now);
        }
        if status == "done" && !finished {
            self.violations.push(format!("{now} not_done: {id}"));
        }
        if matches!(status.as_str(), "done" | "aborted") {
            news |= job.ended_at.is_none();
            job.ended_at.get_or_insert(now);
        }
        job.last_status = status;
        if news && self.users.recheck_everywhere {
            self.recheck_at_every_controller(id);
        }
    }
}
