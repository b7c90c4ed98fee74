//! What operators are shown of admission, as it is kept in the state service.

use crate::control::PairStatus;
use caperstile_types::{FencingToken, Timestamp, WallClock};
use serde::{Deserialize, Serialize};

/// The key that it is kept under.
pub const STATUS_KEY: &str = "admission/status";

/// What a leader refuses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionStatus {
    /// The leader's token.
    pub token: FencingToken,
    /// Number of the table in force among that leader's.
    pub sequence: u64,
    /// When this was written.
    pub at: WallClock,
    /// Cost per second that is admitted at the most; none: everything.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Pairs of which submissions are refused, those that ask for most first.
    pub refused: Vec<RefusedPair>,
    /// Refused pairs that did not fit in.
    #[serde(default)]
    pub left_out: usize,
}

/// A pair of which submissions are refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusedPair {
    /// Team.
    pub team: String,
    /// Class.
    pub class: String,
    /// The share that is admitted.
    pub ratio: f64,
    /// Cost per second that it asks for.
    pub demanded: f64,
    /// Cost per second that is admitted.
    pub admitted: f64,
    /// How long its jobs are predicted to wait for machines, in seconds, if there is a backlog.
    #[serde(default)]
    pub predicted_wait_s: Option<f64>,
    /// For how long it has been refused, in seconds.
    pub refused_for_s: f64,
}

impl RefusedPair {
    /// What is shown of a pair; `None` if nothing of it is refused.
    pub fn from_status(status: &PairStatus, now: Timestamp) -> Option<RefusedPair> {
        let since = status.refused_since?;
        // A wait without end is no number in JSON.
        let wait = status.predicted_wait.map(|wait| wait.as_secs_f64()).filter(|seconds| seconds.is_finite());
        Some(RefusedPair {
            team: status.pair.team.clone(),
            class: status.pair.class.clone(),
            ratio: rounded(status.ratio.share()),
            demanded: rounded(status.demanded),
            admitted: rounded(status.admitted),
            predicted_wait_s: wait.map(f64::round),
            refused_for_s: now.since(since).as_secs_f64().round(),
        })
    }
}

fn rounded(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}

impl AdmissionStatus {
    /// Leaves pairs out until the value has so many bytes at the most.
    pub fn truncated_to(mut self, bytes: usize) -> AdmissionStatus {
        self.refused.sort_by(|a, b| b.demanded.total_cmp(&a.demanded));
        while !self.refused.is_empty() && serde_json::to_string(&self).is_ok_and(|text| text.len() > bytes) {
            let kept = self.refused.len() * 3 / 4;
            self.left_out += self.refused.len() - kept;
            self.refused.truncate(kept);
        }
        self
    }
}
