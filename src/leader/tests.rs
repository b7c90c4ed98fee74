use super::*;
use crate::settings::tests::SAMPLE;
use crate::write_ahead_log::{LogRecord, MachineRecord};

/// Facts that nobody waits for are written later than others: a rental that is read back after the machine was
/// enrolled, or given back, is no machine on its way.
#[test]
fn a_rental_that_is_read_late_changes_nothing() {
    let mut term = Leader::new(FencingToken(5), Format::One, Timestamp::START, &Settings::parse(SAMPLE).unwrap());
    let (kind, zone, endpoint) = ("big".to_string(), "a".to_string(), String::new());
    let machine = |n| MachineRecord {
        id: MachineId(n),
        endpoint: endpoint.clone(),
        machine_type: kind.clone(),
        zone: zone.clone(),
        spot: false,
        provisioned_at: WallClock::default(),
    };
    let facts = [
        LogRecord::MachineRegistered(machine(1)),
        LogRecord::MachineRegistered(machine(2)),
        LogRecord::MachineGone(MachineId(2)),
        LogRecord::MachineProvisioned(machine(1)),
        LogRecord::MachineProvisioned(machine(2)),
        LogRecord::MachineProvisioned(machine(3)),
    ];
    for fact in &facts {
        term.restore_record(Timestamp::START, WallClock::default(), fact);
    }
    let booting: Vec<MachineId> = term.cloud.pending().map(|(id, _)| *id).collect();
    assert_eq!(booting, [MachineId(3)]);
    assert_eq!(term.machines.keys().collect::<Vec<_>>(), [&MachineId(1)]);
}
