use super::*;
use crate::leadership::TermTokens;
use crate::types::{
    AttemptId, AttemptNumber, Duration, FencingToken, MachineId, Resources, Revision, Timestamp, WallClock,
};
use crate::wire::{Heartbeat, WorkerCommand};
use crate::write_ahead_log::MachineRecord;
use serde_json::json;

fn heartbeat(epoch: u64, sequence: u64, token: u64, tasks: serde_json::Value) -> Heartbeat {
    serde_json::from_value(json!({"Host": "m-000001", "Endpoint": "10.0.0.1:1", "Build": "small", "Yard": "a",
        "Shift": epoch, "Tally": sequence, "Baton": token, "Pieces": tasks}))
    .unwrap()
}

fn machine() -> Machine {
    let record = MachineRecord {
        id: MachineId(1),
        endpoint: "10.0.0.1:1".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        provisioned_at: WallClock::default(),
    };
    Machine::new(
        record,
        Resources { cpus: 4000, gpus: 0, memory: 16_000 },
        Registration::Durable,
        FencingToken(7),
        Timestamp::ZERO,
    )
}

fn first_attempt() -> AttemptId {
    AttemptId { attempt: AttemptNumber(1), task: "job-000001/0".parse().unwrap() }
}

fn attempt_with_requested_start(task: &str, direct_start_token: Option<FencingToken>) -> TaskAttempt {
    TaskAttempt {
        task: task.parse().unwrap(),
        phase: AttemptPhase::StartRequested,
        acknowledged: false,
        stop_grace_s: None,
        start_sent: direct_start_token.is_some(),
        stop_sent: false,
        direct_start_token,
        start_responded_to: None,
        forgettable: true,
        assigned: true,
        resources: Resources { cpus: 1000, gpus: 0, memory: 1000 },
        priority: 0,
        image: "img".into(),
        requested_at: Timestamp::ZERO,
        running_since: None,
        predicted_duration: None,
        in_gang: false,
    }
}

