//! The durable log: what must outlive every process.
//!
//! Everything that became due since the last commit goes into one value, written on condition
//! that the leader key still has the revision at which this node won it and that the entry does
//! not exist. One commit is in flight; a repeat or a late copy changes nothing.

mod fragments;

use crate::jobs::JobSpec;
use crate::store::{ServiceResponse, StoreRequest, condition};
use crate::types::{
    Duration, FencingToken, JobId, LogIndex, MachineId, Revision, TaskId, TaskIndexSet, Timestamp, TokenBucket,
    WallClock,
};
use crate::upgrade::Format;
use crate::wire::{CompareAndSwap, CompareAndSwapResponse, KeyPage, KeyValue, StoreWrite};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A machine as it is remembered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineRecord {
    /// Name.
    #[serde(rename = "i")]
    pub id: MachineId,
    /// Where its worker takes commands.
    #[serde(rename = "e")]
    pub endpoint: String,
    /// Type.
    #[serde(rename = "k")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When it was rented, or first heard of.
    #[serde(rename = "a", default)]
    pub rented_at: WallClock,
}

/// One durable fact. Applying a fact twice is the same as applying it once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LogRecord {
    /// A job was accepted.
    #[serde(rename = "j")]
    JobAccepted(JobSpec),
    /// Tasks of a job finished.
    #[serde(rename = "d")]
    TasksDone(JobId, TaskIndexSet),
    /// A job was cancelled.
    #[serde(rename = "c")]
    JobCancelled(JobId),
    /// A machine may get tasks from now on.
    #[serde(rename = "m")]
    MachineRegistered(MachineRecord),
    /// A machine was rented and has not reported yet. Nothing waits for this fact: without it the
    /// next leader would rent again what the cloud's list shows only later.
    #[serde(rename = "r")]
    MachineRented(MachineRecord),
    /// A machine holds an image.
    #[serde(rename = "i")]
    ImageCached(MachineId, String),
    /// What CorrecFAST has learnt: its value in percent and how many executions it saw.
    #[serde(rename = "l")]
    CorrectionLearnt(f64, u64),
    /// A machine is gone for ever.
    #[serde(rename = "g")]
    MachineGone(MachineId),
    /// Jobs that are over (snapshots only): those done with their number of tasks, those cancelled;
    /// ids as differences from the one before.
    #[serde(rename = "f")]
    EndedJobs(Vec<(u64, u32)>, Vec<u64>),
    /// A part of a fact that is too large for a value (snapshots of format two only).
    #[serde(rename = "p")]
    Fragment(fragments::Part),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Manifest {
    generation: String,
    covers: LogIndex,
}

/// What the slice wants done or made known.
#[derive(Debug, PartialEq)]
pub enum LogEvent {
    /// Ask the state service; the number comes back with the reply.
    Request(u64, StoreRequest),
    /// A fact read back after an election.
    RecordLoaded(LogRecord),
    /// All facts were read back.
    LoadComplete,
    /// These facts are durable now.
    RecordsDurable(Vec<LogRecord>),
    /// The leader key has another revision: somebody else leads.
    LeaderKeyLost,
}

#[derive(Debug, Clone, PartialEq)]
enum Purpose {
    LoadSnapshot,
    LoadLog,
    Commit,
    Snapshot,
    /// Reads the manifest's revision after a write of it got no answer.
    Settle,
}

#[derive(Debug)]
struct InFlight {
    id: u64,
    purpose: Purpose,
    call: StoreRequest,
    sent: Timestamp,
    retry_at: Option<Timestamp>,
}

impl InFlight {
    /// Whether it writes the manifest.
    fn writes_manifest(&self) -> bool {
        matches!(&self.call, StoreRequest::CompareAndSwap(txn) if writes_manifest(&txn.writes))
    }
}

fn writes_manifest(changes: &[StoreWrite]) -> bool {
    changes.iter().any(|c| matches!(c, StoreWrite::Put { key, .. } if key == MANIFEST))
}

#[derive(Debug)]
struct Snapshot {
    steps: VecDeque<Vec<StoreWrite>>,
}

