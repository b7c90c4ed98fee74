//! What users ask of the leader: submissions, questions, cancellations.

use super::*;
use crate::wire::submission_field;

/// When a user may come back whose submission found too many open jobs, in seconds.
const OPEN_JOBS_RETRY_AFTER_S: u16 = 10;

impl Leader {
    /// A user asks.
    pub fn handle_user_request(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        origin: RequestOrigin,
        call: &UserRequest,
        out: &mut Vec<Effect>,
    ) {
        let answer = match call {
            UserRequest::Submit(body) => self.submit(now, wall, lease_valid, origin, body),
            UserRequest::Get(id) => Some(self.job_status(lease_valid, id)),
            UserRequest::Cancel(id) => self.cancel(now, lease_valid, origin, id),
        };
        if let Some(answer) = answer {
            out.push(Effect::Respond(origin, answer));
        }
        self.flush(now, out);
    }

    pub(super) fn submit(
        &mut self,
        now: Timestamp,
        wall: WallClock,
        lease_valid: bool,
        origin: RequestOrigin,
        body: &[u8],
    ) -> Option<ApiResponse> {
        let parsed = jobs::parse_submission(body, wall);
        // A known id is answered with its state, whatever else the body says.
        let id = match &parsed {
            Ok(record) => Some(record.id),
            Err(_) => jobs::submitted_job_id(body),
        };
        if let Some(id) = id {
            let accepted = self.jobs.terminal_state(id).is_some() || self.jobs.get(id).is_some_and(|j| j.durable);
            if accepted {
                return Some(self.job_status(lease_valid, &id.to_string()));
            }
        }
        let mut record = match parsed {
            Ok(record) => record,
            Err(refusal) => return Some(refused(&refusal)),
        };
        if !lease_valid {
            // An older answer could be wrong: another leader may have accepted it by now.
            return Some(ApiResponse::unavailable("leadership is in doubt"));
        }
        if self.jobs.get(record.id).is_some() {
            self.pending.add_submission(now, record.id, origin);
            return None;
        }
        let teams = &self.settings.deployment.teams;
        if let Err(refusal) = jobs::check_feasible(&record, teams, self.cloud.machine_types(), self.format.has_gangs())
        {
            return Some(refused(&refusal));
        }
        // Types that the cloud does not have cannot matter, and need no room in the log.
        let inventory = &self.cloud;
        if let Some(types) = &mut record.machine_types {
            types.sort_unstable();
            types.dedup();
            types.retain(|t| inventory.machine_type(t).is_some());
        }
        if !self.log.fits_in_value(&LogRecord::JobAccepted(record.clone())) {
            return Some(refused(&Refusal::Malformed {
                field: submission_field::IMAGE,
                problem: "the job's names are too long to be kept",
            }));
        }
        let submission = Submission { job: record.id, team: &record.team, class: &record.class };
        if let Decision::Refuse { retry_after_s } = self.admission.decide(now, &submission, record.task_count) {
            return Some(ApiResponse::too_many_submissions(retry_after_s));
        }
        let limit = self.settings.deployment.resources.open_jobs();
        if self.jobs.open_count() >= limit || self.log.backlog() >= BACKLOG_LIMIT + self.machines.len() {
            // Answered at once: the user is told when to come back.
            return Some(ApiResponse::unavailable_for("too many jobs are open", OPEN_JOBS_RETRY_AFTER_S));
        }
        self.pending.add_submission(now, record.id, origin);
        self.log.append(LogRecord::JobAccepted(record.clone()));
        self.jobs.insert(record, now, true);
        None
    }

    pub(super) fn job_status(&self, lease_valid: bool, id: &str) -> ApiResponse {
        let not_found = || ApiResponse::error(404, "no such job");
        let Ok(id) = id.parse::<JobId>() else { return not_found() };
        // A durable final state never changes; all else may be outdated if another node leads.
        if self.jobs.terminal_state(id).is_none() && !lease_valid {
            return ApiResponse::unavailable("leadership is in doubt");
        }
        if self.jobs.get(id).is_some_and(|j| !j.durable) {
            return ApiResponse::unavailable("not accepted yet");
        }
        match self.jobs.status(id) {
            Some(status) => ApiResponse::json(200, &status),
            None => not_found(),
        }
    }

    pub(super) fn cancel(
        &mut self,
        now: Timestamp,
        lease_valid: bool,
        origin: RequestOrigin,
        id: &str,
    ) -> Option<ApiResponse> {
        let Ok(job_id) = id.parse::<JobId>() else {
            return Some(ApiResponse::field_error(400, "the id has the wrong form", submission_field::JOB));
        };
        if self.jobs.terminal_state(job_id).is_some() {
            return Some(self.job_status(lease_valid, id));
        }
        if !lease_valid {
            return Some(ApiResponse::unavailable("leadership is in doubt"));
        }
        let open = self.all_machines_fenced();
        let mut stops = Vec::new();
        let Some(job) = self.jobs.get_mut(job_id) else { return Some(self.job_status(lease_valid, id)) };
        if !job.durable {
            return Some(ApiResponse::unavailable("not accepted yet"));
        }
        if !open && !job.accepted_by_this_leader {
            // A machine that has not seen this token may start its tasks by an earlier leader's word.
            return Some(ApiResponse::unavailable("not all machines are fenced yet"));
        }
        self.pending.add_cancellation(now, job_id, origin);
        // With all tasks done its state will be `done` as soon as that is durable.
        if !job.cancelling && job.finished.len() < job.spec.task_count {
            job.cancelling = true;
            stops.extend(job.placements.values().copied());
            self.planning.plans.unplan_job(job_id);
            self.log.append(LogRecord::JobCancelled(job_id));
        }
        // Stopped before the fact is written, not once it is known to be durable: if the answer to the commit is lost,
        // the next leader reads the fact and confirms it, while this one may go on renewing the leases. A leader
        // that never learnt that its commit was carried out let the tasks run on through an outage. If it was not
        // carried out, the tasks wait again.
        for placed in stops {
            self.stop_attempt(placed.machine, placed.attempt, 0.0);
        }
        None
    }
}

fn refused(refusal: &Refusal) -> ApiResponse {
    match refusal {
        Refusal::Malformed { field, problem } => ApiResponse::field_error(400, problem, field),
        Refusal::Infeasible(reason) => ApiResponse::error(422, reason),
        Refusal::NotYet { reason, retry_after } => ApiResponse::unavailable_for(reason, *retry_after),
    }
}
