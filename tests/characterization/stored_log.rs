//! The durable log: every fact, entries, the manifest, and a snapshot with a fact in parts.

use crate::fixture::{self, Example, example, example_of};
use caperstile::jobs::JobSpec;
use caperstile::settings::{StateLimits, Tuning};
use caperstile::store::{ServiceResponse, StoreRequest};
use caperstile::types::{Duration, FencingToken, JobId, MachineId, Resources, TaskIndexSet, Timestamp, WallClock};
use caperstile::upgrade::Format;
use caperstile::wire::{CompareAndSwap, StoreWrite};
use caperstile::write_ahead_log::{LogEvent, LogRecord, MachineRecord, WriteAheadLog};
use serde_json::{Value, json};
use std::collections::BTreeMap;

const FACTS: &str = "stored/facts.txt";

/// A job with every field set.
fn gang() -> JobSpec {
    JobSpec {
        id: JobId(412),
        class: "sync".into(),
        team: "crew".into(),
        is_service: false,
        priority: 1,
        is_gang: true,
        task_count: 8,
        resources: Resources { cpus: 2000, gpus: 1000, memory: 5700 },
        image: "img-1".into(),
        image_mb: 1500,
        machine_types: Some(vec!["g8".into(), "small".into()]),
        zone: Some("a".into()),
        colocate_in_zone: true,
        spread_over_zones: true,
        allows_spot: true,
        estimated_duration: Duration::from_millis(30_000),
        checkpoint_interval: Duration::from_millis(60_000),
        checkpoint_duration: Duration::from_millis(4000),
        deadline: Some(Duration::from_millis(90_000)),
        submitted_at: WallClock::from_millis(1_700_000_000_123),
    }
}

/// A job without anything that may be left out.
fn service() -> JobSpec {
    JobSpec {
        id: JobId(1),
        class: "live".into(),
        team: "small".into(),
        is_service: true,
        priority: 0,
        is_gang: false,
        task_count: 3,
        machine_types: None,
        zone: None,
        colocate_in_zone: false,
        spread_over_zones: false,
        allows_spot: false,
        checkpoint_interval: Duration::ZERO,
        checkpoint_duration: Duration::ZERO,
        deadline: None,
        ..gang()
    }
}

fn machine(id: u64, spot: bool) -> MachineRecord {
    MachineRecord {
        id: MachineId(id),
        endpoint: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot,
        provisioned_at: WallClock::from_millis(1_700_000_000_123),
    }
}

fn ranges(numbers: &[u32]) -> TaskIndexSet {
    let mut ranges = TaskIndexSet::default();
    for number in numbers {
        ranges.insert(*number);
    }
    ranges
}

/// A fact of every form.
fn facts() -> Vec<(&'static str, LogRecord)> {
    let part = r#"{"p":{"n":2,"i":1,"c":3,"t":"\"l\":\"live\""}}"#;
    vec![
        ("job", LogRecord::JobAccepted(gang())),
        ("service", LogRecord::JobAccepted(service())),
        ("done", LogRecord::TasksDone(JobId(412), ranges(&[0, 1, 2, 5]))),
        ("cancelled", LogRecord::JobCancelled(JobId(412))),
        ("machine-up", LogRecord::MachineRegistered(machine(231, true))),
        ("machine-rented", LogRecord::MachineProvisioned(machine(232, false))),
        ("image", LogRecord::ImageCached(MachineId(231), "img-1".into())),
        ("correction", LogRecord::CorrectionUpdated(92.5, 17)),
        ("machine-gone", LogRecord::MachineGone(MachineId(231))),
        ("ended-jobs", LogRecord::EndedJobs(vec![(1, 3), (411, 8)], vec![7, 2])),
        ("part", serde_json::from_str(part).expect("a fact")),
    ]
}