/// State of the slice; made anew at each election.
#[derive(Debug)]
pub struct WriteAheadLog {
    token: FencingToken,
    /// What may be written, and which leader key every write is conditional on.
    format: Format,
    value_bytes: usize,
    txn_ops: usize,
    commit_every: Duration,
    /// Writes that may be made now; a part of the store's rate is left to the other nodes' elections.
    write_budget: TokenBucket,
    /// What the rate falls to when the store says that there are too many writes.
    reduced_write_rate: f64,
    request_counter: u64,
    loaded: bool,
    manifest: Option<Manifest>,
    /// Revision of the manifest's key, 0 if there is none; `None`: it has to be read.
    ///
    /// The manifest is the only key that is written over, so its write is conditional on this. Without, a repeat
    /// of a write that was carried out came late, put an earlier manifest back, which names chunks and log
    /// entries that were removed since, and the next leader read an empty log.
    manifest_revision: Option<Revision>,
    /// Keys that no reader needs any more.
    obsolete_keys: Vec<String>,
    /// Facts that are read in parts.
    fragment_assembly: fragments::Assembly,
    /// Chunks of the snapshot in force; the next one makes them stray.
    snapshot_keys: Vec<String>,
    snapshot_chunks: Vec<(String, serde_json::Value)>,
    next_index: LogIndex,
    oldest_index: LogIndex,
    /// What users, finished tasks and new machines wait for; a machine that is gone would hold the next leader up.
    urgent_queue: VecDeque<LogRecord>,
    /// What nobody waits for: it goes along where room is left. When a thousand machines came up together, their
    /// images and rentals held submissions up for seconds.
    background_queue: VecDeque<LogRecord>,
    committing: Vec<LogRecord>,
    in_flight: Vec<InFlight>,
    last_commit: Timestamp,
    snapshot: Option<Snapshot>,
    since_snapshot: u64,
    snapshot_every: u64,
    snapshots: u64,
}

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Share of the store's writes that the log may make; the rest is left to the other nodes' elections.
const WRITE_RATE_SHARE: f64 = 0.75;
/// The write budget of a new leader, in seconds of the store's reduced rate.
const INITIAL_BUDGET_S: f64 = 0.5;
/// Least capacity of the write budget.
const LEAST_WRITE_BUDGET: f64 = 2.0;
/// Writes that a snapshot leaves free for commits.
const RESERVED_WRITES: usize = 3;
const MANIFEST: &str = "snap/manifest";
/// Ranges of tasks in one fact: it fits into a value of 2 KiB.
pub const RANGES_LIMIT: usize = 60;
/// Finished jobs in one fact, likewise.
pub const FINALS_LIMIT: usize = 60;
/// Bytes of a value around a single fact.
const LIST_BYTES: usize = 2;
/// Bytes of a transaction that are not values, generously.
const OVERHEAD: usize = 2048;
const TXN_BYTES: usize = 64 * 1024 - OVERHEAD;

fn write_budget_capacity(rate_per_s: f64) -> f64 {
    rate_per_s.max(LEAST_WRITE_BUDGET)
}

fn log_key(no: LogIndex) -> String {
    format!("log/{:012}", no.0)
}

impl WriteAheadLog {
    /// Begins to read back what earlier leaders wrote.
    pub fn new(
        token: FencingToken,
        format: Format,
        now: Timestamp,
        limits: &crate::settings::StateLimits,
        tuning: &crate::settings::Tuning,
    ) -> WriteAheadLog {
        let (full_rate, reduced_rate) = limits.write_rates();
        let write_rate = full_rate * WRITE_RATE_SHARE;
        WriteAheadLog {
            token,
            format,
            // Sized for the smaller of both, since the limits may be lowered at any moment: a commit that is too large would
            // be rejected each time it is repeated.
            value_bytes: ((limits.value_kb_always() * 1024.0) as usize).saturating_sub(64).min(TXN_BYTES - OVERHEAD),
            txn_ops: limits.txn_ops_always(),
            commit_every: tuning.commit_every,
            write_budget: TokenBucket::new(
                now,
                write_rate,
                write_budget_capacity(write_rate),
                reduced_rate * INITIAL_BUDGET_S,
            ),
            reduced_write_rate: reduced_rate * WRITE_RATE_SHARE,
            request_counter: 0,
            loaded: false,
            manifest: None,
            manifest_revision: Some(Revision(0)),
            obsolete_keys: Vec::new(),
            fragment_assembly: fragments::Assembly::default(),
            snapshot_keys: Vec::new(),
            snapshot_chunks: Vec::new(),
            next_index: LogIndex(1),
            oldest_index: LogIndex(1),
            urgent_queue: VecDeque::new(),
            background_queue: VecDeque::new(),
            committing: Vec::new(),
            in_flight: Vec::new(),
            last_commit: Timestamp::ZERO,
            snapshot: None,
            since_snapshot: 0,
            snapshot_every: tuning.snapshot_every,
            snapshots: 0,
        }
    }

