//! How often rounds of planning come, and how much each looks at, so that planning never takes a busy controller's whole time.

use crate::types::Duration;

/// Least time between two plannings: a controller has a tenth of a core.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Least time between two looks at what to rent and return.
const MIN_PROVISIONING_INTERVAL: Duration = Duration::from_millis(500);
/// However far behind a node is, it plans at least this often, and looks at everything at least that often.
const MAX_ROUND_INTERVAL: u64 = 1000;
const MAX_PROVISIONING_INTERVAL: u64 = 3000;
/// A round of planning is followed by so many times as much for everything else: reports and users must not wait behind planning,
/// whatever there is to plan. A flood of jobs made rounds of half a second, one after the other; the leader lost its lease.
const REST_PER_ROUND_TIME: u64 = 2;
/// Machines that a round of planning looks at, over all jobs: a few milliseconds with short queues.
const EVALUATIONS_PER_ROUND: usize = 20_000;
/// Or, in a fleet of more than 2,000 machines, so many jobs' looks at all of them.
const MIN_FULL_JOB_EVALUATIONS: usize = 10;
/// A round that takes longer than this is followed by one that looks at fewer machines: with full queues a look costs many times as much.
const TARGET_ROUND_DURATION: Duration = Duration::from_millis(150);
/// The share of the looks of a full round that is left at the least, and its growth after each round that was quick enough.
const MIN_EVALUATION_SHARE: f64 = 0.02;
const EVALUATION_SHARE_GROWTH: f64 = 1.25;

/// When the next round is due and how large it may be.
#[derive(Debug)]
pub(crate) struct Pacing {
    /// So long inputs wait: planning does less then, so that reports and users come first.
    pub(crate) input_delay: Duration,
    /// How long the last round took, if it was slow.
    last_round_duration: Duration,
    evaluation_share: f64,
}

impl Default for Pacing {
    fn default() -> Self {
        Pacing { input_delay: Duration::ZERO, last_round_duration: Duration::ZERO, evaluation_share: 1.0 }
    }
}

impl Pacing {
    /// The last input took so long. Only rounds are slow.
    pub(crate) fn note_slow_input(&mut self, took: Duration) {
        self.last_round_duration = took;
    }

    /// Least time from one round to the next.
    pub(super) fn round_interval(&self) -> Duration {
        let paced = (MIN_ROUND_INTERVAL.as_millis() + 2 * self.input_delay.as_millis()).min(MAX_ROUND_INTERVAL);
        Duration::from_millis(paced.max(self.last_round_duration.as_millis() * (1 + REST_PER_ROUND_TIME)))
    }

    /// Least time between two looks at what to rent and return.
    pub(super) fn provisioning_interval(&self) -> Duration {
        Duration::from_millis(
            (MIN_PROVISIONING_INTERVAL.as_millis() + 2 * self.input_delay.as_millis()).min(MAX_PROVISIONING_INTERVAL),
        )
    }

    /// A round begins: its size follows from the time that the last one took.
    pub(super) fn begin_round(&mut self) {
        let too_long = self.last_round_duration.as_millis() as f64 / TARGET_ROUND_DURATION.as_millis() as f64;
        self.evaluation_share = match too_long > 1.0 {
            true => (self.evaluation_share / too_long).max(MIN_EVALUATION_SHARE),
            false => (self.evaluation_share * EVALUATION_SHARE_GROWTH).min(1.0),
        };
        self.last_round_duration = Duration::ZERO;
    }

    /// How many machines this round looks at, in a fleet of so many.
    pub(super) fn evaluation_budget(&self, servers: usize) -> usize {
        let full = EVALUATIONS_PER_ROUND.max(MIN_FULL_JOB_EVALUATIONS * servers);
        // Half of them are for the most important jobs, half for the others: one each at the least.
        ((full as f64 * self.evaluation_share) as usize).max(2)
    }
}

#[cfg(test)]
mod tests;
