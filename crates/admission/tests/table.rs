//! Admission tables: equal decisions on every node, encoding and decoding, and which table a node applies.

use caperstile_admission::{
    AdmissionTable, Decision, DecodeError, DemandReport, Ratio, Submission, TableEntry, TableNumber, TableView,
    TeamClassPair,
};
use caperstile_types::{Duration, FencingToken, JobId, Timestamp};
use proptest::prelude::*;
use roaring::RoaringTreemap;

fn number(token: u64, sequence: u64) -> TableNumber {
    TableNumber { token: FencingToken(token), sequence }
}

fn table(number: TableNumber, salt: u32, share: f64, accepted: &[u64]) -> AdmissionTable {
    let entry = TableEntry { pair: TeamClassPair::new("crew", "render"), ratio: Ratio::from_share(share) };
    AdmissionTable::new(number, salt, [entry], accepted.iter().copied().collect())
}

fn submission(job: u64) -> Submission<'static> {
    Submission { job: JobId(job), team: "crew", class: "render" }
}

fn admits(table: &AdmissionTable, job: u64) -> bool {
    table.decide(&submission(job)) == Decision::Admit
}

#[test]
fn the_ratio_determines_the_admitted_share_of_its_own_pair_only() {
    let table = table(number(7, 1), 3, 0.25, &[]);
    let admitted = (0..20_000).filter(|job| admits(&table, *job)).count();
    assert!((4_700..5_300).contains(&admitted), "{admitted} of 20,000");
    for (team, class) in [("crew", "live"), ("other", "render"), ("crewrender", "")] {
        assert!((0..100).all(|job| table.decide(&Submission { job: JobId(job), team, class }) == Decision::Admit));
    }
}

#[test]
fn a_higher_ratio_admits_every_job_that_a_lower_one_admits() {
    let (low, high) = (table(number(7, 1), 3, 0.2, &[]), table(number(7, 2), 3, 0.3, &[]));
    assert!((0..5_000).filter(|job| admits(&low, *job)).all(|job| admits(&high, job)));
}

#[test]
fn nobody_is_refused_for_ever() {
    let refused_under_all_salts = |job: &u64| (0..200).all(|salt| !admits(&table(number(7, 1), salt, 0.1, &[]), *job));
    assert_eq!((0..1_000).filter(refused_under_all_salts).count(), 0);
}

#[test]
fn refused_users_come_back_in_a_later_draw_spread_out_and_within_the_protocol() {
    let table = table(number(7, 1), 3, 0.0, &[]);
    let mut delays_s: Vec<u16> = (0..1_000)
        .map(|job| match table.decide(&submission(job)) {
            Decision::Refuse { retry_after_s } => retry_after_s,
            Decision::Admit => panic!("{job} is admitted at a ratio of 0"),
        })
        .collect();
    delays_s.sort_unstable();
    assert!(delays_s[0] >= 8 && delays_s[999] <= 30, "{} to {}", delays_s[0], delays_s[999]);
    delays_s.dedup();
    assert!(delays_s.len() >= 8, "{delays_s:?}");
}

#[test]
fn a_repeat_of_an_accepted_submission_is_not_refused() {
    let table = table(number(7, 1), 3, 0.0, &[5, 900_000_000_000]);
    assert!(admits(&table, 5) && admits(&table, 900_000_000_000));
    assert!(!admits(&table, 6));
}

#[test]
fn an_older_table_never_replaces_a_newer_one() {
    let mut view = TableView::default();
    let received = |view: &mut TableView, at, token, sequence| {
        view.receive(Timestamp::from_millis(at), table(number(token, sequence), 0, 0.0, &[]))
    };
    assert!(received(&mut view, 0, 7, 2));
    assert!(!received(&mut view, 10, 7, 1), "an earlier table of the same leader");
    assert!(!received(&mut view, 10, 7, 2), "a duplicate");
    assert!(!received(&mut view, 10, 6, 9), "a table of an earlier leader");
    assert!(received(&mut view, 10, 8, 1), "a table of a later leader");
    assert!(!received(&mut view, 20, 7, 99), "a table of the predecessor");
}

