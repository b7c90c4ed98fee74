//! Tracks the recent submission rate of each class, from which the leader determines how much headroom to keep for jobs
//! that must start at once.

use crate::jobs::JobSpec;
use crate::types::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Arrivals older than this are not counted, because they do not predict the demand of the next minute.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(120);
/// Maximum number of arrivals that are kept for one class.
const MAX_ARRIVALS_PER_CLASS: usize = 256;

/// Submission of one job.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Timestamp,
    tasks: u32,
}

/// Recent arrivals of one class.
#[derive(Debug)]
pub struct ClassArrivals {
    recent: VecDeque<Arrival>,
    /// The job of this class whose tasks need the most CPUs in total.
    largest_job: Rc<JobSpec>,
    first_at: Timestamp,
}

impl ClassArrivals {
    fn new(now: Timestamp, spec: &Rc<JobSpec>) -> ClassArrivals {
        ClassArrivals { recent: VecDeque::new(), largest_job: Rc::clone(spec), first_at: now }
    }

    /// Specification of the job of this class whose tasks need the most CPUs in total, of all its jobs so far.
    #[must_use]
    pub fn largest_job(&self) -> &JobSpec {
        &self.largest_job
    }

    /// Number of tasks that are expected to arrive within a period of length `within`. It is extrapolated from the rate
    /// in `ARRIVAL_WINDOW`, or since the first job if that is more recent.
    #[must_use]
    pub fn expected_tasks(&self, now: Timestamp, within: Duration) -> f64 {
        let min_window = within.max(Duration::from_millis(1));
        let max_window = ARRIVAL_WINDOW.max(within);
        let window = now.since(self.first_at).clamp(min_window, max_window);
        let arrived = self.recent.iter().filter(|arrival| now.since(arrival.at) < window);
        let tasks: u64 = arrived.map(|arrival| u64::from(arrival.tasks)).sum();
        tasks as f64 * within.as_millis() as f64 / window.as_millis() as f64
    }

    fn add(&mut self, now: Timestamp, spec: &Rc<JobSpec>) {
        if total_cpus(spec) > total_cpus(&self.largest_job) {
            self.largest_job = Rc::clone(spec);
        }
        self.recent.push_back(Arrival { at: now, tasks: spec.task_count });
        while self.has_expired(now) {
            self.recent.pop_front();
        }
    }

    /// Whether the oldest arrival has left the window or exceeds the maximum number of arrivals.
    fn has_expired(&self, now: Timestamp) -> bool {
        self.recent.len() > MAX_ARRIVALS_PER_CLASS
            || self.recent.front().is_some_and(|oldest| now.since(oldest.at) > ARRIVAL_WINDOW)
    }
}

/// CPUs that all tasks of a job need together, in thousandths of a CPU.
fn total_cpus(spec: &JobSpec) -> u64 {
    u64::from(spec.task_count) * spec.resources.cpus
}

/// Recent arrivals of all classes since the leader's election.
#[derive(Debug, Default)]
pub struct Arrivals {
    classes: BTreeMap<String, ClassArrivals>,
}

impl Arrivals {
    /// Records the submission of a job.
    pub fn record(&mut self, now: Timestamp, spec: &Rc<JobSpec>) {
        let class = self.classes.entry(spec.class.clone());
        class.or_insert_with(|| ClassArrivals::new(now, spec)).add(now, spec);
    }

    /// All classes in which a job has been submitted since the leader's election, in order of name.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &ClassArrivals)> {
        self.classes.iter().map(|(name, class)| (name.as_str(), class))
    }
}

#[cfg(test)]
mod tests;
