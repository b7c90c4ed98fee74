//! The leader's side: demand and capacity in, numbered tables out.

use crate::backlog::{BacklogMeter, PairBacklog};
use crate::capacity::{CapacityRegulator, FLOOR, Utilization};
use crate::demand::{DemandMeter, PairDemand};
use crate::fair_share::{Claim, max_min};
use crate::policy::{AdmissionPolicy, BacklogBound};
use crate::report::DemandReport;
use crate::submission::{OTHER_CLASSES, Submission, TeamClassPair};
use crate::table::{AdmissionTable, DRAW_LENGTH, Decision, Ratio, TableEntry, TableNumber};
use caperstile_types::{Duration, FencingToken, JobId, Timestamp};
use roaring::RoaringTreemap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// How often a table is made while something is refused.
pub const PUBLISH_EVERY: Duration = Duration::from_secs(1);
/// A pair below this ratio is refused; above it the estimate of its demand is no more exact than the difference.
const WORTH_REFUSING: f64 = 0.9;
/// So long a new leader takes to know the demand.
const WARM_UP: Duration = Duration::from_secs(5);
/// A refusal is over once nothing was refused for so long.
const REFUSAL_OVER: Duration = Duration::from_secs(10);
/// Users repeat a submission for a minute; accepted jobs are named in the tables for a little longer.
const REPEATED_FOR: Duration = Duration::from_secs(65);
/// Accepted jobs that are remembered at the most.
const MOST_ACCEPTED: usize = 16_384;

/// A pair whose submissions begin or cease to be refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalChange {
    /// The pair.
    pub pair: TeamClassPair,
    /// Whether some are refused from now on.
    pub refused: bool,
}

/// What a pair asks for and gets, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct PairStatus {
    /// The pair.
    pub pair: TeamClassPair,
    /// Cost per second that it asks for.
    pub demanded: f64,
    /// Cost per second that is admitted.
    pub admitted: f64,
    /// How long its jobs are predicted to wait for machines, if there is a backlog.
    pub predicted_wait: Option<Duration>,
    /// The share that is admitted.
    pub ratio: Ratio,
    /// Since when some are refused.
    pub refused_since: Option<Timestamp>,
}

impl fmt::Display for PairStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (pair, share) = (&self.pair, self.ratio.share());
        write!(f, "pair={pair} ratio={share:.3} demanded={:.2} admitted={:.2}", self.demanded, self.admitted)?;
        match self.predicted_wait {
            Some(wait) => write!(f, " predicted_wait_s={:.0}", wait.as_secs_f64()),
            None => Ok(()),
        }
    }
}

/// Makes the tables of one leader.
#[derive(Debug)]
pub struct AdmissionControl {
    policy: AdmissionPolicy,
    table: AdmissionTable,
    regulator: CapacityRegulator,
    demand: DemandMeter,
    backlog: BacklogMeter,
    accepted: VecDeque<(Timestamp, JobId)>,
    refused_since: BTreeMap<TeamClassPair, Refused>,
    changes: Vec<RefusalChange>,
    published_at: Timestamp,
    drawn_at: Timestamp,
    /// Until then the ratios of the leader before count too.
    warm_at: Timestamp,
}

impl AdmissionControl {
    /// A leader that has just been elected refuses nothing.
    pub fn new(token: FencingToken, now: Timestamp, policy: AdmissionPolicy) -> AdmissionControl {
        AdmissionControl {
            policy,
            table: AdmissionTable::admit_all(TableNumber { token, sequence: 0 }, 0),
            regulator: CapacityRegulator::default(),
            demand: DemandMeter::default(),
            backlog: BacklogMeter::default(),
            accepted: VecDeque::new(),
            refused_since: BTreeMap::new(),
            changes: Vec::new(),
            published_at: now,
            drawn_at: now,
            warm_at: now,
        }
    }

    /// Goes on with the limit and the ratios of the leader before, until it knows the demand itself. Those who had to wait while nobody
    /// led come all at once.
    pub fn inherit(&mut self, now: Timestamp, table: &AdmissionTable) {
        if !self.policy.enabled {
            return;
        }
        if let Some(limit) = table.limit {
            self.regulator.inherit(limit);
        }
        self.table = table.renumbered(self.table.number);
        self.warm_at = now + WARM_UP;
        self.published_at = now.saturating_sub(PUBLISH_EVERY);
    }

    /// Other settings come into force with the next table.
    pub fn set_policy(&mut self, policy: AdmissionPolicy) {
        self.policy = policy;
    }

    /// The table in force.
    pub fn table(&self) -> &AdmissionTable {
        &self.table
    }

    /// The cost per second that is admitted at the most; `None`: everything.
    pub fn limit(&self) -> Option<f64> {
        self.regulator.limit()
    }

    /// Decides on a submission that has reached the leader, and counts it.
    pub fn decide(&mut self, now: Timestamp, submission: &Submission, tasks: u32) -> Decision {
        let pair = TeamClassPair::new(submission.team, submission.class);
        self.demand.asked(now, &pair, 1, tasks);
        let decision = self.table.decide(submission);
        if decision == Decision::Admit {
            self.demand.admitted(now, &pair, tasks);
        }
        decision
    }

