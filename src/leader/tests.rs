use super::*;
use crate::effects::RequestOrigin;
use crate::jobs::{parse_submission, tests::submission};
use crate::settings::tests::SAMPLE;
use crate::types::{AttemptId, AttemptNumber, Revision};
use crate::workers::TaskAttempt;
use crate::write_ahead_log::{LogRecord, MachineRecord};
use serde_json::json;

/// Provisioning records are written later than other records, since nothing waits for them. One that is loaded after
/// the registration or the release of its machine must not restore a pending instance.
#[test]
fn late_provisioning_records_restore_no_pending_instances() {
    let mut leader = Leader::new(FencingToken(5), Format::One, Timestamp::START, &Settings::parse(SAMPLE).unwrap());
    let (machine_type, zone, endpoint) = ("big".to_string(), "a".to_string(), String::new());
    let machine = |n| MachineRecord {
        id: MachineId(n),
        endpoint: endpoint.clone(),
        machine_type: machine_type.clone(),
        zone: zone.clone(),
        spot: false,
        provisioned_at: WallClock::default(),
    };
    let records = [
        LogRecord::MachineRegistered(machine(1)),
        LogRecord::MachineRegistered(machine(2)),
        LogRecord::MachineGone(MachineId(2)),
        LogRecord::MachineProvisioned(machine(1)),
        LogRecord::MachineProvisioned(machine(2)),
        LogRecord::MachineProvisioned(machine(3)),
    ];
    for record in &records {
        leader.restore_record(Timestamp::START, WallClock::default(), record);
    }
    let booting: Vec<MachineId> = leader.cloud.pending().map(|(id, _)| *id).collect();
    assert_eq!(booting, [MachineId(3)]);
    assert_eq!(leader.machines.keys().collect::<Vec<_>>(), [&MachineId(1)]);
}

/// The status and the fencing token of a leader's response to the next heartbeat of machine 1.
fn response_to_heartbeat(leader: &mut Leader, sequence: u64, lease_valid: bool) -> (u16, Option<u64>) {
    let heartbeat = json!({"Host": "m-000001", "Endpoint": "10.0.0.1:1", "Build": "small", "Yard": "a", "Shift": 1,
        "Tally": sequence, "Baton": 5, "Pieces": []});
    let heartbeat = serde_json::from_value(heartbeat).unwrap();
    let context = InputContext { now: Timestamp::START, wall: WallClock::default(), lease_valid };
    let mut effects = Vec::new();
    leader.handle_heartbeat(context, RequestOrigin::Http(sequence), &heartbeat, &mut effects);
    let responses = effects.iter().find_map(|effect| match effect {
        Effect::Respond(RequestOrigin::Http(to), response) if *to == sequence => Some(response),
        _ => None,
    });
    let response = responses.expect("a response");
    let body: serde_json::Value = serde_json::from_str(&response.body).unwrap();
    assert!(body["Orders"].as_array().is_none_or(Vec::is_empty), "{body}");
    (response.status, body["Baton"].as_u64())
}

/// Guards against a leader in doubt that keeps a machine's lease alive until a held-up start command of a job arrives
/// whose cancellation another leader has confirmed.
#[test]
fn a_leader_in_doubt_renews_no_lease_under_which_a_cancelled_task_may_start_late() {
    let mut leader = Leader::new(FencingToken(5), Format::One, Timestamp::START, &Settings::parse(SAMPLE).unwrap());
    assert_eq!(response_to_heartbeat(&mut leader, 1, true), (200, Some(5)));
    let body = submission("job-000001").to_string();
    let spec = parse_submission(body.as_bytes(), WallClock::default()).unwrap();
    let id = AttemptId { attempt: AttemptNumber(1), task: "job-000001/0".parse().unwrap() };
    let mut attempt = TaskAttempt::requested(id.task, &spec, None, Timestamp::START);
    (attempt.start_sent, attempt.direct_start_token) = (true, Some(FencingToken(5)));
    leader.jobs.insert(spec, Timestamp::START, true);
    let machine = leader.machines.get_mut(&MachineId(1)).unwrap();
    machine.attempts.insert(id, attempt);
    assert!(machine.request_stop(id, 0.0));
    assert_eq!(response_to_heartbeat(&mut leader, 2, false), (200, Some(5)), "the job is not cancelled");
    leader.jobs.get_mut(id.task.job).unwrap().cancelling = true;
    assert_eq!(response_to_heartbeat(&mut leader, 3, true), (200, Some(5)), "no other leader was elected");
    assert_eq!(response_to_heartbeat(&mut leader, 4, false), (503, None));
    leader.tokens.add_confirmed_revision(Revision(9));
    assert_eq!(response_to_heartbeat(&mut leader, 5, false), (200, Some(9)), "the worker will reject the command");
}
