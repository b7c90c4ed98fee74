use super::*;
use crate::settings::NextLimits;
use crate::types::{JobId, MachineId, WallClock};
use crate::wire::StoreWrite;
use serde_json::json;

fn response(status: u16, body: serde_json::Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

/// An empty log that has been loaded, under the usual limits.
fn loaded_log() -> WriteAheadLog {
    let limits = StateLimits { rps: 400.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 24, next: None };
    loaded_log_with(Format::One, &limits)
}

/// An empty log that has been loaded, under these limits.
fn loaded_log_with(format: Format, limits: &StateLimits) -> WriteAheadLog {
    let (mut log, mut out) =
        (WriteAheadLog::new(FencingToken(5), format, Timestamp::ZERO, limits, &Tuning::default()), Vec::new());
    log.start(Timestamp::ZERO, &mut out);
    for id in 1..=2 {
        log.handle_response(
            Timestamp::from_millis(1),
            id,
            &response(200, json!({"Pairs": [], "More": false, "Ledger": 5})),
            &mut out,
        );
    }
    assert!(log.is_loaded());
    log
}

/// Guards against slow submissions: when a thousand machines started together, each commit wrote a single value, in the
/// order in which the records had been queued, and a submission took seconds to become durable.
#[test]
fn urgent_records_are_committed_first_and_background_records_fill_the_request() {
    let (mut log, mut out) = (loaded_log(), Vec::new());
    for n in 0..2000 {
        log.append(LogRecord::ImageCached(MachineId(n), "an-image-with-a-long-name".into()));
    }
    log.append(LogRecord::JobCancelled(JobId(1)));
    assert_eq!(log.backlog(), 1, "background records do not cause users to be refused");
    log.tick(Timestamp::from_millis(1000), &mut out);
    let Some(LogEvent::Request(_, StoreRequest::CompareAndSwap(swap))) = out.pop() else { panic!("{out:?}") };
    assert_eq!((swap.writes.len(), swap.conditions.len()), (7, 8));
    for write in &swap.writes {
        let StoreWrite::Put { value, .. } = write else { panic!("{write:?}") };
        assert!(value.to_string().len() <= 8 * 1024);
    }
    let StoreWrite::Put { key, value, .. } = &swap.writes[0] else { panic!() };
    assert_eq!((key.as_str(), &value[0]), ("log/000000000001", &json!({"c": 1})));
    assert!(serde_json::to_string(&swap).unwrap().len() <= 64 * 1024);
}

/// The state service may lower its limits to the announced ones at any time. Sizes of values and transactions stay
/// within both limits from the beginning; the write rate is lowered only after the first 429 response.
#[test]
fn announced_size_limits_apply_at_once_and_the_announced_rate_after_a_refusal() {
    let next = NextLimits { rps: None, write_rps: Some(15.0), value_kb: Some(2.0), txn_ops: Some(5) };
    let limits = StateLimits { rps: 400.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 24, next: Some(next) };
    let (mut log, mut out) = (loaded_log_with(Format::One, &limits), Vec::new());
    for n in 0..2000 {
        log.append(LogRecord::ImageCached(MachineId(n), "an-image-with-a-long-name".into()));
    }
    out.clear();
    log.tick(Timestamp::from_millis(1000), &mut out);
    let Some(LogEvent::Request(id, StoreRequest::CompareAndSwap(swap))) = out.pop() else { panic!("{out:?}") };
    assert_eq!((swap.writes.len(), swap.conditions.len()), (5, 6));
    for write in &swap.writes {
        let StoreWrite::Put { value, .. } = write else { panic!("{write:?}") };
        assert!(value.to_string().len() <= 2 * 1024);
    }
    assert_eq!(log.write_budget.rate_per_s(), 50.0 * 0.75);
    log.handle_response(Timestamp::from_millis(1010), id, &response(429, json!({})), &mut out);
    assert_eq!((log.write_budget.rate_per_s(), log.write_budget.available()), (15.0 * 0.75, 0.0));
    log.tick(Timestamp::from_millis(1300), &mut out);
    let Some(LogEvent::Request(_, StoreRequest::CompareAndSwap(retried))) = out.pop() else { panic!("{out:?}") };
    assert_eq!(
        serde_json::to_string(&retried).unwrap(),
        serde_json::to_string(&swap).unwrap(),
        "the retry is unchanged"
    );
}

/// A job of 13 KiB with characters that are escaped in JSON, as it may have been stored while the size limit of values
/// was higher.
fn large_job() -> LogRecord {
    let mut body = crate::jobs::tests::submission("job-000007");
    body["Builds"] = (0..64).map(|n| format!("\"{n}\u{e9}\\{}", "x".repeat(190))).collect::<Vec<_>>().into();
    LogRecord::JobAccepted(
        crate::jobs::parse_submission(body.to_string().as_bytes(), WallClock::from_millis(3)).unwrap(),
    )
}

/// An empty log that has been loaded, with a size limit of 2 KiB for values.
fn log_with_small_values(format: Format) -> WriteAheadLog {
    let limits = StateLimits { rps: 400.0, write_rps: 500.0, value_kb: 2.0, txn_ops: 24, next: None };
    loaded_log_with(format, &limits)
}

#[test]
fn job_larger_than_the_lowered_value_limit_is_stored_in_fragments() {
    let expected = [LogRecord::JobCancelled(JobId(1)), large_job(), LogRecord::CorrectionUpdated(90.0, 3)];
    let mut log = log_with_small_values(Format::Two);
    log.begin_snapshot(expected.clone().into_iter());
    // All keys that the snapshot writes, in the form in which the next leader reads them.
    let mut stored = Vec::new();
    for write in log.snapshot_write.as_ref().unwrap().writes() {
        let StoreWrite::Put { key, value, .. } = write else { continue };
        assert!(value.to_string().len() <= 2048, "{key} has {} bytes", value.to_string().len());
        stored.push(json!({"K": key, "V": value, "Stamp": 6}));
    }
    let (mut successor, mut out) = (log_with_small_values(Format::Two), Vec::new());
    (successor.loaded, successor.in_flight) = (false, InFlightRequests::default());
    successor.start(Timestamp::from_millis(5), &mut out);
    let Some(LogEvent::Request(id, _)) = out.pop() else { panic!("{out:?}") };
    successor.handle_response(
        Timestamp::from_millis(6),
        id,
        &response(200, json!({"Pairs": stored, "More": false, "Ledger": 7})),
        &mut out,
    );
    let loaded: Vec<&LogRecord> =
        out.iter().filter_map(|e| if let LogEvent::RecordLoaded(r) = e { Some(r) } else { None }).collect();
    assert_eq!(loaded, expected.iter().collect::<Vec<_>>());
}

/// The previous version would ignore a chunk that contains fragments. While it may become the leader, a snapshot
/// that needs fragments is skipped and the log entries are kept.
#[test]
fn no_fragments_are_written_while_the_previous_version_may_lead() {
    let mut log = log_with_small_values(Format::One);
    log.entries_since_snapshot = 500;
    log.begin_snapshot([large_job()].into_iter());
    assert!(log.snapshot_write.is_none() && !log.snapshot_due());
    log.begin_snapshot([LogRecord::JobCancelled(JobId(1))].into_iter());
    assert!(log.snapshot_write.is_some());
}

/// The transaction that was requested last, with its number.
fn last_transaction(out: &mut Vec<LogEvent>) -> Option<(u64, crate::wire::CompareAndSwap)> {
    match out.drain(..).next_back() {
        Some(LogEvent::Request(id, StoreRequest::CompareAndSwap(swap))) => Some((id, swap)),
        _ => None,
    }
}

/// A higher revision for a fencing token comes from a transaction that was confirmed and conditional on the leader key.
#[test]
fn a_requested_revision_is_written_on_condition_of_the_leader_key() {
    let (mut log, mut out) = (loaded_log(), Vec::new());
    log.tick(Timestamp::from_millis(1000), &mut out);
    assert_eq!(out, [], "nothing was requested");
    log.request_higher_revision();
    log.tick(Timestamp::from_millis(1000), &mut out);
    let (id, swap) = last_transaction(&mut out).expect("a write");
    assert_eq!(swap.conditions, [crate::store::condition("leader", Revision(5))]);
    assert!(matches!(&swap.writes[..], [StoreWrite::Put { key, lease: None, .. }] if key == "fencing/revision"));
    log.tick(Timestamp::from_millis(2000), &mut out);
    assert_eq!(out, [], "one write at a time");
    log.handle_response(Timestamp::from_millis(2100), id, &ServiceResponse::none(), &mut out);
    assert_eq!(out, [], "a write without a response confirms nothing");
    log.tick(Timestamp::from_millis(2200), &mut out);
    let (id, _) = last_transaction(&mut out).expect("a retry");
    log.handle_response(Timestamp::from_millis(2210), id, &response(200, json!({"Ledger": 31})), &mut out);
    assert_eq!(out, [LogEvent::WriteConfirmed(Revision(31))]);
    out.clear();
    log.tick(Timestamp::from_millis(9000), &mut out);
    assert_eq!(out, [], "the request is fulfilled");
    log.request_higher_revision();
    log.tick(Timestamp::from_millis(9001), &mut out);
    let (id, _) = last_transaction(&mut out).expect("a write");
    let refused = response(409, json!({"failed": ["leader"], "Ledger": 40}));
    log.handle_response(Timestamp::from_millis(9010), id, &refused, &mut out);
    assert_eq!(out, [LogEvent::LeaderKeyLost]);
}

/// A commit provides the revision if there is one. After a commit whose response was lost, the revision in the refusal of
/// its retry is not the commit's own and is not used.
#[test]
fn a_commit_provides_the_revision_unless_its_response_was_lost() {
    let (mut log, mut out) = (loaded_log(), Vec::new());
    log.request_higher_revision();
    log.append(LogRecord::JobCancelled(JobId(1)));
    log.tick(Timestamp::from_millis(1000), &mut out);
    let (id, swap) = last_transaction(&mut out).expect("a commit");
    assert!(matches!(&swap.writes[..], [StoreWrite::Put { key, .. }] if key.starts_with("log/")));
    log.handle_response(Timestamp::from_millis(1010), id, &ServiceResponse::none(), &mut out);
    log.tick(Timestamp::from_millis(1100), &mut out);
    let (id, _) = last_transaction(&mut out).expect("a retry");
    let refused = response(409, json!({"failed": ["log/000000000001"], "Ledger": 40}));
    log.handle_response(Timestamp::from_millis(1110), id, &refused, &mut out);
    assert_eq!(out[0], LogEvent::RecordsDurable(vec![LogRecord::JobCancelled(JobId(1))]));
    assert!(!out.iter().any(|event| matches!(event, LogEvent::WriteConfirmed(_))));
    let (id, swap) = last_transaction(&mut out).expect("a write for the revision");
    assert!(matches!(&swap.writes[..], [StoreWrite::Put { key, .. }] if key == "fencing/revision"));
    log.handle_response(Timestamp::from_millis(1120), id, &response(200, json!({"Ledger": 41})), &mut out);
    assert_eq!(out, [LogEvent::WriteConfirmed(Revision(41))]);
}
