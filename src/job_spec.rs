//! Jobs as they are accepted and stored.

use crate::types::{Duration, JobId, Resources, WallClock};
use serde::{Deserialize, Serialize};

/// A job as it was accepted. Its stored field names are short to keep the write-ahead log small.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id.
    #[serde(rename = "i")]
    pub id: JobId,
    /// Class.
    #[serde(rename = "l")]
    pub class: String,
    /// Team.
    #[serde(rename = "t")]
    pub team: String,
    /// Whether its tasks run until it is cancelled.
    #[serde(rename = "k")]
    pub is_service: bool,
    /// From 0, the most important, to 3.
    #[serde(rename = "r")]
    pub priority: u8,
    /// All tasks run at the same time or none does. The previous version would read such a job as one of independent tasks, so it is
    /// accepted only under `Format::Two`.
    #[serde(rename = "y", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_gang: bool,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// What each task takes.
    #[serde(rename = "c")]
    pub resources: Resources,
    /// Image.
    #[serde(rename = "m")]
    pub image: String,
    /// Size of the image in thousandths of a GB.
    #[serde(rename = "g")]
    pub image_mb: u64,
    /// Allowed machine types.
    #[serde(rename = "b", skip_serializing_if = "Option::is_none", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone.
    #[serde(rename = "z", skip_serializing_if = "Option::is_none", default)]
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "o", default)]
    pub colocate_in_zone: bool,
    /// At most half of the tasks in one zone.
    #[serde(rename = "s", default)]
    pub spread_over_zones: bool,
    /// Whether its tasks may run on spot machines.
    #[serde(rename = "p", default)]
    pub allows_spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "e")]
    pub estimated_duration: Duration,
    /// Progress after which a task saves a checkpoint by itself; zero: never.
    #[serde(rename = "q", default)]
    pub checkpoint_interval: Duration,
    /// Time that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "v", default)]
    pub checkpoint_duration: Duration,
    /// Deadline after submission.
    #[serde(rename = "d", skip_serializing_if = "Option::is_none", default)]
    pub deadline: Option<Duration>,
    /// When it was submitted.
    #[serde(rename = "a")]
    pub submitted_at: WallClock,
}

impl JobSpec {
    /// Most tasks that may be in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread_over_zones { self.task_count.div_ceil(2) } else { u32::MAX }
    }

    /// Whether a machine of this type, zone and market (spot or on-demand) is allowed.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let market_allowed = self.allows_spot || !spot;
        let zone_allowed = self.zone.as_deref().is_none_or(|only| only == zone);
        let allowed_types = self.machine_types.as_ref();
        let type_allowed = allowed_types.is_none_or(|types| types.iter().any(|allowed| allowed == machine_type));
        market_allowed && zone_allowed && type_allowed
    }
}
