//! Durable records are kept in step whatever becomes of a write, and never by an older one.

mod support;

use caperstile_disruption::record_store::{
    ConditionalWrite, OutgoingRequest, RecordStore, StoreRequest, StoreResponse,
};
use caperstile_types::Timestamp;
use serde_json::json;
use support::FakeStateService;

/// Lets time pass and answers everything, up to so many milliseconds.
fn run(store: &mut RecordStore, service: &mut FakeStateService, from: u64, until: u64) {
    for now in (from..until).step_by(50) {
        service.serve(store, Timestamp::from_millis(now));
    }
}

/// The next write with its number; reads find nothing.
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
fn a_write_that_is_carried_out_late_never_replaces_a_newer_one() {
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
fn a_write_that_was_carried_out_without_an_answer_is_found_by_reading() {
    let (mut store, mut service) = (RecordStore::new(Timestamp::ZERO, 16, 100.0), FakeStateService::default());
    run(&mut store, &mut service, 0, 200);
    store.set_desired("drain/machine/m-000001".into(), json!(1));
    let (id, write) = next_write(&mut store, 200);
    assert_eq!(service.apply(&write), StoreResponse::Written { revision: 1 });
    assert!(store.observed("drain/machine/m-000001").is_none(), "it is not durable before that is known");
    store.handle_response(Timestamp::from_millis(300), id, StoreResponse::Unknown);
    run(&mut store, &mut service, 300, 5000);
    assert!(store.is_reconciled());
    assert_eq!((service.revision, store.observed("drain/machine/m-000001")), (1, Some(&json!(1))), "written once");
}

#[test]
fn a_write_stays_within_the_transaction_and_keeps_its_order() {
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
        "a drain is taken when its machines are known"
    );
}

#[test]
fn writes_are_paced_and_a_refused_one_is_tried_again() {
    let (mut store, mut service) = (RecordStore::new(Timestamp::ZERO, 16, 2.0), FakeStateService::default());
    run(&mut store, &mut service, 0, 200);
    (0..20).for_each(|n| store.set_desired(format!("drain/machine/m-{n:06}"), json!(n)));
    let (id, _) = next_write(&mut store, 200);
    store.handle_response(Timestamp::from_millis(250), id, StoreResponse::Rejected);
    run(&mut store, &mut service, 300, 5300);
    let written = service.keys.len();
    assert!((6..=12).contains(&written), "{written} changes in 5 s at 2 a second");
}
