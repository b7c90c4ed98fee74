//! Job specifications, in the form in which they are accepted and stored.

use crate::types::{Duration, JobId, Resources, WallClock};
use serde::{Deserialize, Serialize};

/// A job as it was accepted. Stored field names are single letters to keep the write-ahead log small.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Unique id of the job, chosen by the user.
    #[serde(rename = "i")]
    pub id: JobId,
    /// Name of the job's class, for which service-level objectives and admission are configured.
    #[serde(rename = "l")]
    pub class: String,
    /// Name of the team that owns the job and whose quota it uses.
    #[serde(rename = "t")]
    pub team: String,
    /// Whether the job is a service, whose tasks run until it is cancelled.
    #[serde(rename = "k")]
    pub is_service: bool,
    /// Priority from 0, the highest, to 3, the lowest.
    #[serde(rename = "r")]
    pub priority: u8,
    /// Whether the job is a gang, whose tasks run all at the same time or not at all. The previous version would run
    /// such a job as independent tasks, so gangs are accepted only under `Format::Two`.
    #[serde(rename = "y", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_gang: bool,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// Resources required by each task.
    #[serde(rename = "c")]
    pub resources: Resources,
    /// Name of the image that the tasks run.
    #[serde(rename = "m")]
    pub image: String,
    /// Size of the image in thousandths of a GB.
    #[serde(rename = "g")]
    pub image_mb: u64,
    /// Names of the allowed machine types; `None` allows all.
    #[serde(rename = "b", skip_serializing_if = "Option::is_none", default)]
    pub machine_types: Option<Vec<String>>,
    /// The only zone in which tasks may run; `None` allows all.
    #[serde(rename = "z", skip_serializing_if = "Option::is_none", default)]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    #[serde(rename = "o", default)]
    pub colocate_in_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    #[serde(rename = "s", default)]
    pub spread_over_zones: bool,
    /// Whether its tasks may run on spot instances, which the cloud may reclaim.
    #[serde(rename = "p", default)]
    pub allows_spot: bool,
    /// The user's estimate of a task's run time; 0 for services without one.
    #[serde(rename = "e")]
    pub estimated_duration: Duration,
    /// Run time between two periodic checkpoints of a task; 0 if it saves none.
    #[serde(rename = "q", default)]
    pub checkpoint_interval: Duration,
    /// Time that a task needs to save a checkpoint during a graceful stop.
    #[serde(rename = "v", default)]
    pub checkpoint_duration: Duration,
    /// Time after submission by which the job should be complete; `None` if it has no deadline.
    #[serde(rename = "d", skip_serializing_if = "Option::is_none", default)]
    pub deadline: Option<Duration>,
    /// Wall-clock time of the submission.
    #[serde(rename = "a")]
    pub submitted_at: WallClock,
}

impl JobSpec {
    /// Returns the maximum number of tasks that may run in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread_over_zones { self.task_count.div_ceil(2) } else { u32::MAX }
    }

    /// Whether tasks may run on a machine of this type and zone and of this purchase model (spot or on-demand).
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        let market_allowed = self.allows_spot || !spot;
        let zone_allowed = self.zone.as_deref().is_none_or(|only| only == zone);
        let allowed_types = self.machine_types.as_ref();
        let type_allowed = allowed_types.is_none_or(|types| types.iter().any(|allowed| allowed == machine_type));
        market_allowed && zone_allowed && type_allowed
    }
}
