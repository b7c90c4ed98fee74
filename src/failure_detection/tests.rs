use super::*;
use crate::records::MachineRecord;
use crate::settings::{Settings, tests::SAMPLE};
use crate::types::{FencingToken, Resources, WallClock};
use crate::workers::Enrolment;

#[test]
fn silence_counts_only_while_there_are_workers() {
    let mut term =
        Term::new(FencingToken(5), crate::upgrade::Format::One, Timestamp::START, &Settings::parse(SAMPLE).unwrap());
    term.silent_for = Duration::from_secs(25);
    term.look_for_workers();
    for n in 1..=4 {
        let (kind, zone, endpoint) = ("big".to_string(), "a".to_string(), String::new());
        let record =
            MachineRecord { id: MachineId(n), endpoint, kind, zone, spot: false, at: WallClock::from_millis(0) };
        term.machines
            .insert(MachineId(n), Machine::new(record, Resources::default(), Enrolment::None, Timestamp::START));
    }
    term.look_for_workers();
    assert_eq!(term.over(), None, "they have just come up");
    term.silent_for = Duration::from_millis(3600);
    term.look_for_workers();
    assert_eq!(term.over(), Some(Over::NoWorkers));
}