    /// Whether everything was read back.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// How many facts that somebody waits for are not durable yet.
    pub fn backlog(&self) -> usize {
        self.urgent_queue.len() + self.committing.len()
    }

    /// Whether a fact can be kept: it must fit into one value.
    pub fn fits_in_value(&self, record: &LogRecord) -> bool {
        serde_json::to_string(record).is_ok_and(|text| text.len() + LIST_BYTES <= self.value_bytes)
    }

    /// Queues a fact for the next commit.
    pub fn append(&mut self, record: LogRecord) {
        match record {
            LogRecord::JobAccepted(_)
            | LogRecord::TasksDone(..)
            | LogRecord::JobCancelled(_)
            | LogRecord::MachineRegistered(_)
            | LogRecord::MachineGone(_) => {
                self.urgent_queue.push_back(record);
            }
            _ => self.background_queue.push_back(record),
        }
    }

    /// Queues the finish of a task; finishes of one job share a record.
    pub fn append_task_done(&mut self, task: TaskId) {
        for record in self.urgent_queue.iter_mut().rev().take(64) {
            match record {
                LogRecord::TasksDone(job, tasks) if *job == task.job && tasks.range_count() < RANGES_LIMIT => {
                    tasks.insert(task.index);
                    return;
                }
                _ => {}
            }
        }
        let mut tasks = TaskIndexSet::default();
        tasks.insert(task.index);
        self.urgent_queue.push_back(LogRecord::TasksDone(task.job, tasks));
    }

    /// Begins reading.
    pub fn start(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        self.send_request(now, Purpose::LoadSnapshot, StoreRequest::Scan { prefix: "snap/".into(), after: None }, out);
    }

    fn send_request(&mut self, now: Timestamp, purpose: Purpose, call: StoreRequest, out: &mut Vec<LogEvent>) {
        self.request_counter += 1;
        self.in_flight.push(InFlight {
            id: self.request_counter,
            purpose,
            call: call.clone(),
            sent: now,
            retry_at: None,
        });
        out.push(LogEvent::Request(self.request_counter, call));
    }

    fn busy(&self, purpose: &Purpose) -> bool {
        self.in_flight.iter().any(|f| f.purpose == *purpose)
    }

    /// Whether a snapshot should be taken now; then `begin_snapshot` is called with the durable facts.
    pub fn snapshot_due(&self) -> bool {
        self.loaded
            && self.snapshot.is_none()
            && self.committing.is_empty()
            && self.since_snapshot >= self.snapshot_every
    }