#[test]
fn without_a_table_in_force_nothing_is_refused() {
    let mut view = TableView::default();
    assert_eq!(view.decide(Timestamp::ZERO, FencingToken(7), &submission(1)), Decision::Admit);
    view.receive(Timestamp::ZERO, table(number(7, 1), 0, 0.0, &[]));
    assert_ne!(view.decide(Timestamp::ZERO, FencingToken(7), &submission(1)), Decision::Admit);
    assert_eq!(
        view.decide(Timestamp::ZERO, FencingToken(8), &submission(1)),
        Decision::Admit,
        "the table is of another leader"
    );
    let late = Timestamp::ZERO + Duration::from_secs(5);
    assert_eq!(view.decide(late, FencingToken(7), &submission(1)), Decision::Admit, "the table expires after 5 s");
    // A delayed duplicate does not extend the table's validity.
    view.receive(Timestamp::from_millis(4_000), table(number(7, 1), 0, 0.0, &[]));
    assert_eq!(view.decide(late, FencingToken(7), &submission(1)), Decision::Admit);
}

#[test]
fn a_new_leader_inherits_the_table_of_its_predecessor_only_for_15_s() {
    let mut view = TableView::default();
    let mut limited = table(number(7, 1), 0, 0.5, &[]);
    limited.limit = Some(4.25);
    view.receive(Timestamp::ZERO, AdmissionTable::decode(&limited.encode()).expect("a decodable table"));
    assert_eq!(view.inheritable(Timestamp::from_millis(14_000)).and_then(|table| table.limit), Some(4.25));
    assert_eq!(view.inheritable(Timestamp::from_millis(15_000)), None);
}

#[test]
fn undecodable_tables_are_rejected() {
    let bytes = table(number(7, 1), 3, 0.5, &[1, 2]).encode();
    for length in 0..bytes.len() {
        let truncated = AdmissionTable::decode(&bytes[..length]);
        // A table without accepted jobs is valid, as the sender may omit them.
        let without_accepted =
            truncated.as_ref().is_ok_and(|table| admits(table, 1) != admits(table, 1) || length > 28);
        assert!(truncated.is_err() || without_accepted, "{length} bytes");
    }
    let mut unknown_layout = bytes.clone();
    unknown_layout[0] = 2;
    assert_eq!(AdmissionTable::decode(&unknown_layout), Err(DecodeError::UnknownLayout(2)));
    let mut invalid_utf8 = bytes;
    invalid_utf8[32] = 0xff;
    assert_eq!(AdmissionTable::decode(&invalid_utf8), Err(DecodeError::NameNotUtf8));
}

#[test]
fn a_table_with_many_pairs_and_jobs_fits_into_a_frame() {
    let entries = (0..4_000).map(|n| TableEntry {
        pair: TeamClassPair::new(&format!("team-{n}-{}", "x".repeat(60)), "y"),
        ratio: Ratio::from_share(0.5),
    });
    let accepted: RoaringTreemap = (0..50_000u64).map(|n| n * 7_919).collect();
    let table = AdmissionTable::new(number(7, 1), 3, entries, accepted);
    let bytes = table.encode();
    assert!(bytes.len() <= 60 * 1024, "{} bytes", bytes.len());
    let read = AdmissionTable::decode(&bytes).expect("a decodable table");
    let entries = read.entries().count();
    assert!((100..4_000).contains(&entries), "{entries} entries");
}

proptest! {
    #[test]
    fn what_is_encoded_is_read_back_and_decides_the_same(
        token in any::<u64>(),
        sequence in any::<u64>(),
        salt in any::<u32>(),
        pairs in prop::collection::vec(("[a-z]{1,12}", "[a-zä-ü]{1,12}", 0.0f64..0.99), 0..30),
        accepted in prop::collection::btree_set(0u64..1_000_000_000_000, 0..200),
    ) {
        let entries = pairs.iter().map(|(team, class, share)| TableEntry {
            pair: TeamClassPair::new(team, class),
            ratio: Ratio::from_share(*share),
        });
        let table = AdmissionTable::new(number(token, sequence), salt, entries, accepted.iter().copied().collect());
        let read = AdmissionTable::decode(&table.encode()).expect("a decodable table");
        prop_assert_eq!(&read, &table);
        for (team, class, _) in &pairs {
            for job in (0..50).map(JobId) {
                let submission = Submission { job, team, class };
                prop_assert_eq!(read.decide(&submission), table.decide(&submission));
            }
        }
    }

    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = AdmissionTable::decode(&bytes);
        let _ = DemandReport::decode(&bytes);
    }

    #[test]
    fn demand_reports_survive_encoding(
        refused in prop::collection::vec(("[a-z]{1,9}", "[a-z]{1,9}", 0u32..100_000), 0..50),
    ) {
        let mut report = DemandReport::default();
        for (team, class, tasks) in &refused {
            report.record_refused(team, class, *tasks);
        }
        prop_assert_eq!(DemandReport::decode(&report.encode()), Ok(report));
    }
}
