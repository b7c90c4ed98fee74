use super::*;
use crate::settings::tests::SAMPLE;
use crate::write_ahead_log::{LogRecord, MachineRecord};

/// Provisioning records are written later than other records, since nothing waits for them. One that is loaded after
/// the registration or the release of its machine must not restore a pending instance.
#[test]
fn late_provisioning_records_restore_no_pending_instances() {
    let mut leader = Leader::new(FencingToken(5), Format::One, Timestamp::START, &Settings::parse(SAMPLE).unwrap());
    let (machine_type, zone, endpoint) = ("big".to_string(), "a".to_string(), String::new());
    let machine = |n| MachineRecord {
        id: MachineId(n),
        endpoint: endpoint.clone(),
        machine_type: machine_type.clone(),
        zone: zone.clone(),
        spot: false,
        provisioned_at: WallClock::default(),
    };
    let records = [
        LogRecord::MachineRegistered(machine(1)),
        LogRecord::MachineRegistered(machine(2)),
        LogRecord::MachineGone(MachineId(2)),
        LogRecord::MachineProvisioned(machine(1)),
        LogRecord::MachineProvisioned(machine(2)),
        LogRecord::MachineProvisioned(machine(3)),
    ];
    for record in &records {
        leader.restore_record(Timestamp::START, WallClock::default(), record);
    }
    let booting: Vec<MachineId> = leader.cloud.pending().map(|(id, _)| *id).collect();
    assert_eq!(booting, [MachineId(3)]);
    assert_eq!(leader.machines.keys().collect::<Vec<_>>(), [&MachineId(1)]);
}
