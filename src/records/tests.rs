use super::*;
use crate::settings::{StateLimits, Tuning};
use serde_json::json;

fn answer(status: u16, body: serde_json::Value) -> Reply {
    Reply { status, body: body.to_string().into() }
}

/// A leader that has read an empty log back.
fn loaded() -> Records {
    let limits = StateLimits { rps: 400.0, write_rps: 50.0, value_kb: 8.0, txn_ops: 24 };
    let (mut records, mut out) = (Records::new(Token(5), Time(0), &limits, &Tuning::default()), Vec::new());
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
