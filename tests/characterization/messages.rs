//! Every message of PROTOCOL, in both directions: as it is written, and as it is read again with and without optional fields.

use crate::fixture::{self, Example, example, examples};
use caperstile::intake::{Refusal, parse_job};
use caperstile::units::{JobId, TaskId, Wall};
use caperstile::wire::{
    Cause, Change, Commands, Condition, Flavor, Flavors, KeyPage, KeyValue, LeaseAnswer, LeaseRequest, ListedMachine,
    MachineList, MachineNames, Order, RentRequest, Report, ReportAnswer, ReportedTask, SubmissionHead, TaskState, Txn,
    TxnAnswer,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

fn write(message: &impl Serialize) -> String {
    serde_json::to_string(message).expect("JSON")
}

/// Reads a message and writes it again.
fn rewritten<T: Serialize + DeserializeOwned>(text: &str) -> String {
    write(&serde_json::from_str::<T>(text).unwrap_or_else(|error| panic!("{text}: {error}")))
}

/// Reads a message of this name and writes it again.
fn rewritten_as(name: &str, text: &str) -> String {
    match name.split(':').next() {
        Some("report") => rewritten::<Report>(text),
        Some("report-answer") => rewritten::<ReportAnswer>(text),
        Some("commands") => rewritten::<Commands>(text),
        Some("flavors") => rewritten::<Flavors>(text),
        Some("rent") => rewritten::<RentRequest>(text),
        Some("machine-names") => rewritten::<MachineNames>(text),
        Some("machine-list") => rewritten::<MachineList>(text),
        Some("key") => rewritten::<KeyValue>(text),
        Some("key-page") => rewritten::<KeyPage>(text),
        Some("transaction") => rewritten::<Txn>(text),
        Some("transaction-answer") => rewritten::<TxnAnswer>(text),
        Some("lease") => rewritten::<LeaseRequest>(text),
        Some("lease-answer") => rewritten::<LeaseAnswer>(text),
        _ => panic!("no message is called {name}"),
    }
}

fn task(index: u32, state: TaskState, cause: Option<Cause>, saved: Option<bool>) -> ReportedTask {
    ReportedTask { task: Some(TaskId { job: JobId(412), index }), attempt: 2, state, cause, saved }
}

fn report() -> Report {
    use TaskState::{Exited, Fetching, Flushing, Gathering, Running};
    let states = [Fetching, Gathering, Running, Flushing, TaskState::Other];
    let mut tasks: Vec<ReportedTask> = (0..).zip(states).map(|(n, state)| task(n, state, None, None)).collect();
    tasks.push(task(10, Exited, Some(Cause::Done), None));
    tasks.push(task(11, Exited, Some(Cause::Halted), Some(true)));
    tasks.push(task(12, Exited, Some(Cause::Halted), Some(false)));
    tasks.push(task(13, Exited, Some(Cause::Error), None));
    tasks.push(task(14, Exited, Some(Cause::Full), None));
    tasks.push(task(15, Exited, Some(Cause::InUse), None));
    tasks.push(task(16, Exited, Some(Cause::Unknown), None));
    tasks.push(task(17, Exited, Some(Cause::Peers), None));
    tasks.push(task(18, Exited, Some(Cause::Incomplete), None));
    tasks.push(task(19, Exited, Some(Cause::Other), None));
    tasks.push(ReportedTask { task: None, ..task(0, Running, None, None) });
    Report {
        machine: "m-000231".into(),
        endpoint: "10.1.0.232:9000".into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        session: 1,
        seq: 88,
        token: 41,
        notice_s: Some(12.5),
        tasks: Some(tasks),
    }
}

fn orders() -> Vec<Order> {
    vec![
        Order::Run { task: "job-000412/4".into(), attempt: 2 },
        Order::Kill { task: "job-000377/1".into(), attempt: 1, grace_s: 10.0 },
        Order::Reap { task: "job-000398/0".into(), attempt: 1 },
    ]
}

#[test]
fn messages_of_workers_keep_their_form() {
    let silent = Report { notice_s: None, tasks: None, ..report() };
    assert_messages(
        "wire/workers.txt",
        &[
            example("report:full", write(&report())),
            example("report:without-tasks", write(&silent)),
            example("report-answer", write(&ReportAnswer { token: 41, orders: orders() })),
            example("report-answer:empty", write(&ReportAnswer { token: 41, orders: Vec::new() })),
            example("commands", write(&Commands { token: 41, session: 3, orders: orders() })),
        ],
    );
}

#[test]
fn messages_of_the_cloud_keep_their_form() {
    let flavor = Flavor {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.5,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    };
    let rent = RentRequest { request: "r-17".into(), kind: "g8".into(), zone: "a".into(), spot: true, count: 12 };
    let listed = ListedMachine {
        machine: "m-000231".into(),
        endpoint: Some("10.1.0.232:9000".into()),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        state: "running".into(),
        age_s: 61.5,
    };
    let machines = vec!["m-000231".into(), "m-000232".into()];
    assert_messages(
        "wire/cloud.txt",
        &[
            example("flavors", write(&Flavors { types: vec![flavor] })),
            example("rent", write(&rent)),
            example("machine-names", write(&MachineNames { machines })),
            example("machine-list", write(&MachineList { machines: vec![listed], more: true })),
        ],
    );
}

#[test]
fn messages_of_the_state_service_keep_their_form() {
    let key = |lease| KeyValue { key: "a/b".into(), value: json!({"format": 2}), version: 412, lease };
    let put = |lease| Change::Put { key: "a/b".into(), value: json!(["x"]), lease };
    let transaction = Txn {
        conditions: vec![Condition { key: "a/b".into(), version: 0 }, Condition { key: "leader".into(), version: 9 }],
        changes: vec![put(Some(7)), put(None), Change::Delete { key: "c/d".into() }],
    };
    let failed = TxnAnswer { revision: 431, failed: vec!["a/b".into()] };
    assert_messages(
        "wire/state.txt",
        &[
            example("key:with-lease", write(&key(Some(7)))),
            example("key", write(&key(None))),
            example("key-page", write(&KeyPage { items: vec![key(Some(7)), key(None)], more: true })),
            example("transaction", write(&transaction)),
            example("transaction-answer:done", write(&TxnAnswer { revision: 432, failed: Vec::new() })),
            example("transaction-answer:failed", write(&failed)),
            example("lease", write(&LeaseRequest { ttl_ms: 5000 })),
            example("lease-answer", write(&LeaseAnswer { lease: 7 })),
        ],
    );
}

/// Asserts that these messages are written as the file says, and that what it says is read back with nothing lost.
fn assert_messages(file: &str, messages: &[Example]) {
    fixture::assert_examples(file, messages);
    for (name, text) in examples(file) {
        assert_eq!(rewritten_as(&name, &text), text, "{name}");
    }
}

/// What others may send: each line of the first file, with fields left out, null or unknown, is read as the line of the second.
#[test]
fn messages_with_optional_fields_left_out_are_read_as_before() {
    let read: Vec<Example> = examples("wire/received.txt")
        .into_iter()
        .map(|(name, text)| example(name.clone(), rewritten_as(&name, &text)))
        .collect();
    fixture::assert_examples("wire/received-as.txt", &read);
}

/// What admission reads of a submission without parsing all of it.
#[test]
fn the_head_of_a_submission_is_read_as_before() {
    for (name, text) in examples("wire/submissions.txt") {
        let head: SubmissionHead = serde_json::from_str(&text).expect("the head of a submission");
        let all: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        let read = json!([head.job, head.class, head.team, head.tasks]);
        assert_eq!(read, json!([all["Ref"], all["Lane"], all["Crew"], all["Pieces"]]), "{name}");
    }
}

#[test]
fn submissions_are_parsed_into_the_same_jobs() {
    let parsed: Vec<Example> = examples("wire/submissions.txt")
        .into_iter()
        .map(|(name, text)| {
            let job = parse_job(text.as_bytes(), Wall(1_700_000_000_123)).unwrap_or_else(|_| panic!("{name}"));
            example(name, serde_json::to_value(job).expect("JSON").to_string())
        })
        .collect();
    fixture::assert_examples("wire/submissions-as-jobs.txt", &parsed);
}

/// The field at fault and what is wrong with it.
#[test]
fn malformed_submissions_are_refused_with_the_same_words() {
    let refused: Vec<Example> = examples("wire/malformed.txt")
        .into_iter()
        .map(|(name, text)| match parse_job(text.as_bytes(), Wall(0)) {
            Err(Refusal::Malformed(field, problem)) => example(name, format!("{field}: {problem}")),
            _ => example(name, "taken"),
        })
        .collect();
    fixture::assert_examples("wire/malformed-as.txt", &refused);
}
