//! Users' requests that wait until the log record behind their response is durable.

use crate::api::ApiResponse;
use crate::effects::{Effect, RequestOrigin};
use crate::types::{Duration, JobId, Timestamp};
use std::collections::HashMap;

/// How long a commit may take before the users who wait for it are told to come back.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1800);

/// A user who waits for a commit.
#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    origin: RequestOrigin,
    deadline: Timestamp,
}

/// Requests that wait for a commit, by job.
#[derive(Debug, Default)]
pub(super) struct PendingRequests {
    submissions: HashMap<JobId, Vec<PendingRequest>>,
    cancellations: HashMap<JobId, Vec<PendingRequest>>,
}

impl PendingRequests {
    /// A submission waits until its job is durable.
    pub(super) fn add_submission(&mut self, now: Timestamp, job: JobId, origin: RequestOrigin) {
        add(&mut self.submissions, now, job, origin);
    }

    /// A cancellation waits until it is durable.
    pub(super) fn add_cancellation(&mut self, now: Timestamp, job: JobId, origin: RequestOrigin) {
        add(&mut self.cancellations, now, job, origin);
    }

    /// Who waits for a job to be accepted; they wait no longer.
    pub(super) fn take_submissions(&mut self, job: JobId) -> impl Iterator<Item = RequestOrigin> + use<> {
        take(&mut self.submissions, job)
    }

    /// Who waits for a job to be cancelled; they wait no longer.
    pub(super) fn take_cancellations(&mut self, job: JobId) -> impl Iterator<Item = RequestOrigin> + use<> {
        take(&mut self.cancellations, job)
    }

    /// Refuses those that have waited too long.
    pub(super) fn expire(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        expire(&mut self.submissions, now, out);
        expire(&mut self.cancellations, now, out);
    }

    /// Refuses all, because this node no longer leads.
    pub(super) fn reject_all(self, out: &mut Vec<Effect>) {
        let waiting = self.submissions.into_values().chain(self.cancellations.into_values()).flatten();
        out.extend(waiting.map(|request| rejection(request.origin, "the leader has changed")));
    }
}

fn add(requests: &mut HashMap<JobId, Vec<PendingRequest>>, now: Timestamp, job: JobId, origin: RequestOrigin) {
    let request = PendingRequest { origin, deadline: now + COMMIT_TIMEOUT };
    requests.entry(job).or_default().push(request);
}

fn take(requests: &mut HashMap<JobId, Vec<PendingRequest>>, job: JobId) -> impl Iterator<Item = RequestOrigin> + use<> {
    requests.remove(&job).unwrap_or_default().into_iter().map(|request| request.origin)
}

fn expire(requests: &mut HashMap<JobId, Vec<PendingRequest>>, now: Timestamp, out: &mut Vec<Effect>) {
    for waiting in requests.values_mut() {
        let expired = waiting.iter().filter(|request| request.deadline <= now);
        out.extend(expired.map(|request| rejection(request.origin, "the state service does not answer")));
        waiting.retain(|request| request.deadline > now);
    }
    requests.retain(|_, waiting| !waiting.is_empty());
}

fn rejection(origin: RequestOrigin, reason: &str) -> Effect {
    Effect::Respond(origin, ApiResponse::unavailable(reason))
}
