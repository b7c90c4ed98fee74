use super::*;
use serde_json::json;

fn report(session: u64, seq: u64, token: u64, tasks: serde_json::Value) -> Report {
    serde_json::from_value(json!({"Host": "m-000001", "Endpoint": "10.0.0.1:1", "Build": "small", "Yard": "a",
        "Shift": session, "Tally": seq, "Baton": token, "Pieces": tasks}))
    .unwrap()
}

fn machine() -> Machine {
    let record = MachineRecord {
        id: MachineId(1),
        endpoint: "10.0.0.1:1".into(),
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        at: crate::types::WallClock::from_millis(0),
    };
    Machine::new(record, Resources { cpus: 4000, gpus: 0, memory: 16_000 }, Enrolment::Durable, Timestamp::ZERO)
}

fn first_attempt() -> AttemptId {
    AttemptId { attempt: AttemptNumber(1), task: "job-000001/0".parse().unwrap() }
}

fn hold(task: &str, doubt: Doubt) -> Hold {
    Hold {
        task: task.parse().unwrap(),
        phase: Phase::Ordered,
        seen: false,
        doubt,
        stop: None,
        start_sent: doubt != Doubt::None,
        stop_sent: false,
        direct: doubt != Doubt::None,
        ended: Timestamp::ZERO,
        reapable: true,
        claimed: true,
        need: Resources { cpus: 1000, gpus: 0, memory: 1000 },
        rank: 0,
        image: "img".into(),
        since: Timestamp::ZERO,
        running_since: None,
        predicted: None,
        gang: false,
    }
}

/// Found by random faults: a session that was seen only through direct commands inherited the
/// lease of the one before.
#[test]
fn the_lease_of_a_new_session_counts_from_its_beginning() {
    let (mut m, mut out) = (machine(), Vec::new());
    m.message(Timestamp::from_millis(100), &report(1, 5, 7, json!([])), FencingToken(7), &mut out);
    assert_eq!((m.fenced, m.answered), (true, Timestamp::from_millis(100)));
    m.holds.insert(first_attempt(), hold("job-000001/0", Doubt::None));
    out.clear();
    m.message(Timestamp::from_millis(16_500), &report(2, 1, 7, json!([])), FencingToken(7), &mut out);
    assert_eq!(out, [Event::Lost("job-000001/0".parse().unwrap())]);
    assert_eq!(m.answered, Timestamp::from_millis(16_500));
}

#[test]
fn an_older_message_changes_nothing() {
    let (mut m, mut out) = (machine(), Vec::new());
    let running = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "running"}]);
    m.message(Timestamp::from_millis(100), &report(1, 5, 7, running), FencingToken(7), &mut out);
    out.clear();
    m.message(Timestamp::from_millis(101), &report(1, 4, 7, json!([])), FencingToken(7), &mut out);
    m.message(Timestamp::from_millis(102), &report(0, 9, 7, json!([])), FencingToken(7), &mut out);
    assert!(out.is_empty() && m.holds.len() == 1);
}

/// A late copy of a report shows nothing and counts as no answered report; a report that was passed
/// by the answer to a direct command is no copy, since its worker may be waiting for the answer.
#[test]
fn only_a_newer_report_counts() {
    let (mut m, mut out) = (machine(), Vec::new());
    assert!(m.report(Timestamp::from_millis(100), &report(1, 5, 7, json!([])), true));
    m.message(Timestamp::from_millis(100), &report(1, 5, 7, json!([])), FencingToken(7), &mut out);
    m.message(Timestamp::from_millis(110), &report(1, 7, 7, json!([])), FencingToken(7), &mut out); // answer to a command
    assert!(m.report(Timestamp::from_millis(120), &report(1, 6, 7, json!([])), true));
    assert!(!m.report(Timestamp::from_millis(130), &report(1, 6, 7, json!([])), true), "once more");
    assert!(!m.report(Timestamp::from_millis(140), &report(1, 4, 7, json!([])), true), "an old one");
    m.message(Timestamp::from_millis(150), &report(2, 1, 7, json!([])), FencingToken(7), &mut out);
    assert!(!m.report(Timestamp::from_millis(160), &report(1, 9, 7, json!([])), true), "of a session that is over");
}

