//! The log of refused submissions: each refusal is counted by its reason, and a limited number is logged.

use crate::jobs::SubmissionError;
use crate::types::{JobId, Timestamp, TokenBucket};
use crate::wire::{SubmissionProblem, SubmissionRequest};
use log::info;
use std::collections::BTreeMap;

/// Number of refusals that are logged per second on average.
const LOGGED_PER_SECOND: f64 = 1.0;
/// Number of refusals that are logged at once after a time without any.
const MAX_LOGGED_AT_ONCE: f64 = 20.0;

/// The reason by which refusals are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RefusalReason {
    Malformed(&'static str, SubmissionProblem),
    Infeasible,
    Unavailable,
}

impl From<&SubmissionError> for RefusalReason {
    fn from(error: &SubmissionError) -> RefusalReason {
        match error {
            SubmissionError::Malformed { field, problem } => RefusalReason::Malformed(field, *problem),
            SubmissionError::Infeasible(_) => RefusalReason::Infeasible,
            SubmissionError::Unavailable { .. } => RefusalReason::Unavailable,
        }
    }
}

/// Counts the submissions that a leader refuses, and logs them up to a maximum rate.
#[derive(Debug)]
pub(super) struct RefusalLog {
    counts: BTreeMap<RefusalReason, u64>,
    budget: TokenBucket,
    /// Number of refusals since the last one that was logged.
    unlogged: u64,
}

impl RefusalLog {
    pub(super) fn new(now: Timestamp) -> RefusalLog {
        let budget = TokenBucket::new(now, LOGGED_PER_SECOND, MAX_LOGGED_AT_ONCE, MAX_LOGGED_AT_ONCE);
        RefusalLog { counts: BTreeMap::new(), budget, unlogged: 0 }
    }

    /// Counts a refused submission, and logs it if the rate allows.
    pub(super) fn record(&mut self, now: Timestamp, status: u16, request: &SubmissionRequest, error: &SubmissionError) {
        if let Some(line) = self.line(now, status, request, error) {
            info!("{line}");
        }
    }

    /// Counts a refused submission. Returns the line to log, or `None` if the rate does not allow another one.
    fn line(
        &mut self,
        now: Timestamp,
        status: u16,
        request: &SubmissionRequest,
        error: &SubmissionError,
    ) -> Option<String> {
        let count = self.counts.entry(error.into()).or_default();
        *count += 1;
        self.budget.refill(now);
        if self.budget.available() < 1.0 {
            self.unlogged += 1;
            return None;
        }
        self.budget.take(1.0);
        let unlogged = std::mem::take(&mut self.unlogged);
        let job = request.job().as_ref().map_or_else(|| "-".to_string(), JobId::to_string);
        let reason = error.to_string().escape_default().to_string();
        let excerpt = excerpt(request);
        Some(format!(
            "submission refused job={job} status={status} reason=\"{reason}\" excerpt=\"{excerpt}\" \
            same_reason={count} unlogged={unlogged}"
        ))
    }
}

/// The part of a submission that is quoted in the log; empty if all its fields are valid.
fn excerpt(request: &SubmissionRequest) -> String {
    match request {
        SubmissionRequest::Valid(_) => String::new(),
        SubmissionRequest::Malformed(malformed) => malformed.excerpt(),
    }
}

#[cfg(test)]
mod tests;
