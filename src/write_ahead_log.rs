//! The write-ahead log: what must outlive every process.
//!
//! Records that became due since the last commit are written as entries of the log, on condition that the leader key still has the
//! revision at which this node won it and that the entries do not exist. One commit is in flight; a repeat or a late copy of it changes
//! nothing.

mod commit;
mod fragments;
mod loading;
mod record;
mod requests;
mod snapshot;

use crate::settings::{StateLimits, Tuning};
use crate::store::{ServiceResponse, StoreRequest};
use crate::types::{Duration, FencingToken, LogIndex, Revision, TaskId, TaskIndexSet, Timestamp, TokenBucket};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwapResponse, KeyPage, KeyValue};
use commit::LIST_BYTES;
use fragments::FragmentAssembly;
pub use fragments::RecordFragment;
use loading::LoadProgress;
pub use record::{LogRecord, MAX_ENDED_JOBS, MAX_TASK_RANGES, MachineRecord};
use requests::{InFlightRequests, RequestPurpose};
use snapshot::{Manifest, SnapshotWrite};
use std::collections::VecDeque;

/// Prefix of the entries' keys.
const LOG_PREFIX: &str = "log/";
/// Largest body of a request to the store, in bytes.
const STORE_REQUEST_BYTES: usize = 64 * 1024;
/// Bytes of a request that are not values, generously.
const REQUEST_OVERHEAD_BYTES: usize = 2048;
/// Bytes of all values in one request.
const MAX_REQUEST_BYTES: usize = STORE_REQUEST_BYTES - REQUEST_OVERHEAD_BYTES;
/// Bytes of a value that are not used.
const VALUE_MARGIN_BYTES: usize = 64;
/// Share of the store's writes that the log may make; the rest is left to the other nodes' elections.
const WRITE_RATE_SHARE: f64 = 0.75;
/// The write budget of a new leader, in seconds of the store's reduced rate.
const INITIAL_BUDGET_S: f64 = 0.5;
/// Least capacity of the write budget.
const LEAST_WRITE_BUDGET: f64 = 2.0;
/// Waiting records that are looked through for one that a finish can join.
const JOIN_LOOKBACK: usize = 64;
/// Pause before a request without response is repeated.
const LOST_RESPONSE_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a refusal because of too many writes, for snapshots: users' commits go first.
const THROTTLED_SNAPSHOT_PAUSE: Duration = Duration::from_secs(1);
/// Pause after any other refusal.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// What the log wants done or made known.
#[derive(Debug, PartialEq)]
pub enum LogEvent {
    /// Send a request to the store; the number comes back with the response.
    Request(u64, StoreRequest),
    /// A record was read back after an election.
    RecordLoaded(LogRecord),
    /// All records were read back.
    LoadComplete,
    /// These records are durable now.
    RecordsDurable(Vec<LogRecord>),
    /// The leader key has another revision: another node leads.
    LeaderKeyLost,
}

/// The log of a leader; made anew at each election.
#[derive(Debug)]
pub struct WriteAheadLog {
    token: FencingToken,
    /// What may be written, and which leader key every write is conditional on.
    format: Format,
    /// Largest value that is written.
    value_bytes: usize,
    /// Most writes in one request.
    max_writes: usize,
    commit_interval: Duration,
    /// Writes that may be made now; a part of the store's rate is left to the other nodes' elections.
    write_budget: TokenBucket,
    /// What the rate falls to when the store says that there are too many writes.
    reduced_write_rate: f64,
    in_flight: InFlightRequests,
    loaded: bool,
    load_progress: LoadProgress,
    /// Records that are read in fragments.
    fragments: FragmentAssembly,
    /// The snapshot in force.
    manifest: Option<Manifest>,
    /// Revision of the manifest's key, 0 if there is none; `None`: it has to be read.
    ///
    /// The manifest is the only key that is written over, so its write is conditional on this. Without, a repeat
    /// of a write that was carried out came late, put an earlier manifest back, which names chunks and log
    /// entries that were removed since, and the next leader read an empty log.
    manifest_revision: Option<Revision>,
    /// Chunks of the snapshot in force; the next one makes them obsolete.
    snapshot_keys: Vec<String>,
    /// The index of the next entry.
    next_index: LogIndex,
    /// The index of the oldest entry that no snapshot covers.
    oldest_index: LogIndex,
    /// What users, finished tasks and new machines wait for; a machine that is gone would hold the next leader up.
    urgent_queue: VecDeque<LogRecord>,
    /// What nobody waits for: it goes along where room is left. When a thousand machines came up together, their
    /// images and rentals held submissions up for seconds.
    background_queue: VecDeque<LogRecord>,
    /// Records of the commit in flight.
    committing: Vec<LogRecord>,
    last_commit_at: Timestamp,
    /// A snapshot that is being written.
    snapshot_write: Option<SnapshotWrite>,
    entries_since_snapshot: u64,
    snapshot_interval_entries: u64,
    /// Snapshots that this leader has begun.
    snapshot_counter: u64,
}

