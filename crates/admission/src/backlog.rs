//! How long the jobs of a pair wait for machines, and what that leaves to be admitted.

use crate::decay;
use crate::submission::TeamClassPair;
use caperstile_types::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Starts this long ago count 1/e of those now.
const TIME_CONSTANT: Duration = Duration::from_secs(20);
/// Before anything has waited for so long there is no backlog.
const SETTLED: Duration = Duration::from_secs(8);
/// The same while hardly anything is started: machines are still booting.
const BOOTING: Duration = Duration::from_secs(45);
/// Tasks per second below which hardly anything is started.
const FEW_STARTS: f64 = 0.5;
/// Below this part of the longest wait nothing is limited.
const LIMITED_FROM: f64 = 0.5;

/// What waits of one pair.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PairBacklog {
    /// Tasks that wait for a machine.
    pub pending_tasks: u64,
    /// When the oldest job of which nothing has begun was submitted.
    pub oldest_submitted_at: Option<Timestamp>,
    /// How long its jobs may wait for machines.
    pub max_wait: Duration,
}

/// Meters the starts of each pair and predicts how long a job that comes now will wait.
#[derive(Debug, Default)]
pub struct BacklogMeter {
    starts: BTreeMap<TeamClassPair, f64>,
    waiting: BTreeMap<TeamClassPair, PairBacklog>,
    decayed_at: Timestamp,
}

impl BacklogMeter {
    /// A task of this pair was started.
    pub fn record_start(&mut self, pair: &TeamClassPair) {
        let rate = 1.0 / TIME_CONSTANT.as_secs_f64();
        match self.starts.get_mut(pair) {
            Some(starts) => *starts += rate,
            None => {
                self.starts.insert(pair.clone(), rate);
            }
        }
    }

    /// What waits now, of all pairs that have anything waiting.
    pub fn observe(&mut self, now: Timestamp, waiting: BTreeMap<TeamClassPair, PairBacklog>) {
        let kept = decay::kept(now.since(self.decayed_at), TIME_CONSTANT);
        self.decayed_at = now;
        self.starts.values_mut().for_each(|starts| *starts *= kept);
        self.starts.retain(|pair, starts| *starts > 0.001 || waiting.contains_key(pair));
        self.waiting = waiting;
    }

    /// How long the tasks of a job that comes now are predicted to wait; `None` without a backlog.
    pub fn predicted_wait(&self, now: Timestamp, pair: &TeamClassPair) -> Option<Duration> {
        let backlog = self.waiting.get(pair)?;
        let starts = self.starts.get(pair).copied().unwrap_or(0.0);
        let settles_in = if starts < FEW_STARTS { BOOTING } else { SETTLED };
        let settled = backlog.oldest_submitted_at.is_some_and(|oldest| now.since(oldest) >= settles_in);
        settled.then(|| Duration::from_secs_f64(backlog.pending_tasks as f64 / starts))
    }

    /// Tasks per second that may be admitted of a pair, so that its jobs come to wait for as long as they may; `None`: all.
    pub fn admissible(&self, now: Timestamp, pair: &TeamClassPair) -> Option<f64> {
        let wait = self.predicted_wait(now, pair)?.as_secs_f64();
        let longest = self.waiting.get(pair)?.max_wait.as_secs_f64();
        if wait < longest * LIMITED_FROM {
            return None;
        }
        let starts = self.starts.get(pair).copied().unwrap_or(0.0);
        Some(starts * longest / wait)
    }
}
