use crate::leader::Leader;
use crate::leadership::StepDownReason;
use crate::settings::{Settings, tests::SAMPLE};
use crate::types::{Duration, FencingToken, MachineId, Resources, Timestamp, WallClock};
use crate::upgrade::Format;
use crate::workers::{Machine, Registration};
use crate::write_ahead_log::MachineRecord;

fn new_leader() -> Leader {
    Leader::new(FencingToken(5), Format::One, Timestamp::START, &Settings::parse(SAMPLE).unwrap())
}

fn new_machine(id: MachineId) -> Machine {
    let record = MachineRecord {
        id,
        endpoint: String::new(),
        machine_type: "big".to_string(),
        zone: "a".to_string(),
        spot: false,
        provisioned_at: WallClock::default(),
    };
    Machine::new(record, Resources::default(), Registration::NotRequested, FencingToken(5), Timestamp::START)
}

#[test]
fn isolation_is_detected_only_with_known_workers() {
    let mut leader = new_leader();
    leader.reachability.unreachable_for = Duration::from_secs(25);
    leader.detect_isolation();
    for id in (1..=4).map(MachineId) {
        leader.machines.insert(id, new_machine(id));
    }
    leader.detect_isolation();
    assert_eq!(leader.step_down_reason(), None, "they have just come up");
    leader.reachability.unreachable_for = Duration::from_millis(3600);
    leader.detect_isolation();
    assert_eq!(leader.step_down_reason(), Some(StepDownReason::NoWorkerReachable));
}