fn write_budget_capacity(rate_per_s: f64) -> f64 {
    rate_per_s.max(LEAST_WRITE_BUDGET)
}

fn log_key(index: LogIndex) -> String {
    format!("{LOG_PREFIX}{:012}", index.0)
}

impl WriteAheadLog {
    /// The log of a new leader, which has not read anything back yet.
    pub fn new(
        token: FencingToken,
        format: Format,
        now: Timestamp,
        limits: &StateLimits,
        tuning: &Tuning,
    ) -> WriteAheadLog {
        // Sized for the smaller of both limits, since they may be lowered at any moment: a commit that is too large would be
        // rejected each time it is repeated.
        let value_bytes = ((limits.guaranteed_value_kb() * 1024.0) as usize).saturating_sub(VALUE_MARGIN_BYTES);
        let (full_rate, reduced_rate) = limits.write_rates();
        let rate = full_rate * WRITE_RATE_SHARE;
        let initial_budget = reduced_rate * INITIAL_BUDGET_S;
        WriteAheadLog {
            token,
            format,
            value_bytes: value_bytes.min(MAX_REQUEST_BYTES - REQUEST_OVERHEAD_BYTES),
            max_writes: limits.guaranteed_txn_ops(),
            commit_interval: tuning.commit_interval,
            write_budget: TokenBucket::new(now, rate, write_budget_capacity(rate), initial_budget),
            reduced_write_rate: reduced_rate * WRITE_RATE_SHARE,
            in_flight: InFlightRequests::default(),
            loaded: false,
            load_progress: LoadProgress::default(),
            fragments: FragmentAssembly::default(),
            manifest: None,
            manifest_revision: Some(Revision(0)),
            snapshot_keys: Vec::new(),
            next_index: LogIndex(1),
            oldest_index: LogIndex(1),
            urgent_queue: VecDeque::new(),
            background_queue: VecDeque::new(),
            committing: Vec::new(),
            last_commit_at: Timestamp::ZERO,
            snapshot_write: None,
            entries_since_snapshot: 0,
            snapshot_interval_entries: tuning.snapshot_interval_entries,
            snapshot_counter: 0,
        }
    }

    /// Whether everything was read back.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// How many records that somebody waits for are not durable yet.
    pub fn backlog(&self) -> usize {
        self.urgent_queue.len() + self.committing.len()
    }

    /// Whether a record can be kept: it must fit into one value.
    pub fn fits_in_value(&self, record: &LogRecord) -> bool {
        serde_json::to_string(record).is_ok_and(|json| json.len() + LIST_BYTES <= self.value_bytes)
    }

    /// Queues a record for the next commit.
    pub fn append(&mut self, record: LogRecord) {
        match record {
            LogRecord::JobAccepted(_)
            | LogRecord::TasksDone(..)
            | LogRecord::JobCancelled(_)
            | LogRecord::MachineRegistered(_)
            | LogRecord::MachineGone(_) => self.urgent_queue.push_back(record),
            _ => self.background_queue.push_back(record),
        }
    }

    /// Queues the finish of a task; finishes of one job share a record.
    pub fn append_task_done(&mut self, task: TaskId) {
        for record in self.urgent_queue.iter_mut().rev().take(JOIN_LOOKBACK) {
            if let LogRecord::TasksDone(job, tasks) = record
                && *job == task.job
                && tasks.range_count() < MAX_TASK_RANGES
            {
                tasks.insert(task.index);
                return;
            }
        }
        let mut tasks = TaskIndexSet::default();
        tasks.insert(task.index);
        self.urgent_queue.push_back(LogRecord::TasksDone(task.job, tasks));
    }

