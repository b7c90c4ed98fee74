use super::*;
use crate::settings::{Settings, tests::SAMPLE};
use crate::types::{FencingToken, Resources, WallClock};
use crate::workers::Registration;
use crate::write_ahead_log::MachineRecord;

#[test]
fn silence_counts_only_while_there_are_workers() {
    let mut term =
        Leader::new(FencingToken(5), crate::upgrade::Format::One, Timestamp::START, &Settings::parse(SAMPLE).unwrap());
    term.reachability.unreached_for = Duration::from_secs(25);
    term.detect_isolation();
    for n in 1..=4 {
        let (kind, zone, endpoint) = ("big".to_string(), "a".to_string(), String::new());
        let record = MachineRecord {
            id: MachineId(n),
            endpoint,
            machine_type: kind,
            zone,
            spot: false,
            rented_at: WallClock::default(),
        };
        term.machines.insert(
            MachineId(n),
            Machine::new(record, Resources::default(), Registration::NotRequested, Timestamp::START),
        );
    }
    term.detect_isolation();
    assert_eq!(term.step_down_reason(), None, "they have just come up");
    term.reachability.unreached_for = Duration::from_millis(3600);
    term.detect_isolation();
    assert_eq!(term.step_down_reason(), Some(StepDownReason::NoWorkerReachable));
}
