use super::*;
use crate::settings::tests::SAMPLE;

/// Facts that nobody waits for are written later than others: a rental that is read back after the machine was
/// enrolled, or given back, is no machine on its way.
#[test]
fn a_rental_that_is_read_late_changes_nothing() {
    let mut term = Term::new(FencingToken(5), Format::One, Timestamp::START, &Settings::parse(SAMPLE).unwrap());
    let (kind, zone, endpoint) = ("big".to_string(), "a".to_string(), String::new());
    let machine = |n| MachineRecord {
        id: MachineId(n),
        endpoint: endpoint.clone(),
        kind: kind.clone(),
        zone: zone.clone(),
        spot: false,
        at: WallClock::from_millis(0),
    };
    let facts = [
        Record::Enrolled(machine(1)),
        Record::Enrolled(machine(2)),
        Record::Gone(MachineId(2)),
        Record::Rented(machine(1)),
        Record::Rented(machine(2)),
        Record::Rented(machine(3)),
    ];
    for fact in &facts {
        term.restore(Timestamp::START, WallClock::from_millis(0), fact);
    }
    let booting: Vec<MachineId> = term.inventory.booting().map(|(id, _)| *id).collect();
    assert_eq!(booting, [MachineId(3)]);
    assert_eq!(term.machines.keys().collect::<Vec<_>>(), [&MachineId(1)]);
}
