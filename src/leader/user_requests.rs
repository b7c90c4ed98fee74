//! Users' requests to the leader: submissions, queries of a job's state, and cancellations.

use super::{InputContext, Leader};
use crate::api::{ApiResponse, UserRequest};
use crate::effects::{Effect, RequestOrigin};
use crate::jobs::{self, JobSpec, SubmissionError};
use crate::types::{JobId, Timestamp};
use crate::wire::{SubmissionRequest, abbreviate_name, submission_field};
use crate::workers::StopReason;
use crate::write_ahead_log::LogRecord;
use caperstile_admission::{Decision, Submission};

/// Seconds after which a user may retry a submission that was rejected because too many jobs are open.
const OPEN_JOBS_RETRY_AFTER_S: u16 = 10;
/// Number of log records that are not durable yet at which submissions are rejected, in addition to one record for each
/// machine: the registrations of machines that all boot at once must not count as backlog.
const LOG_BACKLOG_LIMIT: usize = 5000;
/// Error text of a leader without a valid lease. It rejects requests whose response may be outdated, since another node
/// may have been elected.
const LEASE_IN_DOUBT: &str = "leadership is in doubt";
/// Error text for a job whose record exceeds the size limit of the state service.
const JOB_DOES_NOT_FIT: &str = "the job does not fit into a value of the state service";

impl Leader {
    /// Processes a user's request. The response is sent immediately, or once the log record that it depends on is
    /// durable.
    pub fn handle_user_request(
        &mut self,
        context: InputContext,
        origin: RequestOrigin,
        request: &UserRequest,
        out: &mut Vec<Effect>,
    ) {
        let InputContext { now, lease_valid, .. } = context;
        let response = match request {
            UserRequest::Submit(request) => self.submit(context, origin, request),
            UserRequest::Get(id) => Some(self.job_status(lease_valid, id)),
            UserRequest::Cancel(id) => self.cancel(now, lease_valid, origin, id),
        };
        if let Some(response) = response {
            out.push(Effect::Respond(origin, response));
        }
        self.flush(now, out);
    }

