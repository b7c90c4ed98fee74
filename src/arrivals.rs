//! How often jobs of each class come, so that room can be kept for those that must start at once.

use crate::jobs::JobSpec;
use crate::types::{Duration, Timestamp};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// What is older says nothing of the next minute.
const WINDOW: Duration = Duration::from_secs(120);
/// Jobs remembered of one class.
const REMEMBERED: usize = 256;

/// One job's coming.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at: Timestamp,
    tasks: u32,
}

/// What came of one class lately.
#[derive(Debug)]
pub struct ClassArrivals {
    lately: VecDeque<Arrival>,
    /// The one of its jobs whose tasks take most together.
    largest: Rc<JobSpec>,
    since: Timestamp,
}

impl ClassArrivals {
    /// A job like those that come, the largest that was seen.
    pub fn largest(&self) -> &JobSpec {
        &self.largest
    }

    /// Tasks that are likely to come within this time.
    pub fn expected_tasks(&self, now: Timestamp, within: Duration) -> f64 {
        let window = now
            .since(self.since)
            .as_millis()
            .clamp(within.as_millis().max(1), WINDOW.as_millis().max(within.as_millis()));
        let recent = self.lately.iter().filter(|a| now.since(a.at).as_millis() < window);
        let tasks: u64 = recent.map(|a| u64::from(a.tasks)).sum();
        tasks as f64 * within.as_millis() as f64 / window as f64
    }
}

/// What came lately, by class.
#[derive(Debug, Default)]
pub struct Arrivals {
    classes: BTreeMap<String, ClassArrivals>,
}

impl Arrivals {
    /// A job has come.
    pub fn note(&mut self, now: Timestamp, record: &Rc<JobSpec>) {
        let class = self.classes.entry(record.class.clone()).or_insert_with(|| ClassArrivals {
            lately: VecDeque::new(),
            largest: record.clone(),
            since: now,
        });
        let size = |r: &JobSpec| u64::from(r.task_count) * r.resources.cpus;
        if size(record) > size(&class.largest) {
            class.largest = record.clone();
        }
        class.lately.push_back(Arrival { at: now, tasks: record.task_count });
        while class.lately.len() > REMEMBERED || class.lately.front().is_some_and(|a| now.since(a.at) > WINDOW) {
            class.lately.pop_front();
        }
    }

    /// All classes of which a job has come in this term.
    pub fn classes(&self) -> impl Iterator<Item = (&str, &ClassArrivals)> {
        self.classes.iter().map(|(name, class)| (name.as_str(), class))
    }
}

#[cfg(test)]
mod tests;