    /// Lets time pass: repeats what got no answer, commits what is due.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        self.write_budget.refill(now);
        for i in 0..self.in_flight.len() {
            let flight = &mut self.in_flight[i];
            let due = match flight.retry_at {
                Some(at) => now >= at,
                None => now.since(flight.sent) >= CALL_TIMEOUT,
            };
            if due {
                self.request_counter += 1;
                flight.id = self.request_counter;
                flight.sent = now;
                flight.retry_at = None;
                out.push(LogEvent::Request(self.request_counter, flight.call.clone()));
            }
        }
        if !self.loaded {
            return;
        }
        let waits = !self.urgent_queue.is_empty() || !self.background_queue.is_empty();
        if waits
            && !self.busy(&Purpose::Commit)
            && now.since(self.last_commit) >= self.commit_every
            && self.write_budget.available() >= 1.0
        {
            self.commit(now, out);
        }
        if self.busy(&Purpose::Snapshot) || self.busy(&Purpose::Settle) {
            return;
        }
        let Some(stamp) = self.manifest_revision else {
            return self.send_request(now, Purpose::Settle, StoreRequest::Get(MANIFEST.into()), out);
        };
        let Some(snapshot) = &self.snapshot else { return };
        let Some(step) = snapshot.steps.front() else {
            self.snapshot = None;
            return;
        };
        // Commits go first: three changes stay free for them.
        let needed = (step.len() + RESERVED_WRITES).min(self.write_budget.capacity() as usize);
        if self.write_budget.available() < needed as f64 {
            return;
        }
        // Copied only when it is sent. This is called with every report and request: copying a step of up to 64 KiB each time while
        // it waited for the budget was a fifth of a leader's processor time.
        let step = step.clone();
        self.write_budget.take(step.len() as f64);
        let mut txn = self.conditional_write(step);
        if writes_manifest(&txn.writes) {
            txn.conditions.push(condition(MANIFEST, stamp));
        }
        self.send_request(now, Purpose::Snapshot, StoreRequest::CompareAndSwap(txn), out);
    }

    fn conditional_write(&self, changes: Vec<StoreWrite>) -> CompareAndSwap {
        CompareAndSwap {
            conditions: vec![condition(self.format.leader_key(), Revision(self.token.0))],
            writes: changes,
        }
    }

    /// Writes what waits: as many entries in one transaction as it may hold, each as full as a value may be.
    fn commit(&mut self, now: Timestamp, out: &mut Vec<LogEvent>) {
        let most = self.txn_ops.min(TXN_BYTES / self.value_bytes).min(self.write_budget.available() as usize).max(1);
        let mut txn = self.conditional_write(Vec::new());
        let (mut size, mut values) = (2, Vec::new());
        while let Some(record) = self.urgent_queue.front().or(self.background_queue.front()) {
            let value = serde_json::to_value(record).unwrap_or_default();
            let bytes = value.to_string().len() + 1;
            if !values.is_empty() && size + bytes > self.value_bytes {
                self.add_entry(&mut txn, std::mem::take(&mut values));
                size = 2;
                if txn.writes.len() >= most {
                    break;
                }
            }
            size += bytes;
            values.push(value);
            let record = self.urgent_queue.pop_front().or_else(|| self.background_queue.pop_front());
            self.committing.extend(record);
        }
        if !values.is_empty() {
            self.add_entry(&mut txn, values);
        }
        self.last_commit = now;
        self.write_budget.take(txn.writes.len() as f64);
        self.send_request(now, Purpose::Commit, StoreRequest::CompareAndSwap(txn), out);
    }

    /// Adds the next entry of the log to a transaction.
    fn add_entry(&mut self, txn: &mut CompareAndSwap, values: Vec<serde_json::Value>) {
        let key = log_key(self.next_index);
        self.next_index = LogIndex(self.next_index.0 + 1);
        self.since_snapshot += 1;
        txn.conditions.push(condition(&key, Revision(0)));
        txn.writes.push(StoreWrite::Put { key, value: values.into(), lease: None });
    }

    /// Takes an answer of the state service.
    pub fn handle_response(&mut self, now: Timestamp, id: u64, reply: &ServiceResponse, out: &mut Vec<LogEvent>) {
        let Some(at) = self.in_flight.iter().position(|f| f.id == id) else { return };
        let purpose = self.in_flight[at].purpose.clone();
        let ok = match (&purpose, reply.status) {
            (Purpose::LoadSnapshot | Purpose::LoadLog, 200) => match reply.parse::<KeyPage>() {
                Some(page) => {
                    self.in_flight.remove(at);
                    self.handle_page(now, purpose.clone(), page, out);
                    true
                }
                None => false,
            },
            (Purpose::Commit | Purpose::Snapshot, 200) => {
                let flight = self.in_flight.remove(at);
                if flight.writes_manifest() {
                    self.manifest_revision =
                        reply.parse::<CompareAndSwapResponse>().map(|answer| Revision(answer.revision));
                }
                self.request_done(now, &purpose, out);
                true
            }
            (Purpose::Settle, 200 | 404) => {
                self.in_flight.remove(at);
                let read = if reply.status == 200 { reply.parse::<KeyValue>().map(|kv| kv.revision) } else { Some(0) };
                self.manifest_revision = read.map(Revision);
                true
            }
            (Purpose::Commit | Purpose::Snapshot, 409) => {
                let failed = reply.parse::<CompareAndSwapResponse>().unwrap_or_default().failed_keys;
                if self.in_flight.remove(at).writes_manifest() {
                    self.manifest_revision = None;
                }
                if failed.iter().any(|k| k == self.format.leader_key()) || failed.is_empty() {
                    out.push(LogEvent::LeaderKeyLost);
                } else {
                    // Only this node writes under its token, so the entry or manifest is our own earlier
                    // try whose answer was lost.
                    self.request_done(now, &purpose, out);
                }
                true
            }
            _ => false,
        };
        if reply.status == 429 {
            let rate = self.write_budget.rate_per_s().min(self.reduced_write_rate);
            self.write_budget.set_rate(rate, write_budget_capacity(rate));
            self.write_budget.empty();
        }
        if !ok && let Some(flight) = self.in_flight.get_mut(at) {
            let pause = match (reply.status, &purpose) {
                (0, _) => Duration::from_millis(50),
                // Users' commits go first.
                (429, Purpose::Snapshot) => Duration::from_secs(1),
                _ => Duration::from_millis(250),
            };
            flight.retry_at = Some(now + pause);
        }
    }

    fn request_done(&mut self, now: Timestamp, purpose: &Purpose, out: &mut Vec<LogEvent>) {
        if *purpose == Purpose::Commit {
            out.push(LogEvent::RecordsDurable(std::mem::take(&mut self.committing)));
            self.tick(now, out);
        } else if let Some(snapshot) = &mut self.snapshot {
            snapshot.steps.pop_front();
        }
    }

    fn handle_page(&mut self, now: Timestamp, purpose: Purpose, page: KeyPage, out: &mut Vec<LogEvent>) {
        let last = page.items.last().map(|kv| kv.key.clone());
        for kv in page.items {
            match purpose {
                Purpose::LoadSnapshot if kv.key == MANIFEST => {
                    self.manifest_revision = Some(Revision(kv.revision));
                    self.manifest = serde_json::from_value(kv.value).ok();
                }
                Purpose::LoadSnapshot => self.snapshot_chunks.push((kv.key, kv.value)),
                _ => {
                    let no = kv.key.strip_prefix("log/").and_then(|n| n.parse().ok()).unwrap_or(0);
                    self.next_index = self.next_index.max(LogIndex(no + 1));
                    if self.manifest.as_ref().is_some_and(|m| no <= m.covers.0) {
                        self.obsolete_keys.push(kv.key);
                    } else {
                        self.since_snapshot += 1;
                        self.read_chunk(kv.value, out);
                    }
                }
            }
        }
        let prefix = if purpose == Purpose::LoadSnapshot { "snap/" } else { "log/" };
        if page.more && last.is_some() {
            return self.send_request(now, purpose, StoreRequest::Scan { prefix: prefix.into(), after: last }, out);
        }
        if purpose == Purpose::LoadSnapshot {
            // Chunks of a generation that no manifest names were left by a crash in mid-snapshot.
            let kept = self.manifest.as_ref().map(|m| format!("snap/{}/", m.generation));
            for (key, value) in std::mem::take(&mut self.snapshot_chunks) {
                match &kept {
                    Some(kept) if key.starts_with(kept.as_str()) => {
                        self.read_chunk(value, out);
                        self.snapshot_keys.push(key);
                    }
                    _ => self.obsolete_keys.push(key),
                }
            }
            if let Some(manifest) = &self.manifest {
                self.next_index = LogIndex(manifest.covers.0 + 1);
            }
            return self.send_request(
                now,
                Purpose::LoadLog,
                StoreRequest::Scan { prefix: "log/".into(), after: None },
                out,
            );
        }
        self.oldest_index = self.manifest.as_ref().map_or(LogIndex(1), |m| LogIndex(m.covers.0 + 1));
        self.loaded = true;
        if !self.obsolete_keys.is_empty() {
            let steps = removals(std::mem::take(&mut self.obsolete_keys), self.writes_per_step());
            self.snapshot = Some(Snapshot { steps });
        }
        out.push(LogEvent::LoadComplete);
    }

    fn read_chunk(&mut self, value: serde_json::Value, out: &mut Vec<LogEvent>) {
        let records = match serde_json::from_value::<Vec<LogRecord>>(value) {
            Ok(records) => records,
            Err(e) => return log::error!("a log entry cannot be read: {e}"),
        };
        for record in records {
            let whole = match record {
                LogRecord::Fragment(part) => self.fragment_assembly.take(part),
                record => Some(record),
            };
            out.extend(whole.map(LogEvent::RecordLoaded));
        }
    }

    /// The facts of a snapshot, those that are too large for a value in parts; `None` if the version in production would have to read
    /// parts: then the log goes on without a snapshot.
    fn encode_records(&self, facts: impl Iterator<Item = LogRecord>) -> Option<Vec<serde_json::Value>> {
        let mut values = Vec::new();
        let mut large = 0;
        for fact in facts {
            let value = serde_json::to_value(&fact).unwrap_or_default();
            let json = value.to_string();
            if json.len() + LIST_BYTES <= self.value_bytes {
                values.push(value);
                continue;
            }
            if self.format < Format::Two {
                return None;
            }
            let parts = fragments::split(large, &json, self.value_bytes);
            values.extend(parts.iter().map(|part| serde_json::to_value(part).unwrap_or_default()));
            large += 1;
        }
        Some(values)
    }

    /// Changes per transaction of a snapshot: few, so that commits are not held up.
    fn writes_per_step(&self) -> usize {
        self.txn_ops.min(8).min((self.write_budget.rate_per_s() as usize).saturating_sub(RESERVED_WRITES).max(1))
    }

    /// Writes a snapshot of the durable facts: chunks first, then the manifest, then the removal
    /// of what it covers. Cut off at any step, the state stays readable.
    pub fn begin_snapshot(&mut self, facts: impl Iterator<Item = LogRecord>) {
        let Some(values) = self.encode_records(facts) else {
            log::warn!("no snapshot: a fact is too large for the values that the state service will take");
            self.since_snapshot = 0;
            return;
        };
        self.snapshots += 1;
        let generation = format!("{}-{}", self.token, self.snapshots);
        let covers = LogIndex(self.next_index.0 - 1);
        let mut chunks: Vec<Vec<serde_json::Value>> = Vec::new();
        let mut size = usize::MAX;
        for value in values {
            let bytes = value.to_string().len() + 1;
            if size.saturating_add(bytes) > self.value_bytes {
                chunks.push(Vec::new());
                size = 2;
            }
            size += bytes;
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(value);
            }
        }
        let keys: Vec<String> = (0..chunks.len()).map(|i| format!("snap/{generation}/{i:06}")).collect();
        let puts = keys.iter().zip(chunks).map(|(key, chunk)| StoreWrite::Put {
            key: key.clone(),
            value: chunk.into(),
            lease: None,
        });
        let per_step = self.writes_per_step().min(TXN_BYTES / self.value_bytes).max(1);
        let mut steps: VecDeque<Vec<StoreWrite>> = VecDeque::new();
        for put in puts {
            match steps.back_mut() {
                Some(step) if step.len() < per_step => step.push(put),
                _ => steps.push_back(vec![put]),
            }
        }
        let manifest = Manifest { generation, covers };
        steps.push_back(vec![StoreWrite::Put {
            key: MANIFEST.into(),
            value: serde_json::to_value(&manifest).unwrap_or_default(),
            lease: None,
        }]);
        let mut old: Vec<String> = (self.oldest_index.0..=covers.0).map(|n| log_key(LogIndex(n))).collect();
        old.append(&mut self.snapshot_keys);
        steps.extend(removals(old, self.writes_per_step()));
        self.snapshot_keys = keys;
        self.oldest_index = self.next_index;
        self.manifest = Some(manifest);
        self.since_snapshot = 0;
        self.snapshot = Some(Snapshot { steps });
    }
}

fn removals(keys: Vec<String>, per_step: usize) -> VecDeque<Vec<StoreWrite>> {
    keys.chunks(per_step).map(|keys| keys.iter().map(|key| StoreWrite::Delete { key: key.clone() }).collect()).collect()
}

#[cfg(test)]
mod tests;
