use super::*;

#[test]
fn commands_are_encoded_as_the_protocol_specifies() {
    let response = HeartbeatResponse {
        fencing_token: 41,
        commands: vec![
            WorkerCommand::Start { task: "job-000412/4".into(), attempt: 2 },
            WorkerCommand::Stop { task: "job-000377/1".into(), attempt: 1, grace_s: 10.0 },
            WorkerCommand::Forget { task: "job-000398/0".into(), attempt: 1 },
        ],
    };
    let text = serde_json::to_string(&response).unwrap();
    assert_eq!(
        text,
        r#"{"Baton":41,"Orders":[{"Verb":"run","Piece":"job-000412/4","Try":2},{"Verb":"kill","Piece":"job-000377/1","Try":1,"WindDownS":10.0},{"Verb":"reap","Piece":"job-000398/0","Try":1}]}"#
    );
}

#[test]
fn heartbeats_may_omit_null_fields_and_carry_unknown_ones() {
    let text = r#"{"Host":"m-000231","Endpoint":"10.1.0.232:9000","Build":"g8","Yard":"a","Shift":1,"Tally":88,"New":[1],
        "Pieces":[{"Piece":"job-000398/0","Try":1,"Status":"exited","Cause":"in_use"},
                  {"Piece":"job-000398/1","Try":9,"Status":"flushing","Kept":null}]}"#;
    let heartbeat: Heartbeat = serde_json::from_str(text).unwrap();
    let tasks = heartbeat.tasks.unwrap();
    assert_eq!((heartbeat.fencing_token, heartbeat.spot, heartbeat.reclaim_in_s), (0, false, None));
    assert_eq!((tasks[0].state, tasks[0].exit_reason), (TaskState::Exited, Some(ExitReason::DuplicateTask)));
    assert_eq!(tasks[1].state, TaskState::Checkpointing);
    let gang = text.replace("flushing", "gathering").replace("in_use", "incomplete");
    let tasks = serde_json::from_str::<Heartbeat>(&gang).unwrap().tasks.unwrap();
    assert_eq!((tasks[1].state, tasks[0].exit_reason), (TaskState::AwaitingGang, Some(ExitReason::GangIncomplete)));
    // Values that a later protocol version may define.
    let unknown = text.replace("flushing", "resting").replace("in_use", "tired");
    let tasks = serde_json::from_str::<Heartbeat>(&unknown).unwrap().tasks.unwrap();
    assert_eq!((tasks[1].state, tasks[0].exit_reason), (TaskState::Other, Some(ExitReason::Other)));
}
