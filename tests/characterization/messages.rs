//! The JSON messages of the protocol, in both directions: how each is encoded, and how it is decoded with and without
//! optional fields.

use crate::fixture::{self, Example, example, examples};
use caperstile::jobs::{SubmissionError, parse_submission};
use caperstile::types::{JobId, TaskId, WallClock};
use caperstile::wire::{
    CommandBatch, CompareAndSwap, CompareAndSwapResponse, ExitReason, GrantLeaseRequest, GrantLeaseResponse, Heartbeat,
    HeartbeatResponse, KeyPage, KeyValue, ListedMachine, MachineNames, MachinePage, MachineType, MachineTypes,
    RevisionCondition, ScaleOutRequest, StoreWrite, SubmissionRequest, TaskState, TaskStatus, WorkerCommand,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

fn encode(message: &impl Serialize) -> String {
    serde_json::to_string(message).expect("JSON")
}

/// Decodes a message of type `T` and encodes it again.
fn reencoded<T: Serialize + DeserializeOwned>(text: &str) -> String {
    encode(&serde_json::from_str::<T>(text).unwrap_or_else(|error| panic!("{text}: {error}")))
}

/// Decodes a message of the type that the example's name gives before the colon, and encodes it again.
fn reencoded_as(name: &str, text: &str) -> String {
    match name.split(':').next() {
        Some("report") => reencoded::<Heartbeat>(text),
        Some("report-answer") => reencoded::<HeartbeatResponse>(text),
        Some("commands") => reencoded::<CommandBatch>(text),
        Some("flavors") => reencoded::<MachineTypes>(text),
        Some("rent") => reencoded::<ScaleOutRequest>(text),
        Some("machine-names") => reencoded::<MachineNames>(text),
        Some("machine-list") => reencoded::<MachinePage>(text),
        Some("key") => reencoded::<KeyValue>(text),
        Some("key-page") => reencoded::<KeyPage>(text),
        Some("transaction") => reencoded::<CompareAndSwap>(text),
        Some("transaction-answer") => reencoded::<CompareAndSwapResponse>(text),
        Some("lease") => reencoded::<GrantLeaseRequest>(text),
        Some("lease-answer") => reencoded::<GrantLeaseResponse>(text),
        _ => panic!("no message type for the example {name}"),
    }
}

fn task(index: u32, state: TaskState, reason: Option<ExitReason>, saved: Option<bool>) -> TaskStatus {
    TaskStatus {
        task: Some(TaskId { job: JobId(412), index }),
        attempt: 2,
        state,
        exit_reason: reason,
        checkpoint_saved: saved,
    }
}

fn heartbeat() -> Heartbeat {
    use TaskState::{AwaitingGang, Checkpointing, Exited, Fetching, Running};
    let states = [Fetching, AwaitingGang, Running, Checkpointing, TaskState::Other];
    let mut tasks: Vec<TaskStatus> = (0..).zip(states).map(|(n, state)| task(n, state, None, None)).collect();
    tasks.push(task(10, Exited, Some(ExitReason::Done), None));
    tasks.push(task(11, Exited, Some(ExitReason::Stopped), Some(true)));
    tasks.push(task(12, Exited, Some(ExitReason::Stopped), Some(false)));
    tasks.push(task(13, Exited, Some(ExitReason::Error), None));
    tasks.push(task(14, Exited, Some(ExitReason::InsufficientResources), None));
    tasks.push(task(15, Exited, Some(ExitReason::DuplicateTask), None));
    tasks.push(task(16, Exited, Some(ExitReason::UnknownJob), None));
    tasks.push(task(17, Exited, Some(ExitReason::GangMemberLost), None));
    tasks.push(task(18, Exited, Some(ExitReason::GangIncomplete), None));
    tasks.push(task(19, Exited, Some(ExitReason::Other), None));
    tasks.push(TaskStatus { task: None, ..task(0, Running, None, None) });
    Heartbeat {
        machine: "m-000231".into(),
        endpoint: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        epoch: 1,
        sequence: 88,
        fencing_token: 41,
        reclaim_in_s: Some(12.5),
        tasks: Some(tasks),
    }
}

fn worker_commands() -> Vec<WorkerCommand> {
    vec![
        WorkerCommand::Start { task: "job-000412/4".into(), attempt: 2 },
        WorkerCommand::Stop { task: "job-000377/1".into(), attempt: 1, grace_s: 10.0 },
        WorkerCommand::Forget { task: "job-000398/0".into(), attempt: 1 },
    ]
}

#[test]
fn worker_messages_keep_their_format() {
    let without_tasks = Heartbeat { reclaim_in_s: None, tasks: None, ..heartbeat() };
    assert_messages(
        "wire/workers.txt",
        &[
            example("report:full", encode(&heartbeat())),
            example("report:without-tasks", encode(&without_tasks)),
            example("report-answer", encode(&HeartbeatResponse { fencing_token: 41, commands: worker_commands() })),
            example("report-answer:empty", encode(&HeartbeatResponse { fencing_token: 41, commands: Vec::new() })),
            example("commands", encode(&CommandBatch { fencing_token: 41, epoch: 3, commands: worker_commands() })),
        ],
    );
}

#[test]
fn cloud_messages_keep_their_format() {
    let machine_type_entry = MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.5,
        price_per_hour: 12.0,
        spot_price_per_hour: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    };
    let scale_out = ScaleOutRequest {
        request_name: "r-17".into(),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        count: 12,
    };
    let listed = ListedMachine {
        machine: "m-000231".into(),
        endpoint: Some("10.1.0.232:9000".into()),
        machine_type: "g8".into(),
        zone: "a".into(),
        spot: true,
        state: "running".into(),
        age_s: 61.5,
    };
    let machines = vec!["m-000231".into(), "m-000232".into()];
    assert_messages(
        "wire/cloud.txt",
        &[
            example("flavors", encode(&MachineTypes { machine_types: vec![machine_type_entry] })),
            example("rent", encode(&scale_out)),
            example("machine-names", encode(&MachineNames { machines })),
            example("machine-list", encode(&MachinePage { machines: vec![listed], more: true })),
        ],
    );
}

