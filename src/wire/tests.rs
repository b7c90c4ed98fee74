use super::*;

#[test]
fn orders_are_written_as_the_protocol_says() {
    let answer = ReportAnswer {
        token: 41,
        orders: vec![
            Order::Run { task: "job-000412/4".into(), attempt: 2 },
            Order::Kill { task: "job-000377/1".into(), attempt: 1, grace_s: 10.0 },
            Order::Reap { task: "job-000398/0".into(), attempt: 1 },
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
    let report: Report = serde_json::from_str(text).unwrap();
    let tasks = report.tasks.unwrap();
    assert_eq!((report.token, report.spot, report.notice_s), (0, false, None));
    assert_eq!((tasks[0].state, tasks[0].cause), (TaskState::Exited, Some(Cause::InUse)));
    assert_eq!(tasks[1].state, TaskState::Flushing);
    let gang = text.replace("flushing", "gathering").replace("in_use", "incomplete");
    let tasks = serde_json::from_str::<Report>(&gang).unwrap().tasks.unwrap();
    assert_eq!((tasks[1].state, tasks[0].cause), (TaskState::Gathering, Some(Cause::Incomplete)));
    // Words of a later protocol.
    let odd = text.replace("flushing", "resting").replace("in_use", "tired");
    let tasks = serde_json::from_str::<Report>(&odd).unwrap().tasks.unwrap();
    assert_eq!((tasks[1].state, tasks[0].cause), (TaskState::Other, Some(Cause::Other)));
}
