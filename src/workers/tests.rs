use super::*;
use serde_json::json;

fn report(session: u64, seq: u64, token: u64, tasks: serde_json::Value) -> Heartbeat {
    serde_json::from_value(json!({"Host": "m-000001", "Endpoint": "10.0.0.1:1", "Build": "small", "Yard": "a",
        "Shift": session, "Tally": seq, "Baton": token, "Pieces": tasks}))
    .unwrap()
}

fn machine() -> Machine {
    let record = MachineRecord {
        id: MachineId(1),
        endpoint: "10.0.0.1:1".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        rented_at: crate::types::WallClock::default(),
    };
    Machine::new(record, Resources { cpus: 4000, gpus: 0, memory: 16_000 }, Registration::Durable, Timestamp::ZERO)
}

fn first_attempt() -> AttemptId {
    AttemptId { attempt: AttemptNumber(1), task: "job-000001/0".parse().unwrap() }
}

fn hold(task: &str, doubt: StartUncertainty) -> TaskAttempt {
    TaskAttempt {
        task: task.parse().unwrap(),
        phase: AttemptPhase::StartRequested,
        acknowledged: false,
        start_uncertainty: doubt,
        stop_grace_s: None,
        start_sent: doubt != StartUncertainty::None,
        stop_sent: false,
        started_directly: doubt != StartUncertainty::None,
        ended_at: Timestamp::ZERO,
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

/// Found by random faults: a session that was seen only through direct commands inherited the
/// lease of the one before.
#[test]
fn the_lease_of_a_new_session_counts_from_its_beginning() {
    let (mut m, mut out) = (machine(), Vec::new());
    m.apply_message(Timestamp::from_millis(100), &report(1, 5, 7, json!([])), FencingToken(7), &mut out);
    assert_eq!((m.fenced, m.last_answer_at), (true, Timestamp::from_millis(100)));
    m.attempts.insert(first_attempt(), hold("job-000001/0", StartUncertainty::None));
    out.clear();
    m.apply_message(Timestamp::from_millis(16_500), &report(2, 1, 7, json!([])), FencingToken(7), &mut out);
    assert_eq!(out, [MachineEvent::AttemptLost("job-000001/0".parse().unwrap())]);
    assert_eq!(m.last_answer_at, Timestamp::from_millis(16_500));
}

#[test]
fn an_older_message_changes_nothing() {
    let (mut m, mut out) = (machine(), Vec::new());
    let running = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "running"}]);
    m.apply_message(Timestamp::from_millis(100), &report(1, 5, 7, running), FencingToken(7), &mut out);
    out.clear();
    m.apply_message(Timestamp::from_millis(101), &report(1, 4, 7, json!([])), FencingToken(7), &mut out);
    m.apply_message(Timestamp::from_millis(102), &report(0, 9, 7, json!([])), FencingToken(7), &mut out);
    assert!(out.is_empty() && m.attempts.len() == 1);
}

/// A late copy of a report shows nothing and counts as no answered report; a report that was passed
/// by the answer to a direct command is no copy, since its worker may be waiting for the answer.
#[test]
fn only_a_newer_report_counts() {
    let (mut m, mut out) = (machine(), Vec::new());
    assert!(m.accept_heartbeat(Timestamp::from_millis(100), &report(1, 5, 7, json!([])), true));
    m.apply_message(Timestamp::from_millis(100), &report(1, 5, 7, json!([])), FencingToken(7), &mut out);
    m.apply_message(Timestamp::from_millis(110), &report(1, 7, 7, json!([])), FencingToken(7), &mut out); // answer to a command
    assert!(m.accept_heartbeat(Timestamp::from_millis(120), &report(1, 6, 7, json!([])), true));
    assert!(!m.accept_heartbeat(Timestamp::from_millis(130), &report(1, 6, 7, json!([])), true), "once more");
    assert!(!m.accept_heartbeat(Timestamp::from_millis(140), &report(1, 4, 7, json!([])), true), "an old one");
    m.apply_message(Timestamp::from_millis(150), &report(2, 1, 7, json!([])), FencingToken(7), &mut out);
    assert!(
        !m.accept_heartbeat(Timestamp::from_millis(160), &report(1, 9, 7, json!([])), true),
        "of a session that is over"
    );
}