/// Reports alone do not show that anything of ours arrives: only the next report after an answered
/// one, an order that took effect, our token, or the answer to a command do.
#[test]
fn a_deaf_machine_is_told_from_one_that_hears() {
    let (mut m, mut out) = (machine(), Vec::new());
    let mut hear = |m: &mut Machine, at: u64, r: &Report| {
        assert!(m.report(Timestamp::from_millis(at), r, true));
        m.message(Timestamp::from_millis(at), r, FencingToken(7), &mut out);
        m.told = m.last_report;
    };
    hear(&mut m, 100, &report(1, 5, 7, json!([])));
    assert_eq!(m.reached, Timestamp::from_millis(100), "it has seen our token");
    hear(&mut m, 2100, &report(1, 6, 7, json!([])));
    assert_eq!(m.reached, Timestamp::from_millis(2100), "it came back with the next one");
    m.command_over(Timestamp::from_millis(4000), 1, false);
    hear(&mut m, 12_100, &report(1, 8, 7, json!([])));
    assert_eq!((m.reached, m.unanswered), (Timestamp::from_millis(2100), 1), "it went elsewhere in between");
    m.holds.insert(first_attempt(), hold("job-000001/0", Doubt::Lost));
    hear(&mut m, 22_100, &report(1, 10, 7, json!([])));
    assert_eq!(m.reached, Timestamp::from_millis(2100), "the order had no effect");
    let fetching = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "fetching"}]);
    hear(&mut m, 32_100, &report(1, 12, 7, fetching));
    assert_eq!((m.reached, m.unanswered), (Timestamp::from_millis(32_100), 0), "the order took effect");
}

#[test]
fn a_start_in_doubt_is_settled_by_run_and_kill_and_not_reaped() {
    let mut m = machine();
    m.holds.insert(first_attempt(), hold("job-000001/0", Doubt::Lost));
    m.stop(first_attempt(), 0.0);
    let (task, attempt) = ("job-000001/0".to_string(), 1);
    let kill = Order::Kill { task: task.clone(), attempt, grace_s: 0.0 };
    assert_eq!(m.orders(Timestamp::from_millis(1), Duration::ZERO), [Order::Run { task, attempt }, kill]);
    assert!(m.direct_orders(9).is_empty(), "only answers to reports are never executed late");
    m.fenced = true;
    let exited = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "exited", "Cause": "halted"}]);
    m.message(Timestamp::from_millis(1), &report(1, 1, 7, exited), FencingToken(7), &mut Vec::new());
    assert!(m.orders(Timestamp::from_millis(1), Duration::ZERO).is_empty(), "a late copy would start it anew");
}

/// A task that was saving when its job was cancelled got no second order, and went on for as long as it saved.
#[test]
fn a_task_that_saves_is_ended_by_a_second_order() {
    let mut m = machine();
    m.holds.insert(first_attempt(), hold("job-000001/0", Doubt::None));
    m.fenced = true;
    m.stop(first_attempt(), 10.0);
    let saving = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "flushing"}]);
    m.message(Timestamp::from_millis(1), &report(1, 1, 7, saving), FencingToken(7), &mut Vec::new());
    assert!(m.orders(Timestamp::from_millis(1), Duration::ZERO).is_empty(), "it may save");
    m.stop(first_attempt(), 0.0);
    let kill = Order::Kill { task: "job-000001/0".into(), attempt: 1, grace_s: 0.0 };
    assert_eq!(m.orders(Timestamp::from_millis(2), Duration::ZERO), [kill]);
}

/// A copy of an answered command, carried out late, started a task anew that had been reaped.
#[test]
fn what_a_direct_command_started_is_reaped_only_when_no_copy_comes_any_more() {
    let mut m = machine();
    m.holds.insert(first_attempt(), hold("job-000001/0", Doubt::InFlight(3)));
    m.command_over(Timestamp::from_millis(10), 3, true);
    m.fenced = true;
    let exited = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "exited", "Cause": "done"}]);
    m.message(Timestamp::from_millis(1000), &report(1, 1, 7, exited), FencingToken(7), &mut Vec::new());
    assert!(m.orders(Timestamp::from_millis(30_999), Duration::from_secs(30)).is_empty());
    let reap = Order::Reap { task: "job-000001/0".into(), attempt: 1 };
    assert_eq!(m.orders(Timestamp::from_millis(31_000), Duration::from_secs(30)), [reap]);
}

#[test]
fn before_fencing_a_report_says_nothing_of_tasks() {
    let (mut m, mut out) = (machine(), Vec::new());
    let running = json!([{"Piece": "job-000001/0", "Try": 1, "Status": "running"}]);
    m.message(Timestamp::from_millis(100), &report(1, 5, 6, running.clone()), FencingToken(7), &mut out);
    assert!(out.is_empty() && !m.fenced);
    m.message(Timestamp::from_millis(101), &report(1, 6, 7, running), FencingToken(7), &mut out);
    assert_eq!(out, [Event::Fenced, Event::Found { key: first_attempt(), ended: false }]);
}
