//! Checks the output of `drain`, as lines and as JSON.

use super::*;
use crate::fixture::{self, example};
use crate::types::{Duration, MachineId, WallClock};
use caperstile_disruption::records::{DesiredState, DrainMode, DrainRequest, DrainStatus, MachineFilter};

fn drains() -> Vec<(&'static str, DrainSummary)> {
    let requested = DrainStatus::requested(17, WallClock::from_millis(1_700_000_000_123));
    let running = DrainStatus {
        request_revision: 29,
        notes: vec!["m-000007 is gone".into()],
        machine_count: 20,
        drained: 3,
        draining: 2,
        wait_reasons: vec!["the budget of team crew is 0".into(), "crew/live: 2 to be moved".into()],
        ..requested.clone()
    };
    let with_phase = |phase| DrainStatus { phase, ..requested.clone() };
    let mut refused = requested.clone();
    refused.refuse("no machine matches".into());
    let filter = MachineFilter {
        zone: Some("a".into()),
        machine_type: Some("g8".into()),
        older_than: Some(Duration::from_millis(604_800_000)),
        count: Some(20),
    };
    let machines = MachineSelector::Machines(vec![MachineId(7), MachineId(231)]);
    let request = |selector, mode, desired_state| Some(DrainRequest { selector, mode, desired_state });
    let all_machines = || MachineSelector::Matching(MachineFilter::default());
    let drain = |request, status| DrainSummary { name: "kernel-5".into(), request, status };
    vec![
        ("asked-for", drain(request(machines, DrainMode::Remove, DesiredState::Run), None)),
        (
            "running",
            drain(request(MachineSelector::Matching(filter), DrainMode::Replace, DesiredState::Run), Some(running)),
        ),
        (
            "paused",
            drain(
                request(all_machines(), DrainMode::Replace, DesiredState::Pause),
                Some(with_phase(DrainPhase::Paused)),
            ),
        ),
        (
            "cancelled",
            drain(
                request(all_machines(), DrainMode::Remove, DesiredState::Cancel),
                Some(with_phase(DrainPhase::Cancelled)),
            ),
        ),
        ("done", drain(None, Some(with_phase(DrainPhase::Done)))),
        ("refused", drain(request(all_machines(), DrainMode::Remove, DesiredState::Run), Some(refused))),
    ]
}

#[test]
fn drain_output_matches_the_fixture() {
    let mut examples = Vec::new();
    for (name, drain) in drains() {
        examples.extend(lines(&drain).into_iter().map(|line| example(format!("{name}:line"), line)));
        examples.push(example(format!("{name}:json"), json(&drain).to_string()));
    }
    fixture::assert_examples("names/drain-shown.txt", &examples);
}
