//! The durable log: what must outlive every process.
//!
//! Everything that became due since the last commit goes into one value, written on condition
//! that the leader key still has the revision at which this node won it and that the entry does
//! not exist. One commit is in flight; a repeat or a late copy changes nothing.

mod parts;

use crate::intake::JobRecord;
use crate::store::{Reply, StateCall, condition};
use crate::types::{
    Duration, FencingToken, JobId, LogIndex, MachineId, Revision, TaskId, TaskIndexSet, Timestamp, WallClock,
};
use crate::upgrade::Format;
use crate::wire::{Change, KeyPage, KeyValue, Txn, TxnAnswer};
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
    pub kind: String,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "s")]
    pub spot: bool,
    /// When it was rented, or first heard of.
    #[serde(rename = "a", default)]
    pub at: WallClock,
}

/// One durable fact. Applying a fact twice is the same as applying it once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A job was accepted.
    #[serde(rename = "j")]
    Job(JobRecord),
    /// Tasks of a job finished.
    #[serde(rename = "d")]
    Done(JobId, TaskIndexSet),
    /// A job was cancelled.
    #[serde(rename = "c")]
    Cancelled(JobId),
    /// A machine may get tasks from now on.
    #[serde(rename = "m")]
    Enrolled(MachineRecord),
    /// A machine was rented and has not reported yet. Nothing waits for this fact: without it the
    /// next leader would rent again what the cloud's list shows only later.
    #[serde(rename = "r")]
    Rented(MachineRecord),
    /// A machine holds an image.
    #[serde(rename = "i")]
    Image(MachineId, String),
    /// What CorrecFAST has learnt: its value in percent and how many executions it saw.
    #[serde(rename = "l")]
    Learnt(f64, u64),
    /// A machine is gone for ever.
    #[serde(rename = "g")]
    Gone(MachineId),
    /// Jobs that are over (snapshots only): those done with their number of tasks, those cancelled;
    /// ids as differences from the one before.
    #[serde(rename = "f")]
    Finals(Vec<(u64, u32)>, Vec<u64>),
    /// A part of a fact that is too large for a value (snapshots of format two only).
    #[serde(rename = "p")]
    Part(parts::Part),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Manifest {
    generation: String,
    covers: LogIndex,
}

/// What the slice wants done or made known.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// Ask the state service; the number comes back with the reply.
    Call(u64, StateCall),
    /// A fact read back after an election.
    Loaded(Record),
    /// All facts were read back.
    LoadDone,
    /// These facts are durable now.
    Durable(Vec<Record>),
    /// The leader key has another revision: somebody else leads.
    Deposed,
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
    call: StateCall,
    sent: Timestamp,
    retry_at: Option<Timestamp>,
}

impl InFlight {
    /// Whether it writes the manifest.
    fn writes_manifest(&self) -> bool {
        matches!(&self.call, StateCall::Txn(txn) if writes_manifest(&txn.changes))
    }
}

fn writes_manifest(changes: &[Change]) -> bool {
    changes.iter().any(|c| matches!(c, Change::Put { key, .. } if key == MANIFEST))
}

#[derive(Debug)]
struct Snapshot {
    steps: VecDeque<Vec<Change>>,
}

