//! The leader's side of admission control: computes numbered admission tables from demand, load and backlog.

use crate::backlog::{BacklogMeter, PairBacklog};
use crate::capacity::{CapacityRegulator, MIN_LIMIT, Utilization};
use crate::demand::{DemandMeter, PairDemand};
use crate::fair_share::{Claim, max_min};
use crate::policy::{AdmissionPolicy, BacklogBound};
use crate::report::DemandReport;
use crate::submission::{OTHER_CLASSES, Submission, TeamClassPair};
use crate::table::{AdmissionTable, Decision, Ratio, SALT_LIFETIME, TableEntry, TableNumber};
use caperstile_types::{Duration, FencingToken, JobId, Timestamp};
use roaring::RoaringTreemap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Interval between two tables while any pair is refused.
pub const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// A pair whose share reaches this part of its demand is admitted in full: the estimate of the demand is not accurate
/// enough to act on a smaller difference.
const FULL_ADMISSION_SHARE: f64 = 0.9;
/// Time that a new leader needs to measure the demand.
const WARM_UP_TIME: Duration = Duration::from_secs(5);
/// Time without refusals after which a refusal period of a pair has ended.
const REFUSAL_END_DELAY: Duration = Duration::from_secs(10);
/// Time for which tables list an accepted job: a little longer than the minute for which users repeat a submission.
const ACCEPTED_RETENTION: Duration = Duration::from_secs(65);
/// Maximum number of recently accepted jobs that are kept.
const MAX_ACCEPTED_JOBS: usize = 16_384;

/// The start or end of a refusal period of one pair.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalChange {
    /// Team and class to which the change applies.
    pub pair: TeamClassPair,
    /// Whether submissions of the pair are refused from now on; `false` if the refusals have ended.
    pub refused: bool,
}

/// Demand and admission of one pair, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct PairStatus {
    /// Team and class to which the status applies.
    pub pair: TeamClassPair,
    /// Cost per second of all submissions, admitted or refused.
    pub demanded: f64,
    /// Cost per second of the admitted submissions.
    pub admitted: f64,
    /// Predicted time that the tasks of a new job wait for machines; `None` without a backlog.
    pub predicted_wait: Option<Duration>,
    /// Share of the submissions that the table in force admits.
    pub ratio: Ratio,
    /// Start of the pair's refusal period; `None` if the pair is not in one.
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

/// Computes the admission tables of one leader.
#[derive(Debug)]
pub struct AdmissionControl {
    policy: AdmissionPolicy,
    table: AdmissionTable,
    regulator: CapacityRegulator,
    demand: DemandMeter,
    backlog: BacklogMeter,
    accepted_jobs: VecDeque<(Timestamp, JobId)>,
    refusals: BTreeMap<TeamClassPair, RefusalPeriod>,
    changes: Vec<RefusalChange>,
    published_at: Timestamp,
    salt_changed_at: Timestamp,
    /// Time until which the predecessor's ratios are upper bounds for those of new tables.
    warm_up_ends_at: Timestamp,
}

impl AdmissionControl {
    /// Creates the state of a newly elected leader, which refuses nothing yet.
    pub fn new(token: FencingToken, now: Timestamp, policy: AdmissionPolicy) -> AdmissionControl {
        AdmissionControl {
            policy,
            table: AdmissionTable::admit_all(TableNumber { token, sequence: 0 }, 0),
            regulator: CapacityRegulator::default(),
            demand: DemandMeter::default(),
            backlog: BacklogMeter::default(),
            accepted_jobs: VecDeque::new(),
            refusals: BTreeMap::new(),
            changes: Vec::new(),
            published_at: now,
            salt_changed_at: now,
            warm_up_ends_at: now,
        }
    }

    /// Takes over the limit and the ratios of the predecessor's table until this leader has measured the demand itself.
    /// Submissions that were delayed while there was no leader arrive at the same time; without the ratios, all of them
    /// would be admitted.
    pub fn inherit(&mut self, now: Timestamp, table: &AdmissionTable) {
        if !self.policy.enabled {
            return;
        }
        if let Some(limit) = table.limit {
            self.regulator.inherit(limit);
        }
        self.table = table.renumbered(self.table.number);
        self.warm_up_ends_at = now + WARM_UP_TIME;
        self.published_at = now.saturating_sub(PUBLISH_INTERVAL);
    }

    /// Replaces the settings; they apply from the next table on.
    pub fn set_policy(&mut self, policy: AdmissionPolicy) {
        self.policy = policy;
    }

    /// Returns the table in force.
    pub fn table(&self) -> &AdmissionTable {
        &self.table
    }

    /// Returns the maximum cost per second that is admitted; `None` if the load does not limit it.
    pub fn limit(&self) -> Option<f64> {
        self.regulator.limit()
    }

