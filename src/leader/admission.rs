//! Overload admission at the leader: what it observes, the tables that it publishes, and the status that operators read.

use super::Leader;
use crate::effects::{Effect, StoreCaller};
use crate::store::{StoreRequest, condition};
use crate::types::{Duration, Revision, Timestamp, WallClock};
use crate::wire::{CompareAndSwap, StoreWrite};
use caperstile_admission::{
    AdmissionPolicy, AdmissionStatus, AdmissionTable, DemandReport, Pair, PairBacklog, RefusedPair, STATUS_KEY,
    Utilization,
};

use log::{debug, info};
use std::collections::BTreeMap;

/// Jobs of a class with an objective for finishing may wait for this share of its time; the rest is for running.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;
/// How long jobs of other classes may wait.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(120);
/// How often what operators can read is written, while something is refused.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);
/// Bytes of a value that are not the status.
const VALUE_MARGIN_BYTES: usize = 64;

/// What was written last for operators.
#[derive(Debug, Default)]
pub(super) struct StatusWriter {
    written_at: Timestamp,
    /// Whether it said that something is refused.
    refusing: bool,
    request_counter: u64,
}

impl Leader {
    /// The admission table that was made last.
    pub(crate) fn current_admission_table(&self) -> &AdmissionTable {
        self.admission.table()
    }

    /// Goes on with the limits of the leader before.
    pub(crate) fn inherit_admission_table(&mut self, now: Timestamp, table: &AdmissionTable) {
        self.admission.inherit(now, table);
    }

    /// The operators have changed the settings of admission.
    pub(crate) fn set_admission_policy(&mut self, policy: AdmissionPolicy) {
        self.admission.set_policy(policy);
    }

    /// How busy this node was in the last second.
    pub(crate) fn observe_utilization(&mut self, now: Timestamp, utilization: Utilization) {
        self.admission.observe(now, utilization, self.planning.pacing.input_delay);
    }

    /// What another node has refused by this leader's tables.
    pub(crate) fn apply_demand_report(&mut self, now: Timestamp, report: &DemandReport) {
        self.admission.refused_elsewhere(now, report);
    }

    /// Makes a new admission table if one is due.
    pub(crate) fn refresh_admission_table(&mut self, now: Timestamp) -> Option<&AdmissionTable> {
        if self.admission.wants_backlog(now) {
            let waiting = self.backlog_by_pair(now);
            self.admission.observe_backlog(now, waiting);
        }
        let updated = self.admission.tick(now).is_some();
        for change in self.admission.take_changes() {
            match self.admission.status_of(now, &change.pair).filter(|_| change.refused) {
                Some(status) => info!("submissions refused {status}"),
                None => info!("submissions admitted pair={}", change.pair),
            }
        }
        if updated && log::log_enabled!(log::Level::Debug) {
            for pair in self.admission.status(now).iter().filter(|pair| pair.refused_since.is_some()) {
                debug!("admission {pair}");
            }
        }
        updated.then(|| self.admission.table())
    }

    /// Writes what operators can read, now and then while something is refused and once when that has ended. Nobody waits for it: what is
    /// lost is written again, or is old enough to be told from a refusal that goes on.
    pub(crate) fn write_admission_status(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let nothing_to_report = !self.admission.is_refusing() && !self.admission_status.refusing;
        if nothing_to_report || now.since(self.admission_status.written_at) < STATUS_INTERVAL {
            return;
        }
        let status = self.admission.status(now);
        let refused: Vec<RefusedPair> = status.iter().filter_map(|pair| RefusedPair::of(pair, now)).collect();
        if refused.is_empty() && !self.admission_status.refusing {
            return;
        }
        self.admission_status.written_at = now;
        self.admission_status.refusing = !refused.is_empty();
        self.admission_status.request_counter += 1;
        let status = AdmissionStatus {
            token: self.token,
            sequence: self.admission.table().number.sequence,
            at: wall,
            limit: self.admission.limit(),
            refused,
            left_out: 0,
        };
        let bytes = (self.settings.deployment.state.guaranteed_value_kb() * 1024.0) as usize;
        let value = serde_json::to_value(status.fit(bytes.saturating_sub(VALUE_MARGIN_BYTES))).unwrap_or_default();
        let swap = CompareAndSwap {
            conditions: vec![condition(self.format.leader_key(), Revision(self.token.0))],
            writes: vec![StoreWrite::Put { key: STATUS_KEY.into(), value, lease: None }],
        };
        out.push(Effect::CallStore(
            StoreCaller::AdmissionStatus,
            self.admission_status.request_counter,
            StoreRequest::CompareAndSwap(swap),
        ));
    }

    /// What waits of each team's classes whose jobs end by themselves. Services are left out: they wait for machines that boot.
    pub(super) fn backlog_by_pair(&self, now: Timestamp) -> BTreeMap<Pair, PairBacklog> {
        let mut waiting: BTreeMap<(&str, &str), PairBacklog> = BTreeMap::new();
        for job in self.jobs.pending_jobs().filter(|job| !job.spec.is_service && job.durable && !job.cancelling) {
            if job.retry_not_before > now {
                // It failed on several machines, and waits for that.
                continue;
            }
            let (team, class) = (job.spec.team.as_str(), job.spec.class.as_str());
            let none = || PairBacklog { waiting_tasks: 0, oldest: None, longest_wait: self.max_wait(class) };
            let entry = waiting.entry((team, class)).or_insert_with(none);
            entry.waiting_tasks += u64::from(job.pending.len());
            if job.placements.is_empty() && job.finished.is_empty() {
                entry.oldest = Some(entry.oldest.map_or(job.submitted_at, |oldest| oldest.min(job.submitted_at)));
            }
        }
        waiting.into_iter().map(|((team, class), backlog)| (Pair::new(team, class), backlog)).collect()
    }

    fn max_wait(&self, class: &str) -> Duration {
        let of_class = self.settings.deployment.objectives.iter().filter(|o| o.kind == "finished" && o.class == class);
        let longest = of_class.filter_map(|o| o.within_s).reduce(f64::max);
        longest.map_or(DEFAULT_MAX_WAIT, |within| Duration::from_secs_f64(within * MAX_WAIT_SHARE))
    }
}
