use super::*;
use crate::settings::{NextLimits, StateLimits, Tuning};
use serde_json::json;

fn answer(status: u16, body: serde_json::Value) -> Reply {
    Reply { status, body: body.to_string().into() }
}

/// A leader that has read an empty log back.
fn loaded() -> Records {
    let limits = StateLimits { rps: 400.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 24, next: None };
    let (mut records, mut out) =
        (Records::new(Token(5), Format::One, Time(0), &limits, &Tuning::default()), Vec::new());
    records.start(Time(0), &mut out);
    for id in 1..=2 {
        records.reply(Time(1), id, &answer(200, json!({"Pairs": [], "More": false, "Ledger": 5})), &mut out);
    }
    assert!(records.loaded());
    records
}

/// A thousand machines that came up together held a submission up for seconds: each commit had one value, in the
/// order in which facts came.
#[test]
fn what_somebody_waits_for_goes_first_and_the_rest_fills_the_transaction() {
    let (mut records, mut out) = (loaded(), Vec::new());
    for n in 0..2000 {
        records.push(Record::Image(MachineId(n), "an-image-with-a-long-name".into()));
    }
    records.push(Record::Cancelled(JobId(1)));
    assert_eq!(records.backlog(), 1, "images keep no user out");
    records.tick(Time(1000), &mut out);
    let Some(Event::Call(_, StateCall::Txn(txn))) = out.pop() else { panic!("{out:?}") };
    assert_eq!((txn.changes.len(), txn.conditions.len()), (7, 8));
    for change in &txn.changes {
        let Change::Put { value, .. } = change else { panic!("{change:?}") };
        assert!(value.to_string().len() <= 8 * 1024);
    }
    let Change::Put { key, value, .. } = &txn.changes[0] else { panic!() };
    assert_eq!((key.as_str(), &value[0]), ("log/000000000001", &json!({"c": 1})));
    assert!(serde_json::to_string(&txn).unwrap().len() <= 64 * 1024);
}

/// The state service may lower its limits at any moment: what is written fits before and after, and a rate falls at the first
/// 429 and not sooner.
#[test]
fn limits_that_will_be_lowered_are_kept_now_and_a_rate_once_it_is_refused() {
    let next = NextLimits { rps: None, write_rps: Some(15.0), value_kb: Some(2.0), txn_ops: Some(5) };
    let limits = StateLimits { rps: 400.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 24, next: Some(next) };
    let (mut records, mut out) =
        (Records::new(Token(5), Format::One, Time(0), &limits, &Tuning::default()), Vec::new());
    records.start(Time(0), &mut out);
    for id in 1..=2 {
        records.reply(Time(1), id, &answer(200, json!({"Pairs": [], "More": false, "Ledger": 5})), &mut out);
    }
    for n in 0..2000 {
        records.push(Record::Image(MachineId(n), "an-image-with-a-long-name".into()));
    }
    out.clear();
    records.tick(Time(1000), &mut out);
    let Some(Event::Call(id, StateCall::Txn(txn))) = out.pop() else { panic!("{out:?}") };
    assert_eq!((txn.changes.len(), txn.conditions.len()), (5, 6));
    for change in &txn.changes {
        let Change::Put { value, .. } = change else { panic!("{change:?}") };
        assert!(value.to_string().len() <= 2 * 1024);
    }
    assert_eq!(records.refill, 50.0 * 0.75);
    records.reply(Time(1010), id, &answer(429, json!({})), &mut out);
    assert_eq!((records.refill, records.budget), (15.0 * 0.75, 0.0));
    records.tick(Time(1300), &mut out);
    let Some(Event::Call(_, StateCall::Txn(again))) = out.pop() else { panic!("{out:?}") };
    assert_eq!(serde_json::to_string(&again).unwrap(), serde_json::to_string(&txn).unwrap(), "repeated as it was");
}