/// Guards against considering a lease expired too early: an epoch that the leader knew only from responses to direct
/// commands inherited the lease of the previous epoch. Found by random faults.
#[test]
fn the_lease_of_a_new_epoch_counts_from_its_beginning() {
    let (mut machine, mut events) = (machine(), Vec::new());
    machine.apply_message(
        Timestamp::from_millis(100),
        &heartbeat(1, 5, 7, json!([])),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    assert_eq!((machine.fenced, machine.lease_renewed_at), (true, Timestamp::from_millis(100)));
    machine.attempts.insert(first_attempt(), attempt_with_requested_start("job-000001/0", None));
    events.clear();
    machine.apply_message(
        Timestamp::from_millis(16_500),
        &heartbeat(2, 1, 7, json!([])),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    assert_eq!(events, [MachineEvent::AttemptLost("job-000001/0".parse().unwrap())]);
    assert_eq!(machine.lease_renewed_at, Timestamp::from_millis(16_500));
}

#[test]
fn an_older_message_changes_nothing() {
    let (mut machine, mut events) = (machine(), Vec::new());
    let running = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "running"}]);
    machine.apply_message(
        Timestamp::from_millis(100),
        &heartbeat(1, 5, 7, running),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    events.clear();
    machine.apply_message(
        Timestamp::from_millis(101),
        &heartbeat(1, 4, 7, json!([])),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    machine.apply_message(
        Timestamp::from_millis(102),
        &heartbeat(0, 9, 7, json!([])),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    assert!(events.is_empty() && machine.attempts.len() == 1);
}

/// A delayed duplicate of a heartbeat is rejected. A heartbeat that was overtaken by the response to a direct command
/// is accepted, since its worker may be waiting for the heartbeat response.
#[test]
fn only_a_newer_heartbeat_counts() {
    let (mut machine, mut events) = (machine(), Vec::new());
    assert!(machine.accept_heartbeat(Timestamp::from_millis(100), &heartbeat(1, 5, 7, json!([])), true));
    machine.apply_message(
        Timestamp::from_millis(100),
        &heartbeat(1, 5, 7, json!([])),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    // The response to a direct command.
    machine.apply_message(
        Timestamp::from_millis(110),
        &heartbeat(1, 7, 7, json!([])),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    assert!(machine.accept_heartbeat(Timestamp::from_millis(120), &heartbeat(1, 6, 7, json!([])), true));
    assert!(
        !machine.accept_heartbeat(Timestamp::from_millis(130), &heartbeat(1, 6, 7, json!([])), true),
        "a duplicate"
    );
    assert!(
        !machine.accept_heartbeat(Timestamp::from_millis(140), &heartbeat(1, 4, 7, json!([])), true),
        "an older heartbeat"
    );
    machine.apply_message(
        Timestamp::from_millis(150),
        &heartbeat(2, 1, 7, json!([])),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    assert!(
        !machine.accept_heartbeat(Timestamp::from_millis(160), &heartbeat(1, 9, 7, json!([])), true),
        "from an earlier epoch"
    );
}

/// Heartbeats alone do not prove that responses and commands reach the machine. Proof is a message with the leader's
/// token, the next heartbeat after one that was responded to, a command that took effect, or the response to a direct
/// command.
#[test]
fn heartbeats_alone_do_not_prove_that_a_machine_is_reached() {
    let (mut machine, mut events) = (machine(), Vec::new());
    let mut receive = |machine: &mut Machine, at: u64, heartbeat: &Heartbeat| {
        assert!(machine.accept_heartbeat(Timestamp::from_millis(at), heartbeat, true));
        machine.apply_message(Timestamp::from_millis(at), heartbeat, TermTokens::new(FencingToken(7)), &mut events);
        machine.last_responded_heartbeat = machine.last_heartbeat;
    };
    receive(&mut machine, 100, &heartbeat(1, 5, 7, json!([])));
    assert_eq!(machine.last_reached_at, Timestamp::from_millis(100), "its message contains the leader's token");
    receive(&mut machine, 2100, &heartbeat(1, 6, 7, json!([])));
    assert_eq!(machine.last_reached_at, Timestamp::from_millis(2100), "it sent the next heartbeat to the same node");
    machine.record_command_outcome(Timestamp::from_millis(4000), 1, false);
    receive(&mut machine, 12_100, &heartbeat(1, 8, 7, json!([])));
    assert_eq!(
        (machine.last_reached_at, machine.unanswered_commands),
        (Timestamp::from_millis(2100), 1),
        "it sent a heartbeat to another node in between"
    );
    machine.attempts.insert(first_attempt(), attempt_with_requested_start("job-000001/0", Some(FencingToken(7))));
    receive(&mut machine, 22_100, &heartbeat(1, 10, 7, json!([])));
    assert_eq!(machine.last_reached_at, Timestamp::from_millis(2100), "the command had no effect");
    let fetching = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "fetching"}]);
    receive(&mut machine, 32_100, &heartbeat(1, 12, 7, fetching));
    assert_eq!(
        (machine.last_reached_at, machine.unanswered_commands),
        (Timestamp::from_millis(32_100), 0),
        "the command took effect"
    );
}

/// Guards against starting a task only to stop it, and against an attempt in doubt that is given up without a proof.
#[test]
fn stop_of_an_unacknowledged_start_sends_no_start_and_ends_once_the_worker_cannot_start_it() {
    let never_started = |machine: &mut Machine, heartbeat: &Heartbeat, is_response: bool| {
        let mut tokens = TermTokens::new(FencingToken(7));
        tokens.add_confirmed_revision(Revision(9));
        let mut events = Vec::new();
        if !is_response {
            assert!(machine.accept_heartbeat(Timestamp::from_millis(1), heartbeat, true));
        }
        machine.apply_message(Timestamp::from_millis(1), heartbeat, tokens, &mut events);
        events == [MachineEvent::AttemptNeverStarted("job-000001/0".parse().unwrap())]
    };
    let mut machine = machine();
    machine.fenced = true;
    machine.attempts.insert(first_attempt(), attempt_with_requested_start("job-000001/0", Some(FencingToken(7))));
    assert!(!machine.awaits_higher_token());
    let start = WorkerCommand::Start { task: "job-000001/0".into(), attempt: 1 };
    assert!(machine.accept_heartbeat(Timestamp::ZERO, &heartbeat(1, 1, 7, json!([])), true));
    assert_eq!(machine.heartbeat_commands(), [start], "a wanted start is repeated");
    machine.request_stop(first_attempt(), 0.0);
    assert!(machine.heartbeat_commands().is_empty() && machine.direct_commands().is_empty());
    assert!(machine.awaits_higher_token(), "the direct command may still be executed");
    machine.raise_message_token(FencingToken(9));
    assert!(!machine.awaits_higher_token());
    assert!(!never_started(&mut machine, &heartbeat(1, 2, 9, json!([])), true), "the response may be on its way");
    assert!(!never_started(&mut machine, &heartbeat(1, 3, 7, json!([])), false), "the direct command may come");
    assert!(never_started(&mut machine, &heartbeat(1, 4, 9, json!([])), false));
    assert!(machine.attempts.is_empty());
}

/// Guards against slow cancellation: a task that was checkpointing when its job was cancelled got no second stop and
/// occupied its machine until the checkpoint was complete.
#[test]
fn a_checkpointing_task_is_ended_by_a_second_stop() {
    let mut machine = machine();
    machine.attempts.insert(first_attempt(), attempt_with_requested_start("job-000001/0", None));
    machine.fenced = true;
    machine.request_stop(first_attempt(), 10.0);
    let checkpointing = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "flushing"}]);
    machine.apply_message(
        Timestamp::from_millis(1),
        &heartbeat(1, 1, 7, checkpointing),
        TermTokens::new(FencingToken(7)),
        &mut Vec::new(),
    );
    assert!(machine.heartbeat_commands().is_empty(), "the checkpoint may complete");
    machine.request_stop(first_attempt(), 0.0);
    let stop = WorkerCommand::Stop { task: "job-000001/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!(machine.heartbeat_commands(), [stop]);
}