    /// Processes a submission. Returns `None` if the response is sent once the job is durable.
    fn submit(
        &mut self,
        context: InputContext,
        origin: RequestOrigin,
        request: &SubmissionRequest,
    ) -> Option<ApiResponse> {
        let InputContext { now, wall, lease_valid } = context;
        // The response to the submission of an accepted job is its state, whatever else the body contains: the request
        // may be a delayed duplicate.
        if let Some(id) = request.job().filter(|id| self.is_accepted(*id)) {
            return Some(self.job_status(lease_valid, &id.to_string()));
        }
        let spec = match request {
            SubmissionRequest::Valid(submission) => JobSpec::new(submission, wall),
            SubmissionRequest::Malformed(malformed) => {
                return Some(self.refuse(now, request, &malformed.as_ref().into()));
            }
        };
        if !lease_valid {
            return Some(ApiResponse::unavailable(LEASE_IN_DOUBT));
        }
        if self.jobs.get(spec.id).is_some() {
            self.pending_requests.add_submission(now, spec.id, origin);
            return None;
        }
        if let Err(error) = self.check_feasible(&spec) {
            return Some(self.refuse(now, request, &error));
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

    /// Records that a submission is refused, and returns the response to it.
    fn refuse(&mut self, now: Timestamp, request: &SubmissionRequest, error: &SubmissionError) -> ApiResponse {
        let response = refusal_response(error);
        self.refusals.record(now, response.status, request, error);
        response
    }

    fn check_feasible(&self, spec: &JobSpec) -> Result<(), SubmissionError> {
        let teams = &self.settings.deployment.teams;
        jobs::check_feasible(spec, teams, self.cloud.machine_types(), self.format.has_gangs())
    }

    /// Whether the acceptance of a job is durable.
    fn is_accepted(&self, id: JobId) -> bool {
        self.jobs.terminal_state(id).is_some() || self.jobs.get(id).is_some_and(|job| job.durable)
    }

    /// Checks whether a new feasible job can be accepted now. Returns its specification in the form in which it is
    /// stored.
    fn admit(&mut self, now: Timestamp, spec: JobSpec) -> Result<JobSpec, ApiResponse> {
        let spec = self.fit_into_value(spec).ok_or_else(|| ApiResponse::unavailable(JOB_DOES_NOT_FIT))?;
        let submission = Submission { job: spec.id, team: &spec.team, class: &spec.class };
        if let Decision::Refuse { retry_after_s } = self.admission.decide(now, &submission, spec.task_count) {
            return Err(ApiResponse::too_many_submissions(retry_after_s));
        }
        if self.at_capacity() {
            // The submission is rejected immediately instead of being queued, with a `Retry-After`.
            return Err(ApiResponse::unavailable_for("too many jobs are open", OPEN_JOBS_RETRY_AFTER_S));
        }
        Ok(spec)
    }

    /// Reduces a job to what its log record has room for: the machine types that the cloud offers, then fewer of those
    /// that can host a task, then shorter names. Returns `None` if that is not enough.
    fn fit_into_value(&self, mut spec: JobSpec) -> Option<JobSpec> {
        self.drop_unknown_machine_types(&mut spec);
        if !self.fits_into_value(&spec) {
            self.drop_unsuitable_machine_types(&mut spec);
        }
        while !self.fits_into_value(&spec) && spec.machine_types.as_ref().is_some_and(|types| types.len() > 1) {
            spec.machine_types.as_mut().and_then(Vec::pop);
        }
        if !self.fits_into_value(&spec) {
            spec.image = abbreviate_name(&spec.image);
        }
        if !self.fits_into_value(&spec) {
            spec.class = abbreviate_name(&spec.class);
        }
        self.fits_into_value(&spec).then_some(spec)
    }

    fn fits_into_value(&self, spec: &JobSpec) -> bool {
        self.log.fits_in_value(&LogRecord::JobAccepted(spec.clone()))
    }

    /// Removes machine types that the cloud does not offer: they cannot affect placement and would only take up space
    /// in the log.
    fn drop_unknown_machine_types(&self, spec: &mut JobSpec) {
        let Some(allowed) = &spec.machine_types else { return };
        let offered = self.cloud.machine_types().unwrap_or_default().iter().map(|offered| &offered.name);
        let mut known: Vec<String> = offered.filter(|name| allowed.contains(name)).cloned().collect();
        known.sort_unstable();
        known.dedup();
        spec.machine_types = Some(known);
    }

    /// Removes machine types on which no task of the job fits.
    fn drop_unsuitable_machine_types(&self, spec: &mut JobSpec) {
        let Some(mut allowed) = spec.machine_types.take() else { return };
        spec.machine_types = Some(allowed.clone());
        allowed.retain(|name| self.cloud.machine_type(name).is_some_and(|offered| jobs::can_host(offered, spec)));
        spec.machine_types = Some(allowed);
    }

    /// Whether new jobs are rejected for now, because the limit of open jobs (memory) or the limit of the log's backlog
    /// is reached.
    fn at_capacity(&self) -> bool {
        let open_jobs_limit = self.settings.deployment.resources.max_open_jobs();
        let backlog_limit = LOG_BACKLOG_LIMIT + self.machines.len();
        self.jobs.open_count() >= open_jobs_limit || self.log.backlog() >= backlog_limit
    }

    /// Returns the response to a query of a job's state.
    pub(super) fn job_status(&self, lease_valid: bool, id: &str) -> ApiResponse {
        let not_found = || ApiResponse::error(404, "no such job");
        let Ok(id) = id.parse::<JobId>() else { return not_found() };
        // A durable terminal state never changes. All other states may be outdated if another node has been elected.
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

    /// Processes a cancellation. Returns `None` if the response is sent once the cancellation is durable.
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
            // A machine that has not seen this leader's fencing token may still start tasks of the job by a command of
            // an earlier leader.
            return Some(ApiResponse::unavailable("not all machines are fenced yet"));
        }
        self.pending_requests.add_cancellation(now, id, origin);
        self.begin_cancellation(id);
        None
    }

    /// Stops a job's tasks and appends its cancellation to the log. Does nothing if all tasks have finished: the job's
    /// state becomes `done` once the finishes are durable.
    ///
    /// The tasks are stopped before the record is written, not once it is known to be durable. If the response to the
    /// commit is lost, the next leader loads the record and confirms the cancellation, while this leader may continue
    /// to renew the leases of the machines. A leader that never learnt that its commit had been carried out let the
    /// tasks run throughout an outage. If the commit was not carried out, the tasks are pending again.
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
            self.stop_attempt(placement.machine, placement.attempt, 0.0, StopReason::Cancelled);
        }
    }
}

fn refusal_response(refusal: &SubmissionError) -> ApiResponse {
    match refusal {
        SubmissionError::Malformed { field, problem } => ApiResponse::field_error(400, &problem.to_string(), field),
        SubmissionError::Infeasible(reason) => ApiResponse::error(422, reason),
        SubmissionError::Unavailable { reason, retry_after } => ApiResponse::unavailable_for(reason, *retry_after),
    }
}
