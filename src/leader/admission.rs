//! Admission control under overload, at the leader: what it measures, the admission tables that it publishes, and the
//! status that operators read.

use super::Leader;
use crate::effects::{Effect, StoreCaller};
use crate::store::{StoreRequest, condition};
use crate::types::{Duration, Revision, Timestamp, WallClock};
use crate::wire::{CompareAndSwap, StoreWrite};
use caperstile_admission::{
    AdmissionPolicy, AdmissionStatus, AdmissionTable, DemandReport, PairBacklog, RefusedPair, STATUS_KEY,
    TeamClassPair, Utilization,
};

use log::{debug, info};
use std::collections::BTreeMap;

/// Share of the time of a `finished` objective that a job of its class may wait for machines; the rest is left for
/// running.
const MAX_WAIT_SHARE: f64 = 1.0 / 3.0;
/// How long jobs of classes without such an objective may wait for machines.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(120);
/// Interval between two writes of the status while submissions are refused.
const STATUS_INTERVAL: Duration = Duration::from_secs(10);
/// Bytes of a value in the state service that are not available to the status.
const VALUE_MARGIN_BYTES: usize = 64;

/// What is known of the last status that was written for operators.
#[derive(Debug, Default)]
pub(super) struct StatusWriter {
    written_at: Timestamp,
    /// Whether that status listed refused submissions.
    refusing: bool,
    request_counter: u64,
}

impl Leader {
    /// The latest admission table of this leader.
    pub(crate) fn current_admission_table(&self) -> &AdmissionTable {
        self.admission.table()
    }

    /// Continues with the limits of the predecessor's admission table.
    pub(crate) fn inherit_admission_table(&mut self, now: Timestamp, table: &AdmissionTable) {
        self.admission.inherit(now, table);
    }

    /// Applies settings of admission that operators have changed.
    pub(crate) fn set_admission_policy(&mut self, policy: AdmissionPolicy) {
        self.admission.set_policy(policy);
    }

    /// Records how busy this node was in the last second.
    pub(crate) fn observe_utilization(&mut self, now: Timestamp, utilization: Utilization) {
        self.admission.observe_load(now, utilization, self.planning.pacing.input_delay);
    }

    /// Adds the demand that another node has refused by this leader's admission tables.
    pub(crate) fn apply_demand_report(&mut self, now: Timestamp, report: &DemandReport) {
        self.admission.record_remote_refusals(now, report);
    }

    /// Computes a new admission table if one is due; `None` if not.
    pub(crate) fn refresh_admission_table(&mut self, now: Timestamp) -> Option<&AdmissionTable> {
        if self.admission.needs_backlog(now) {
            let backlog = self.backlog_by_pair(now);
            self.admission.observe_backlog(now, backlog);
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

    /// Writes the status that operators read: periodically while submissions are refused, and once when that has ended.
    /// The response of the state service is ignored: a lost status is written again, or it is so old that operators can
    /// distinguish it from a refusal that is still in force.
    pub(crate) fn write_admission_status(&mut self, now: Timestamp, wall: WallClock, out: &mut Vec<Effect>) {
        let nothing_to_report = !self.admission.is_refusing() && !self.admission_status.refusing;
        if nothing_to_report || now.since(self.admission_status.written_at) < STATUS_INTERVAL {
            return;
        }
        let status = self.admission.status(now);
        let refused: Vec<RefusedPair> = status.iter().filter_map(|pair| RefusedPair::from_status(pair, now)).collect();
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
        let value =
            serde_json::to_value(status.truncated_to(bytes.saturating_sub(VALUE_MARGIN_BYTES))).unwrap_or_default();
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

    /// The backlog of each pair of team and class, not counting services: those wait for machines that are booting.
    pub(super) fn backlog_by_pair(&self, now: Timestamp) -> BTreeMap<TeamClassPair, PairBacklog> {
        let mut backlogs: BTreeMap<(&str, &str), PairBacklog> = BTreeMap::new();
        for job in self.jobs.pending_jobs().filter(|job| !job.spec.is_service && job.durable && !job.cancelling) {
            if job.retry_not_before > now {
                // The job is backing off, for instance because it failed on several machines; it does not wait for
                // capacity.
                continue;
            }
            let (team, class) = (job.spec.team.as_str(), job.spec.class.as_str());
            let empty = || PairBacklog { pending_tasks: 0, oldest_submitted_at: None, max_wait: self.max_wait(class) };
            let entry = backlogs.entry((team, class)).or_insert_with(empty);
            entry.pending_tasks += u64::from(job.pending.len());
            if job.placements.is_empty() && job.finished.is_empty() {
                entry.oldest_submitted_at =
                    Some(entry.oldest_submitted_at.map_or(job.submitted_at, |oldest| oldest.min(job.submitted_at)));
            }
        }
        backlogs.into_iter().map(|((team, class), backlog)| (TeamClassPair::new(team, class), backlog)).collect()
    }

    fn max_wait(&self, class: &str) -> Duration {
        let objectives =
            self.settings.deployment.objectives.iter().filter(|o| o.kind == "finished" && o.class == class);
        let max_within_s = objectives.filter_map(|o| o.within_s).reduce(f64::max);
        max_within_s.map_or(DEFAULT_MAX_WAIT, |within| Duration::from_secs_f64(within * MAX_WAIT_SHARE))
    }
}
