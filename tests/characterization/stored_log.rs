//! The write-ahead log: every kind of log record, log entries, the manifest, and a snapshot with a record split into
//! fragments.

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

const RECORDS: &str = "stored/facts.txt";

/// A gang job in which every optional field is set.
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

/// A service in which every optional field is omitted.
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

fn index_set(indices: &[u32]) -> TaskIndexSet {
    let mut index_set = TaskIndexSet::default();
    for index in indices {
        index_set.insert(*index);
    }
    index_set
}

/// One log record of each kind, with the name of its example.
fn records() -> Vec<(&'static str, LogRecord)> {
    let fragment = r#"{"p":{"n":2,"i":1,"c":3,"t":"\"l\":\"live\""}}"#;
    vec![
        ("job", LogRecord::JobAccepted(gang())),
        ("service", LogRecord::JobAccepted(service())),
        ("done", LogRecord::TasksDone(JobId(412), index_set(&[0, 1, 2, 5]))),
        ("cancelled", LogRecord::JobCancelled(JobId(412))),
        ("machine-up", LogRecord::MachineRegistered(machine(231, true))),
        ("machine-rented", LogRecord::MachineProvisioned(machine(232, false))),
        ("image", LogRecord::ImageCached(MachineId(231), "img-1".into())),
        ("correction", LogRecord::CorrectionUpdated(92.5, 17)),
        ("machine-gone", LogRecord::MachineGone(MachineId(231))),
        ("ended-jobs", LogRecord::EndedJobs(vec![(1, 3), (411, 8)], vec![7, 2])),
        ("part", serde_json::from_str(fragment).expect("a log record")),
    ]
}

/// The match is exhaustive, so that a new kind of log record is a compile error until [`records`] has an example of it.
fn has_example(record: &LogRecord) -> bool {
    match record {
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
    let encoded = |record: &LogRecord| serde_json::to_value(record).expect("JSON").to_string();
    let actual: Vec<Example> = records().iter().map(|(name, record)| example(*name, encoded(record))).collect();
    fixture::assert_examples(RECORDS, &actual);
    for (name, record) in records() {
        let loaded: LogRecord = serde_json::from_str(&example_of(RECORDS, name)).expect("a log record");
        assert!(has_example(&loaded) && loaded == record, "{name}");
    }
}

/// Earlier versions wrote log records without the optional fields.
#[test]
fn omitted_fields_of_a_log_record_get_their_defaults() {
    let job = r#"{"j":{"i":1,"l":"live","t":"small","k":true,"r":0,"n":3,"c":{"cpus":2000,"gpus":1000,"memory":5700},
        "m":"img-1","g":1500,"e":30000,"a":1700000000123}}"#;
    assert!(serde_json::from_str::<LogRecord>(job).expect("a log record") == LogRecord::JobAccepted(service()));
    let machine_up = r#"{"m":{"i":231,"e":"10.1.0.232:9000","k":"g8","z":"a","s":true}}"#;
    let without_time = MachineRecord { provisioned_at: WallClock::from_millis(0), ..machine(231, true) };
    assert!(
        serde_json::from_str::<LogRecord>(machine_up).expect("a log record")
            == LogRecord::MachineRegistered(without_time)
    );
}

/// A fake state service: the keys that leaders have written.
#[derive(Default)]
struct StoredKeys {
    values: BTreeMap<String, Value>,
    revision: u64,
}

impl StoredKeys {
    fn apply(&mut self, txn: &CompareAndSwap) -> ServiceResponse {
        self.revision += 1;
        for change in &txn.writes {
            match change {
                StoreWrite::Put { key, value, .. } => drop(self.values.insert(key.clone(), value.clone())),
                StoreWrite::Delete { key } => drop(self.values.remove(key)),
            }
        }
        ok_response(json!({"Ledger": self.revision}))
    }

    fn page(&self, prefix: &str) -> ServiceResponse {
        let found = self.values.iter().filter(|(key, _)| key.starts_with(prefix));
        let pairs: Vec<Value> = found.map(|(key, value)| json!({"K": key, "V": value, "Stamp": 5})).collect();
        ok_response(json!({"Pairs": pairs, "More": false, "Ledger": self.revision}))
    }
}

fn ok_response(body: Value) -> ServiceResponse {
    ServiceResponse { status: 200, body: body.to_string().into() }
}

/// The write-ahead log of a leader that uses [`StoredKeys`] as its state service, with a simulated clock.
struct Leader {
    log: WriteAheadLog,
    now: Timestamp,
    events: Vec<LogEvent>,
    /// The encoded transactions, in the order in which the log sent them.
    transactions: Vec<String>,
    loaded: Vec<LogRecord>,
}

