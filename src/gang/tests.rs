use super::*;

const M: MachineId = MachineId(1);

fn gathering() -> Gang {
    let mut gang = Gang::default();
    gang.start(Time(10), Attempt(5), [M].into_iter());
    gang
}

#[test]
fn a_gang_gathers_runs_stops_and_is_queued_again() {
    let mut gang = gathering();
    assert_eq!((gang.phase, gang.is_queued(), gang.runs()), (Phase::Gathering { since: Time(10) }, false, false));
    gang.task_runs(Attempt(5));
    assert!(gang.runs());
    gang.task_ended();
    assert_eq!(gang.phase, Phase::Stopping { grace: Duration(0) });
    gang.emptied();
    assert!(gang.is_queued() && gang.attempt.is_none());
}

#[test]
fn a_lost_task_is_replaced_only_while_the_gang_has_not_started() {
    let mut gang = gathering();
    gang.task_lost(Time(20));
    gang.task_lost(Time(30));
    assert_eq!((gang.phase, gang.missing_since), (Phase::Gathering { since: Time(10) }, Some(Time(20))));
    gang.task_runs(Attempt(5));
    gang.task_lost(Time(40));
    assert_eq!(gang.phase, Phase::Stopping { grace: Duration(0) });
}

/// Two attempts are never mixed: what belongs to an earlier one is left over, whichever is found first.
#[test]
fn a_new_leader_takes_the_latest_attempt_that_it_finds() {
    let mut gang = Gang::default();
    assert_eq!(gang.adopt(Time(1), Attempt(5), M, true), Adoption::Live);
    assert_eq!(gang.phase, Phase::Stopping { grace: Duration(0) }, "something of it has ended");
    assert_eq!(gang.adopt(Time(2), Attempt(9), M, false), Adoption::Replaces);
    assert_eq!(gang.phase, Phase::Gathering { since: Time(2) });
    assert_eq!(gang.adopt(Time(3), Attempt(5), M, false), Adoption::Stale);
    assert_eq!(gang.adopt(Time(4), Attempt(9), M, false), Adoption::Live);
    gang.task_runs(Attempt(5));
    assert!(!gang.runs(), "a leftover says nothing of the live attempt");
    gang.task_runs(Attempt(9));
    assert!(gang.runs());
}

#[test]
fn a_stop_while_nothing_is_on_a_machine_changes_nothing() {
    let mut gang = Gang::default();
    gang.stop(Duration(5));
    gang.task_lost(Time(1));
    assert!(gang.is_queued());
}

/// A failure during an orderly stop does not take the others' time for saving away.
#[test]
fn an_orderly_stop_keeps_its_time_for_saving() {
    let mut gang = gathering();
    gang.task_runs(Attempt(5));
    gang.stop(Duration(3000));
    gang.task_ended();
    gang.task_lost(Time(30));
    assert_eq!(gang.phase, Phase::Stopping { grace: Duration(3000) });
}
