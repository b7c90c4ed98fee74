//! The durable records of drains: their keys, what operators ask for, and what leaders keep.

use crate::fixture::{self, Example, example, example_of};
use caperstile::units::{Attempt, Duration, JobId, MachineId, Wall};
use caperstile_disruption::Place;
use caperstile_disruption::records::{self, Charge, EmptyingRecord, Filter, MemberPart, Mode, Phase, Request};
use caperstile_disruption::records::{Selector, Status, Wanted};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

const KEYS: &str = "stored/drain-keys.txt";

/// Asserts that a file holds these values as they are stored, and that they are read back from it as they were.
fn assert_stored<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, values: &[(&str, T)]) {
    let value = |value: &T| serde_json::to_value(value).expect("JSON").to_string();
    let made: Vec<Example> = values.iter().map(|(name, stored)| example(*name, value(stored))).collect();
    fixture::assert_examples(file, &made);
    for (name, stored) in values {
        let read: T = serde_json::from_str(&example_of(file, name)).expect("a record");
        assert_eq!(read, *stored, "{name}");
    }
}

#[test]
fn keys_keep_their_names() {
    fixture::assert_examples(
        KEYS,
        &[
            example("all", records::PREFIX),
            example("requests", records::REQUESTS),
            example("statuses", records::STATUSES),
            example("members", records::MEMBERS),
            example("machines", records::MACHINES),
            example("request", records::request_key("kernel-5")),
            example("status", records::status_key("kernel-5")),
            example("member", records::member_key("kernel-5", 12)),
            example("machine", records::machine_key(MachineId(231))),
        ],
    );
}

#[test]
fn requests_keep_their_form() {
    let everything = Filter {
        zone: Some("a".into()),
        kind: Some("g8".into()),
        older_than: Some(Duration(604_800_000)),
        count: Some(20),
    };
    let matching = |filter| Selector::Matching(filter);
    let machines = Selector::Machines(vec![MachineId(7), MachineId(231)]);
    let request = |selector, mode, wanted| Request { selector, mode, wanted };
    assert_stored(
        "stored/drain-requests.txt",
        &[
            ("machines-remove-run", request(machines, Mode::Remove, Wanted::Run)),
            ("filter-replace-pause", request(matching(everything), Mode::Replace, Wanted::Pause)),
            ("all-remove-cancel", request(matching(Filter::default()), Mode::Remove, Wanted::Cancel)),
        ],
    );
}

#[test]
fn statuses_keep_their_form() {
    let asked_for = Status::asked_for(17, Wall(1_700_000_000_123));
    let full = Status {
        phase: Phase::Paused,
        request: 29,
        created: 17,
        accepted_at: Wall(1_700_000_000_123),
        refusal: None,
        notes: vec!["m-000007 is gone".into()],
        total: 20,
        emptied: 3,
        emptying: 2,
        waits_for: vec!["the budget of team crew is 0".into(), "crew/live".into()],
    };
    let mut refused = asked_for.clone();
    refused.refuse("no machine matches".into());
    let of_phase = |phase| Status { phase, ..asked_for.clone() };
    assert_stored(
        "stored/drain-statuses.txt",
        &[
            ("asked-for", asked_for.clone()),
            ("full", full),
            ("refused", refused),
            ("cancelled", of_phase(Phase::Cancelled)),
            ("done", of_phase(Phase::Done)),
        ],
    );
}

#[test]
fn members_keep_their_form() {
    let part = |spot| MemberPart {
        place: Place { kind: "g8".into(), zone: "a".into(), spot },
        machines: vec![(MachineId(7), Wall(1_700_000_000_123)), (MachineId(231), Wall(0))],
    };
    assert_stored("stored/drain-members.txt", &[("spot", part(true)), ("on-demand", part(false))]);
}

#[test]
fn machines_that_are_being_emptied_keep_their_form() {
    let charge = |index, count| Charge { job: JobId(412), index, attempt: Attempt(90_071), count };
    let drained = EmptyingRecord {
        drain: Some("kernel-5".into()),
        since: Wall(1_700_000_000_123),
        charges: vec![charge(Some(4), 1), charge(None, 8)],
    };
    let consolidated = EmptyingRecord { drain: None, since: Wall(0), charges: Vec::new() };
    assert_stored("stored/drain-machines.txt", &[("drained", drained), ("consolidated", consolidated)]);
}