/// Guards against a second execution: a delayed duplicate of a start command that had been responded to started a task
/// again after the worker had forgotten it. No time makes a duplicate impossible; only a higher fencing token does.
#[test]
fn a_directly_started_attempt_is_forgotten_only_when_no_late_copy_can_come() {
    let mut machine = machine();
    machine.fenced = true;
    machine.attempts.insert(first_attempt(), attempt_with_requested_start("job-000001/0", None));
    machine.attempts.get_mut(&first_attempt()).unwrap().start_sent = false;
    let start = WorkerCommand::Start { task: "job-000001/0".into(), attempt: 1 };
    assert_eq!(machine.direct_commands(), [start]);
    machine.in_flight_command = Some(InFlightCommand { id: 3, sent_at: Timestamp::ZERO });
    let exited = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "exited", "Cause": "done"}]);
    let tokens = TermTokens::new(FencingToken(7));
    machine.apply_message(Timestamp::from_millis(1000), &heartbeat(1, 1, 7, exited), tokens, &mut Vec::new());
    assert!(!machine.awaits_higher_token(), "a response with a higher token could overtake the command in flight");
    machine.record_command_outcome(Timestamp::from_millis(1010), 3, true);
    assert!(machine.awaits_higher_token() && machine.heartbeat_commands().is_empty());
    machine.raise_message_token(FencingToken(6));
    assert!(machine.awaits_higher_token() && machine.heartbeat_commands().is_empty());
    assert_eq!(machine.message_token, FencingToken(7), "the token never falls");
    machine.raise_message_token(FencingToken(9));
    let forget = WorkerCommand::Forget { task: "job-000001/0".into(), attempt: 1 };
    assert_eq!((machine.awaits_higher_token(), machine.heartbeat_commands()), (false, vec![forget]));
}

/// Guards against heartbeats that exceed 64 KiB while the state service is down, when no higher token is to be had:
/// every direct start then adds an attempt that the worker has to keep. Starts by heartbeat responses add none.
#[test]
fn no_task_is_started_directly_while_too_many_ended_attempts_are_kept() {
    let mut machine = machine();
    machine.fenced = true;
    let id = |attempt| AttemptId { attempt: AttemptNumber(attempt), ..first_attempt() };
    for attempt in 1..=200 {
        let ended = TaskAttempt {
            phase: AttemptPhase::Exited,
            acknowledged: true,
            ..attempt_with_requested_start("job-000001/0", Some(FencingToken(7)))
        };
        machine.attempts.insert(id(attempt), ended);
    }
    machine.attempts.insert(id(201), attempt_with_requested_start("job-000001/0", None));
    assert!(machine.direct_commands().is_empty());
    let start = WorkerCommand::Start { task: "job-000001/0".into(), attempt: 201 };
    assert_eq!(machine.heartbeat_commands(), [start]);
    machine.raise_message_token(FencingToken(8));
    assert_eq!(machine.heartbeat_commands().len(), 201, "all that have ended are forgotten, and the start is repeated");
    machine.attempts.insert(id(202), attempt_with_requested_start("job-000001/0", None));
    assert_eq!(machine.direct_commands().len(), 1);
}

