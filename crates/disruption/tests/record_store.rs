//! Tests that the store brings the records in the state service to the desired values when writes are delayed,
//! rejected or lose their response, and that a delayed write never replaces a newer one.

mod support;

use caperstile_disruption::record_store::{
    ConditionalWrite, OutgoingRequest, RecordStore, StoreRequest, StoreResponse,
};
use caperstile_types::Timestamp;
use serde_json::json;
use support::FakeStateService;

/// Advances time in steps of 50 ms and answers all requests, for times from `from` to `until` (exclusive), in
/// milliseconds.
fn run(store: &mut RecordStore, service: &mut FakeStateService, from: u64, until: u64) {
    for now in (from..until).step_by(50) {
        service.serve(store, Timestamp::from_millis(now));
    }
}

/// Advances time until the store sends a write, and returns its ID and content. Reads get an empty page.
fn next_write(store: &mut RecordStore, from: u64) -> (u64, ConditionalWrite) {
    for now in (from..from + 5000).step_by(50).map(Timestamp::from_millis) {
        let Some(OutgoingRequest { id, request }) = store.tick(now) else { continue };
        match request {
            StoreRequest::Write(write) => return (id, write),
            StoreRequest::Scan { .. } => {
                store.handle_response(now, id, StoreResponse::Page { entries: Vec::new(), more: false });
            }
        }
    }
    panic!("nothing is written");
}

#[test]
fn a_delayed_write_never_replaces_a_newer_one() {
    let (mut store, mut service) = (RecordStore::new(Timestamp::ZERO, 16, 100.0), FakeStateService::default());
    run(&mut store, &mut service, 0, 200);
    store.set_desired("drain/machine/m-000001".into(), json!({"charges": 1}));
    let (id, late) = next_write(&mut store, 200);
    store.handle_response(Timestamp::from_millis(300), id, StoreResponse::Unknown);
    store.set_desired("drain/machine/m-000001".into(), json!({"charges": 2}));
    run(&mut store, &mut service, 300, 5000);
    assert_eq!(store.observed("drain/machine/m-000001"), Some(&json!({"charges": 2})));
    assert_eq!(service.apply(&late), StoreResponse::Conflict);
    assert_eq!(service.keys["drain/machine/m-000001"].1, json!({"charges": 2}));
}

#[test]
fn an_executed_write_without_a_response_is_found_by_reading_again() {
    let (mut store, mut service) = (RecordStore::new(Timestamp::ZERO, 16, 100.0), FakeStateService::default());
    run(&mut store, &mut service, 0, 200);
    store.set_desired("drain/machine/m-000001".into(), json!(1));
    let (id, write) = next_write(&mut store, 200);
    assert_eq!(service.apply(&write), StoreResponse::Written { revision: 1 });
    assert!(store.observed("drain/machine/m-000001").is_none(), "observed before the response that confirms the write");
    store.handle_response(Timestamp::from_millis(300), id, StoreResponse::Unknown);
    run(&mut store, &mut service, 300, 5000);
    assert!(store.is_reconciled());
    assert_eq!((service.revision, store.observed("drain/machine/m-000001")), (1, Some(&json!(1))), "written once");
}

#[test]
fn writes_respect_the_transaction_limit_and_keep_their_order() {
    let (mut store, mut service) = (RecordStore::new(Timestamp::ZERO, 3, 100.0), FakeStateService::default());
    run(&mut store, &mut service, 0, 200);
    for n in 0..7 {
        store.set_desired(format!("drain/member/all/{:04}", 9 - n), json!(n));
    }
    store.set_desired("drain/status/all".into(), json!("running"));
    let mut order = Vec::new();
    let mut now = 200;
    while !store.is_reconciled() {
        if let Some(OutgoingRequest { id, request }) = store.tick(Timestamp::from_millis(now)) {
            if let StoreRequest::Write(write) = &request {
                assert!(write.puts.len() <= 3 && write.conditions.len() <= 3);
                order.extend(write.puts.iter().map(|put| put.key.clone()));
            }
            let response = service.respond(&request);
            store.handle_response(Timestamp::from_millis(now), id, response);
        }
        now += 50;
    }
    assert_eq!(order.len(), 8);
    assert_eq!(
        order.last().map(String::as_str),
        Some("drain/status/all"),
        "the status must be written after the members"
    );
}

#[test]
fn writes_are_rate_limited_and_a_rejected_write_is_retried() {
    let (mut store, mut service) = (RecordStore::new(Timestamp::ZERO, 16, 2.0), FakeStateService::default());
    run(&mut store, &mut service, 0, 200);
    (0..20).for_each(|n| store.set_desired(format!("drain/machine/m-{n:06}"), json!(n)));
    let (id, _) = next_write(&mut store, 200);
    store.handle_response(Timestamp::from_millis(250), id, StoreResponse::Rejected);
    run(&mut store, &mut service, 300, 5300);
    let written = service.keys.len();
    assert!((6..=12).contains(&written), "{written} changes in 5 s at a limit of 2 per second");
}
