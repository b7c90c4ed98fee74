use super::*;

#[test]
fn orders_are_written_as_the_protocol_says() {
    let answer = HeartbeatResponse {
        fencing_token: 41,
        commands: vec![
            WorkerCommand::Start { task: "job-000412/4".into(), attempt: 2 },
            WorkerCommand::Stop { task: "job-000377/1".into(), attempt: 1, grace_s: 10.0 },
            WorkerCommand::Forget { task: "job-000398/0".into(), attempt: 1 },
        ],
    };
    let text = serde_json::to_string(&answer).unwrap();
    assert_eq!(
        text,
        r#"{"Baton":41,"Orders":[{"Verb":"run","Piece":"job-000412/4","Try":2},{"Verb":"kill","Piece":"job-000377/1","Try":1,"WindDownS":10.0},{"Verb":"reap","Piece":"job-000398/0","Try":1}]}"#
    );
}

#[test]
fn a_report_may_omit_what_is_null_and_carry_unknown_fields() {
    let text = r#"{"Host":"m-000231","Endpoint":"10.1.0.232:9000","Build":"g8","Yard":"a","Shift":1,"Tally":88,"New":[1],
        "Pieces":[{"Piece":"job-000398/0","Try":1,"Status":"exited","Cause":"in_use"},
                  {"Piece":"job-000398/1","Try":9,"Status":"flushing","Kept":null}]}"#;
    let report: Heartbeat = serde_json::from_str(text).unwrap();
    let tasks = report.tasks.unwrap();
    assert_eq!((report.fencing_token, report.spot, report.reclaim_in_s), (0, false, None));
    assert_eq!((tasks[0].state, tasks[0].exit_reason), (TaskState::Exited, Some(ExitReason::DuplicateTask)));
    assert_eq!(tasks[1].state, TaskState::Checkpointing);
    let gang = text.replace("flushing", "gathering").replace("in_use", "incomplete");
    let tasks = serde_json::from_str::<Heartbeat>(&gang).unwrap().tasks.unwrap();
    assert_eq!((tasks[1].state, tasks[0].exit_reason), (TaskState::AwaitingGang, Some(ExitReason::GangIncomplete)));
    // Words of a later protocol.
    let odd = text.replace("flushing", "resting").replace("in_use", "tired");
    let tasks = serde_json::from_str::<Heartbeat>(&odd).unwrap().tasks.unwrap();
    assert_eq!((tasks[1].state, tasks[0].exit_reason), (TaskState::Other, Some(ExitReason::Other)));
}