/// Every token of this leader's term fences a machine, and no token of another term does.
#[test]
fn a_machine_is_fenced_by_any_token_of_the_term() {
    let mut tokens = TermTokens::new(FencingToken(7));
    tokens.add_confirmed_revision(Revision(12));
    for (token, fences) in [(6, false), (7, true), (9, true), (12, true), (13, false)] {
        let mut machine = machine();
        machine.apply_message(Timestamp::ZERO, &heartbeat(1, 1, token, json!([])), tokens, &mut Vec::new());
        assert_eq!(machine.fenced, fences, "token {token}");
    }
}

#[test]
fn heartbeat_before_fencing_does_not_change_attempts() {
    let (mut machine, mut events) = (machine(), Vec::new());
    let running = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "running"}]);
    machine.apply_message(
        Timestamp::from_millis(100),
        &heartbeat(1, 5, 6, running.clone()),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    assert!(events.is_empty() && !machine.fenced);
    machine.apply_message(
        Timestamp::from_millis(101),
        &heartbeat(1, 6, 7, running),
        TermTokens::new(FencingToken(7)),
        &mut events,
    );
    assert_eq!(
        events,
        [MachineEvent::Fenced, MachineEvent::AttemptDiscovered { id: first_attempt(), has_ended: false }]
    );
}

fn failure(job: u64) -> TaskFailure {
    let id = format!("job-{job:06}").parse().unwrap();
    TaskFailure { job: id, job_succeeded: false, job_at_fault: false }
}

/// Begins the trial that is due `delay_s` after a quarantine at `quarantined_at`, and returns when it begins.
fn begin_trial(machine: &mut Machine, quarantined_at: Timestamp, delay_s: u64) -> Timestamp {
    let due = quarantined_at + Duration::from_secs(delay_s);
    assert!(!machine.is_trial_due(due.saturating_sub(Duration::from_millis(1))) && !machine.accepts_tasks());
    assert!(machine.is_trial_due(due));
    machine.begin_trial(due);
    due
}

/// Guards against a faulty machine that is trusted again for the success of a task from before its fault.
#[test]
fn only_a_task_of_the_trial_ends_a_quarantine() {
    let mut machine = machine();
    machine.fenced = true;
    let failed_at = Timestamp::from_millis(60_000);
    assert_eq!(machine.record_failure(failed_at, failure(1)), None);
    assert!(machine.record_failure(failed_at, failure(2)).is_some());
    let started_before = failed_at.saturating_sub(Duration::from_secs(1));
    assert!(!machine.record_success(started_before) && !machine.accepts_tasks());
    let trial_at = begin_trial(&mut machine, failed_at, 15);
    assert!(!machine.record_success(started_before) && machine.accepts_tasks());
    let attempt = attempt_with_requested_start("job-000001/0", None);
    let tried = TaskAttempt { requested_at: trial_at, running_since: Some(trial_at), ..attempt };
    machine.attempts.insert(first_attempt(), TaskAttempt { phase: AttemptPhase::Running, ..tried });
    machine.last_message_at = (trial_at + TRIAL_RUN_TIME).saturating_sub(Duration::from_millis(1));
    assert!(!machine.end_passed_trial() && !machine.accepts_tasks(), "one task at a time");
    machine.last_message_at = trial_at + TRIAL_RUN_TIME;
    assert!(machine.end_passed_trial() && machine.accepts_tasks());
}

/// Guards against trials that become too rare for the time for which a job may wait, or that do not become rarer.
#[test]
fn each_failed_trial_makes_the_next_quarantine_longer_up_to_a_maximum() {
    let mut machine = machine();
    machine.fenced = true;
    let mut now = Timestamp::from_millis(60_000);
    machine.record_failure(now, failure(1));
    machine.record_failure(now, failure(2));
    for delay_s in [15, 30, 40, 40] {
        now = begin_trial(&mut machine, now, delay_s);
        let of_faulty_job = TaskFailure { job_at_fault: true, ..failure(4) };
        assert_eq!(machine.record_failure(now, of_faulty_job), None, "it says nothing about the machine");
        assert_eq!(machine.record_failure(now, failure(3)), None, "the evidence is that of before the trial");
        assert!(machine.record_failure(now, failure(5)).is_some());
    }
    now = begin_trial(&mut machine, now, 40);
    assert!(machine.record_success(now));
    for delay_s in [15, 30] {
        assert_eq!(
            machine.record_failure(now, failure(5)).or(machine.record_failure(now, failure(6))),
            Some(Duration::from_secs(delay_s))
        );
        assert!(!machine.record_success(now), "a task of the time before the quarantine");
        now = begin_trial(&mut machine, now, delay_s);
    }
}
