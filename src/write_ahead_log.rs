//! The leader's write-ahead log in the state service: all state that must survive the loss of every controller process.
//!
//! A commit writes the records queued since the last one as new log entries in one transaction, on condition that the
//! leader key still has the revision at which this node was elected and that the entries do not exist. At most one
//! commit is in flight, and its conditions make it idempotent: a retry or a delayed duplicate has no effect.

mod commit;
mod fragments;
mod loading;
mod record;
mod requests;
mod revision_write;
mod snapshot;

use crate::settings::{StateLimits, Tuning};
use crate::store::{ServiceResponse, StoreRequest};
use crate::types::{Duration, FencingToken, LogIndex, Revision, TaskId, TaskIndexSet, Timestamp, TokenBucket};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwapResponse, KeyPage, KeyValue};
use commit::LIST_OVERHEAD_BYTES;
use fragments::FragmentAssembly;
pub use fragments::RecordFragment;
use loading::LoadProgress;
pub use record::{LogRecord, MAX_ENDED_JOBS, MAX_TASK_RANGES, MachineRecord};
use requests::{InFlightRequests, RequestPurpose};
use revision_write::RevisionWrite;
use snapshot::{Manifest, SnapshotWrite};
use std::collections::VecDeque;

/// Prefix of the entries' keys.
const LOG_PREFIX: &str = "log/";
/// Largest request body that the state service accepts, in bytes.
const STORE_REQUEST_BYTES: usize = 64 * 1024;
/// Upper estimate of the bytes of a request that are not values.
const REQUEST_OVERHEAD_BYTES: usize = 2048;
/// Maximum total size of the values in one request, in bytes.
const MAX_REQUEST_BYTES: usize = STORE_REQUEST_BYTES - REQUEST_OVERHEAD_BYTES;
/// Bytes by which values are kept below the size limit.
const VALUE_MARGIN_BYTES: usize = 64;
/// Share of the state service's write rate limit that the log may use; the rest is reserved for leader election on the
/// other nodes.
const WRITE_RATE_SHARE: f64 = 0.75;
/// The write budget that a new leader starts with, in seconds at the reduced write rate.
const INITIAL_BUDGET_S: f64 = 0.5;
/// Minimum capacity of the write budget, in writes.
const MIN_WRITE_BUDGET: f64 = 2.0;
/// How many of the most recently queued records are searched for one that a finished task can be merged into.
const MERGE_LOOKBACK: usize = 64;
/// Delay before a request that got no response is retried.
const LOST_RESPONSE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay before a snapshot write is retried that was refused because of the write rate limit (429). It is longer than
/// that of commits, which users wait for.
const THROTTLED_SNAPSHOT_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Delay before a request is retried that failed in any other way.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// An action that the log requests from the leader, or a change that it reports.
#[derive(Debug, PartialEq)]
pub enum LogEvent {
    /// Send a request to the state service; the response must be passed to `handle_response` under the same number.
    Request(u64, StoreRequest),
    /// A record of an earlier leader was read after an election. Records are reported in log order.
    RecordLoaded(LogRecord),
    /// All records of earlier leaders have been read.
    LoadComplete,
    /// These records are committed: they survive the loss of every controller.
    RecordsDurable(Vec<LogRecord>),
    /// A write that was conditional on the leader key was executed at this revision, and its response has arrived.
    WriteConfirmed(Revision),
    /// A write failed because the leader key no longer has the revision at which this node was elected: it is not the
    /// leader any more.
    LeaderKeyLost,
}