    /// Decides on a submission that has reached the leader, and adds it to the demand.
    pub fn decide(&mut self, now: Timestamp, submission: &Submission, tasks: u32) -> Decision {
        let pair = TeamClassPair::new(submission.team, submission.class);
        self.demand.record_demand(now, &pair, 1, tasks);
        let decision = self.table.decide(submission);
        if decision == Decision::Admit {
            self.demand.record_admitted(now, &pair, tasks);
        }
        decision
    }

    /// Adds the submissions that another node has refused to the demand.
    pub fn record_remote_refusals(&mut self, now: Timestamp, report: &DemandReport) {
        for (pair, refused) in report.pairs() {
            self.demand.record_demand(now, pair, refused.jobs, refused.tasks);
        }
    }

    /// Records that the acceptance of a job is durable. From the next table on, a repeated submission of it is never
    /// refused.
    pub fn record_accepted(&mut self, now: Timestamp, job: JobId) {
        self.accepted_jobs.push_back((now, job));
        while self.accepted_jobs.len() > MAX_ACCEPTED_JOBS
            || self.accepted_jobs.front().is_some_and(|(at, _)| now.since(*at) > ACCEPTED_RETENTION)
        {
            self.accepted_jobs.pop_front();
        }
    }

    /// Records the utilization of this node in the last second and the queueing delay of its inputs, and adjusts the
    /// limit.
    pub fn observe_load(&mut self, now: Timestamp, utilization: Utilization, queueing_delay: Duration) {
        self.demand.decay(now);
        self.regulator.observe(
            now,
            utilization,
            queueing_delay,
            self.demand.demanded_rate(),
            self.demand.admitted_rate(),
        );
    }

    /// Records the start of one task of this pair.
    pub fn record_start(&mut self, pair: &TeamClassPair) {
        self.backlog.record_start(pair);
    }

    /// Whether the caller should pass the backlog to [`Self::observe_backlog`] before the next [`Self::tick`], because
    /// a table is due.
    pub fn needs_backlog(&self, now: Timestamp) -> bool {
        now.since(self.published_at) >= PUBLISH_INTERVAL
    }

    /// Records the tasks that are pending, for all pairs of batch jobs; services are not counted.
    pub fn observe_backlog(&mut self, now: Timestamp, backlogs: BTreeMap<TeamClassPair, PairBacklog>) {
        self.backlog.observe(now, backlogs);
    }

    /// Computes and returns a new table if one is due; `None` if not, and while nothing is refused.
    pub fn tick(&mut self, now: Timestamp) -> Option<&AdmissionTable> {
        if now.since(self.published_at) < PUBLISH_INTERVAL {
            return None;
        }
        self.published_at = now;
        let mut entries = self.compute_entries(now);
        if now < self.warm_up_ends_at {
            self.cap_ratios(&mut entries);
        }
        self.record_changes(now, &entries);
        if entries.is_empty() && self.table.admits_all() {
            return None;
        }
        self.admit_starved_pairs(now, &mut entries);
        if now.since(self.salt_changed_at) >= SALT_LIFETIME {
            self.salt_changed_at = now;
            self.table.salt = self.table.salt.wrapping_add(1);
        }
        let number = TableNumber { sequence: self.table.number.sequence + 1, ..self.table.number };
        let accepted: RoaringTreemap = self.accepted_jobs.iter().map(|(_, job)| job.0).collect();
        self.table = AdmissionTable::new(number, self.table.salt, entries, accepted);
        self.table.limit = self.regulator.limit();
        Some(&self.table)
    }

    /// Removes and returns the starts and ends of refusal periods that were recorded since the previous call.
    pub fn take_changes(&mut self) -> Vec<RefusalChange> {
        std::mem::take(&mut self.changes)
    }

    /// Whether any pair is in a refusal period, which outlasts its last refusal by `REFUSAL_END_DELAY`.
    pub fn is_refusing(&self) -> bool {
        !self.refusals.is_empty()
    }

    /// Returns demand and admission of each measured pair.
    pub fn status(&self, now: Timestamp) -> Vec<PairStatus> {
        self.demand.pairs().map(|(pair, demand)| self.pair_status(now, pair, demand)).collect()
    }

