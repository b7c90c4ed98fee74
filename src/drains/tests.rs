//! Transactions of the drains, as they are sent to the state service.

use super::*;
use crate::fixture::{self, Example, example};
use serde_json::json;

#[test]
fn writes_of_the_drains_keep_their_form() {
    let write = Write {
        conditions: vec![("drain/machine/m-000007".into(), 0), ("drain/request/kernel-5".into(), 29)],
        puts: vec![("drain/machine/m-000007".into(), json!({"s": 0}))],
        removals: vec!["drain/request/kernel-5".into()],
    };
    let sent = |format| match state_call(Call::Write(write.clone()), format, Token(41)) {
        StateCall::Txn(txn) => serde_json::to_string(&txn).expect("JSON"),
        _ => panic!("a write is a transaction"),
    };
    let made: [Example; 2] = [example("before-gangs", sent(Format::One)), example("with-gangs", sent(Format::Two))];
    fixture::assert_examples("stored/drain-writes.txt", &made);
}

#[test]
fn answers_to_the_drains_are_told_apart_as_before() {
    let reply = |status, body: serde_json::Value| Reply { status, body: body.to_string().into() };
    let entry = Entry { key: "drain/status/x".into(), value: json!(1), revision: 5 };
    let page = json!({"Pairs": [{"K": "drain/status/x", "V": 1, "Stamp": 5}], "More": true, "Ledger": 9});
    assert_eq!(answer_of(&reply(200, page)), Answer::Page { entries: vec![entry], more: true });
    assert_eq!(answer_of(&reply(200, json!({"Ledger": 9}))), Answer::Written { revision: 9 });
    let failed = reply(409, json!({"failed": ["leader-2"], "Ledger": 9}));
    assert_eq!(answer_of(&failed), Answer::Conflict);
    assert!(names_leader_key(&failed, Format::Two) && !names_leader_key(&failed, Format::One));
    assert_eq!(answer_of(&Reply::none()), Answer::Lost);
    assert_eq!(answer_of(&reply(503, json!({}))), Answer::Refused);
}
