//! Requests of users at the leader: submissions, questions and cancellations.

use super::Leader;
use crate::api::{ApiResponse, UserRequest};
use crate::effects::{Effect, RequestOrigin};
use crate::jobs::{self, JobSpec, SubmissionError};
use crate::types::{JobId, Timestamp, WallClock};
use crate::wire::submission_field;
use crate::write_ahead_log::LogRecord;
use caperstile_admission::{Decision, Submission};

/// When a user may come back whose submission found too many open jobs, in seconds.
const OPEN_JOBS_RETRY_AFTER_S: u16 = 10;
/// Records that may wait to become durable before submissions are refused, beside one for each machine: a fleet that comes up at
/// once is no backlog.
const LOG_BACKLOG_LIMIT: usize = 5000;
/// Why a leader without a valid lease answers nothing that could be outdated: another leader may know better by now.
const LEASE_IN_DOUBT: &str = "leadership is in doubt";

impl Leader {
    /// Takes a user's request; the response follows at once or when what it depends on is durable.
    pub fn handle_user_request(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        origin: RequestOrigin,
        request: &UserRequest,
        out: &mut Vec<Effect>,
    ) {
        let response = match request {
            UserRequest::Submit(body) => self.submit(now, wall, lease_valid, origin, body),
            UserRequest::Get(id) => Some(self.job_status(lease_valid, id)),
            UserRequest::Cancel(id) => self.cancel(now, lease_valid, origin, id),
        };
        if let Some(response) = response {
            out.push(Effect::Respond(origin, response));
        }
        self.flush(now, out);
    }

    /// A submission; `None` if its user waits until the job is durable.
    fn submit(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        origin: RequestOrigin,
        body: &[u8],
    ) -> Option<ApiResponse> {
        let parsed = jobs::parse_submission(body, wall);
        // A known job is answered with its state, whatever else the body says: the request may be a late repeat.
        let id = match &parsed {
            Ok(spec) => Some(spec.id),
            Err(_) => jobs::submitted_job_id(body),
        };
        if let Some(id) = id.filter(|id| self.is_accepted(*id)) {
            return Some(self.job_status(lease_valid, &id.to_string()));
        }
        let spec = match parsed {
            Ok(spec) => spec,
            Err(refusal) => return Some(refusal_response(&refusal)),
        };
        if !lease_valid {
            return Some(ApiResponse::unavailable(LEASE_IN_DOUBT));
        }
        if self.jobs.get(spec.id).is_some() {
            self.pending_requests.add_submission(now, spec.id, origin);
            return None;
        }
        match self.admit(now, spec) {
            Ok(spec) => {
                self.pending_requests.add_submission(now, spec.id, origin);
                self.log.append(LogRecord::JobAccepted(spec.clone()));
                self.jobs.insert(spec, now, true);
                None
            }
            Err(response) => Some(response),
        }
    }

    /// Whether a job's acceptance is durable.
    fn is_accepted(&self, id: JobId) -> bool {
        self.jobs.terminal_state(id).is_some() || self.jobs.get(id).is_some_and(|job| job.durable)
    }

    /// Checks whether a new job can be taken; the job as it is kept.
    fn admit(&mut self, now: Timestamp, mut spec: JobSpec) -> Result<JobSpec, ApiResponse> {
        let teams = &self.settings.deployment.teams;
        let gangs_supported = self.format.has_gangs();
        jobs::check_feasible(&spec, teams, self.cloud.machine_types(), gangs_supported)
            .map_err(|refusal| refusal_response(&refusal))?;
        self.drop_unknown_machine_types(&mut spec);
        if !self.log.fits_in_value(&LogRecord::JobAccepted(spec.clone())) {
            let problem = "the job's names are too long to be kept";
            return Err(refusal_response(&SubmissionError::Malformed { field: submission_field::IMAGE, problem }));
        }
        let submission = Submission { job: spec.id, team: &spec.team, class: &spec.class };
        if let Decision::Refuse { retry_after_s } = self.admission.decide(now, &submission, spec.task_count) {
            return Err(ApiResponse::too_many_submissions(retry_after_s));
        }
        if self.at_capacity() {
            // Answered at once: the user is told when to come back.
            return Err(ApiResponse::unavailable_for("too many jobs are open", OPEN_JOBS_RETRY_AFTER_S));
        }
        Ok(spec)
    }

