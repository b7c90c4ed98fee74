//! Snapshots: all records that still matter, written anew, so that the entries before them can be removed.
//!
//! Chunks are written first, then the manifest that names them, then what it covers is removed. Cut off at any step, the stored state
//! stays readable.

use super::commit::{LIST_BYTES, SEPARATOR_BYTES};
use super::requests::{RequestPurpose, writes_manifest};
use super::{LogEvent, LogRecord, MAX_REQUEST_BYTES, WriteAheadLog, fragments, log_key};
use crate::store::{StoreRequest, condition};
use crate::types::{LogIndex, Timestamp};
use crate::upgrade::Format;
use crate::wire::StoreWrite;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::VecDeque;

/// Prefix of everything that belongs to snapshots.
pub(super) const SNAPSHOT_PREFIX: &str = "snap/";
/// The key that names the snapshot in force.
pub(super) const MANIFEST_KEY: &str = "snap/manifest";
/// Most writes in one step of a snapshot: few, so that commits are not held up.
const MAX_WRITES_PER_STEP: usize = 8;
/// Writes that a snapshot leaves free for commits.
const RESERVED_WRITES: usize = 3;

/// Which snapshot is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Manifest {
    generation: String,
    /// The newest entry that it covers.
    pub(super) covers: LogIndex,
}

impl Manifest {
    /// Prefix of its chunks' keys.
    pub(super) fn chunk_prefix(&self) -> String {
        format!("{SNAPSHOT_PREFIX}{}/", self.generation)
    }
}

/// A snapshot that is being written, or keys that are being removed.
#[derive(Debug)]
pub(super) struct SnapshotWrite {
    steps: VecDeque<Vec<StoreWrite>>,
}

impl SnapshotWrite {
    /// Removes keys, so many in a step.
    pub(super) fn removal_of(keys: Vec<String>, keys_per_step: usize) -> SnapshotWrite {
        SnapshotWrite { steps: removals(keys, keys_per_step) }
    }

    /// All writes that are left.
    #[cfg(test)]
    pub(super) fn writes(&self) -> impl Iterator<Item = &StoreWrite> {
        self.steps.iter().flatten()
    }

    /// The first step has been made.
    pub(super) fn step_done(&mut self) {
        self.steps.pop_front();
    }
}

impl WriteAheadLog {
    /// Whether a snapshot should be taken now; then `begin_snapshot` is called with the durable records.
    pub fn snapshot_due(&self) -> bool {
        self.loaded
            && self.snapshot_write.is_none()
            && self.committing.is_empty()
            && self.entries_since_snapshot >= self.snapshot_interval_entries
    }

    /// Begins to write a snapshot of the durable records.
    pub fn begin_snapshot(&mut self, records: impl Iterator<Item = LogRecord>) {
        let Some(values) = self.encode_records(records) else {
            log::warn!("snapshot skipped reason=\"a record is too large for the values that the store will take\"");
            self.entries_since_snapshot = 0;
            return;
        };
        self.snapshot_counter += 1;
        let generation = format!("{}-{}", self.token, self.snapshot_counter);
        let manifest = Manifest { generation, covers: LogIndex(self.next_index.0 - 1) };
        let chunks = fill_chunks(values, self.value_bytes);
        let prefix = manifest.chunk_prefix();
        let chunk_keys: Vec<String> = (0..chunks.len()).map(|index| format!("{prefix}{index:06}")).collect();

        let mut steps = self.chunk_steps(&chunk_keys, chunks);
        steps.push_back(vec![StoreWrite::Put {
            key: MANIFEST_KEY.into(),
            value: serde_json::to_value(&manifest).unwrap_or_default(),
            lease: None,
        }]);
        steps.extend(removals(self.covered_keys(&manifest), self.writes_per_snapshot_step()));

        self.snapshot_keys = chunk_keys;
        self.oldest_index = self.next_index;
        self.manifest = Some(manifest);
        self.entries_since_snapshot = 0;
        self.snapshot_write = Some(SnapshotWrite { steps });
    }

