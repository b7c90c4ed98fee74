use super::*;
use crate::wire::CompareAndSwap;
use rand::SeedableRng;
use serde_json::json;

fn node(name: &str, incarnation: u64) -> Leadership {
    Leadership::new(name, incarnation, Duration::from_millis(2500), SmallRng::seed_from_u64(1))
}

fn only_call(out: &mut Vec<LeadershipEvent>) -> (u64, StoreRequest) {
    match out.drain(..).next_back() {
        Some(LeadershipEvent::Request(id, call)) => (id, call),
        other => panic!("no call but {other:?}"),
    }
}

fn answer(status: u16, body: serde_json::Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

/// A node that has just won the key at revision 9.
fn leader() -> Leadership {
    let (mut n, mut out) = (node("n0", 7), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    for body in [(404, json!({})), (200, json!({"Permit": 4})), (200, json!({"Ledger": 9}))] {
        let id = n.in_flight.unwrap().id;
        n.handle_response(Timestamp::from_millis(1), id, &answer(body.0, body.1), &mut out);
    }
    n
}

#[test]
fn an_election_whose_answer_is_lost_is_settled_by_reading_the_key() {
    let (mut n, mut out) = (node("n0", 7), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    let (id, _) = only_call(&mut out);
    n.handle_response(Timestamp::from_millis(5), id, &answer(404, json!({"Ledger": 3})), &mut out);
    let (id, call) = only_call(&mut out);
    assert_eq!(call, StoreRequest::GrantLease(Duration::from_millis(2500)));
    n.handle_response(Timestamp::from_millis(10), id, &answer(200, json!({"Permit": 4})), &mut out);
    assert!(matches!(only_call(&mut out).1, StoreRequest::CompareAndSwap(_)));
    n.tick(Timestamp::from_millis(1100), &mut out); // no answer
    n.tick(Timestamp::from_millis(1700), &mut out);
    let (id, call) = only_call(&mut out);
    assert_eq!(call, StoreRequest::Get(Format::One.leader_key().into()));
    let key = json!({"K": "leader", "V": {"node": "n0", "incarnation": 7}, "Stamp": 9, "Permit": 4});
    n.handle_response(Timestamp::from_millis(1705), id, &answer(200, key), &mut out);
    let (id, call) = only_call(&mut out);
    assert_eq!(call, StoreRequest::RenewLease(LeaseId(4)));
    assert_eq!(n.token(), None, "not before the lease is known to live");
    n.handle_response(Timestamp::from_millis(1710), id, &answer(200, json!({})), &mut out);
    assert_eq!(out, [LeadershipEvent::Elected(FencingToken(9), Format::One)]);
    assert!(n.holds_valid_lease(Timestamp::from_millis(4000)) && !n.holds_valid_lease(Timestamp::from_millis(4010)));
}

#[test]
fn a_late_copy_of_an_election_under_an_older_lease_does_not_count() {
    let (mut n, mut out) = (node("n0", 7), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    let (id, _) = only_call(&mut out);
    let key = json!({"K": "leader", "V": {"node": "n0", "incarnation": 7}, "Stamp": 9, "Permit": 4});
    n.handle_response(Timestamp::from_millis(5), id, &answer(200, key), &mut out);
    assert_eq!((n.token(), out.len()), (None, 0));
}

#[test]
fn a_restarted_node_replaces_its_own_key_and_leaves_others_alone() {
    let (mut n, mut out) = (node("n0", 8), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    let (id, _) = only_call(&mut out);
    let key = json!({"K": "leader", "V": {"node": "n0", "incarnation": 7}, "Stamp": 9, "Permit": 4});
    n.handle_response(Timestamp::from_millis(5), id, &answer(200, key), &mut out);
    let (id, _) = only_call(&mut out);
    n.handle_response(Timestamp::from_millis(6), id, &answer(200, json!({"Permit": 5})), &mut out);
    let (id, call) = only_call(&mut out);
    let StoreRequest::CompareAndSwap(txn) = call else { panic!("{call:?}") };
    assert_eq!(txn.conditions[0].revision, 9);
    n.handle_response(
        Timestamp::from_millis(7),
        id,
        &answer(409, json!({"failed": ["leader"], "Ledger": 10})),
        &mut out,
    );
    n.tick(Timestamp::from_millis(8), &mut out);
    let (id, _) = only_call(&mut out);
    let key = json!({"K": "leader", "V": {"node": "n1", "incarnation": 1}, "Stamp": 10, "Permit": 6});
    n.handle_response(Timestamp::from_millis(9), id, &answer(200, key), &mut out);
    assert_eq!(out, [LeadershipEvent::LeaderChanged(Some("n1".into()))]);
}

/// A leader without the key-value store learns from its successor that it leads no more, and a node
/// that hears both believes the later one, in whatever order the words come.
#[test]
fn the_announcement_of_a_later_leader_counts_and_that_of_an_earlier_one_does_not() {
    let (mut n, mut out) = (leader(), Vec::new());
    n.observe_announcement(Timestamp::from_millis(5), "n1".into(), FencingToken(8), &mut out);
    assert_eq!((n.token(), out.len()), (Some(FencingToken(9)), 0));
    n.observe_announcement(Timestamp::from_millis(6), "n2".into(), FencingToken(12), &mut out);
    assert_eq!(
        out,
        [
            LeadershipEvent::SteppedDown(StepDownReason::AnotherNodeLeads),
            LeadershipEvent::LeaderChanged(Some("n2".into()))
        ]
    );
    n.observe_announcement(Timestamp::from_millis(7), "n1".into(), FencingToken(8), &mut out);
    assert_eq!(n.leader(), Some("n2"));
}

#[test]
fn a_leader_that_yields_revokes_its_lease_and_leaves_the_key_to_others() {
    let (mut n, mut out) = (leader(), Vec::new());
    n.yield_leadership(Timestamp::from_millis(5), StepDownReason::NoWorkerReachable, &mut out);
    let revoked = LeadershipEvent::Request(n.request_counter, StoreRequest::RevokeLease(LeaseId(4)));
    assert_eq!(out, [revoked, LeadershipEvent::SteppedDown(StepDownReason::NoWorkerReachable)]);
    for (at, campaigns) in [(1000, false), (12_000, true)] {
        out.clear();
        n.tick(Timestamp::from_millis(at), &mut out);
        let (id, _) = only_call(&mut out);
        n.handle_response(Timestamp::from_millis(at), id, &answer(404, json!({"Ledger": 10})), &mut out);
        assert_eq!(!out.is_empty(), campaigns, "{out:?}");
    }
}

#[test]
fn an_outage_leaves_the_leader_in_doubt_and_a_lost_lease_ends_it() {
    let (mut n, mut out) = (leader(), Vec::new());
    n.tick(Timestamp::from_millis(2), &mut out);
    let (id, _) = only_call(&mut out);
    n.handle_response(Timestamp::from_millis(3), id, &answer(503, json!({})), &mut out);
    assert!(n.holds_valid_lease(Timestamp::from_millis(2000)) && !n.holds_valid_lease(Timestamp::from_millis(2400)));
    assert_eq!(n.token(), Some(FencingToken(9)), "in doubt it still leads");
    n.tick(Timestamp::from_millis(30_000), &mut out);
    let (id, _) = only_call(&mut out);
    n.handle_response(Timestamp::from_millis(30_001), id, &answer(404, json!({})), &mut out);
    assert_eq!(out, [LeadershipEvent::SteppedDown(StepDownReason::LeaseLost)]);
}

/// A leader whose key is to move, with its request to move it on the way.
fn moving() -> (Leadership, u64, CompareAndSwap) {
    let (mut n, mut out) = (leader(), Vec::new());
    n.request_key_relocation();
    n.tick(Timestamp::from_millis(2), &mut out);
    let (id, call) = only_call(&mut out);
    assert_eq!(call, StoreRequest::RenewLease(LeaseId(4)), "the lease is renewed first");
    n.handle_response(Timestamp::from_millis(3), id, &answer(200, json!({})), &mut out);
    match only_call(&mut out) {
        (id, StoreRequest::CompareAndSwap(txn)) => (n, id, txn),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_key_moves_in_one_transaction_and_its_leader_leads_on_in_a_new_term() {
    let (mut n, id, txn) = moving();
    let conditions: Vec<_> = txn.conditions.iter().map(|c| (c.key.as_str(), c.revision)).collect();
    assert_eq!(conditions, [("leader", 9), ("leader-2", 0)]);
    let shown = serde_json::to_value(&txn.writes).unwrap();
    let me = json!({"node": "n0", "incarnation": 7});
    let left = json!({"Write": "leader", "V": {"moved_to": "leader-2"}});
    assert_eq!(shown, json!([left, {"Write": "leader-2", "V": me, "Permit": 4}]));
    let mut out = Vec::new();
    n.handle_response(Timestamp::from_millis(6), id, &answer(200, json!({"Ledger": 12})), &mut out);
    assert!(
        matches!(out[..], [LeadershipEvent::SteppedDown(_), LeadershipEvent::Elected(FencingToken(12), Format::Two)]),
        "{out:?}"
    );
}

/// The move is carried out and its answer lost: the next try fails, and the key tells that it hangs on the lease that is still held.
#[test]
fn a_move_whose_answer_is_lost_is_settled_by_reading_the_key() {
    let (mut n, _, _) = moving();
    let mut out = Vec::new();
    n.tick(Timestamp::from_millis(1100), &mut out); // no answer
    n.tick(Timestamp::from_millis(1300), &mut out);
    let (id, call) = only_call(&mut out);
    assert_eq!(call, StoreRequest::RenewLease(LeaseId(4)), "still a leader by its lease");
    n.handle_response(Timestamp::from_millis(1302), id, &answer(200, json!({})), &mut out);
    let (id, _) = only_call(&mut out);
    n.handle_response(
        Timestamp::from_millis(1305),
        id,
        &answer(409, json!({"failed": ["leader", "leader-2"], "Ledger": 12})),
        &mut out,
    );
    assert_eq!(std::mem::take(&mut out), [LeadershipEvent::SteppedDown(StepDownReason::LeaderKeyChanged)]);
    n.tick(Timestamp::from_millis(1306), &mut out);
    let (id, _) = only_call(&mut out);
    let left = json!({"K": "leader", "V": {"moved_to": "leader-2"}, "Stamp": 12});
    n.handle_response(Timestamp::from_millis(1308), id, &answer(200, left), &mut out);
    n.tick(Timestamp::from_millis(1309), &mut out);
    let (id, call) = only_call(&mut out);
    assert_eq!(call, StoreRequest::Get("leader-2".into()));
    let key = json!({"K": "leader-2", "V": {"node": "n0", "incarnation": 7}, "Stamp": 12, "Permit": 4});
    n.handle_response(Timestamp::from_millis(1311), id, &answer(200, key), &mut out);
    let (id, _) = only_call(&mut out);
    n.handle_response(Timestamp::from_millis(1313), id, &answer(200, json!({})), &mut out);
    assert_eq!(out, [LeadershipEvent::Elected(FencingToken(12), Format::Two)]);
}

/// Once it has read that the key has moved, a node contends for the new one only.
#[test]
fn a_node_that_reads_a_moved_key_contends_for_the_new_one() {
    let (mut n, mut out) = (node("n1", 3), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    let (id, _) = only_call(&mut out);
    n.handle_response(
        Timestamp::from_millis(1),
        id,
        &answer(200, json!({"K": "leader", "V": {"moved_to": "leader-2"}, "Stamp": 12})),
        &mut out,
    );
    for body in [(404, json!({})), (200, json!({"Permit": 6}))] {
        n.tick(Timestamp::from_millis(2), &mut out);
        let id = n.in_flight.unwrap().id;
        n.handle_response(Timestamp::from_millis(3), id, &answer(body.0, body.1), &mut out);
    }
    let StoreRequest::CompareAndSwap(txn) = only_call(&mut out).1 else { panic!("no campaign") };
    assert_eq!((txn.conditions[0].key.as_str(), txn.conditions[0].revision), ("leader-2", 0));
}
