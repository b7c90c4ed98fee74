//! How often rounds of planning come, and how much each looks at, so that planning never takes a busy controller's
//! whole time.

use crate::types::Duration;

/// Least time between two rounds of planning: a controller has a tenth of a core.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// However far behind a node is, it plans at least this often.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(1000);
/// Least time between two rounds of provisioning.
const MIN_PROVISIONING_INTERVAL: Duration = Duration::from_millis(500);
/// However far behind a node is, it provisions at least this often.
const MAX_PROVISIONING_INTERVAL: Duration = Duration::from_millis(3000);
/// A round of planning is followed by so many times as much for everything else: heartbeats and users must not wait behind planning,
/// whatever there is to plan. A flood of jobs made rounds of half a second, one after the other; the leader lost its lease.
const PAUSE_PER_ROUND_DURATION: u64 = 2;
/// Intervals grow by so many times the delay of inputs.
const INTERVAL_INCREASE_PER_INPUT_DELAY: u64 = 2;
/// Machines that a round of planning rates, over all jobs: a few milliseconds with short queues.
const EVALUATIONS_PER_ROUND: usize = 20_000;
/// Or, in a fleet of more than 2,000 machines, so many jobs' ratings of all of them.
const MIN_JOBS_PER_FULL_ROUND: usize = 10;
/// A round that takes longer than this is followed by one that rates fewer machines: with full queues a rating costs many times as much.
const TARGET_ROUND_DURATION: Duration = Duration::from_millis(150);
/// The share of a full round's ratings that is left at the least.
const MIN_EVALUATION_SHARE: f64 = 0.02;
/// The growth of that share after each round that was quick enough.
const EVALUATION_SHARE_GROWTH: f64 = 1.25;

/// When the next round is due and how large it may be.
#[derive(Debug)]
pub(crate) struct Pacing {
    /// So long inputs wait: planning does less then, so that heartbeats and users come first.
    pub(crate) input_delay: Duration,
    /// How long the last round took, if it was slow.
    last_round_duration: Duration,
    /// The share of a full round's ratings that the next one may make.
    evaluation_share: f64,
}

impl Default for Pacing {
    fn default() -> Self {
        Pacing { input_delay: Duration::ZERO, last_round_duration: Duration::ZERO, evaluation_share: 1.0 }
    }
}

impl Pacing {
    /// The last input took so long. Only rounds are slow.
    pub(crate) fn note_slow_input(&mut self, duration: Duration) {
        self.last_round_duration = duration;
    }

    /// Least time from one round to the next.
    pub(super) fn round_interval(&self) -> Duration {
        let paced = self.scaled_by_input_delay(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL);
        let round_and_pause_ms = self.last_round_duration.as_millis() * (1 + PAUSE_PER_ROUND_DURATION);
        paced.max(Duration::from_millis(round_and_pause_ms))
    }

    /// Least time between two rounds of provisioning.
    pub(super) fn provisioning_interval(&self) -> Duration {
        self.scaled_by_input_delay(MIN_PROVISIONING_INTERVAL, MAX_PROVISIONING_INTERVAL)
    }

    /// An interval, longer the longer inputs wait.
    fn scaled_by_input_delay(&self, min_interval: Duration, max_interval: Duration) -> Duration {
        let scaled_ms = min_interval.as_millis() + INTERVAL_INCREASE_PER_INPUT_DELAY * self.input_delay.as_millis();
        Duration::from_millis(scaled_ms).min(max_interval)
    }

    /// A round begins: its size follows from the time that the last one took.
    pub(super) fn begin_round(&mut self) {
        let overrun = self.last_round_duration.as_millis() as f64 / TARGET_ROUND_DURATION.as_millis() as f64;
        self.evaluation_share = if overrun > 1.0 {
            (self.evaluation_share / overrun).max(MIN_EVALUATION_SHARE)
        } else {
            (self.evaluation_share * EVALUATION_SHARE_GROWTH).min(1.0)
        };
        self.last_round_duration = Duration::ZERO;
    }

    /// How many machines this round rates, in a fleet of so many.
    pub(super) fn evaluation_budget(&self, machine_count: usize) -> usize {
        let full_round = EVALUATIONS_PER_ROUND.max(MIN_JOBS_PER_FULL_ROUND * machine_count);
        // Half of them are for the most important jobs, half for the others: one each at the least.
        ((full_round as f64 * self.evaluation_share) as usize).max(2)
    }
}

#[cfg(test)]
mod tests;