#[test]
fn state_service_messages_keep_their_format() {
    let key = |lease| KeyValue { key: "a/b".into(), value: json!({"format": 2}), revision: 412, lease };
    let put = |lease| StoreWrite::Put { key: "a/b".into(), value: json!(["x"]), lease };
    let transaction = CompareAndSwap {
        conditions: vec![
            RevisionCondition { key: "a/b".into(), revision: 0 },
            RevisionCondition { key: "leader".into(), revision: 9 },
        ],
        writes: vec![put(Some(7)), put(None), StoreWrite::Delete { key: "c/d".into() }],
    };
    let failed = CompareAndSwapResponse { revision: 431, failed_keys: vec!["a/b".into()] };
    assert_messages(
        "wire/state.txt",
        &[
            example("key:with-lease", encode(&key(Some(7)))),
            example("key", encode(&key(None))),
            example("key-page", encode(&KeyPage { items: vec![key(Some(7)), key(None)], more: true })),
            example("transaction", encode(&transaction)),
            example(
                "transaction-answer:done",
                encode(&CompareAndSwapResponse { revision: 432, failed_keys: Vec::new() }),
            ),
            example("transaction-answer:failed", encode(&failed)),
            example("lease", encode(&GrantLeaseRequest { ttl_ms: 5000 })),
            example("lease-answer", encode(&GrantLeaseResponse { lease: 7 })),
        ],
    );
}

/// Asserts that the file holds exactly these encoded messages, and that each example is unchanged by decoding and
/// encoding it again.
fn assert_messages(file: &str, messages: &[Example]) {
    fixture::assert_examples(file, messages);
    for (name, text) in examples(file) {
        assert_eq!(reencoded_as(&name, &text), text, "{name}");
    }
}

/// Other programs may omit optional fields, set them to null or add unknown ones. Each example of `received.txt` is
/// decoded and encoded again, which gives the line of `received-as.txt`.
#[test]
fn missing_null_and_unknown_fields_are_decoded_as_before() {
    let decoded: Vec<Example> = examples("wire/received.txt")
        .into_iter()
        .map(|(name, text)| example(name.clone(), reencoded_as(&name, &text)))
        .collect();
    fixture::assert_examples("wire/received-as.txt", &decoded);
}

/// The fields by which admission control decides have the values in the body.
#[test]
fn submissions_are_admitted_by_the_fields_of_their_body() {
    for (name, text) in examples("wire/submissions.txt") {
        let SubmissionRequest::Valid(submission) = SubmissionRequest::read(text.clone().into_bytes()) else {
            panic!("{name}")
        };
        let all: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        let decoded = json!([submission.job.to_string(), submission.class, submission.team, submission.task_count]);
        assert_eq!(decoded, json!([all["Ref"], all["Lane"], all["Crew"], all["Pieces"]]), "{name}");
    }
}

#[test]
fn submissions_are_parsed_into_the_same_jobs() {
    let parsed: Vec<Example> = examples("wire/submissions.txt")
        .into_iter()
        .map(|(name, text)| {
            let job = parse_submission(text.as_bytes(), WallClock::from_millis(1_700_000_000_123))
                .unwrap_or_else(|_| panic!("{name}"));
            example(name, serde_json::to_value(job).expect("JSON").to_string())
        })
        .collect();
    fixture::assert_examples("wire/submissions-as-jobs.txt", &parsed);
}

/// Each malformed submission gives the name of the invalid field and the problem with it; `taken` marks those that are
/// sound, which an earlier version refused.
#[test]
fn malformed_submissions_give_the_same_errors() {
    let refused: Vec<Example> = examples("wire/malformed.txt")
        .into_iter()
        .map(|(name, text)| match parse_submission(text.as_bytes(), WallClock::from_millis(0)) {
            Err(SubmissionError::Malformed { field, problem }) => example(name, format!("{field}: {problem}")),
            _ => example(name, "taken"),
        })
        .collect();
    fixture::assert_examples("wire/malformed-as.txt", &refused);
}
