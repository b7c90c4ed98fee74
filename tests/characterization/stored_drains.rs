//! The durable records of drains: their keys, the requests of operators, and the statuses, members and machine records
//! of leaders.

use crate::fixture::{self, Example, example, example_of};
use caperstile::types::{AttemptNumber, Duration, JobId, MachineId, WallClock};
use caperstile_disruption::InstancePool;
use caperstile_disruption::record_keys;
use caperstile_disruption::records::{
    BudgetCharge, DrainMode, DrainPhase, DrainRequest, MachineDrainRecord, MachineFilter, MemberMachine, MemberRecord,
};
use caperstile_disruption::records::{DesiredState, DrainStatus, MachineSelector};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::fmt::Debug;

const KEYS: &str = "stored/drain-keys.txt";

/// Asserts that a fixture file holds exactly these values in their stored form, and that each decodes to the same value
/// again.
fn assert_stored<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, values: &[(&str, T)]) {
    let encoded = |value: &T| serde_json::to_value(value).expect("JSON").to_string();
    let actual: Vec<Example> = values.iter().map(|(name, stored)| example(*name, encoded(stored))).collect();
    fixture::assert_examples(file, &actual);
    for (name, stored) in values {
        let read: T = serde_json::from_str(&example_of(file, name)).expect("a record");
        assert_eq!(read, *stored, "{name}");
    }
}

#[test]
fn drain_record_keys_keep_their_names() {
    fixture::assert_examples(
        KEYS,
        &[
            example("all", record_keys::PREFIX),
            example("requests", record_keys::REQUEST_PREFIX),
            example("statuses", record_keys::STATUS_PREFIX),
            example("members", record_keys::MEMBER_PREFIX),
            example("machines", record_keys::MACHINE_PREFIX),
            example("request", record_keys::request_key("kernel-5")),
            example("status", record_keys::status_key("kernel-5")),
            example("member", record_keys::member_key("kernel-5", 12)),
            example("machine", record_keys::machine_key(MachineId(231))),
        ],
    );
}

#[test]
fn drain_requests_keep_their_format() {
    let all_criteria = MachineFilter {
        zone: Some("a".into()),
        machine_type: Some("g8".into()),
        older_than: Some(Duration::from_millis(604_800_000)),
        count: Some(20),
    };
    let matching = |filter| MachineSelector::Matching(filter);
    let machines = MachineSelector::Machines(vec![MachineId(7), MachineId(231)]);
    let request = |selector, mode, desired_state| DrainRequest { selector, mode, desired_state };
    assert_stored(
        "stored/drain-requests.txt",
        &[
            ("machines-remove-run", request(machines, DrainMode::Remove, DesiredState::Run)),
            ("filter-replace-pause", request(matching(all_criteria), DrainMode::Replace, DesiredState::Pause)),
            ("all-remove-cancel", request(matching(MachineFilter::default()), DrainMode::Remove, DesiredState::Cancel)),
        ],
    );
}

#[test]
fn drain_statuses_keep_their_format() {
    let requested = DrainStatus::requested(17, WallClock::from_millis(1_700_000_000_123));
    let full = DrainStatus {
        phase: DrainPhase::Paused,
        request_revision: 29,
        created_revision: 17,
        accepted_at: WallClock::from_millis(1_700_000_000_123),
        refusal: None,
        notes: vec!["m-000007 is gone".into()],
        machine_count: 20,
        drained: 3,
        draining: 2,
        wait_reasons: vec!["the budget of team crew is 0".into(), "crew/live".into()],
    };
    let mut refused = requested.clone();
    refused.refuse("no machine matches".into());
    let of_phase = |phase| DrainStatus { phase, ..requested.clone() };
    assert_stored(
        "stored/drain-statuses.txt",
        &[
            ("asked-for", requested.clone()),
            ("full", full),
            ("refused", refused),
            ("cancelled", of_phase(DrainPhase::Cancelled)),
            ("done", of_phase(DrainPhase::Done)),
        ],
    );
}

#[test]
fn drain_member_records_keep_their_format() {
    let member_record = |spot| MemberRecord {
        pool: InstancePool { machine_type: "g8".into(), zone: "a".into(), spot },
        machines: vec![
            MemberMachine { id: MachineId(7), provisioned_at: WallClock::from_millis(1_700_000_000_123) },
            MemberMachine { id: MachineId(231), provisioned_at: WallClock::from_millis(0) },
        ],
    };
    assert_stored("stored/drain-members.txt", &[("spot", member_record(true)), ("on-demand", member_record(false))]);
}

#[test]
fn machine_drain_records_keep_their_format() {
    let charge =
        |index, task_count| BudgetCharge { job: JobId(412), index, attempt: AttemptNumber(90_071), task_count };
    let drained = MachineDrainRecord {
        drain: Some("kernel-5".into()),
        started_at: WallClock::from_millis(1_700_000_000_123),
        charges: vec![charge(Some(4), 1), charge(None, 8)],
    };
    let consolidated = MachineDrainRecord { drain: None, started_at: WallClock::from_millis(0), charges: Vec::new() };
    assert_stored("stored/drain-machines.txt", &[("drained", drained), ("consolidated", consolidated)]);
}
