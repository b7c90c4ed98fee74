//! Translation of drain records between the record store and the state service.

use super::record_store::{leader_key_changed, service_request, store_response};
use crate::fixture::{self, Example, example};
use crate::store::{ServiceResponse, StoreRequest};
use crate::types::FencingToken;
use crate::upgrade::Format;
use caperstile_disruption::record_store::{
    self, ConditionalWrite, RevisionCondition, StoreEntry, StorePut, StoreResponse,
};
use serde_json::json;

#[test]
fn drain_writes_keep_their_wire_format() {
    let condition = |key: &str, revision| RevisionCondition { key: key.into(), revision };
    let write = ConditionalWrite {
        conditions: vec![condition("drain/machine/m-000007", 0), condition("drain/request/kernel-5", 29)],
        puts: vec![StorePut { key: "drain/machine/m-000007".into(), value: json!({"s": 0}) }],
        removals: vec!["drain/request/kernel-5".into()],
    };
    let sent =
        |format| match service_request(record_store::StoreRequest::Write(write.clone()), format, FencingToken(41)) {
            StoreRequest::CompareAndSwap(txn) => serde_json::to_string(&txn).expect("JSON"),
            _ => panic!("a write must be sent as a compare-and-swap"),
        };
    let examples: [Example; 2] = [example("before-gangs", sent(Format::One)), example("with-gangs", sent(Format::Two))];
    fixture::assert_examples("stored/drain-writes.txt", &examples);
}

#[test]
fn state_service_responses_map_to_record_store_responses() {
    let reply = |status, body: serde_json::Value| ServiceResponse { status, body: body.to_string().into() };
    let entry = StoreEntry { key: "drain/status/x".into(), value: json!(1), revision: 5 };
    let page = json!({"Pairs": [{"K": "drain/status/x", "V": 1, "Stamp": 5}], "More": true, "Ledger": 9});
    assert_eq!(store_response(&reply(200, page)), StoreResponse::Page { entries: vec![entry], more: true });
    assert_eq!(store_response(&reply(200, json!({"Ledger": 9}))), StoreResponse::Written { revision: 9 });
    let failed = reply(409, json!({"failed": ["leader-2"], "Ledger": 9}));
    assert_eq!(store_response(&failed), StoreResponse::Conflict);
    assert!(leader_key_changed(&failed, Format::Two) && !leader_key_changed(&failed, Format::One));
    assert_eq!(store_response(&ServiceResponse::none()), StoreResponse::Unknown);
    assert_eq!(store_response(&reply(503, json!({}))), StoreResponse::Rejected);
}