    /// Another node refused these.
    pub fn record_remote_refusals(&mut self, now: Timestamp, report: &DemandReport) {
        for (pair, refused) in report.pairs() {
            self.demand.asked(now, pair, refused.jobs, refused.tasks);
        }
    }

    /// A job was accepted, durably: a repeat of its submission must not be refused.
    pub fn record_accepted(&mut self, now: Timestamp, job: JobId) {
        self.accepted.push_back((now, job));
        while self.accepted.len() > MOST_ACCEPTED
            || self.accepted.front().is_some_and(|(at, _)| now.since(*at) > REPEATED_FOR)
        {
            self.accepted.pop_front();
        }
    }

    /// Takes a measurement of how busy this node was for the last second, and how long its inputs wait.
    pub fn observe_load(&mut self, now: Timestamp, utilization: Utilization, queueing: Duration) {
        self.demand.decay(now);
        self.regulator.observe(now, utilization, queueing, self.demand.demanded(), self.demand.admitted_rate());
    }

    /// A task of this pair was started.
    pub fn record_start(&mut self, pair: &TeamClassPair) {
        self.backlog.record_start(pair);
    }

    /// Whether it wants to be told what waits, before the next `tick`.
    pub fn needs_backlog(&self, now: Timestamp) -> bool {
        now.since(self.published_at) >= PUBLISH_EVERY
    }

    /// What waits for machines, of all pairs whose jobs end by themselves.
    pub fn observe_backlog(&mut self, now: Timestamp, waiting: BTreeMap<TeamClassPair, PairBacklog>) {
        self.backlog.observe(now, waiting);
    }

    /// Lets time pass; a new table when one is due. While nothing is refused there is none.
    pub fn tick(&mut self, now: Timestamp) -> Option<&AdmissionTable> {
        if now.since(self.published_at) < PUBLISH_EVERY {
            return None;
        }
        self.published_at = now;
        let mut entries = self.entries(now);
        if now < self.warm_at {
            self.keep_ratios(&mut entries);
        }
        self.note_changes(now, &entries);
        if entries.is_empty() && self.table.admits_all() {
            return None;
        }
        self.serve_the_starved(now, &mut entries);
        if now.since(self.drawn_at) >= DRAW_LENGTH {
            self.drawn_at = now;
            self.table.salt = self.table.salt.wrapping_add(1);
        }
        let number = TableNumber { sequence: self.table.number.sequence + 1, ..self.table.number };
        let accepted: RoaringTreemap = self.accepted.iter().map(|(_, job)| job.0).collect();
        self.table = AdmissionTable::new(number, self.table.salt, entries, accepted);
        self.table.limit = self.regulator.limit();
        Some(&self.table)
    }

    /// Pairs whose refusal began or ceased since this was asked last.
    pub fn take_changes(&mut self) -> Vec<RefusalChange> {
        std::mem::take(&mut self.changes)
    }

    /// Whether any pair is refused, or was until not long ago.
    pub fn is_refusing(&self) -> bool {
        !self.refused_since.is_empty()
    }

    /// What each pair asks for and gets.
    pub fn status(&self, now: Timestamp) -> Vec<PairStatus> {
        self.demand.pairs().map(|(pair, demand)| self.pair_status(now, pair, demand)).collect()
    }

    /// What one pair asks for and gets.
    pub fn status_of(&self, now: Timestamp, pair: &TeamClassPair) -> Option<PairStatus> {
        self.demand.pair(pair).map(|demand| self.pair_status(now, pair, demand))
    }

    fn pair_status(&self, now: Timestamp, pair: &TeamClassPair, demand: &PairDemand) -> PairStatus {
        PairStatus {
            pair: pair.clone(),
            demanded: demand.demanded,
            admitted: demand.admitted,
            predicted_wait: self.backlog.predicted_wait(now, pair),
            ratio: self.table.ratio(&pair.team, &pair.class),
            refused_since: self.refused_since.get(pair).map(|refused| refused.since),
        }
    }

    /// What each pair may ask for: no more than brings its backlog to the longest wait.
    fn admissible_demand(&self, now: Timestamp, pair: &TeamClassPair, demand: &PairDemand) -> f64 {
        let bounded = match self.policy.backlog_bound {
            BacklogBound::Never => false,
            BacklogBound::WhileOverloaded => self.regulator.limit().is_some(),
            BacklogBound::Always => true,
        };
        let Some(tasks) = self.backlog.admissible(now, pair).filter(|_| bounded) else {
            return demand.demanded;
        };
        demand.demanded * (tasks / demand.demanded_tasks).min(1.0)
    }