    /// Lets time pass: repeats what got no response, commits what is due, goes on with a snapshot.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        self.write_budget.refill(now);
        self.in_flight.repeat_due(now, out);
        if self.loaded {
            self.commit_if_due(now, out);
            self.advance_snapshot(now, out);
        }
    }

    /// Takes the store's response to the request with this number.
    pub fn handle_response(&mut self, now: Timestamp, id: u64, response: &ServiceResponse, out: &mut Vec<LogEvent>) {
        let Some(purpose) = self.in_flight.purpose(id) else { return };
        let handled = match (purpose, response.status) {
            (RequestPurpose::LoadSnapshot | RequestPurpose::LoadEntries, 200) => {
                self.handle_load_response(now, id, purpose, response, out)
            }
            (RequestPurpose::Commit | RequestPurpose::Snapshot, 200) => {
                self.handle_written(now, id, response, out);
                true
            }
            (RequestPurpose::Commit | RequestPurpose::Snapshot, 409) => {
                self.handle_conflict(now, id, response, out);
                true
            }
            (RequestPurpose::ReadManifestRevision, 200 | 404) => {
                self.handle_manifest_revision(id, response);
                true
            }
            _ => false,
        };
        if response.status == 429 {
            self.throttle();
        }
        if !handled {
            self.in_flight.retry_at(id, now + retry_pause(purpose, response.status));
        }
    }

    /// A page was read; false if it is not readable.
    fn handle_load_response(
        &mut self,
        now: Timestamp,
        id: u64,
        purpose: RequestPurpose,
        response: &ServiceResponse,
        out: &mut Vec<LogEvent>,
    ) -> bool {
        let Some(page) = response.parse::<KeyPage>() else { return false };
        self.in_flight.take(id);
        self.handle_page(now, purpose, page, out);
        true
    }

    fn handle_written(&mut self, now: Timestamp, id: u64, response: &ServiceResponse, out: &mut Vec<LogEvent>) {
        let Some(request) = self.in_flight.take(id) else { return };
        if request.writes_manifest() {
            let answer = response.parse::<CompareAndSwapResponse>();
            self.manifest_revision = answer.map(|answer| Revision(answer.revision));
        }
        self.write_done(now, request.purpose, out);
    }

    /// A condition does not hold: another node leads, or this is our own earlier try.
    fn handle_conflict(&mut self, now: Timestamp, id: u64, response: &ServiceResponse, out: &mut Vec<LogEvent>) {
        let Some(request) = self.in_flight.take(id) else { return };
        if request.writes_manifest() {
            self.manifest_revision = None;
        }
        let failed_keys = response.parse::<CompareAndSwapResponse>().unwrap_or_default().failed_keys;
        if failed_keys.is_empty() || failed_keys.iter().any(|key| key == self.format.leader_key()) {
            out.push(LogEvent::LeaderKeyLost);
        } else {
            // Only this node writes under its token, so the entry or manifest is our own earlier try whose response was lost.
            self.write_done(now, request.purpose, out);
        }
    }

    fn handle_manifest_revision(&mut self, id: u64, response: &ServiceResponse) {
        self.in_flight.take(id);
        let revision = match response.status {
            200 => response.parse::<KeyValue>().map(|item| item.revision),
            _ => Some(0),
        };
        self.manifest_revision = revision.map(Revision);
    }

    fn write_done(&mut self, now: Timestamp, purpose: RequestPurpose, out: &mut Vec<LogEvent>) {
        if purpose == RequestPurpose::Commit {
            out.push(LogEvent::RecordsDurable(std::mem::take(&mut self.committing)));
            self.tick(now, out);
        } else if let Some(snapshot) = &mut self.snapshot_write {
            snapshot.step_done();
        }
    }

    /// The store says that there are too many writes.
    fn throttle(&mut self) {
        let rate = self.write_budget.rate_per_s().min(self.reduced_write_rate);
        self.write_budget.set_rate(rate, write_budget_capacity(rate));
        self.write_budget.empty();
    }
}

fn retry_pause(purpose: RequestPurpose, status: u16) -> Duration {
    match (status, purpose) {
        (0, _) => LOST_RESPONSE_PAUSE,
        (429, RequestPurpose::Snapshot) => THROTTLED_SNAPSHOT_PAUSE,
        _ => RETRY_PAUSE,
    }
}

#[cfg(test)]
mod tests;