/// Fails to compile when a form of fact is added, so that an example of it is added here too.
fn has_example(fact: &LogRecord) -> bool {
    match fact {
        LogRecord::JobAccepted(_)
        | LogRecord::TasksDone(..)
        | LogRecord::JobCancelled(_)
        | LogRecord::MachineRegistered(_)
        | LogRecord::MachineProvisioned(_) => true,
        LogRecord::ImageCached(..)
        | LogRecord::CorrectionUpdated(..)
        | LogRecord::MachineGone(_)
        | LogRecord::EndedJobs(..)
        | LogRecord::Fragment(_) => true,
    }
}

#[test]
fn every_log_record_keeps_its_format_and_decodes_back() {
    let stored = |fact: &LogRecord| serde_json::to_value(fact).expect("JSON").to_string();
    let made: Vec<Example> = facts().iter().map(|(name, fact)| example(*name, stored(fact))).collect();
    fixture::assert_examples(FACTS, &made);
    for (name, fact) in facts() {
        let read: LogRecord = serde_json::from_str(&example_of(FACTS, name)).expect("a fact");
        assert!(has_example(&read) && read == fact, "{name}");
    }
}

/// Facts of a version before the fields that may be missing.
#[test]
fn omitted_fields_of_a_log_record_get_their_defaults() {
    let job = r#"{"j":{"i":1,"l":"live","t":"small","k":true,"r":0,"n":3,"c":{"cpus":2000,"gpus":1000,"memory":5700},
        "m":"img-1","g":1500,"e":30000,"a":1700000000123}}"#;
    assert!(serde_json::from_str::<LogRecord>(job).expect("a fact") == LogRecord::JobAccepted(service()));
    let machine_up = r#"{"m":{"i":231,"e":"10.1.0.232:9000","k":"g8","z":"a","s":true}}"#;
    let without_time = MachineRecord { provisioned_at: WallClock::from_millis(0), ..machine(231, true) };
    assert!(
        serde_json::from_str::<LogRecord>(machine_up).expect("a fact") == LogRecord::MachineRegistered(without_time)
    );
}

/// The keys that leaders wrote.
#[derive(Default)]
struct Keys {
    values: BTreeMap<String, Value>,
    revision: u64,
}

impl Keys {
    fn apply(&mut self, txn: &CompareAndSwap) -> ServiceResponse {
        self.revision += 1;
        for change in &txn.writes {
            match change {
                StoreWrite::Put { key, value, .. } => drop(self.values.insert(key.clone(), value.clone())),
                StoreWrite::Delete { key } => drop(self.values.remove(key)),
            }
        }
        reply(json!({"Ledger": self.revision}))
    }

    fn page(&self, prefix: &str) -> ServiceResponse {
        let found = self.values.iter().filter(|(key, _)| key.starts_with(prefix));
        let pairs: Vec<Value> = found.map(|(key, value)| json!({"K": key, "V": value, "Stamp": 5})).collect();
        reply(json!({"Pairs": pairs, "More": false, "Ledger": self.revision}))
    }
}

fn reply(body: Value) -> ServiceResponse {
    ServiceResponse { status: 200, body: body.to_string().into() }
}

/// A leader's log on top of stored keys.
struct Leader {
    log: WriteAheadLog,
    now: Timestamp,
    events: Vec<LogEvent>,
    /// All transactions, as they were sent.
    written: Vec<String>,
    read: Vec<LogRecord>,
}

impl Leader {
    /// A leader that has read all keys back; values have 2 KiB at the most.
    fn new(token: u64, format: Format, keys: &mut Keys) -> Leader {
        let limits = StateLimits { rps: 400.0, write_rps: 500.0, value_kb: 2.0, txn_ops: 24, next: None };
        let log = WriteAheadLog::new(FencingToken(token), format, Timestamp::START, &limits, &Tuning::default());
        let mut leader =
            Leader { log, now: Timestamp::START, events: Vec::new(), written: Vec::new(), read: Vec::new() };
        leader.log.start(leader.now, &mut leader.events);
        leader.answer_all(keys);
        assert!(leader.log.is_loaded());
        leader
    }