/// The write-ahead log of one leader. A new one is created at each election.
#[derive(Debug)]
pub struct WriteAheadLog {
    token: FencingToken,
    /// Determines which kinds of records may be written, and which leader key the writes are conditional on.
    format: Format,
    /// Maximum size of a value, in bytes.
    max_value_bytes: usize,
    /// Maximum number of writes in one request.
    max_writes: usize,
    commit_interval: Duration,
    /// Limits the write rate to the log's share, so that the other nodes can still write for leader election.
    write_budget: TokenBucket,
    /// The write rate, in writes per second, that is used after the state service has refused a write because of its
    /// rate limit.
    reduced_write_rate: f64,
    in_flight: InFlightRequests,
    loaded: bool,
    load_progress: LoadProgress,
    /// Fragments of records that were read so far and are not complete.
    fragments: FragmentAssembly,
    /// The manifest of the latest snapshot, including one that is still being written.
    manifest: Option<Manifest>,
    /// Revision of the manifest's key; 0 if the key does not exist, `None` if the revision is not known and must be
    /// read.
    ///
    /// The manifest is the only key that is overwritten, so its write is conditional on this revision. Without the
    /// condition a delayed duplicate of an executed write restored an earlier manifest, which referred to chunks and
    /// log entries that had been deleted since, and the next leader read an empty log.
    manifest_revision: Option<Revision>,
    /// Keys of the latest snapshot's chunks, which the next snapshot deletes.
    snapshot_keys: Vec<String>,
    /// Index of the next entry to be written.
    next_index: LogIndex,
    /// Index of the oldest entry that is not covered by a snapshot.
    oldest_index: LogIndex,
    /// Records that delay something else until they are durable: responses to users, the completion of tasks, the use
    /// of new machines, and, for a machine that is gone, the next leader, which would wait to fence it.
    urgent_queue: VecDeque<LogRecord>,
    /// Records that nothing waits for. They are written only after all urgent records: when a thousand machines started
    /// together, their records of cached images and provisioned machines delayed submissions by seconds.
    background_queue: VecDeque<LogRecord>,
    /// Records of the commit in flight.
    committing: Vec<LogRecord>,
    last_commit_at: Timestamp,
    /// The remaining steps of a snapshot or of the deletion of obsolete keys, if one is in progress.
    snapshot_write: Option<SnapshotWrite>,
    entries_since_snapshot: u64,
    snapshot_interval_entries: u64,
    /// Number of snapshots that this leader has begun; part of their generation's name.
    snapshot_counter: u64,
    revision_write: RevisionWrite,
}

fn write_budget_capacity(rate_per_s: f64) -> f64 {
    rate_per_s.max(MIN_WRITE_BUDGET)
}

fn log_key(index: LogIndex) -> String {
    format!("{LOG_PREFIX}{:012}", index.0)
}

impl WriteAheadLog {
    /// Creates the log of a new leader. `start` must be called to read the records of earlier leaders.
    pub fn new(
        token: FencingToken,
        format: Format,
        now: Timestamp,
        limits: &StateLimits,
        tuning: &Tuning,
    ) -> WriteAheadLog {
        // The smaller of the current and the announced limit is used from the beginning, since the state service may
        // lower its limits at any time: a commit that exceeds them would be rejected at each retry.
        let max_value_bytes = ((limits.guaranteed_value_kb() * 1024.0) as usize).saturating_sub(VALUE_MARGIN_BYTES);
        let (full_rate, reduced_rate) = limits.write_rates();
        let rate = full_rate * WRITE_RATE_SHARE;
        let initial_budget = reduced_rate * INITIAL_BUDGET_S;
        WriteAheadLog {
            token,
            format,
            max_value_bytes: max_value_bytes.min(MAX_REQUEST_BYTES - REQUEST_OVERHEAD_BYTES),
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
            revision_write: RevisionWrite::default(),
        }
    }

    /// Whether all records of earlier leaders have been read.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Returns the number of records that are not durable yet and that something waits for. Background records in the
    /// queue are not counted.
    pub fn backlog(&self) -> usize {
        self.urgent_queue.len() + self.committing.len()
    }