    /// Types that the cloud does not have cannot matter, and need no room in the log.
    fn drop_unknown_machine_types(&self, spec: &mut JobSpec) {
        if let Some(machine_types) = &mut spec.machine_types {
            machine_types.sort_unstable();
            machine_types.dedup();
            machine_types.retain(|name| self.cloud.machine_type(name).is_some());
        }
    }

    /// Whether no more jobs are taken for now: memory or the log's backlog is used up.
    fn at_capacity(&self) -> bool {
        let open_jobs_limit = self.settings.deployment.resources.max_open_jobs();
        let backlog_limit = LOG_BACKLOG_LIMIT + self.machines.len();
        self.jobs.open_count() >= open_jobs_limit || self.log.backlog() >= backlog_limit
    }

    /// The state of a job as its user is told.
    pub(super) fn job_status(&self, lease_valid: bool, id: &str) -> ApiResponse {
        let not_found = || ApiResponse::error(404, "no such job");
        let Ok(id) = id.parse::<JobId>() else { return not_found() };
        // A durable terminal state never changes; all else may be outdated if another node leads.
        if self.jobs.terminal_state(id).is_none() && !lease_valid {
            return ApiResponse::unavailable(LEASE_IN_DOUBT);
        }
        if self.jobs.get(id).is_some_and(|job| !job.durable) {
            return ApiResponse::unavailable("not accepted yet");
        }
        match self.jobs.status(id) {
            Some(status) => ApiResponse::json(200, &status),
            None => not_found(),
        }
    }

    /// A cancellation; `None` if its user waits until it is durable.
    fn cancel(
        &mut self,
        now: Timestamp,
        lease_valid: bool,
        origin: RequestOrigin,
        id_text: &str,
    ) -> Option<ApiResponse> {
        let Ok(id) = id_text.parse::<JobId>() else {
            return Some(ApiResponse::field_error(400, "the id has the wrong form", submission_field::JOB));
        };
        if self.jobs.terminal_state(id).is_some() {
            return Some(self.job_status(lease_valid, id_text));
        }
        if !lease_valid {
            return Some(ApiResponse::unavailable(LEASE_IN_DOUBT));
        }
        let Some(job) = self.jobs.get(id) else { return Some(self.job_status(lease_valid, id_text)) };
        if !job.durable {
            return Some(ApiResponse::unavailable("not accepted yet"));
        }
        if !self.all_machines_fenced() && !job.accepted_by_this_leader {
            // A machine that has not seen this token may start its tasks by an earlier leader's command.
            return Some(ApiResponse::unavailable("not all machines are fenced yet"));
        }
        self.pending_requests.add_cancellation(now, id, origin);
        self.begin_cancellation(id);
        None
    }

    /// Stops a job's tasks and queues its cancellation, unless all of them are done: then its state will be `done` as soon as that
    /// is durable.
    ///
    /// They are stopped before the record is written, not once it is known to be durable: if the response to the commit is lost,
    /// the next leader reads the record and confirms it, while this one may go on renewing the leases. A leader that never learnt
    /// that its commit was carried out let the tasks run on through an outage. If it was not carried out, the tasks wait again.
    fn begin_cancellation(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        if job.cancelling || job.finished.len() >= job.spec.task_count {
            return;
        }
        job.cancelling = true;
        let placements: Vec<jobs::Placement> = job.placements.values().copied().collect();
        self.planning.plans.unplan_job(id);
        self.log.append(LogRecord::JobCancelled(id));
        for placement in placements {
            self.stop_attempt(placement.machine, placement.attempt, 0.0);
        }
    }
}

fn refusal_response(refusal: &SubmissionError) -> ApiResponse {
    match refusal {
        SubmissionError::Malformed { field, problem } => ApiResponse::field_error(400, problem, field),
        SubmissionError::Infeasible(reason) => ApiResponse::error(422, reason),
        SubmissionError::Unavailable { reason, retry_after } => ApiResponse::unavailable_for(reason, *retry_after),
    }
}