impl Leader {
    /// Returns a leader that has loaded the log from `keys`. A value may have at most 2 KiB.
    fn new(token: u64, format: Format, keys: &mut StoredKeys) -> Leader {
        let limits = StateLimits { rps: 400.0, write_rps: 500.0, value_kb: 2.0, txn_ops: 24, next: None };
        let log = WriteAheadLog::new(FencingToken(token), format, Timestamp::START, &limits, &Tuning::default());
        let mut leader =
            Leader { log, now: Timestamp::START, events: Vec::new(), transactions: Vec::new(), loaded: Vec::new() };
        leader.log.start(leader.now, &mut leader.events);
        leader.process_events(keys);
        assert!(leader.log.is_loaded());
        leader
    }

    fn process_events(&mut self, keys: &mut StoredKeys) {
        while !self.events.is_empty() {
            match self.events.remove(0) {
                LogEvent::Request(id, StoreRequest::Scan { prefix, .. }) => {
                    self.log.handle_response(self.now, id, &keys.page(&prefix), &mut self.events);
                }
                LogEvent::Request(id, StoreRequest::CompareAndSwap(txn)) => {
                    self.transactions.push(serde_json::to_string(&txn).expect("JSON"));
                    let response = keys.apply(&txn);
                    self.log.handle_response(self.now, id, &response, &mut self.events);
                }
                LogEvent::RecordLoaded(record) => self.loaded.push(record),
                _ => {}
            }
        }
    }

    /// Advances the clock by 20 s in steps of 1 s, which suffices to commit all appended records and the snapshot that
    /// has begun.
    fn flush(&mut self, keys: &mut StoredKeys) {
        for _ in 0..20 {
            self.now = self.now + Duration::from_millis(1000);
            self.log.tick(self.now, &mut self.events);
            self.process_events(keys);
        }
    }
}

/// A job whose record exceeds the maximum value size of 2 KiB and holds characters that JSON escapes, so that it is
/// split into fragments.
fn large_job() -> LogRecord {
    let types = (0..12).map(|n| format!("\"{n}\u{e9}\\{}", "x".repeat(190))).collect();
    LogRecord::JobAccepted(JobSpec { machine_types: Some(types), ..gang() })
}

fn assert_transactions(file: &str, leader: &Leader) {
    let numbered = |(n, txn): (usize, &String)| example(format!("transaction-{}", n + 1), txn.clone());
    let actual: Vec<Example> = leader.transactions.iter().enumerate().map(numbered).collect();
    fixture::assert_examples(file, &actual);
}

/// Returns the keys after all transactions of these fixture files.
fn keys_from(files: &[&str]) -> StoredKeys {
    let mut keys = StoredKeys::default();
    for (_, txn) in files.iter().flat_map(|file| fixture::examples(file)) {
        keys.apply(&serde_json::from_str(&txn).expect("a transaction"));
    }
    keys
}

#[test]
fn log_entries_keep_their_format_and_are_loaded_back() {
    for (format, file) in [(Format::One, "stored/log.txt"), (Format::Two, "stored/log-2.txt")] {
        let mut keys = StoredKeys::default();
        let mut leader = Leader::new(41, format, &mut keys);
        let records: Vec<LogRecord> =
            records().into_iter().map(|(_, record)| record).filter(|record| !is_fragment(record)).collect();
        records.iter().for_each(|record| leader.log.append(record.clone()));
        leader.flush(&mut keys);
        assert_transactions(file, &leader);
        let loaded = Leader::new(42, format, &mut keys_from(&[file])).loaded;
        assert_eq!(loaded.len(), records.len());
        assert!(
            records.iter().all(|record| loaded.contains(record)),
            "every record is loaded; urgent ones may come before those appended earlier"
        );
    }
}

fn is_fragment(record: &LogRecord) -> bool {
    matches!(record, LogRecord::Fragment(_))
}

/// The first snapshot is taken while only log entries are stored. The second replaces the first and holds a record that
/// is split into fragments.
#[test]
fn snapshots_keep_their_format_and_are_loaded_back() {
    let (log, first, second) = ("stored/log-2.txt", "stored/snapshot.txt", "stored/snapshot-in-parts.txt");
    let mut keys = keys_from(&[log]);
    let mut leader = Leader::new(43, Format::Two, &mut keys);
    let small = [LogRecord::JobAccepted(service()), LogRecord::JobCancelled(JobId(412))];
    leader.log.begin_snapshot(small.clone().into_iter());
    leader.flush(&mut keys);
    assert_transactions(first, &leader);
    assert!(Leader::new(44, Format::Two, &mut keys_from(&[log, first])).loaded == small);

    leader.transactions.clear();
    let large = [LogRecord::JobCancelled(JobId(1)), large_job(), LogRecord::CorrectionUpdated(92.5, 17)];
    leader.log.begin_snapshot(large.clone().into_iter());
    leader.flush(&mut keys);
    assert_transactions(second, &leader);
    assert!(Leader::new(44, Format::Two, &mut keys_from(&[log, first, second])).loaded == large);
}
