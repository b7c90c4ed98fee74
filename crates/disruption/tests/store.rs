//! Durable records are kept in step whatever becomes of a write, and never by an older one.

mod support;

use caperstile_disruption::store::{Answer, Call, Store, Write};
use caperstile_types::Timestamp;
use serde_json::json;
use support::Service;

/// Lets time pass and answers everything, up to so many milliseconds.
fn run(store: &mut Store, service: &mut Service, from: u64, until: u64) {
    for now in (from..until).step_by(50) {
        let mut call = store.tick(Timestamp::from_millis(now));
        while let Some((id, asked)) = call {
            let answer = service.answer(&asked);
            call = store.reply(Timestamp::from_millis(now), id, answer);
        }
    }
}

fn next_write(store: &mut Store, from: u64) -> (u64, Write) {
    for now in (from..from + 5000).step_by(50) {
        match store.tick(Timestamp::from_millis(now)) {
            Some((id, Call::Write(write))) => return (id, write),
            Some((id, Call::Scan { .. })) => {
                store.reply(Timestamp::from_millis(now), id, Answer::Page { entries: Vec::new(), more: false });
            }
            None => {}
        }
    }
    panic!("nothing is written");
}

#[test]
fn a_write_that_is_carried_out_late_never_replaces_a_newer_one() {
    let (mut store, mut service) = (Store::new(Timestamp::ZERO, 16, 100.0), Service::default());
    run(&mut store, &mut service, 0, 200);
    store.put("drain/machine/m-000001".into(), json!({"charges": 1}));
    let (id, late) = next_write(&mut store, 200);
    store.reply(Timestamp::from_millis(300), id, Answer::Lost);
    store.put("drain/machine/m-000001".into(), json!({"charges": 2}));
    run(&mut store, &mut service, 300, 5000);
    assert_eq!(store.stored("drain/machine/m-000001"), Some(&json!({"charges": 2})));
    assert_eq!(service.apply(&late), Answer::Conflict);
    assert_eq!(service.keys["drain/machine/m-000001"].1, json!({"charges": 2}));
}

#[test]
fn a_write_that_was_carried_out_without_an_answer_is_found_by_reading() {
    let (mut store, mut service) = (Store::new(Timestamp::ZERO, 16, 100.0), Service::default());
    run(&mut store, &mut service, 0, 200);
    store.put("drain/machine/m-000001".into(), json!(1));
    let (id, write) = next_write(&mut store, 200);
    assert_eq!(service.apply(&write), Answer::Written { revision: 1 });
    assert!(store.stored("drain/machine/m-000001").is_none(), "it is not durable before that is known");
    store.reply(Timestamp::from_millis(300), id, Answer::Lost);
    run(&mut store, &mut service, 300, 5000);
    assert!(store.settled());
    assert_eq!((service.revision, store.stored("drain/machine/m-000001")), (1, Some(&json!(1))), "written once");
}

#[test]
fn a_write_stays_within_the_transaction_and_keeps_its_order() {
    let (mut store, mut service) = (Store::new(Timestamp::ZERO, 3, 100.0), Service::default());
    run(&mut store, &mut service, 0, 200);
    for n in 0..7 {
        store.put(format!("drain/member/all/{:04}", 9 - n), json!(n));
    }
    store.put("drain/status/all".into(), json!("running"));
    let mut order = Vec::new();
    let mut now = 200;
    while !store.settled() {
        if let Some((id, call)) = store.tick(Timestamp::from_millis(now)) {
            if let Call::Write(write) = &call {
                assert!(write.puts.len() <= 3 && write.conditions.len() <= 3);
                order.extend(write.puts.iter().map(|(key, _)| key.clone()));
            }
            let answer = service.answer(&call);
            store.reply(Timestamp::from_millis(now), id, answer);
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
    let (mut store, mut service) = (Store::new(Timestamp::ZERO, 16, 2.0), Service::default());
    run(&mut store, &mut service, 0, 200);
    (0..20).for_each(|n| store.put(format!("drain/machine/m-{n:06}"), json!(n)));
    let (id, _) = next_write(&mut store, 200);
    store.reply(Timestamp::from_millis(250), id, Answer::Refused);
    run(&mut store, &mut service, 300, 5300);
    let written = service.keys.len();
    assert!((6..=12).contains(&written), "{written} changes in 5 s at 2 a second");
}