    /// Whether a record fits into one value under the current limits.
    pub fn fits_in_value(&self, record: &LogRecord) -> bool {
        serde_json::to_string(record).is_ok_and(|json| json.len() + LIST_OVERHEAD_BYTES <= self.max_value_bytes)
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

    /// Queues the completion of a task. Completions of the same job are merged into one record while it has few enough
    /// ranges.
    pub fn append_task_done(&mut self, task: TaskId) {
        for record in self.urgent_queue.iter_mut().rev().take(MERGE_LOOKBACK) {
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

    /// Retries requests without a response, commits queued records if a commit is due, and continues a snapshot. Called
    /// periodically and after each input.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        self.write_budget.refill(now);
        self.in_flight.resend_due(now, out);
        if self.loaded {
            self.commit_if_due(now, out);
            self.advance_snapshot(now, out);
            self.write_revision_if_due(now, out);
        }
    }

    /// Handles the state service's response to the request with this number. A response to an attempt that was retried
    /// since is ignored.
    pub fn handle_response(&mut self, now: Timestamp, id: u64, response: &ServiceResponse, out: &mut Vec<LogEvent>) {
        let Some(purpose) = self.in_flight.purpose(id) else { return };
        let handled = match (purpose, response.status) {
            (RequestPurpose::LoadSnapshot | RequestPurpose::LoadEntries, 200) => {
                self.handle_load_response(now, id, purpose, response, out)
            }
            (RequestPurpose::Commit | RequestPurpose::Snapshot | RequestPurpose::RaiseRevision, 200) => {
                self.handle_write_success(now, id, response, out);
                true
            }
            (RequestPurpose::Commit | RequestPurpose::Snapshot | RequestPurpose::RaiseRevision, 409) => {
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
            self.in_flight.retry_at(id, now + retry_delay(purpose, response.status));
        }
    }

    /// Handles a page of the log or snapshot; returns false if the page cannot be parsed, so that it is read again.
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

    fn handle_write_success(&mut self, now: Timestamp, id: u64, response: &ServiceResponse, out: &mut Vec<LogEvent>) {
        let Some(request) = self.in_flight.take(id) else { return };
        let committed = response.parse::<CompareAndSwapResponse>();
        let revision = committed.map(|committed| Revision(committed.revision));
        if request.writes_manifest() {
            self.manifest_revision = revision;
        }
        if let Some(revision) = revision {
            self.revision_write.requested = false;
            out.push(LogEvent::WriteConfirmed(revision));
        }
        self.complete_write(now, request.purpose, out);
    }

    /// Handles a write whose conditions do not hold: this node is no longer the leader, or an earlier attempt of the
    /// same write was executed and its response was lost.
    fn handle_conflict(&mut self, now: Timestamp, id: u64, response: &ServiceResponse, out: &mut Vec<LogEvent>) {
        let Some(request) = self.in_flight.take(id) else { return };
        if request.writes_manifest() {
            self.manifest_revision = None;
        }
        let failed_keys = response.parse::<CompareAndSwapResponse>().unwrap_or_default().failed_keys;
        if failed_keys.is_empty() || failed_keys.iter().any(|key| key == self.format.leader_key()) {
            out.push(LogEvent::LeaderKeyLost);
        } else {
            // The leader key is unchanged, and only this node writes under its revision: the entry or manifest was
            // written by an earlier attempt of this request, whose response was lost.
            self.complete_write(now, request.purpose, out);
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

    fn complete_write(&mut self, now: Timestamp, purpose: RequestPurpose, out: &mut Vec<LogEvent>) {
        match purpose {
            RequestPurpose::Commit => {
                out.push(LogEvent::RecordsDurable(std::mem::take(&mut self.committing)));
                self.tick(now, out);
            }
            RequestPurpose::Snapshot => {
                if let Some(snapshot) = &mut self.snapshot_write {
                    snapshot.complete_step();
                }
            }
            RequestPurpose::RaiseRevision
            | RequestPurpose::LoadSnapshot
            | RequestPurpose::LoadEntries
            | RequestPurpose::ReadManifestRevision => {}
        }
    }

    /// Lowers the write rate and empties the write budget after the state service has refused a request because of its
    /// rate limit.
    fn throttle(&mut self) {
        let rate = self.write_budget.rate_per_s().min(self.reduced_write_rate);
        self.write_budget.set_rate(rate, write_budget_capacity(rate));
        self.write_budget.empty();
    }
}

fn retry_delay(purpose: RequestPurpose, status: u16) -> Duration {
    match (status, purpose) {
        (0, _) => LOST_RESPONSE_RETRY_DELAY,
        (429, RequestPurpose::Snapshot) => THROTTLED_SNAPSHOT_RETRY_DELAY,
        _ => RETRY_DELAY,
    }
}

#[cfg(test)]
mod tests;