    /// Returns demand and admission of one pair; `None` if its demand is not measured.
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
            refused_since: self.refusals.get(pair).map(|refused| refused.since),
        }
    }

    /// Returns the demand of a pair in cost per second, reduced to what its backlog permits if the policy bounds
    /// backlogs at present.
    fn admissible_demand(&self, now: Timestamp, pair: &TeamClassPair, demand: &PairDemand) -> f64 {
        let bounded = match self.policy.backlog_bound {
            BacklogBound::Never => false,
            BacklogBound::WhileOverloaded => self.regulator.limit().is_some(),
            BacklogBound::Always => true,
        };
        let Some(tasks) = self.backlog.admissible_task_rate(now, pair).filter(|_| bounded) else {
            return demand.demanded;
        };
        demand.demanded * (tasks / demand.demanded_tasks).min(1.0)
    }

    /// Divides the limit among the teams, and each team's share among its classes. Returns the entries of pairs whose
    /// share is clearly below their demand, and those that exempt a class from a limit on its team's other classes.
    fn compute_entries(&mut self, now: Timestamp) -> Vec<TableEntry> {
        if !self.policy.enabled {
            return Vec::new();
        }
        let mut teams: BTreeMap<&str, Vec<PairClaim>> = BTreeMap::new();
        for (pair, demand) in self.demand.pairs().filter(|(_, demand)| demand.demanded > 0.0) {
            let claim =
                PairClaim { pair, demanded: demand.demanded, admissible: self.admissible_demand(now, pair, demand) };
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
                let refused = share < FULL_ADMISSION_SHARE * claim.demanded;
                let ratio = if refused { Ratio::from_share(share / claim.demanded) } else { Ratio::ALL };
                entries.push(TableEntry { pair: claim.pair.clone(), ratio });
            }
        }
        remove_redundant(&mut entries);
        entries
    }

    /// Limits the ratio of each pair to its ratio in the current table.
    fn cap_ratios(&self, entries: &mut Vec<TableEntry>) {
        for (team, class, ratio) in self.table.entries() {
            let pair = TeamClassPair::new(team, class);
            match entries.iter_mut().find(|entry| entry.pair == pair) {
                Some(entry) => entry.ratio = entry.ratio.min(ratio),
                None => entries.push(TableEntry { pair, ratio }),
            }
        }
    }

    /// Removes the entries of pairs that have had no admitted job for too long, so that they are admitted in full.
    /// Those that have gone without longest come first, and no more are removed than one job each fits into the limit
    /// until the next table.
    fn admit_starved_pairs(&self, now: Timestamp, entries: &mut Vec<TableEntry>) {
        // Followers refuse most submissions of a refused pair before they reach the leader. Therefore the pair is
        // assumed to submit jobs throughout its refusal period.
        let without_admission_since = |pair: &TeamClassPair| {
            let refused = self.refusals.get(pair).map_or(now, |refused| refused.since);
            let admitted = self.demand.pair(pair).and_then(|demand| demand.last_admitted_at);
            admitted.map_or(refused, |admitted| admitted.max(refused))
        };
        let mut starved: Vec<(Timestamp, TeamClassPair)> = entries
            .iter()
            .map(|entry| (without_admission_since(&entry.pair), entry.pair.clone()))
            .filter(|(since, _)| now.since(*since) >= self.policy.max_wait)
            .collect();
        starved.sort();
        let max_starved = self.regulator.limit().unwrap_or(f64::MAX).max(MIN_LIMIT) * PUBLISH_INTERVAL.as_secs_f64();
        starved.truncate(max_starved.ceil() as usize);
        entries.retain(|entry| !starved.iter().any(|(_, pair)| *pair == entry.pair));
    }

    /// Updates the refusal periods of all pairs. A period ends only after [`REFUSAL_END_DELAY`] without refusals:
    /// otherwise, a pair whose demand is close to its limit would be reported as refused and admitted again with every
    /// table.
    fn record_changes(&mut self, now: Timestamp, entries: &[TableEntry]) {
        for entry in entries.iter().filter(|entry| entry.ratio < Ratio::ALL) {
            match self.refusals.get_mut(&entry.pair) {
                Some(refused) => refused.last_refused_at = now,
                None => {
                    self.refusals.insert(entry.pair.clone(), RefusalPeriod { since: now, last_refused_at: now });
                    self.changes.push(RefusalChange { pair: entry.pair.clone(), refused: true });
                }
            }
        }
        let has_ended = |refused: &RefusalPeriod| now.since(refused.last_refused_at) >= REFUSAL_END_DELAY;
        let ended: Vec<TeamClassPair> =
            self.refusals.iter().filter(|(_, refused)| has_ended(refused)).map(|(pair, _)| pair.clone()).collect();
        for pair in ended {
            self.refusals.remove(&pair);
            self.changes.push(RefusalChange { pair, refused: false });
        }
    }
}

/// Removes entries that admit everything, except for teams whose entry for all other classes refuses submissions.
fn remove_redundant(entries: &mut Vec<TableEntry>) {
    let limits_other_classes = |entry: &&TableEntry| entry.pair.class == OTHER_CLASSES && entry.ratio < Ratio::ALL;
    let teams: BTreeSet<String> =
        entries.iter().filter(limits_other_classes).map(|entry| entry.pair.team.clone()).collect();
    entries.retain(|entry| entry.ratio < Ratio::ALL || teams.contains(&entry.pair.team));
}

/// Demand of one pair, and the part of it that its backlog allows, both in cost per second.
struct PairClaim<'a> {
    pair: &'a TeamClassPair,
    demanded: f64,
    admissible: f64,
}

/// A period in which submissions of a pair are refused.
#[derive(Debug, Clone, Copy)]
struct RefusalPeriod {
    since: Timestamp,
    last_refused_at: Timestamp,
}