/// State of the slice; made anew at each election.
#[derive(Debug)]
pub struct Records {
    token: FencingToken,
    /// What may be written, and which leader key every write is conditional on.
    format: Format,
    value_bytes: usize,
    txn_ops: usize,
    commit_every: Duration,
    refill: f64,
    /// What `refill` falls to when the state service says that changes are too many.
    lowered: f64,
    budget: f64,
    refilled: Timestamp,
    calls: u64,
    loaded: bool,
    manifest: Option<Manifest>,
    /// Revision of the manifest's key, 0 if there is none; `None`: it has to be read.
    ///
    /// The manifest is the only key that is written over, so its write is conditional on this. Without, a repeat
    /// of a write that was carried out came late, put an earlier manifest back, which names chunks and log
    /// entries that were removed since, and the next leader read an empty log.
    stamp: Option<Revision>,
    /// Keys that no reader needs any more.
    stray: Vec<String>,
    /// Facts that are read in parts.
    assembly: parts::Assembly,
    /// Chunks of the snapshot in force; the next one makes them stray.
    kept: Vec<String>,
    chunks: Vec<(String, serde_json::Value)>,
    next: LogIndex,
    oldest: LogIndex,
    /// What users, finished tasks and new machines wait for; a machine that is gone would hold the next leader up.
    queue: VecDeque<Record>,
    /// What nobody waits for: it goes along where room is left. When a thousand machines came up together, their
    /// images and rentals held submissions up for seconds.
    later: VecDeque<Record>,
    committing: Vec<Record>,
    in_flight: Vec<InFlight>,
    last_commit: Timestamp,
    snapshot: Option<Snapshot>,
    since_snapshot: u64,
    snapshot_every: u64,
    snapshots: u64,
}

const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
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

fn log_key(no: LogIndex) -> String {
    format!("log/{:012}", no.0)
}

