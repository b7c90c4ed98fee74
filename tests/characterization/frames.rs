//! The encoding of frames between controllers. `tests/production_compatibility.rs` covers the frames for forwarded
//! requests, their responses and leader announcements.

use crate::fixture::{self, example, example_of, from_hexadecimal, hexadecimal};
use caperstile::peers::{BODY_LIMIT, Frame, HEADER_BYTES};
use caperstile::types::FencingToken;
use caperstile_admission::{AdmissionTable, DemandReport, Ratio, TableEntry, TableNumber, TeamClassPair};

const FRAMES: &str = "wire/frames.txt";
const ADMISSION: &str = "wire/admission.txt";

fn table() -> AdmissionTable {
    let entry =
        |team, class, share| TableEntry { pair: TeamClassPair::new(team, class), ratio: Ratio::from_share(share) };
    let entries = [entry("crew", "render", 0.25), entry("crew", "", 1.0), entry("small", "live", 0.0)];
    let accepted = [3, 9, 123_456_789_012_345_u64].into_iter().collect();
    let number = TableNumber { token: FencingToken(41), sequence: 7 };
    let mut table = AdmissionTable::new(number, 5, entries, accepted);
    table.limit = Some(12.345);
    table
}

fn demand_report() -> DemandReport {
    let mut demand_report = DemandReport::default();
    demand_report.record_refused("crew", "render", 3);
    demand_report.record_refused("crew", "render", 4);
    demand_report.record_refused("small", "live", 1);
    demand_report
}

fn frames() -> Vec<(&'static str, Frame)> {
    vec![
        ("hello", Frame::hello("n1")),
        ("admission", Frame::AdmissionTable(table().encode().into())),
        ("refused", Frame::RefusedDemand(demand_report().encode())),
    ]
}

#[test]
fn admission_messages_keep_their_encoding_and_decode_back() {
    let admit_all_table = AdmissionTable::admit_all(TableNumber { token: FencingToken(42), sequence: 1 }, 6);
    fixture::assert_examples(
        ADMISSION,
        &[
            example("table", hexadecimal(&table().encode())),
            example("open-table", hexadecimal(&admit_all_table.encode())),
            example("report", hexadecimal(&demand_report().encode())),
        ],
    );
    let bytes = |name| from_hexadecimal(&example_of(ADMISSION, name));
    assert_eq!(AdmissionTable::decode(&bytes("table")), Ok(table()));
    assert_eq!(AdmissionTable::decode(&bytes("open-table")), Ok(admit_all_table));
    assert_eq!(DemandReport::decode(&bytes("report")), Ok(demand_report()));
}

#[test]
fn frames_keep_their_encoding_and_decode_back() {
    let encoded: Vec<_> = frames().iter().map(|(name, frame)| example(*name, hexadecimal(&frame.encode()))).collect();
    fixture::assert_examples(FRAMES, &encoded);
    for (name, frame) in frames() {
        let bytes = from_hexadecimal(&example_of(FRAMES, name));
        let (header, body) = bytes.split_at(HEADER_BYTES);
        let header = Frame::header(header.try_into().expect("a header")).expect("a header");
        assert_eq!(Frame::decode(&header, body.to_vec()), Ok(frame), "{name}");
    }
}

#[test]
fn frame_bodies_over_68_kib_are_rejected() {
    assert_eq!((BODY_LIMIT, HEADER_BYTES), (69_632, 24));
    let header = |length: usize| {
        let bytes = Frame::RefusedDemand(vec![0; length]).encode();
        Frame::header(bytes[..HEADER_BYTES].try_into().expect("a header")).is_ok()
    };
    assert!(header(69_632) && !header(69_633));
}
