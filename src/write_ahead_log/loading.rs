//! Loading of the records of earlier leaders after an election: the snapshot first, then the log entries that it does
//! not cover.

use super::requests::RequestPurpose;
use super::snapshot::{MANIFEST_KEY, Manifest, SNAPSHOT_PREFIX, SnapshotWrite};
use super::{LOG_PREFIX, LogEvent, LogRecord, WriteAheadLog};
use crate::store::StoreRequest;
use crate::types::{LogIndex, Revision, Timestamp};
use crate::wire::{KeyPage, KeyValue};
use serde_json::Value;

/// Intermediate state while the log is being loaded.
#[derive(Debug, Default)]
pub(super) struct LoadProgress {
    /// Keys and values of the chunks of all snapshots, kept until the manifest has been read.
    chunks: Vec<(String, Value)>,
    /// Keys of chunks and entries that are not needed any more and are deleted after loading.
    obsolete_keys: Vec<String>,
}

impl WriteAheadLog {
    /// Starts to load the log.
    pub fn start(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        self.read_page(now, RequestPurpose::LoadSnapshot, None, out);
    }

    fn read_page(&mut self, now: Timestamp, purpose: RequestPurpose, after: Option<String>, out: &mut Vec<LogEvent>) {
        let prefix = if purpose == RequestPurpose::LoadSnapshot { SNAPSHOT_PREFIX } else { LOG_PREFIX };
        self.in_flight.send(now, purpose, StoreRequest::Scan { prefix: prefix.into(), after }, out);
    }

    /// Handles a page of snapshot keys or log entries and requests the next one.
    pub(super) fn handle_page(
        &mut self,
        now: Timestamp,
        purpose: RequestPurpose,
        page: KeyPage,
        out: &mut Vec<LogEvent>,
    ) {
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            match purpose {
                RequestPurpose::LoadSnapshot => self.load_snapshot_key(item),
                _ => self.load_entry(item, out),
            }
        }
        if page.more && last_key.is_some() {
            return self.read_page(now, purpose, last_key, out);
        }
        match purpose {
            RequestPurpose::LoadSnapshot => {
                self.finish_snapshot(out);
                self.read_page(now, RequestPurpose::LoadEntries, None, out);
            }
            _ => self.finish_loading(out),
        }
    }

    fn load_snapshot_key(&mut self, item: KeyValue) {
        if item.key == MANIFEST_KEY {
            self.manifest_revision = Some(Revision(item.revision));
            self.manifest = serde_json::from_value(item.value).ok();
        } else {
            self.load_progress.chunks.push((item.key, item.value));
        }
    }

    fn load_entry(&mut self, item: KeyValue, out: &mut Vec<LogEvent>) {
        let index = item.key.strip_prefix(LOG_PREFIX).and_then(|index| index.parse().ok()).unwrap_or(0);
        self.next_index = self.next_index.max(LogIndex(index + 1));
        if self.manifest.as_ref().is_some_and(|manifest| index <= manifest.covers.0) {
            self.load_progress.obsolete_keys.push(item.key);
        } else {
            self.entries_since_snapshot += 1;
            self.read_records(item.value, out);
        }
    }

    /// Loads the chunks of the snapshot that the manifest refers to. Chunks of other generations remain from a snapshot
    /// that was interrupted by the loss of its leader; they are deleted later.
    fn finish_snapshot(&mut self, out: &mut Vec<LogEvent>) {
        let prefix = self.manifest.as_ref().map(Manifest::chunk_prefix);
        for (key, value) in std::mem::take(&mut self.load_progress.chunks) {
            match &prefix {
                Some(prefix) if key.starts_with(prefix.as_str()) => {
                    self.read_records(value, out);
                    self.snapshot_keys.push(key);
                }
                _ => self.load_progress.obsolete_keys.push(key),
            }
        }
        if let Some(manifest) = &self.manifest {
            self.next_index = LogIndex(manifest.covers.0 + 1);
        }
    }

    fn finish_loading(&mut self, out: &mut Vec<LogEvent>) {
        self.oldest_index = self.manifest.as_ref().map_or(LogIndex(1), |manifest| LogIndex(manifest.covers.0 + 1));
        self.loaded = true;
        let obsolete_keys = std::mem::take(&mut self.load_progress.obsolete_keys);
        if !obsolete_keys.is_empty() {
            self.snapshot_write = Some(SnapshotWrite::deletion_of(obsolete_keys, self.writes_per_snapshot_step()));
        }
        out.push(LogEvent::LoadComplete);
    }

    fn read_records(&mut self, value: Value, out: &mut Vec<LogEvent>) {
        let records = match serde_json::from_value::<Vec<LogRecord>>(value) {
            Ok(records) => records,
            Err(error) => return log::error!("log entry unreadable error=\"{error}\""),
        };
        for record in records {
            let complete = match record {
                LogRecord::Fragment(fragment) => self.fragments.add(fragment),
                record => Some(record),
            };
            out.extend(complete.map(LogEvent::RecordLoaded));
        }
    }
}
