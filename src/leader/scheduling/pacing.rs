//! How often rounds of planning come, and how much each looks at, so that planning never takes a busy controller's whole time.

use crate::types::Duration;

/// Least time between two plannings: a controller has a tenth of a core.
const SCHEDULE_EVERY: Duration = Duration::from_millis(100);
/// Least time between two looks at what to rent and return.
const DEMAND_EVERY: Duration = Duration::from_millis(500);
/// However far behind a node is, it plans at least this often, and looks at everything at least that often.
const SCHEDULE_EVERY_AT_MOST: u64 = 1000;
const DEMAND_EVERY_AT_MOST: u64 = 3000;
/// A round of planning is followed by so many times as much for everything else: reports and users must not wait behind planning,
/// whatever there is to plan. A flood of jobs made rounds of half a second, one after the other; the leader lost its lease.
const REST_AFTER_ROUND: u64 = 2;
/// Machines that a round of planning looks at, over all jobs: a few milliseconds with short queues.
const LOOKS: usize = 20_000;
/// Or, in a fleet of more than 2,000 machines, so many jobs' looks at all of them.
const JOBS_LOOKED_AT: usize = 10;
/// A round that takes longer than this is followed by one that looks at fewer machines: with full queues a look costs many times as much.
const ROUND_TARGET: Duration = Duration::from_millis(150);
/// The share of the looks of a full round that is left at the least, and its growth after each round that was quick enough.
const LEAST_LOOK_SHARE: f64 = 0.02;
const LOOK_SHARE_GROWTH: f64 = 1.25;

/// When the next round is due and how large it may be.
#[derive(Debug)]
pub(crate) struct Pacing {
    /// So long inputs wait: planning does less then, so that reports and users come first.
    pub(crate) behind: Duration,
    /// How long the last round took, if it was slow.
    round_took: Duration,
    look_share: f64,
}

impl Default for Pacing {
    fn default() -> Self {
        Pacing { behind: Duration::ZERO, round_took: Duration::ZERO, look_share: 1.0 }
    }
}

impl Pacing {
    /// The last input took so long. Only rounds are slow.
    pub(crate) fn spent(&mut self, took: Duration) {
        self.round_took = took;
    }

    /// Least time from one round to the next.
    pub(super) fn schedule_every(&self) -> Duration {
        let paced = (SCHEDULE_EVERY.as_millis() + 2 * self.behind.as_millis()).min(SCHEDULE_EVERY_AT_MOST);
        Duration::from_millis(paced.max(self.round_took.as_millis() * (1 + REST_AFTER_ROUND)))
    }

    /// Least time between two looks at what to rent and return.
    pub(super) fn demand_every(&self) -> Duration {
        Duration::from_millis((DEMAND_EVERY.as_millis() + 2 * self.behind.as_millis()).min(DEMAND_EVERY_AT_MOST))
    }

    /// A round begins: its size follows from the time that the last one took.
    pub(super) fn begin_round(&mut self) {
        let too_long = self.round_took.as_millis() as f64 / ROUND_TARGET.as_millis() as f64;
        self.look_share = match too_long > 1.0 {
            true => (self.look_share / too_long).max(LEAST_LOOK_SHARE),
            false => (self.look_share * LOOK_SHARE_GROWTH).min(1.0),
        };
        self.round_took = Duration::ZERO;
    }

    /// How many machines this round looks at, in a fleet of so many.
    pub(super) fn looks(&self, servers: usize) -> usize {
        let full = LOOKS.max(JOBS_LOOKED_AT * servers);
        // Half of them are for the most important jobs, half for the others: one each at the least.
        ((full as f64 * self.look_share) as usize).max(2)
    }
}

#[cfg(test)]
mod tests;
