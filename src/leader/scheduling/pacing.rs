//! Pacing: determines how often rounds of planning run and how many machines each evaluates, so that planning leaves a
//! busy controller enough time for heartbeats and requests.

use crate::types::Duration;

/// Minimum interval between two rounds of planning. A controller has only a tenth of a core.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum of the interval to which input delay extends `MIN_ROUND_INTERVAL`, so that an overloaded node still plans.
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(1000);
/// Minimum interval between two rounds of provisioning.
const MIN_PROVISIONING_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum of the interval to which input delay extends `MIN_PROVISIONING_INTERVAL`, so that an overloaded node still
/// provisions.
const MAX_PROVISIONING_INTERVAL: Duration = Duration::from_millis(3000);
/// Pause after a slow round of planning, as a multiple of that round's duration, in which heartbeats and users'
/// requests are handled however much there is to plan. Without it, a flood of jobs caused back-to-back rounds of half a
/// second, and the leader lost its lease.
const PAUSE_PER_ROUND_DURATION: u64 = 2;
/// Intervals between rounds grow by this multiple of the input delay.
const INTERVAL_INCREASE_PER_INPUT_DELAY: u64 = 2;
/// Number of machine evaluations in a full round, over all jobs. With short queues they take a few milliseconds.
const EVALUATIONS_PER_ROUND: usize = 20_000;
/// Minimum number of jobs whose tasks can be evaluated on all machines in a full round. In fleets of more than 2,000
/// machines this takes more than `EVALUATIONS_PER_ROUND` evaluations, so the number of evaluations is raised.
const MIN_JOBS_PER_FULL_ROUND: usize = 10;
/// A round that takes longer than this reduces the evaluation budget of the next one. With full queues, an evaluation
/// costs many times as much as with short ones.
const TARGET_ROUND_DURATION: Duration = Duration::from_millis(150);
/// Lower limit of the fraction of a full round's evaluations to which slow rounds reduce the budget.
const MIN_EVALUATION_SHARE: f64 = 0.02;
/// Factor by which that fraction grows after each round that stayed within `TARGET_ROUND_DURATION`.
const EVALUATION_SHARE_GROWTH: f64 = 1.25;

/// Controls the interval between rounds and the evaluation budget of a round.
#[derive(Debug)]
pub(crate) struct Pacing {
    /// How long inputs currently wait in the controller's queue. Intervals grow with it, so that heartbeats and users'
    /// requests take precedence over planning.
    pub(crate) input_delay: Duration,
    /// Duration of the last round if it was slow enough to be recorded; else zero.
    last_round_duration: Duration,
    /// Fraction of a full round's evaluations that the next round may make.
    evaluation_share: f64,
}

impl Default for Pacing {
    fn default() -> Self {
        Pacing { input_delay: Duration::ZERO, last_round_duration: Duration::ZERO, evaluation_share: 1.0 }
    }
}

impl Pacing {
    /// Records the duration of a slow input as that of the last round: only inputs that ran a round of planning are
    /// slow.
    pub(crate) fn note_slow_input(&mut self, duration: Duration) {
        self.last_round_duration = duration;
    }

    /// Minimum interval between the beginnings of two rounds of planning.
    pub(super) fn round_interval(&self) -> Duration {
        let paced = self.scaled_by_input_delay(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL);
        let round_and_pause_ms = self.last_round_duration.as_millis() * (1 + PAUSE_PER_ROUND_DURATION);
        paced.max(Duration::from_millis(round_and_pause_ms))
    }

    /// Minimum interval between the beginnings of two rounds of provisioning.
    pub(super) fn provisioning_interval(&self) -> Duration {
        self.scaled_by_input_delay(MIN_PROVISIONING_INTERVAL, MAX_PROVISIONING_INTERVAL)
    }

    /// Extends `min_interval` in proportion to the input delay, up to `max_interval`.
    fn scaled_by_input_delay(&self, min_interval: Duration, max_interval: Duration) -> Duration {
        let scaled_ms = min_interval.as_millis() + INTERVAL_INCREASE_PER_INPUT_DELAY * self.input_delay.as_millis();
        Duration::from_millis(scaled_ms).min(max_interval)
    }

    /// Adjusts the evaluation budget to the duration of the last round, at the beginning of a new one.
    pub(super) fn begin_round(&mut self) {
        let overrun = self.last_round_duration.as_millis() as f64 / TARGET_ROUND_DURATION.as_millis() as f64;
        self.evaluation_share = if overrun > 1.0 {
            (self.evaluation_share / overrun).max(MIN_EVALUATION_SHARE)
        } else {
            (self.evaluation_share * EVALUATION_SHARE_GROWTH).min(1.0)
        };
        self.last_round_duration = Duration::ZERO;
    }

    /// Number of machine evaluations that this round may make in a fleet of `machine_count` machines.
    pub(super) fn evaluation_budget(&self, machine_count: usize) -> usize {
        let full_round = EVALUATIONS_PER_ROUND.max(MIN_JOBS_PER_FULL_ROUND * machine_count);
        // The caller spends one half on jobs of the highest priority and the other half on the remaining ones, so at
        // least one evaluation is left for each half.
        ((full_round as f64 * self.evaluation_share) as usize).max(2)
    }
}

#[cfg(test)]
mod tests;
