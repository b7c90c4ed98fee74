//! Users' requests whose response is sent once the log record that it depends on is durable.

use crate::api::ApiResponse;
use crate::effects::{Effect, RequestOrigin};
use crate::types::{Duration, JobId, Timestamp};
use std::collections::HashMap;

/// Time after which a request is rejected if its log record is not durable yet; the user may retry it.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1800);

/// A user's request that waits for a commit.
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
    /// Adds a submission, whose response is sent once the job is durable.
    pub(super) fn add_submission(&mut self, now: Timestamp, job: JobId, origin: RequestOrigin) {
        add(&mut self.submissions, now, job, origin);
    }

    /// Adds a cancellation, whose response is sent once it is durable.
    pub(super) fn add_cancellation(&mut self, now: Timestamp, job: JobId, origin: RequestOrigin) {
        add(&mut self.cancellations, now, job, origin);
    }

    /// Removes and returns the submissions of a job, so that the caller can respond to them.
    pub(super) fn take_submissions(&mut self, job: JobId) -> impl Iterator<Item = RequestOrigin> + use<> {
        take(&mut self.submissions, job)
    }

    /// Removes and returns the cancellations of a job, so that the caller can respond to them.
    pub(super) fn take_cancellations(&mut self, job: JobId) -> impl Iterator<Item = RequestOrigin> + use<> {
        take(&mut self.cancellations, job)
    }

    /// Rejects the requests whose deadline has passed.
    pub(super) fn expire(&mut self, now: Timestamp, out: &mut Vec<Effect>) {
        expire(&mut self.submissions, now, out);
        expire(&mut self.cancellations, now, out);
    }

    /// Rejects all requests, because this node no longer leads.
    pub(super) fn reject_all(self, out: &mut Vec<Effect>) {
        let pending = self.submissions.into_values().chain(self.cancellations.into_values()).flatten();
        out.extend(pending.map(|request| rejection(request.origin, "the leader has changed")));
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
    for pending in requests.values_mut() {
        let expired = pending.iter().filter(|request| request.deadline <= now);
        out.extend(expired.map(|request| rejection(request.origin, "the state service does not answer")));
        pending.retain(|request| request.deadline > now);
    }
    requests.retain(|_, pending| !pending.is_empty());
}

fn rejection(origin: RequestOrigin, reason: &str) -> Effect {
    Effect::Respond(origin, ApiResponse::unavailable(reason))
}