    /// The records of a snapshot as values, those that are too large for one in fragments; `None` if the version in production would
    /// have to read fragments: then the log goes on without a snapshot.
    fn encode_records(&self, records: impl Iterator<Item = LogRecord>) -> Option<Vec<Value>> {
        let mut values = Vec::new();
        let mut large_records = 0;
        for record in records {
            let value = serde_json::to_value(&record).unwrap_or_default();
            let json = value.to_string();
            if json.len() + LIST_BYTES <= self.value_bytes {
                values.push(value);
                continue;
            }
            if self.format < Format::Two {
                return None;
            }
            let fragments = fragments::split(large_records, &json, self.value_bytes);
            values.extend(fragments.iter().map(|fragment| serde_json::to_value(fragment).unwrap_or_default()));
            large_records += 1;
        }
        Some(values)
    }

    /// The steps that write the chunks.
    fn chunk_steps(&self, keys: &[String], chunks: Vec<Vec<Value>>) -> VecDeque<Vec<StoreWrite>> {
        let chunks_per_step = self.writes_per_snapshot_step().min(MAX_REQUEST_BYTES / self.value_bytes).max(1);
        let mut steps: VecDeque<Vec<StoreWrite>> = VecDeque::new();
        for (key, chunk) in keys.iter().zip(chunks) {
            let put = StoreWrite::Put { key: key.clone(), value: chunk.into(), lease: None };
            match steps.back_mut() {
                Some(step) if step.len() < chunks_per_step => step.push(put),
                _ => steps.push_back(vec![put]),
            }
        }
        steps
    }

    /// Keys that nobody needs once this manifest is in force: the entries that it covers, and the snapshot before.
    fn covered_keys(&mut self, manifest: &Manifest) -> Vec<String> {
        let entries = self.oldest_index.0..=manifest.covers.0;
        let mut keys: Vec<String> = entries.map(|index| log_key(LogIndex(index))).collect();
        keys.append(&mut self.snapshot_keys);
        keys
    }

    /// Writes per step of a snapshot.
    pub(super) fn writes_per_snapshot_step(&self) -> usize {
        let left_by_commits = (self.write_budget.rate_per_s() as usize).saturating_sub(RESERVED_WRITES).max(1);
        self.max_writes.min(MAX_WRITES_PER_STEP).min(left_by_commits)
    }

    /// Makes the next step of a snapshot, if there is one and the write budget leaves room for commits.
    pub(super) fn advance_snapshot(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        if self.in_flight.has(RequestPurpose::Snapshot) || self.in_flight.has(RequestPurpose::ReadManifestRevision) {
            return;
        }
        let Some(manifest_revision) = self.manifest_revision else {
            let read = StoreRequest::Get(MANIFEST_KEY.into());
            return self.in_flight.send(now, RequestPurpose::ReadManifestRevision, read, out);
        };
        let Some(snapshot) = &self.snapshot_write else { return };
        let Some(step) = snapshot.steps.front() else {
            self.snapshot_write = None;
            return;
        };
        // Commits go first: some writes stay free for them.
        let needed = (step.len() + RESERVED_WRITES).min(self.write_budget.capacity() as usize);
        if self.write_budget.available() < needed as f64 {
            return;
        }
        // Copied only when it is sent. This is called with every heartbeat and request: copying a step of up to 64 KiB each time
        // while it waited for the budget was a fifth of a leader's processor time.
        let step = step.clone();
        self.write_budget.take(step.len() as f64);
        let mut swap = self.while_leading(step);
        if writes_manifest(&swap.writes) {
            swap.conditions.push(condition(MANIFEST_KEY, manifest_revision));
        }
        self.in_flight.send(now, RequestPurpose::Snapshot, StoreRequest::CompareAndSwap(swap), out);
    }
}

/// Puts records together in chunks that are each as full as a value may be.
fn fill_chunks(values: Vec<Value>, value_bytes: usize) -> Vec<Vec<Value>> {
    let mut chunks: Vec<Vec<Value>> = Vec::new();
    let mut chunk_bytes = usize::MAX;
    for value in values {
        let bytes = value.to_string().len() + SEPARATOR_BYTES;
        if chunk_bytes.saturating_add(bytes) > value_bytes {
            chunks.push(Vec::new());
            chunk_bytes = LIST_BYTES;
        }
        chunk_bytes += bytes;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(value);
        }
    }
    chunks
}

fn removals(keys: Vec<String>, keys_per_step: usize) -> VecDeque<Vec<StoreWrite>> {
    let remove = |key: &String| StoreWrite::Delete { key: key.clone() };
    keys.chunks(keys_per_step).map(|step| step.iter().map(remove).collect()).collect()
}
