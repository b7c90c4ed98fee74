//! Predicts how long jobs of a pair wait for machines, and derives the rate of tasks that may be admitted.

use crate::decay;
use crate::submission::TeamClassPair;
use caperstile_types::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Time constant of the moving start rates: a start of this age has a weight of 1/e.
const TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Minimum age of a pair's oldest job without a started task for its pending tasks to count as a backlog.
const MIN_BACKLOG_AGE: Duration = Duration::from_secs(8);
/// The minimum age that applies instead of [`MIN_BACKLOG_AGE`] while the start rate is below [`MIN_START_RATE`],
/// because instances may still be booting for these tasks.
const MIN_BACKLOG_AGE_WHILE_BOOTING: Duration = Duration::from_secs(45);
/// Tasks per second below which [`MIN_BACKLOG_AGE_WHILE_BOOTING`] applies.
const MIN_START_RATE: f64 = 0.5;
/// Share of the maximum wait below which the predicted wait does not limit admission.
const LIMIT_THRESHOLD: f64 = 0.5;

/// The backlog of one pair of team and class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PairBacklog {
    /// Number of pending tasks.
    pub pending_tasks: u64,
    /// Submission time of the oldest job that has neither running nor finished tasks; `None` if there is no such job.
    pub oldest_submitted_at: Option<Timestamp>,
    /// Time for which the pair's jobs may wait for machines.
    pub max_wait: Duration,
}

/// Measures the rate of task starts of each pair and predicts how long the tasks of a new job wait for machines.
#[derive(Debug, Default)]
pub struct BacklogMeter {
    start_rates: BTreeMap<TeamClassPair, f64>,
    backlogs: BTreeMap<TeamClassPair, PairBacklog>,
    decayed_at: Timestamp,
}

impl BacklogMeter {
    /// Records the start of one task of this pair.
    pub fn record_start(&mut self, pair: &TeamClassPair) {
        let rate = 1.0 / TIME_CONSTANT.as_secs_f64();
        match self.start_rates.get_mut(pair) {
            Some(start_rate) => *start_rate += rate,
            None => {
                self.start_rates.insert(pair.clone(), rate);
            }
        }
    }

    /// Replaces the backlogs of all pairs by `backlogs`, which contains every pair that has pending tasks, and decays
    /// the start rates to the time `now`.
    pub fn observe(&mut self, now: Timestamp, backlogs: BTreeMap<TeamClassPair, PairBacklog>) {
        let factor = decay::remaining_weight(now.since(self.decayed_at), TIME_CONSTANT);
        self.decayed_at = now;
        self.start_rates.values_mut().for_each(|start_rate| *start_rate *= factor);
        self.start_rates.retain(|pair, start_rate| *start_rate > 0.001 || backlogs.contains_key(pair));
        self.backlogs = backlogs;
    }

    /// Predicts how long the tasks of a new job wait for machines, from the number of pending tasks and the start rate.
    /// Without any starts the prediction is the maximum duration. Returns `None` without a backlog.
    pub fn predicted_wait(&self, now: Timestamp, pair: &TeamClassPair) -> Option<Duration> {
        let backlog = self.backlogs.get(pair)?;
        let start_rate = self.start_rates.get(pair).copied().unwrap_or(0.0);
        let min_age = if start_rate < MIN_START_RATE { MIN_BACKLOG_AGE_WHILE_BOOTING } else { MIN_BACKLOG_AGE };
        let has_backlog = backlog.oldest_submitted_at.is_some_and(|oldest| now.since(oldest) >= min_age);
        has_backlog.then(|| Duration::from_secs_f64(backlog.pending_tasks as f64 / start_rate))
    }

    /// Returns the tasks per second of a pair that may be admitted so that the predicted wait converges to the maximum
    /// wait; `None` if the rate is not limited.
    pub fn admissible_task_rate(&self, now: Timestamp, pair: &TeamClassPair) -> Option<f64> {
        let wait = self.predicted_wait(now, pair)?.as_secs_f64();
        let max_wait = self.backlogs.get(pair)?.max_wait.as_secs_f64();
        if wait < max_wait * LIMIT_THRESHOLD {
            return None;
        }
        let start_rate = self.start_rates.get(pair).copied().unwrap_or(0.0);
        Some(start_rate * max_wait / wait)
    }
}