    /// Divides the limit among teams and their classes; the pairs that get clearly less than they ask for.
    fn entries(&mut self, now: Timestamp) -> Vec<TableEntry> {
        if !self.policy.enabled {
            return Vec::new();
        }
        let mut teams: BTreeMap<&str, Vec<PairClaim>> = BTreeMap::new();
        for (pair, demand) in self.demand.pairs().filter(|(_, demand)| demand.demanded > 0.0) {
            let claim =
                PairClaim { pair, asked: demand.demanded, admissible: self.admissible_demand(now, pair, demand) };
            teams.entry(&pair.team).or_default().push(claim);
        }
        let total = |classes: &Vec<PairClaim>| classes.iter().map(|claim| claim.admissible).sum();
        let claims: Vec<Claim> = teams
            .iter()
            .map(|(team, classes)| Claim { weight: self.policy.weight(team), demand: total(classes) })
            .collect();
        let limit = self.regulator.limit().unwrap_or(f64::INFINITY);
        let shares = match limit.is_finite() {
            true => max_min(limit, &claims),
            false => claims.iter().map(|claim| claim.demand).collect(),
        };
        let mut entries = Vec::new();
        for (classes, share) in teams.values().zip(shares) {
            let claims: Vec<Claim> =
                classes.iter().map(|claim| Claim { weight: 1.0, demand: claim.admissible }).collect();
            for (claim, share) in classes.iter().zip(max_min(share, &claims)) {
                let refused = share < WORTH_REFUSING * claim.asked;
                let ratio = if refused { Ratio::from_share(share / claim.asked) } else { Ratio::ALL };
                entries.push(TableEntry { pair: claim.pair.clone(), ratio });
            }
        }
        drop_unneeded(&mut entries);
        entries
    }

    /// Lets no pair have a higher ratio than in the last table.
    fn keep_ratios(&self, entries: &mut Vec<TableEntry>) {
        for (team, class, ratio) in self.table.entries() {
            let pair = TeamClassPair::new(team, class);
            match entries.iter_mut().find(|entry| entry.pair == pair) {
                Some(entry) => entry.ratio = entry.ratio.min(ratio),
                None => entries.push(TableEntry { pair, ratio }),
            }
        }
    }

    /// Admits pairs in full that have gone without an admitted job for too long: those that wait longest, and no more of them than the
    /// limit carries until the next table.
    fn serve_the_starved(&self, now: Timestamp, entries: &mut Vec<TableEntry>) {
        // Followers refuse most of what a pair asks for, so that it counts as asking all the time while it is refused.
        let unserved_since = |pair: &TeamClassPair| {
            let refused = self.refused_since.get(pair).map_or(now, |refused| refused.since);
            let admitted = self.demand.pair(pair).and_then(|demand| demand.admitted_at);
            admitted.map_or(refused, |admitted| admitted.max(refused))
        };
        let mut starved: Vec<(Timestamp, TeamClassPair)> = entries
            .iter()
            .map(|entry| (unserved_since(&entry.pair), entry.pair.clone()))
            .filter(|(since, _)| now.since(*since) >= self.policy.max_wait)
            .collect();
        starved.sort();
        let carried = self.regulator.limit().unwrap_or(f64::MAX).max(FLOOR) * PUBLISH_EVERY.as_secs_f64();
        starved.truncate(carried.ceil() as usize);
        entries.retain(|entry| !starved.iter().any(|(_, pair)| *pair == entry.pair));
    }

    /// Notes which pairs are refused. A refusal is over only after some time without: a pair at its limit would else be said to begin and
    /// cease with every table.
    fn note_changes(&mut self, now: Timestamp, entries: &[TableEntry]) {
        for entry in entries.iter().filter(|entry| entry.ratio < Ratio::ALL) {
            match self.refused_since.get_mut(&entry.pair) {
                Some(refused) => refused.last = now,
                None => {
                    self.refused_since.insert(entry.pair.clone(), Refused { since: now, last: now });
                    self.changes.push(RefusalChange { pair: entry.pair.clone(), refused: true });
                }
            }
        }
        let over = |refused: &Refused| now.since(refused.last) >= REFUSAL_OVER;
        let ended: Vec<TeamClassPair> =
            self.refused_since.iter().filter(|(_, refused)| over(refused)).map(|(pair, _)| pair.clone()).collect();
        for pair in ended {
            self.refused_since.remove(&pair);
            self.changes.push(RefusalChange { pair, refused: false });
        }
    }
}

/// Leaves out entries that admit everything, but for teams whose other classes are refused together.
fn drop_unneeded(entries: &mut Vec<TableEntry>) {
    let refused_together = |entry: &&TableEntry| entry.pair.class == OTHER_CLASSES && entry.ratio < Ratio::ALL;
    let teams: BTreeSet<String> =
        entries.iter().filter(refused_together).map(|entry| entry.pair.team.clone()).collect();
    entries.retain(|entry| entry.ratio < Ratio::ALL || teams.contains(&entry.pair.team));
}

/// What one pair asks for, and what it may have of it.
struct PairClaim<'a> {
    pair: &'a TeamClassPair,
    asked: f64,
    admissible: f64,
}

/// When submissions of a pair were refused, first and last.
#[derive(Debug, Clone, Copy)]
struct Refused {
    since: Timestamp,
    last: Timestamp,
}
