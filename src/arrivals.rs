//! How often jobs of each class are submitted, so that room can be kept for those that must start at once.

use crate::jobs::JobSpec;
use crate::types::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Arrivals count for this time; what is older says nothing of the next minute.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(120);
/// Most arrivals remembered of one class.
const MAX_ARRIVALS_PER_CLASS: usize = 256;

/// The arrival of one job.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Timestamp,
    tasks: u32,
}

/// Recent arrivals of one class.
#[derive(Debug)]
pub struct ClassArrivals {
    recent: VecDeque<Arrival>,
    /// The one of its jobs whose tasks take most CPUs together.
    largest_job: Rc<JobSpec>,
    first_at: Timestamp,
}

impl ClassArrivals {
    fn new(now: Timestamp, spec: &Rc<JobSpec>) -> ClassArrivals {
        ClassArrivals { recent: VecDeque::new(), largest_job: Rc::clone(spec), first_at: now }
    }

    /// The largest job of the class so far.
    #[must_use]
    pub fn largest_job(&self) -> &JobSpec {
        &self.largest_job
    }

    /// Tasks that are likely to come within this time, by the rate of the last two minutes, or since the first job.
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

    /// Whether the oldest arrival counts no more.
    fn has_expired(&self, now: Timestamp) -> bool {
        self.recent.len() > MAX_ARRIVALS_PER_CLASS
            || self.recent.front().is_some_and(|oldest| now.since(oldest.at) > ARRIVAL_WINDOW)
    }
}

/// CPUs (in thousandths) that all tasks of a job take together.
fn total_cpus(spec: &JobSpec) -> u64 {
    u64::from(spec.task_count) * spec.resources.cpus
}

/// Recent arrivals of all classes.
#[derive(Debug, Default)]
pub struct Arrivals {
    classes: BTreeMap<String, ClassArrivals>,
}

impl Arrivals {
    /// Notes that a job was submitted.
    pub fn record(&mut self, now: Timestamp, spec: &Rc<JobSpec>) {
        let class = self.classes.entry(spec.class.clone());
        class.or_insert_with(|| ClassArrivals::new(now, spec)).add(now, spec);
    }

    /// All classes of which a job has come since the election.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &ClassArrivals)> {
        self.classes.iter().map(|(name, class)| (name.as_str(), class))
    }
}

#[cfg(test)]
mod tests;