/// Reports alone do not show that anything of ours arrives: only the next report after an answered
/// one, an order that took effect, our token, or the answer to a command do.
#[test]
fn a_deaf_machine_is_told_from_one_that_hears() {
    let (mut m, mut out) = (machine(), Vec::new());
    let mut hear = |m: &mut Machine, at: u64, r: &Heartbeat| {
        assert!(m.accept_heartbeat(Timestamp::from_millis(at), r, true));
        m.apply_message(Timestamp::from_millis(at), r, FencingToken(7), &mut out);
        m.last_answered_heartbeat = m.last_heartbeat;
    };
    hear(&mut m, 100, &report(1, 5, 7, json!([])));
    assert_eq!(m.last_reached_at, Timestamp::from_millis(100), "it has seen our token");
    hear(&mut m, 2100, &report(1, 6, 7, json!([])));
    assert_eq!(m.last_reached_at, Timestamp::from_millis(2100), "it came back with the next one");
    m.command_finished(Timestamp::from_millis(4000), 1, false);
    hear(&mut m, 12_100, &report(1, 8, 7, json!([])));
    assert_eq!(
        (m.last_reached_at, m.unanswered_commands),
        (Timestamp::from_millis(2100), 1),
        "it went elsewhere in between"
    );
    m.attempts.insert(first_attempt(), hold("job-000001/0", StartUncertainty::Lost));
    hear(&mut m, 22_100, &report(1, 10, 7, json!([])));
    assert_eq!(m.last_reached_at, Timestamp::from_millis(2100), "the order had no effect");
    let fetching = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "fetching"}]);
    hear(&mut m, 32_100, &report(1, 12, 7, fetching));
    assert_eq!(
        (m.last_reached_at, m.unanswered_commands),
        (Timestamp::from_millis(32_100), 0),
        "the order took effect"
    );
}

#[test]
fn a_start_in_doubt_is_settled_by_run_and_kill_and_not_reaped() {
    let mut m = machine();
    m.attempts.insert(first_attempt(), hold("job-000001/0", StartUncertainty::Lost));
    m.request_stop(first_attempt(), 0.0);
    let (task, attempt) = ("job-000001/0".to_string(), 1);
    let kill = WorkerCommand::Stop { task: task.clone(), attempt, grace_s: 0.0 };
    assert_eq!(
        m.heartbeat_commands(Timestamp::from_millis(1), Duration::ZERO),
        [WorkerCommand::Start { task, attempt }, kill]
    );
    assert!(m.direct_commands(9).is_empty(), "only answers to reports are never executed late");
    m.fenced = true;
    let exited = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "exited", "Cause": "halted"}]);
    m.apply_message(Timestamp::from_millis(1), &report(1, 1, 7, exited), FencingToken(7), &mut Vec::new());
    assert!(
        m.heartbeat_commands(Timestamp::from_millis(1), Duration::ZERO).is_empty(),
        "a late copy would start it anew"
    );
}

/// A task that was saving when its job was cancelled got no second order, and went on for as long as it saved.
#[test]
fn a_task_that_saves_is_ended_by_a_second_order() {
    let mut m = machine();
    m.attempts.insert(first_attempt(), hold("job-000001/0", StartUncertainty::None));
    m.fenced = true;
    m.request_stop(first_attempt(), 10.0);
    let saving = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "flushing"}]);
    m.apply_message(Timestamp::from_millis(1), &report(1, 1, 7, saving), FencingToken(7), &mut Vec::new());
    assert!(m.heartbeat_commands(Timestamp::from_millis(1), Duration::ZERO).is_empty(), "it may save");
    m.request_stop(first_attempt(), 0.0);
    let kill = WorkerCommand::Stop { task: "job-000001/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!(m.heartbeat_commands(Timestamp::from_millis(2), Duration::ZERO), [kill]);
}

/// A copy of an answered command, carried out late, started a task anew that had been reaped.
#[test]
fn what_a_direct_command_started_is_reaped_only_when_no_copy_comes_any_more() {
    let mut m = machine();
    m.attempts.insert(first_attempt(), hold("job-000001/0", StartUncertainty::InFlight(3)));
    m.command_finished(Timestamp::from_millis(10), 3, true);
    m.fenced = true;
    let exited = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "exited", "Cause": "done"}]);
    m.apply_message(Timestamp::from_millis(1000), &report(1, 1, 7, exited), FencingToken(7), &mut Vec::new());
    assert!(m.heartbeat_commands(Timestamp::from_millis(30_999), Duration::from_secs(30)).is_empty());
    let reap = WorkerCommand::Forget { task: "job-000001/0".into(), attempt: 1 };
    assert_eq!(m.heartbeat_commands(Timestamp::from_millis(31_000), Duration::from_secs(30)), [reap]);
}

#[test]
fn before_fencing_a_report_says_nothing_of_tasks() {
    let (mut m, mut out) = (machine(), Vec::new());
    let running = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "running"}]);
    m.apply_message(Timestamp::from_millis(100), &report(1, 5, 6, running.clone()), FencingToken(7), &mut out);
    assert!(out.is_empty() && !m.fenced);
    m.apply_message(Timestamp::from_millis(101), &report(1, 6, 7, running), FencingToken(7), &mut out);
    assert_eq!(out, [MachineEvent::Fenced, MachineEvent::AttemptFound { id: first_attempt(), has_ended: false }]);
}
