//! How much each pair asks for and gets.

use crate::decay;
use crate::submission::{Cost, OTHER_CLASSES, TeamClassPair};
use caperstile_types::{Duration, Timestamp};
use std::collections::BTreeMap;

/// What a pair did this long ago counts 1/e of what it does now.
const TIME_CONSTANT: Duration = Duration::from_secs(5);
/// A pair that has asked for nothing for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);
/// Pairs that are kept apart, and classes of one team; what comes beyond shares an entry of its team.
const MOST_PAIRS: usize = 4_096;
const MOST_CLASSES: usize = 32;

/// What one pair asked for and got.
#[derive(Debug, Clone)]
pub(crate) struct PairDemand {
    /// Cost per second that it asks for.
    pub(crate) demanded: f64,
    /// Tasks per second that it asks for.
    pub(crate) demanded_tasks: f64,
    /// Cost per second that was admitted.
    pub(crate) admitted: f64,
    /// When one of its submissions was admitted last.
    pub(crate) admitted_at: Option<Timestamp>,
    asked_at: Timestamp,
}

/// Meters the demand of all pairs.
///
/// The leader sees what followers have not refused, and they report what they have. Memory is bounded whatever names are invented.
#[derive(Debug, Default)]
pub struct DemandMeter {
    pairs: BTreeMap<TeamClassPair, PairDemand>,
    decayed_at: Timestamp,
}

impl DemandMeter {
    fn key(&self, pair: &TeamClassPair) -> TeamClassPair {
        let room = || self.pairs.len() < MOST_PAIRS && self.classes_of(&pair.team) < MOST_CLASSES;
        if self.pairs.contains_key(pair) || room() {
            pair.clone()
        } else {
            TeamClassPair::new(&pair.team, OTHER_CLASSES)
        }
    }

    fn classes_of(&self, team: &str) -> usize {
        let from = TeamClassPair::new(team, OTHER_CLASSES);
        self.pairs.range(from..).take_while(|(pair, _)| pair.team == team).count()
    }

    fn entry(&mut self, now: Timestamp, pair: &TeamClassPair) -> &mut PairDemand {
        let fresh = PairDemand { demanded: 0.0, demanded_tasks: 0.0, admitted: 0.0, admitted_at: None, asked_at: now };
        let key = self.key(pair);
        self.pairs.entry(key).or_insert(fresh)
    }

    /// Submissions of this pair arrived here, or were refused by another node: so many jobs, with so many tasks all together.
    pub fn asked(&mut self, now: Timestamp, pair: &TeamClassPair, jobs: u32, tasks: u32) {
        let entry = self.entry(now, pair);
        entry.asked_at = now;
        entry.demanded += Cost::of_jobs(jobs, tasks).0 / TIME_CONSTANT.as_secs_f64();
        entry.demanded_tasks += f64::from(tasks) / TIME_CONSTANT.as_secs_f64();
    }

    /// A submission of this pair was admitted.
    pub fn admitted(&mut self, now: Timestamp, pair: &TeamClassPair, tasks: u32) {
        let entry = self.entry(now, pair);
        entry.admitted_at = Some(now);
        entry.admitted += Cost::of_jobs(1, tasks).0 / TIME_CONSTANT.as_secs_f64();
    }

    /// Lets time pass.
    pub fn decay(&mut self, now: Timestamp) {
        let kept = decay::kept(now.since(self.decayed_at), TIME_CONSTANT);
        self.decayed_at = now;
        for pair in self.pairs.values_mut() {
            pair.demanded *= kept;
            pair.demanded_tasks *= kept;
            pair.admitted *= kept;
        }
        self.pairs.retain(|_, pair| now.since(pair.asked_at) < FORGET_AFTER);
    }

    /// Cost per second that all pairs ask for.
    pub fn demanded(&self) -> f64 {
        self.pairs.values().map(|pair| pair.demanded).sum()
    }

    /// Cost per second that was admitted of all pairs.
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