impl Records {
    /// Begins to read back what earlier leaders wrote.
    pub fn new(
        token: FencingToken,
        format: Format,
        now: Timestamp,
        limits: &crate::settings::StateLimits,
        tuning: &crate::settings::Tuning,
    ) -> Records {
        Records {
            token,
            format,
            // Sized for the smaller of both, since the limits may be lowered at any moment: a commit that is too large would
            // be rejected each time it is repeated.
            value_bytes: ((limits.value_kb_always() * 1024.0) as usize).saturating_sub(64).min(TXN_BYTES - OVERHEAD),
            txn_ops: limits.txn_ops_always(),
            commit_every: tuning.commit_every,
            // A part is left to the other nodes' elections.
            refill: limits.write_rates().0 * 0.75,
            lowered: limits.write_rates().1 * 0.75,
            budget: limits.write_rates().1 * 0.5,
            refilled: now,
            calls: 0,
            loaded: false,
            manifest: None,
            stamp: Some(Revision(0)),
            stray: Vec::new(),
            assembly: parts::Assembly::default(),
            kept: Vec::new(),
            chunks: Vec::new(),
            next: LogIndex(1),
            oldest: LogIndex(1),
            queue: VecDeque::new(),
            later: VecDeque::new(),
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
    pub fn loaded(&self) -> bool {
        self.loaded
    }

    /// How many facts that somebody waits for are not durable yet.
    pub fn backlog(&self) -> usize {
        self.queue.len() + self.committing.len()
    }

    /// Whether a fact can be kept: it must fit into one value.
    pub fn fits(&self, record: &Record) -> bool {
        serde_json::to_string(record).is_ok_and(|text| text.len() + LIST_BYTES <= self.value_bytes)
    }

    /// Queues a fact for the next commit.
    pub fn push(&mut self, record: Record) {
        match record {
            Record::Job(_) | Record::Done(..) | Record::Cancelled(_) | Record::Enrolled(_) | Record::Gone(_) => {
                self.queue.push_back(record);
            }
            _ => self.later.push_back(record),
        }
    }

    /// Queues the finish of a task; finishes of one job share a record.
    pub fn push_done(&mut self, task: TaskId) {
        for record in self.queue.iter_mut().rev().take(64) {
            match record {
                Record::Done(job, tasks) if *job == task.job && tasks.range_count() < RANGES_LIMIT => {
                    tasks.insert(task.index);
                    return;
                }
                _ => {}
            }
        }
        let mut tasks = TaskIndexSet::default();
        tasks.insert(task.index);
        self.queue.push_back(Record::Done(task.job, tasks));
    }

    /// Begins reading.
    pub fn start(&mut self, now: Timestamp, out: &mut Vec<Event>) {
        self.call(now, Purpose::LoadSnapshot, StateCall::Scan { prefix: "snap/".into(), after: None }, out);
    }

    fn call(&mut self, now: Timestamp, purpose: Purpose, call: StateCall, out: &mut Vec<Event>) {
        self.calls += 1;
        self.in_flight.push(InFlight { id: self.calls, purpose, call: call.clone(), sent: now, retry_at: None });
        out.push(Event::Call(self.calls, call));
    }

    fn busy(&self, purpose: &Purpose) -> bool {
        self.in_flight.iter().any(|f| f.purpose == *purpose)
    }

    /// Whether a snapshot should be taken now; then `begin_snapshot` is called with the durable facts.
    pub fn wants_snapshot(&self) -> bool {
        self.loaded
            && self.snapshot.is_none()
            && self.committing.is_empty()
            && self.since_snapshot >= self.snapshot_every
    }

    /// Lets time pass: repeats what got no answer, commits what is due.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<Event>) {
        let limit = self.refill.max(2.0);
        self.budget = (self.budget + now.since(self.refilled).as_secs_f64() * self.refill).min(limit);
        self.refilled = now;
        for i in 0..self.in_flight.len() {
            let flight = &mut self.in_flight[i];
            let due = match flight.retry_at {
                Some(at) => now >= at,
                None => now.since(flight.sent) >= CALL_TIMEOUT,
            };
            if due {
                self.calls += 1;
                flight.id = self.calls;
                flight.sent = now;
                flight.retry_at = None;
                out.push(Event::Call(self.calls, flight.call.clone()));
            }
        }
        if !self.loaded {
            return;
        }
        let waits = !self.queue.is_empty() || !self.later.is_empty();
        if waits
            && !self.busy(&Purpose::Commit)
            && now.since(self.last_commit) >= self.commit_every
            && self.budget >= 1.0
        {
            self.commit(now, out);
        }
        if self.busy(&Purpose::Snapshot) || self.busy(&Purpose::Settle) {
            return;
        }
        let Some(stamp) = self.stamp else {
            return self.call(now, Purpose::Settle, StateCall::Get(MANIFEST.into()), out);
        };
        let Some(snapshot) = &self.snapshot else { return };
        let Some(step) = snapshot.steps.front() else {
            self.snapshot = None;
            return;
        };
        // Commits go first: three changes stay free for them.
        if self.budget < (step.len() + 3).min(limit as usize) as f64 {
            return;
        }
        // Copied only when it is sent. This is called with every report and request: copying a step of up to 64 KiB each time while
        // it waited for the budget was a fifth of a leader's processor time.
        let step = step.clone();
        self.budget -= step.len() as f64;
        let mut txn = self.txn(step);
        if writes_manifest(&txn.changes) {
            txn.conditions.push(condition(MANIFEST, stamp));
        }
        self.call(now, Purpose::Snapshot, StateCall::Txn(txn), out);
    }

    fn txn(&self, changes: Vec<Change>) -> Txn {
        Txn { conditions: vec![condition(self.format.leader_key(), Revision(self.token.0))], changes }
    }

    /// Writes what waits: as many entries in one transaction as it may hold, each as full as a value may be.
    fn commit(&mut self, now: Timestamp, out: &mut Vec<Event>) {
        let most = self.txn_ops.min(TXN_BYTES / self.value_bytes).min(self.budget as usize).max(1);
        let mut txn = self.txn(Vec::new());
        let (mut size, mut values) = (2, Vec::new());
        while let Some(record) = self.queue.front().or(self.later.front()) {
            let value = serde_json::to_value(record).unwrap_or_default();
            let bytes = value.to_string().len() + 1;
            if !values.is_empty() && size + bytes > self.value_bytes {
                self.entry(&mut txn, std::mem::take(&mut values));
                size = 2;
                if txn.changes.len() >= most {
                    break;
                }
            }
            size += bytes;
            values.push(value);
            let record = self.queue.pop_front().or_else(|| self.later.pop_front());
            self.committing.extend(record);
        }
        if !values.is_empty() {
            self.entry(&mut txn, values);
        }
        self.last_commit = now;
        self.budget -= txn.changes.len() as f64;
        self.call(now, Purpose::Commit, StateCall::Txn(txn), out);
    }

    /// Adds the next entry of the log to a transaction.
    fn entry(&mut self, txn: &mut Txn, values: Vec<serde_json::Value>) {
        let key = log_key(self.next);
        self.next = LogIndex(self.next.0 + 1);
        self.since_snapshot += 1;
        txn.conditions.push(condition(&key, Revision(0)));
        txn.changes.push(Change::Put { key, value: values.into(), lease: None });
    }

    /// Takes an answer of the state service.
    pub fn reply(&mut self, now: Timestamp, id: u64, reply: &Reply, out: &mut Vec<Event>) {
        let Some(at) = self.in_flight.iter().position(|f| f.id == id) else { return };
        let purpose = self.in_flight[at].purpose.clone();
        let ok = match (&purpose, reply.status) {
            (Purpose::LoadSnapshot | Purpose::LoadLog, 200) => match reply.parse::<KeyPage>() {
                Some(page) => {
                    self.in_flight.remove(at);
                    self.page(now, purpose.clone(), page, out);
                    true
                }
                None => false,
            },
            (Purpose::Commit | Purpose::Snapshot, 200) => {
                let flight = self.in_flight.remove(at);
                if flight.writes_manifest() {
                    self.stamp = reply.parse::<TxnAnswer>().map(|answer| Revision(answer.revision));
                }
                self.done(now, &purpose, out);
                true
            }
            (Purpose::Settle, 200 | 404) => {
                self.in_flight.remove(at);
                let read = if reply.status == 200 { reply.parse::<KeyValue>().map(|kv| kv.version) } else { Some(0) };
                self.stamp = read.map(Revision);
                true
            }
            (Purpose::Commit | Purpose::Snapshot, 409) => {
                let failed = reply.parse::<TxnAnswer>().unwrap_or_default().failed;
                if self.in_flight.remove(at).writes_manifest() {
                    self.stamp = None;
                }
                if failed.iter().any(|k| k == self.format.leader_key()) || failed.is_empty() {
                    out.push(Event::Deposed);
                } else {
                    // Only this node writes under its token, so the entry or manifest is our own earlier
                    // try whose answer was lost.
                    self.done(now, &purpose, out);
                }
                true
            }
            _ => false,
        };
        if reply.status == 429 {
            self.refill = self.refill.min(self.lowered);
            self.budget = 0.0;
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

    fn done(&mut self, now: Timestamp, purpose: &Purpose, out: &mut Vec<Event>) {
        if *purpose == Purpose::Commit {
            out.push(Event::Durable(std::mem::take(&mut self.committing)));
            self.tick(now, out);
        } else if let Some(snapshot) = &mut self.snapshot {
            snapshot.steps.pop_front();
        }
    }

    fn page(&mut self, now: Timestamp, purpose: Purpose, page: KeyPage, out: &mut Vec<Event>) {
        let last = page.items.last().map(|kv| kv.key.clone());
        for kv in page.items {
            match purpose {
                Purpose::LoadSnapshot if kv.key == MANIFEST => {
                    self.stamp = Some(Revision(kv.version));
                    self.manifest = serde_json::from_value(kv.value).ok();
                }
                Purpose::LoadSnapshot => self.chunks.push((kv.key, kv.value)),
                _ => {
                    let no = kv.key.strip_prefix("log/").and_then(|n| n.parse().ok()).unwrap_or(0);
                    self.next = self.next.max(LogIndex(no + 1));
                    if self.manifest.as_ref().is_some_and(|m| no <= m.covers.0) {
                        self.stray.push(kv.key);
                    } else {
                        self.since_snapshot += 1;
                        self.tell(kv.value, out);
                    }
                }
            }
        }
        let prefix = if purpose == Purpose::LoadSnapshot { "snap/" } else { "log/" };
        if page.more && last.is_some() {
            return self.call(now, purpose, StateCall::Scan { prefix: prefix.into(), after: last }, out);
        }
        if purpose == Purpose::LoadSnapshot {
            // Chunks of a generation that no manifest names were left by a crash in mid-snapshot.
            let kept = self.manifest.as_ref().map(|m| format!("snap/{}/", m.generation));
            for (key, value) in std::mem::take(&mut self.chunks) {
                match &kept {
                    Some(kept) if key.starts_with(kept.as_str()) => {
                        self.tell(value, out);
                        self.kept.push(key);
                    }
                    _ => self.stray.push(key),
                }
            }
            if let Some(manifest) = &self.manifest {
                self.next = LogIndex(manifest.covers.0 + 1);
            }
            return self.call(now, Purpose::LoadLog, StateCall::Scan { prefix: "log/".into(), after: None }, out);
        }
        self.oldest = self.manifest.as_ref().map_or(LogIndex(1), |m| LogIndex(m.covers.0 + 1));
        self.loaded = true;
        if !self.stray.is_empty() {
            let steps = removals(std::mem::take(&mut self.stray), self.step_ops());
            self.snapshot = Some(Snapshot { steps });
        }
        out.push(Event::LoadDone);
    }

    fn tell(&mut self, value: serde_json::Value, out: &mut Vec<Event>) {
        let records = match serde_json::from_value::<Vec<Record>>(value) {
            Ok(records) => records,
            Err(e) => return log::error!("a log entry cannot be read: {e}"),
        };
        for record in records {
            let whole = match record {
                Record::Part(part) => self.assembly.take(part),
                record => Some(record),
            };
            out.extend(whole.map(Event::Loaded));
        }
    }

    /// The facts of a snapshot, those that are too large for a value in parts; `None` if the version in production would have to read
    /// parts: then the log goes on without a snapshot.
    fn fitting(&self, facts: impl Iterator<Item = Record>) -> Option<Vec<serde_json::Value>> {
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
            let parts = parts::split(large, &json, self.value_bytes);
            values.extend(parts.iter().map(|part| serde_json::to_value(part).unwrap_or_default()));
            large += 1;
        }
        Some(values)
    }

    /// Changes per transaction of a snapshot: few, so that commits are not held up.
    fn step_ops(&self) -> usize {
        self.txn_ops.min(8).min((self.refill as usize).saturating_sub(3).max(1))
    }

    /// Writes a snapshot of the durable facts: chunks first, then the manifest, then the removal
    /// of what it covers. Cut off at any step, the state stays readable.
    pub fn begin_snapshot(&mut self, facts: impl Iterator<Item = Record>) {
        let Some(values) = self.fitting(facts) else {
            log::warn!("no snapshot: a fact is too large for the values that the state service will take");
            self.since_snapshot = 0;
            return;
        };
        self.snapshots += 1;
        let generation = format!("{}-{}", self.token, self.snapshots);
        let covers = LogIndex(self.next.0 - 1);
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
        let puts = keys.iter().zip(chunks).map(|(key, chunk)| Change::Put {
            key: key.clone(),
            value: chunk.into(),
            lease: None,
        });
        let per_step = self.step_ops().min(TXN_BYTES / self.value_bytes).max(1);
        let mut steps: VecDeque<Vec<Change>> = VecDeque::new();
        for put in puts {
            match steps.back_mut() {
                Some(step) if step.len() < per_step => step.push(put),
                _ => steps.push_back(vec![put]),
            }
        }
        let manifest = Manifest { generation, covers };
        steps.push_back(vec![Change::Put {
            key: MANIFEST.into(),
            value: serde_json::to_value(&manifest).unwrap_or_default(),
            lease: None,
        }]);
        let mut old: Vec<String> = (self.oldest.0..=covers.0).map(|n| log_key(LogIndex(n))).collect();
        old.append(&mut self.kept);
        steps.extend(removals(old, self.step_ops()));
        self.kept = keys;
        self.oldest = self.next;
        self.manifest = Some(manifest);
        self.since_snapshot = 0;
        self.snapshot = Some(Snapshot { steps });
    }
}

fn removals(keys: Vec<String>, per_step: usize) -> VecDeque<Vec<Change>> {
    keys.chunks(per_step).map(|keys| keys.iter().map(|key| Change::Delete { key: key.clone() }).collect()).collect()
}

#[cfg(test)]
mod tests;
