use super::*;
use crate::settings::NextLimits;
use crate::types::{JobId, MachineId, WallClock};
use crate::wire::StoreWrite;
use serde_json::json;

fn answer(status: u16, body: serde_json::Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

/// A leader that has read an empty log back.
fn loaded() -> WriteAheadLog {
    let limits = StateLimits { rps: 400.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 24, next: None };
    with_empty_log(Format::One, &limits)
}

/// A leader under these limits that has read an empty log back.
fn with_empty_log(format: Format, limits: &StateLimits) -> WriteAheadLog {
    let (mut records, mut out) =
        (WriteAheadLog::new(FencingToken(5), format, Timestamp::ZERO, limits, &Tuning::default()), Vec::new());
    records.start(Timestamp::ZERO, &mut out);
    for id in 1..=2 {
        records.handle_response(
            Timestamp::from_millis(1),
            id,
            &answer(200, json!({"Pairs": [], "More": false, "Ledger": 5})),
            &mut out,
        );
    }
    assert!(records.is_loaded());
    records
}

/// A thousand machines that came up together held a submission up for seconds: each commit had one value, in the
/// order in which records came.
#[test]
fn records_that_somebody_waits_for_go_first_and_the_rest_fills_the_request() {
    let (mut records, mut out) = (loaded(), Vec::new());
    for n in 0..2000 {
        records.append(LogRecord::ImageCached(MachineId(n), "an-image-with-a-long-name".into()));
    }
    records.append(LogRecord::JobCancelled(JobId(1)));
    assert_eq!(records.backlog(), 1, "images keep no user out");
    records.tick(Timestamp::from_millis(1000), &mut out);
    let Some(LogEvent::Request(_, StoreRequest::CompareAndSwap(txn))) = out.pop() else { panic!("{out:?}") };
    assert_eq!((txn.writes.len(), txn.conditions.len()), (7, 8));
    for change in &txn.writes {
        let StoreWrite::Put { value, .. } = change else { panic!("{change:?}") };
        assert!(value.to_string().len() <= 8 * 1024);
    }
    let StoreWrite::Put { key, value, .. } = &txn.writes[0] else { panic!() };
    assert_eq!((key.as_str(), &value[0]), ("log/000000000001", &json!({"c": 1})));
    assert!(serde_json::to_string(&txn).unwrap().len() <= 64 * 1024);
}

/// The key-value store may lower its limits at any moment: what is written fits before and after, and a rate falls at the first
/// 429 and not sooner.
#[test]
fn limits_that_will_be_lowered_are_kept_now_and_a_rate_once_it_is_refused() {
    let next = NextLimits { rps: None, write_rps: Some(15.0), value_kb: Some(2.0), txn_ops: Some(5) };
    let limits = StateLimits { rps: 400.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 24, next: Some(next) };
    let (mut records, mut out) = (with_empty_log(Format::One, &limits), Vec::new());
    for n in 0..2000 {
        records.append(LogRecord::ImageCached(MachineId(n), "an-image-with-a-long-name".into()));
    }
    out.clear();
    records.tick(Timestamp::from_millis(1000), &mut out);
    let Some(LogEvent::Request(id, StoreRequest::CompareAndSwap(txn))) = out.pop() else { panic!("{out:?}") };
    assert_eq!((txn.writes.len(), txn.conditions.len()), (5, 6));
    for change in &txn.writes {
        let StoreWrite::Put { value, .. } = change else { panic!("{change:?}") };
        assert!(value.to_string().len() <= 2 * 1024);
    }
    assert_eq!(records.write_budget.rate_per_s(), 50.0 * 0.75);
    records.handle_response(Timestamp::from_millis(1010), id, &answer(429, json!({})), &mut out);
    assert_eq!((records.write_budget.rate_per_s(), records.write_budget.available()), (15.0 * 0.75, 0.0));
    records.tick(Timestamp::from_millis(1300), &mut out);
    let Some(LogEvent::Request(_, StoreRequest::CompareAndSwap(again))) = out.pop() else { panic!("{out:?}") };
    assert_eq!(serde_json::to_string(&again).unwrap(), serde_json::to_string(&txn).unwrap(), "repeated as it was");
}

/// A job as it may be stored from a time of larger values: 13 KiB, with characters that are escaped.
fn large_job() -> LogRecord {
    let mut body = crate::jobs::tests::submission("job-000007");
    body["Builds"] = (0..64).map(|n| format!("\"{n}\u{e9}\\{}", "x".repeat(190))).collect::<Vec<_>>().into();
    LogRecord::JobAccepted(
        crate::jobs::parse_submission(body.to_string().as_bytes(), WallClock::from_millis(3)).unwrap(),
    )
}

/// A leader with an empty log that writes values of 2 KiB at the most.
fn lowered(format: Format) -> WriteAheadLog {
    let limits = StateLimits { rps: 400.0, write_rps: 500.0, value_kb: 2.0, txn_ops: 24, next: None };
    with_empty_log(format, &limits)
}

#[test]
fn a_job_too_large_for_lowered_values_is_kept_in_fragments() {
    let facts = [LogRecord::JobCancelled(JobId(1)), large_job(), LogRecord::CorrectionUpdated(90.0, 3)];
    let mut records = lowered(Format::Two);
    records.begin_snapshot(facts.clone().into_iter());
    // All that the snapshot writes, as the next leader reads it.
    let mut pairs = Vec::new();
    for change in records.snapshot_write.as_ref().unwrap().writes() {
        let StoreWrite::Put { key, value, .. } = change else { continue };
        assert!(value.to_string().len() <= 2048, "{key} has {} bytes", value.to_string().len());
        pairs.push(json!({"K": key, "V": value, "Stamp": 6}));
    }
    let (mut next, mut out) = (lowered(Format::Two), Vec::new());
    (next.loaded, next.in_flight) = (false, InFlightRequests::default());
    next.start(Timestamp::from_millis(5), &mut out);
    let Some(LogEvent::Request(id, _)) = out.pop() else { panic!("{out:?}") };
    next.handle_response(
        Timestamp::from_millis(6),
        id,
        &answer(200, json!({"Pairs": pairs, "More": false, "Ledger": 7})),
        &mut out,
    );
    let read: Vec<&LogRecord> =
        out.iter().filter_map(|e| if let LogEvent::RecordLoaded(r) = e { Some(r) } else { None }).collect();
    assert_eq!(read, facts.iter().collect::<Vec<_>>());
}

/// The version in production would drop a chunk with fragments, so nothing is rewritten while it may lead; the log stays as it is.
#[test]
fn nothing_is_written_in_fragments_while_the_previous_version_may_read_it() {
    let mut records = lowered(Format::One);
    records.entries_since_snapshot = 500;
    records.begin_snapshot([large_job()].into_iter());
    assert!(records.snapshot_write.is_none() && !records.snapshot_due());
    records.begin_snapshot([LogRecord::JobCancelled(JobId(1))].into_iter());
    assert!(records.snapshot_write.is_some());
}
