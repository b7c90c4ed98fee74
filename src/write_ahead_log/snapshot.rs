//! Snapshots of the durable state, which allow the log entries before them to be deleted.
//!
//! The records are written to chunks first; then the manifest is updated to refer to these chunks; then the entries and
//! the previous snapshot that it supersedes are deleted. If the leader is lost after any of these steps, the stored
//! state can still be loaded.

use super::commit::{LIST_OVERHEAD_BYTES, SEPARATOR_BYTES};
use super::requests::{RequestPurpose, writes_manifest};
use super::{LogEvent, LogRecord, MAX_REQUEST_BYTES, WriteAheadLog, fragments, log_key};
use crate::store::{StoreRequest, condition};
use crate::types::{LogIndex, Timestamp};
use crate::upgrade::Format;
use crate::wire::StoreWrite;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::VecDeque;

/// Prefix of the keys of the manifest and of all chunks.
pub(super) const SNAPSHOT_PREFIX: &str = "snap/";
/// Key of the manifest, which refers to the current snapshot.
pub(super) const MANIFEST_KEY: &str = "snap/manifest";
/// Maximum number of writes in one step of a snapshot; small, so that commits are not delayed.
const MAX_WRITES_PER_STEP: usize = 8;
/// Writes of the write budget that a snapshot leaves to commits.
const RESERVED_WRITES: usize = 3;

/// Refers to the current snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Manifest {
    generation: String,
    /// Index of the newest log entry that the snapshot covers.
    pub(super) covers: LogIndex,
}

impl Manifest {
    /// Returns the prefix of the keys of the snapshot's chunks.
    pub(super) fn chunk_prefix(&self) -> String {
        format!("{SNAPSHOT_PREFIX}{}/", self.generation)
    }
}

/// The remaining steps of a snapshot, or of the deletion of obsolete keys. Each step is one transaction.
#[derive(Debug)]
pub(super) struct SnapshotWrite {
    steps: VecDeque<Vec<StoreWrite>>,
}

impl SnapshotWrite {
    /// Creates the steps that delete these keys, `keys_per_step` in each.
    pub(super) fn deletion_of(keys: Vec<String>, keys_per_step: usize) -> SnapshotWrite {
        SnapshotWrite { steps: deletion_steps(keys, keys_per_step) }
    }

    /// All remaining writes.
    #[cfg(test)]
    pub(super) fn writes(&self) -> impl Iterator<Item = &StoreWrite> {
        self.steps.iter().flatten()
    }

    /// Removes the first step after it was executed.
    pub(super) fn complete_step(&mut self) {
        self.steps.pop_front();
    }
}

impl WriteAheadLog {
    /// Whether a snapshot is due, in which case the leader calls `begin_snapshot` with the durable records. No commit
    /// may be in flight, so that these records correspond exactly to the entries that the snapshot covers.
    pub fn snapshot_due(&self) -> bool {
        self.loaded
            && self.snapshot_write.is_none()
            && self.committing.is_empty()
            && self.entries_since_snapshot >= self.snapshot_interval_entries
    }

    /// Begins to write a snapshot that consists of these records, all of which are durable.
    pub fn begin_snapshot(&mut self, records: impl Iterator<Item = LogRecord>) {
        let Some(values) = self.encode_records(records) else {
            log::warn!("snapshot skipped reason=\"a record exceeds the value size limit of the state service\"");
            self.entries_since_snapshot = 0;
            return;
        };
        self.snapshot_counter += 1;
        let generation = format!("{}-{}", self.token, self.snapshot_counter);
        let manifest = Manifest { generation, covers: LogIndex(self.next_index.0 - 1) };
        let chunks = fill_chunks(values, self.max_value_bytes);
        let prefix = manifest.chunk_prefix();
        let chunk_keys: Vec<String> = (0..chunks.len()).map(|index| format!("{prefix}{index:06}")).collect();

        let mut steps = self.chunk_steps(&chunk_keys, chunks);
        steps.push_back(vec![StoreWrite::Put {
            key: MANIFEST_KEY.into(),
            value: serde_json::to_value(&manifest).unwrap_or_default(),
            lease: None,
        }]);
        steps.extend(deletion_steps(self.superseded_keys(&manifest), self.writes_per_snapshot_step()));

        self.snapshot_keys = chunk_keys;
        self.oldest_index = self.next_index;
        self.manifest = Some(manifest);
        self.entries_since_snapshot = 0;
        self.snapshot_write = Some(SnapshotWrite { steps });
    }