    fn answer_all(&mut self, keys: &mut Keys) {
        while !self.events.is_empty() {
            match self.events.remove(0) {
                LogEvent::Request(id, StoreRequest::Scan { prefix, .. }) => {
                    self.log.handle_response(self.now, id, &keys.page(&prefix), &mut self.events);
                }
                LogEvent::Request(id, StoreRequest::CompareAndSwap(txn)) => {
                    self.written.push(serde_json::to_string(&txn).expect("JSON"));
                    let answer = keys.apply(&txn);
                    self.log.handle_response(self.now, id, &answer, &mut self.events);
                }
                LogEvent::RecordLoaded(fact) => self.read.push(fact),
                _ => {}
            }
        }
    }

    /// Lets time pass until all that waits is written.
    fn write_all(&mut self, keys: &mut Keys) {
        for _ in 0..20 {
            self.now = self.now + Duration::from_millis(1000);
            self.log.tick(self.now, &mut self.events);
            self.answer_all(keys);
        }
    }
}

/// A job that is too large for a value of 2 KiB, with characters that are escaped.
fn large_job() -> LogRecord {
    let types = (0..12).map(|n| format!("\"{n}\u{e9}\\{}", "x".repeat(190))).collect();
    LogRecord::JobAccepted(JobSpec { machine_types: Some(types), ..gang() })
}

fn assert_written(file: &str, leader: &Leader) {
    let numbered = |(n, txn): (usize, &String)| example(format!("transaction-{}", n + 1), txn.clone());
    let made: Vec<Example> = leader.written.iter().enumerate().map(numbered).collect();
    fixture::assert_examples(file, &made);
}

/// The keys as the transactions of a fixture leave them.
fn keys_of(files: &[&str]) -> Keys {
    let mut keys = Keys::default();
    for (_, txn) in files.iter().flat_map(|file| fixture::examples(file)) {
        keys.apply(&serde_json::from_str(&txn).expect("a transaction"));
    }
    keys
}

#[test]
fn log_entries_keep_their_format_and_are_loaded_back() {
    for (format, file) in [(Format::One, "stored/log.txt"), (Format::Two, "stored/log-2.txt")] {
        let mut keys = Keys::default();
        let mut leader = Leader::new(41, format, &mut keys);
        let facts: Vec<LogRecord> = facts().into_iter().map(|(_, fact)| fact).filter(|fact| !is_part(fact)).collect();
        facts.iter().for_each(|fact| leader.log.append(fact.clone()));
        leader.write_all(&mut keys);
        assert_written(file, &leader);
        let read = Leader::new(42, format, &mut keys_of(&[file])).read;
        assert_eq!(read.len(), facts.len());
        assert!(facts.iter().all(|fact| read.contains(fact)), "all are read, those that somebody waits for first");
    }
}

fn is_part(fact: &LogRecord) -> bool {
    matches!(fact, LogRecord::Fragment(_))
}

/// The first snapshot is of the log that the leader wrote itself; the second replaces it, with a fact in parts.
#[test]
fn snapshots_keep_their_format_and_are_loaded_back() {
    let (log, first, second) = ("stored/log-2.txt", "stored/snapshot.txt", "stored/snapshot-in-parts.txt");
    let mut keys = keys_of(&[log]);
    let mut leader = Leader::new(43, Format::Two, &mut keys);
    let small = [LogRecord::JobAccepted(service()), LogRecord::JobCancelled(JobId(412))];
    leader.log.begin_snapshot(small.clone().into_iter());
    leader.write_all(&mut keys);
    assert_written(first, &leader);
    assert!(Leader::new(44, Format::Two, &mut keys_of(&[log, first])).read == small);

    leader.written.clear();
    let large = [LogRecord::JobCancelled(JobId(1)), large_job(), LogRecord::CorrectionUpdated(92.5, 17)];
    leader.log.begin_snapshot(large.clone().into_iter());
    leader.write_all(&mut keys);
    assert_written(second, &leader);
    assert!(Leader::new(44, Format::Two, &mut keys_of(&[log, first, second])).read == large);
}
