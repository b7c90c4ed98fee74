//! Measures the demand and the admitted submissions of each pair of team and class.

use crate::decay;
use crate::submission::{Cost, OTHER_CLASSES, TeamClassPair};
use caperstile_types::{Duration, Timestamp};
use std::collections::BTreeMap;

/// Time constant of the moving rates: a submission of this age has a weight of 1/e.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// Time without submissions after which a pair is removed.
const RETENTION: Duration = Duration::from_secs(120);
/// Maximum number of pairs that are measured separately. Further pairs share one entry per team, which has the class
/// [`OTHER_CLASSES`].
const MAX_PAIRS: usize = 4_096;
/// Maximum number of classes of one team that are measured separately; further classes share the team's entry.
const MAX_CLASSES_PER_TEAM: usize = 32;

/// Demand and admitted submissions of one pair.
#[derive(Debug, Clone)]
pub(crate) struct PairDemand {
    /// Cost per second of all submissions, admitted or refused.
    pub(crate) demanded: f64,
    /// Tasks per second of all submissions, admitted or refused.
    pub(crate) demanded_tasks: f64,
    /// Cost per second of the admitted submissions.
    pub(crate) admitted: f64,
    /// Time of the last admitted submission; `None` if none has been admitted.
    pub(crate) last_admitted_at: Option<Timestamp>,
    last_demanded_at: Timestamp,
}

/// Measures the demand of all pairs.
///
/// The leader sees the submissions that followers forward; followers report those that they refuse. Memory use is
/// bounded for any number of distinct team and class names that users submit.
#[derive(Debug, Default)]
pub struct DemandMeter {
    pairs: BTreeMap<TeamClassPair, PairDemand>,
    decayed_at: Timestamp,
}

impl DemandMeter {
    /// Returns the pair under which submissions of `pair` are measured: itself, or the team's shared entry once a
    /// maximum is reached.
    fn tracked_pair(&self, pair: &TeamClassPair) -> TeamClassPair {
        let can_track = || self.pairs.len() < MAX_PAIRS && self.class_count(&pair.team) < MAX_CLASSES_PER_TEAM;
        if self.pairs.contains_key(pair) || can_track() {
            pair.clone()
        } else {
            TeamClassPair::new(&pair.team, OTHER_CLASSES)
        }
    }

    fn class_count(&self, team: &str) -> usize {
        let from = TeamClassPair::new(team, OTHER_CLASSES);
        self.pairs.range(from..).take_while(|(pair, _)| pair.team == team).count()
    }

    fn entry(&mut self, now: Timestamp, pair: &TeamClassPair) -> &mut PairDemand {
        let empty = PairDemand {
            demanded: 0.0,
            demanded_tasks: 0.0,
            admitted: 0.0,
            last_admitted_at: None,
            last_demanded_at: now,
        };
        let key = self.tracked_pair(pair);
        self.pairs.entry(key).or_insert(empty)
    }

    /// Records submissions of `jobs` jobs with `tasks` tasks in total, which arrived at this node or were refused by
    /// another node.
    pub fn record_demand(&mut self, now: Timestamp, pair: &TeamClassPair, jobs: u32, tasks: u32) {
        let entry = self.entry(now, pair);
        entry.last_demanded_at = now;
        entry.demanded += Cost::of_jobs(jobs, tasks).0 / TIME_CONSTANT.as_secs_f64();
        entry.demanded_tasks += f64::from(tasks) / TIME_CONSTANT.as_secs_f64();
    }

    /// Records that a submission of this pair was admitted.
    pub fn record_admitted(&mut self, now: Timestamp, pair: &TeamClassPair, tasks: u32) {
        let entry = self.entry(now, pair);
        entry.last_admitted_at = Some(now);
        entry.admitted += Cost::of_jobs(1, tasks).0 / TIME_CONSTANT.as_secs_f64();
    }

    /// Decays all rates to the time `now` and removes pairs without recent submissions.
    pub fn decay(&mut self, now: Timestamp) {
        let factor = decay::remaining_weight(now.since(self.decayed_at), TIME_CONSTANT);
        self.decayed_at = now;
        for pair in self.pairs.values_mut() {
            pair.demanded *= factor;
            pair.demanded_tasks *= factor;
            pair.admitted *= factor;
        }
        self.pairs.retain(|_, pair| now.since(pair.last_demanded_at) < RETENTION);
    }

    /// Returns the cost per second of all submissions of all pairs.
    pub fn demanded_rate(&self) -> f64 {
        self.pairs.values().map(|pair| pair.demanded).sum()
    }

    /// Returns the cost per second of the admitted submissions of all pairs.
    pub fn admitted_rate(&self) -> f64 {
        self.pairs.values().map(|pair| pair.admitted).sum()
    }

    pub(crate) fn pairs(&self) -> impl Iterator<Item = (&TeamClassPair, &PairDemand)> {
        self.pairs.iter()
    }

    pub(crate) fn pair(&self, pair: &TeamClassPair) -> Option<&PairDemand> {
        self.pairs.get(pair)
    }
}
