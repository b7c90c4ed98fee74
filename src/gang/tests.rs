use super::*;

const MACHINE: MachineId = MachineId(1);

fn awaiting_members() -> Gang {
    let mut gang = Gang::default();
    gang.start(Timestamp::from_millis(10), AttemptNumber(5), [MACHINE].into_iter());
    gang
}

#[test]
fn gang_passes_through_all_phases_and_is_queued_again() {
    let mut gang = awaiting_members();
    assert_eq!(
        (gang.phase, gang.is_queued(), gang.is_running()),
        (GangPhase::AwaitingMembers { since: Timestamp::from_millis(10) }, false, false)
    );
    gang.task_running(AttemptNumber(5));
    assert!(gang.is_running());
    gang.task_ended();
    assert_eq!(gang.phase, GangPhase::Stopping { grace: Duration::ZERO });
    gang.requeue();
    assert!(gang.is_queued() && gang.attempt.is_none());
}

#[test]
fn lost_task_can_be_replaced_only_before_the_gang_runs() {
    let mut gang = awaiting_members();
    gang.task_lost(Timestamp::from_millis(20));
    gang.task_lost(Timestamp::from_millis(30));
    assert_eq!(
        (gang.phase, gang.missing_since),
        (GangPhase::AwaitingMembers { since: Timestamp::from_millis(10) }, Some(Timestamp::from_millis(20)))
    );
    gang.task_running(AttemptNumber(5));
    gang.task_lost(Timestamp::from_millis(40));
    assert_eq!(gang.phase, GangPhase::Stopping { grace: Duration::ZERO });
}

/// Attempts are never mixed: tasks of an earlier attempt are stale, in whichever order the attempts are reported.
#[test]
fn a_new_leader_takes_the_latest_attempt_that_it_finds() {
    let mut gang = Gang::default();
    assert_eq!(gang.adopt(Timestamp::from_millis(1), AttemptNumber(5), MACHINE, true), Adoption::Live);
    assert_eq!(gang.phase, GangPhase::Stopping { grace: Duration::ZERO }, "a task of the adopted attempt has ended");
    assert_eq!(gang.adopt(Timestamp::from_millis(2), AttemptNumber(9), MACHINE, false), Adoption::Supersedes);
    assert_eq!(gang.phase, GangPhase::AwaitingMembers { since: Timestamp::from_millis(2) });
    assert_eq!(gang.adopt(Timestamp::from_millis(3), AttemptNumber(5), MACHINE, false), Adoption::Stale);
    assert_eq!(gang.adopt(Timestamp::from_millis(4), AttemptNumber(9), MACHINE, false), Adoption::Live);
    gang.task_running(AttemptNumber(5));
    assert!(!gang.is_running(), "a stale attempt does not change the phase of the live one");
    gang.task_running(AttemptNumber(9));
    assert!(gang.is_running());
}

#[test]
fn stop_or_task_loss_leaves_a_queued_gang_unchanged() {
    let mut gang = Gang::default();
    gang.stop(Duration::from_millis(5));
    gang.task_lost(Timestamp::from_millis(1));
    assert!(gang.is_queued());
}

/// A task failure during a graceful stop does not shorten the time that the other tasks have for their checkpoints.
#[test]
fn graceful_stop_keeps_its_grace_period_after_task_failures() {
    let mut gang = awaiting_members();
    gang.task_running(AttemptNumber(5));
    gang.stop(Duration::from_secs(3));
    gang.task_ended();
    gang.task_lost(Timestamp::from_millis(30));
    assert_eq!(gang.phase, GangPhase::Stopping { grace: Duration::from_secs(3) });
}