    /// Encodes the records of a snapshot as JSON, and splits records that exceed the size limit of a value into
    /// fragments. Returns `None` if fragments are needed but a controller of the previous version, which cannot
    /// read them, may still become the leader; the snapshot is then skipped.
    fn encode_records(&self, records: impl Iterator<Item = LogRecord>) -> Option<Vec<Value>> {
        let mut values = Vec::new();
        let mut large_records = 0;
        for record in records {
            let value = serde_json::to_value(&record).unwrap_or_default();
            let json = value.to_string();
            if json.len() + LIST_OVERHEAD_BYTES <= self.max_value_bytes {
                values.push(value);
                continue;
            }
            if self.format < Format::Two {
                return None;
            }
            let fragments = fragments::split(large_records, &json, self.max_value_bytes);
            values.extend(fragments.iter().map(|fragment| serde_json::to_value(fragment).unwrap_or_default()));
            large_records += 1;
        }
        Some(values)
    }

    /// Creates the steps that write the chunks.
    fn chunk_steps(&self, keys: &[String], chunks: Vec<Vec<Value>>) -> VecDeque<Vec<StoreWrite>> {
        let chunks_per_step = self.writes_per_snapshot_step().min(MAX_REQUEST_BYTES / self.max_value_bytes).max(1);
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

    /// Returns the keys that are obsolete once this manifest is written: the log entries that it covers and the chunks
    /// of the previous snapshot.
    fn superseded_keys(&mut self, manifest: &Manifest) -> Vec<String> {
        let entries = self.oldest_index.0..=manifest.covers.0;
        let mut keys: Vec<String> = entries.map(|index| log_key(LogIndex(index))).collect();
        keys.append(&mut self.snapshot_keys);
        keys
    }

    /// Returns the maximum number of writes in one step of a snapshot: it must fit into one request and into the part
    /// of a second's write budget that is not reserved for commits.
    pub(super) fn writes_per_snapshot_step(&self) -> usize {
        let left_by_commits = (self.write_budget.rate_per_s() as usize).saturating_sub(RESERVED_WRITES).max(1);
        self.max_writes.min(MAX_WRITES_PER_STEP).min(left_by_commits)
    }

    /// Sends the next step of a snapshot if there is one and the write budget also suffices for the writes reserved for
    /// commits. Reads the manifest's revision first if it is not known.
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
        // Commits have priority over snapshots, so part of the budget is reserved for them.
        let needed = (step.len() + RESERVED_WRITES).min(self.write_budget.capacity() as usize);
        if self.write_budget.available() < needed as f64 {
            return;
        }
        // The step is cloned only when it is sent. This method is called for every heartbeat and request; cloning a
        // step of up to 64 KiB each time while it waited for the write budget took a fifth of the leader's CPU time.
        let step = step.clone();
        self.write_budget.take(step.len() as f64);
        let mut swap = self.conditional_on_leadership(step);
        if writes_manifest(&swap.writes) {
            swap.conditions.push(condition(MANIFEST_KEY, manifest_revision));
        }
        self.in_flight.send(now, RequestPurpose::Snapshot, StoreRequest::CompareAndSwap(swap), out);
    }
}

/// Groups records into chunks, each filled up to the size limit of a value.
fn fill_chunks(values: Vec<Value>, max_value_bytes: usize) -> Vec<Vec<Value>> {
    let mut chunks: Vec<Vec<Value>> = Vec::new();
    let mut chunk_bytes = usize::MAX;
    for value in values {
        let bytes = value.to_string().len() + SEPARATOR_BYTES;
        if chunk_bytes.saturating_add(bytes) > max_value_bytes {
            chunks.push(Vec::new());
            chunk_bytes = LIST_OVERHEAD_BYTES;
        }
        chunk_bytes += bytes;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(value);
        }
    }
    chunks
}

fn deletion_steps(keys: Vec<String>, keys_per_step: usize) -> VecDeque<Vec<StoreWrite>> {
    let delete = |key: &String| StoreWrite::Delete { key: key.clone() };
    keys.chunks(keys_per_step).map(|step| step.iter().map(delete).collect()).collect()
}
