//! The admission status for operators, as the leader stores it in the state service.

use crate::control::PairStatus;
use caperstile_types::{FencingToken, Timestamp, WallClock};
use serde::{Deserialize, Serialize};

/// Key of the status in the state service.
pub const STATUS_KEY: &str = "admission/status";

/// The submissions that a leader refuses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// The leader's fencing token.
    pub token: FencingToken,
    /// Sequence number of the admission table in force, counted per leader.
    pub sequence: u64,
    /// Time at which the status was written.
    pub at: WallClock,
    /// Maximum admitted cost per second; `None` if the controllers' load does not limit it.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Pairs of which submissions are refused, in descending order of demand.
    pub refused: Vec<RefusedPair>,
    /// Number of refused pairs that were omitted to keep the value within its size limit.
    #[serde(default)]
    pub left_out: usize,
}

/// A pair of team and class of which submissions are refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusedPair {
    /// Name of the team.
    pub team: String,
    /// Name of the job class.
    pub class: String,
    /// Share of the submissions that is admitted, from 0 to 1.
    pub ratio: f64,
    /// Cost per second of all submissions, admitted or refused.
    pub demanded: f64,
    /// Cost per second of the admitted submissions.
    pub admitted: f64,
    /// Predicted time in seconds that a new job's tasks wait for machines; `None` without a backlog.
    #[serde(default)]
    pub predicted_wait_s: Option<f64>,
    /// Time in seconds since submissions of the pair began to be refused.
    pub refused_for_s: f64,
}

impl RefusedPair {
    /// Converts the status of a pair; returns `None` if the pair is not in a refusal period.
    pub fn from_status(status: &PairStatus, now: Timestamp) -> Option<RefusedPair> {
        let refused_since = status.refused_since?;
        // JSON cannot represent infinity.
        let predicted_wait = status.predicted_wait.map(|wait| wait.as_secs_f64()).filter(|seconds| seconds.is_finite());
        Some(RefusedPair {
            team: status.pair.team.clone(),
            class: status.pair.class.clone(),
            ratio: rounded(status.ratio.share()),
            demanded: rounded(status.demanded),
            admitted: rounded(status.admitted),
            predicted_wait_s: predicted_wait.map(f64::round),
            refused_for_s: now.since(refused_since).as_secs_f64().round(),
        })
    }
}

fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

impl AdmissionStatus {
    /// Omits the pairs with the lowest demand until the serialized status has at most `max_bytes` bytes.
    pub fn truncated_to(mut self, max_bytes: usize) -> AdmissionStatus {
        self.refused.sort_by(|a, b| b.demanded.total_cmp(&a.demanded));
        while !self.refused.is_empty() && serde_json::to_string(&self).is_ok_and(|text| text.len() > max_bytes) {
            let remaining = self.refused.len() * 3 / 4;
            self.left_out += self.refused.len() - remaining;
            self.refused.truncate(remaining);
        }
        self
    }
}
