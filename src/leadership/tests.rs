use super::*;
use crate::wire::CompareAndSwap;
use rand::SeedableRng;
use serde_json::json;

fn node(name: &str, incarnation: u64) -> Leadership {
    Leadership::new(name, incarnation, Duration::from_millis(2500), SmallRng::seed_from_u64(1))
}

fn last_request(out: &mut Vec<LeadershipEvent>) -> (u64, StoreRequest) {
    match out.drain(..).next_back() {
        Some(LeadershipEvent::Request(id, request)) => (id, request),
        other => panic!("no request; last event: {other:?}"),
    }
}

fn response(status: u16, body: serde_json::Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

/// A node that has just been elected at revision 9.
fn leader() -> Leadership {
    let (mut n, mut out) = (node("n0", 7), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    for body in [(404, json!({})), (200, json!({"Permit": 4})), (200, json!({"Ledger": 9}))] {
        let id = n.in_flight.unwrap().id;
        n.handle_response(Timestamp::from_millis(1), id, &response(body.0, body.1), &mut out);
    }
    n
}

/// Guards against a leader that steps down because of its own tokens, or that takes a later leader's token for one of
/// its own.
#[test]
fn the_tokens_of_a_term_are_the_revisions_from_its_election_to_its_last_confirmed_write() {
    let mut tokens = TermTokens::new(FencingToken(9));
    tokens.add_confirmed_revision(Revision(15));
    tokens.add_confirmed_revision(Revision(12)); // responses may arrive in another order
    assert_eq!(tokens.latest(), FencingToken(15));
    assert!([9, 12, 15].into_iter().all(|token| tokens.contains(FencingToken(token))));
    assert!(!tokens.contains(FencingToken(8)) && !tokens.contains(FencingToken(16)));
    assert!(!tokens.is_superseded_by(FencingToken(15)) && tokens.is_superseded_by(FencingToken(16)));
}

#[test]
fn election_with_lost_response_is_confirmed_by_reading_the_key() {
    let (mut n, mut out) = (node("n0", 7), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    let (id, _) = last_request(&mut out);
    n.handle_response(Timestamp::from_millis(5), id, &response(404, json!({"Ledger": 3})), &mut out);
    let (id, request) = last_request(&mut out);
    assert_eq!(request, StoreRequest::GrantLease(Duration::from_millis(2500)));
    n.handle_response(Timestamp::from_millis(10), id, &response(200, json!({"Permit": 4})), &mut out);
    assert!(matches!(last_request(&mut out).1, StoreRequest::CompareAndSwap(_)));
    n.tick(Timestamp::from_millis(1100), &mut out); // the campaign times out
    n.tick(Timestamp::from_millis(1700), &mut out);
    let (id, request) = last_request(&mut out);
    assert_eq!(request, StoreRequest::Get(Format::One.leader_key().into()));
    let key = json!({"K": "leader", "V": {"node": "n0", "incarnation": 7}, "Stamp": 9, "Permit": 4});
    n.handle_response(Timestamp::from_millis(1705), id, &response(200, key), &mut out);
    let (id, request) = last_request(&mut out);
    assert_eq!(request, StoreRequest::RenewLease(LeaseId(4)));
    assert_eq!(n.token(), None, "the lease must be confirmed first");
    n.handle_response(Timestamp::from_millis(1710), id, &response(200, json!({})), &mut out);
    assert_eq!(out, [LeadershipEvent::Elected(FencingToken(9), Format::One)]);
    assert!(n.holds_valid_lease(Timestamp::from_millis(4000)) && !n.holds_valid_lease(Timestamp::from_millis(4010)));
}

#[test]
fn delayed_campaign_bound_to_an_older_lease_is_ignored() {
    let (mut n, mut out) = (node("n0", 7), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    let (id, _) = last_request(&mut out);
    let key = json!({"K": "leader", "V": {"node": "n0", "incarnation": 7}, "Stamp": 9, "Permit": 4});
    n.handle_response(Timestamp::from_millis(5), id, &response(200, key), &mut out);
    assert_eq!((n.token(), out.len()), (None, 0));
}

#[test]
fn restarted_node_replaces_the_key_of_its_previous_process_only() {
    let (mut n, mut out) = (node("n0", 8), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    let (id, _) = last_request(&mut out);
    let key = json!({"K": "leader", "V": {"node": "n0", "incarnation": 7}, "Stamp": 9, "Permit": 4});
    n.handle_response(Timestamp::from_millis(5), id, &response(200, key), &mut out);
    let (id, _) = last_request(&mut out);
    n.handle_response(Timestamp::from_millis(6), id, &response(200, json!({"Permit": 5})), &mut out);
    let (id, request) = last_request(&mut out);
    let StoreRequest::CompareAndSwap(swap) = request else { panic!("{request:?}") };
    assert_eq!(swap.conditions[0].revision, 9);
    n.handle_response(
        Timestamp::from_millis(7),
        id,
        &response(409, json!({"failed": ["leader"], "Ledger": 10})),
        &mut out,
    );
    n.tick(Timestamp::from_millis(8), &mut out);
    let (id, _) = last_request(&mut out);
    let key = json!({"K": "leader", "V": {"node": "n1", "incarnation": 1}, "Stamp": 10, "Permit": 6});
    n.handle_response(Timestamp::from_millis(9), id, &response(200, key), &mut out);
    assert_eq!(out, [LeadershipEvent::LeaderChanged(Some("n1".into()))]);
}

/// A leader that cannot reach the state service steps down when its successor announces itself. A node that receives
/// announcements of both accepts the one with the higher token, in whichever order they arrive.
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
        let (id, _) = last_request(&mut out);
        n.handle_response(Timestamp::from_millis(at), id, &response(404, json!({"Ledger": 10})), &mut out);
        assert_eq!(!out.is_empty(), campaigns, "{out:?}");
    }
}

#[test]
fn an_outage_leaves_the_leader_in_doubt_and_a_lost_lease_ends_it() {
    let (mut n, mut out) = (leader(), Vec::new());
    n.tick(Timestamp::from_millis(2), &mut out);
    let (id, _) = last_request(&mut out);
    n.handle_response(Timestamp::from_millis(3), id, &response(503, json!({})), &mut out);
    assert!(n.holds_valid_lease(Timestamp::from_millis(2000)) && !n.holds_valid_lease(Timestamp::from_millis(2400)));
    assert_eq!(n.token(), Some(FencingToken(9)), "an uncertain lease alone does not end leadership");
    n.tick(Timestamp::from_millis(30_000), &mut out);
    let (id, _) = last_request(&mut out);
    n.handle_response(Timestamp::from_millis(30_001), id, &response(404, json!({})), &mut out);
    assert_eq!(out, [LeadershipEvent::SteppedDown(StepDownReason::LeaseLost)]);
}

/// A leader whose relocation of the leader key is in flight, with the request's number and transaction.
fn leader_relocating_key() -> (Leadership, u64, CompareAndSwap) {
    let (mut n, mut out) = (leader(), Vec::new());
    n.request_key_relocation();
    n.tick(Timestamp::from_millis(2), &mut out);
    let (id, request) = last_request(&mut out);
    assert_eq!(request, StoreRequest::RenewLease(LeaseId(4)), "the lease is renewed first");
    n.handle_response(Timestamp::from_millis(3), id, &response(200, json!({})), &mut out);
    match last_request(&mut out) {
        (id, StoreRequest::CompareAndSwap(swap)) => (n, id, swap),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_key_moves_in_one_transaction_and_its_leader_leads_on_in_a_new_term() {
    let (mut n, id, swap) = leader_relocating_key();
    let conditions: Vec<_> = swap.conditions.iter().map(|c| (c.key.as_str(), c.revision)).collect();
    assert_eq!(conditions, [("leader", 9), ("leader-2", 0)]);
    let writes = serde_json::to_value(&swap.writes).unwrap();
    let holder = json!({"node": "n0", "incarnation": 7});
    let relocated = json!({"Write": "leader", "V": {"moved_to": "leader-2"}});
    assert_eq!(writes, json!([relocated, {"Write": "leader-2", "V": holder, "Permit": 4}]));
    let mut out = Vec::new();
    n.handle_response(Timestamp::from_millis(6), id, &response(200, json!({"Ledger": 12})), &mut out);
    assert!(
        matches!(out[..], [LeadershipEvent::SteppedDown(_), LeadershipEvent::Elected(FencingToken(12), Format::Two)]),
        "{out:?}"
    );
}

/// The relocation is executed but its response is lost. The retry fails with a conflict, and reading the key shows that
/// it is bound to the lease that this node still holds.
#[test]
fn relocation_with_lost_response_is_confirmed_by_reading_the_key() {
    let (mut n, _, _) = leader_relocating_key();
    let mut out = Vec::new();
    n.tick(Timestamp::from_millis(1100), &mut out); // the relocation times out
    n.tick(Timestamp::from_millis(1300), &mut out);
    let (id, request) = last_request(&mut out);
    assert_eq!(request, StoreRequest::RenewLease(LeaseId(4)), "it is still the leader and renews its lease");
    n.handle_response(Timestamp::from_millis(1302), id, &response(200, json!({})), &mut out);
    let (id, _) = last_request(&mut out);
    n.handle_response(
        Timestamp::from_millis(1305),
        id,
        &response(409, json!({"failed": ["leader", "leader-2"], "Ledger": 12})),
        &mut out,
    );
    assert_eq!(std::mem::take(&mut out), [LeadershipEvent::SteppedDown(StepDownReason::LeaderKeyChanged)]);
    n.tick(Timestamp::from_millis(1306), &mut out);
    let (id, _) = last_request(&mut out);
    let relocated = json!({"K": "leader", "V": {"moved_to": "leader-2"}, "Stamp": 12});
    n.handle_response(Timestamp::from_millis(1308), id, &response(200, relocated), &mut out);
    n.tick(Timestamp::from_millis(1309), &mut out);
    let (id, request) = last_request(&mut out);
    assert_eq!(request, StoreRequest::Get("leader-2".into()));
    let key = json!({"K": "leader-2", "V": {"node": "n0", "incarnation": 7}, "Stamp": 12, "Permit": 4});
    n.handle_response(Timestamp::from_millis(1311), id, &response(200, key), &mut out);
    let (id, _) = last_request(&mut out);
    n.handle_response(Timestamp::from_millis(1313), id, &response(200, json!({})), &mut out);
    assert_eq!(out, [LeadershipEvent::Elected(FencingToken(12), Format::Two)]);
}

/// After reading that the leader key was relocated, a node campaigns for the new key only.
#[test]
fn follower_campaigns_for_the_relocated_key() {
    let (mut n, mut out) = (node("n1", 3), Vec::new());
    n.tick(Timestamp::ZERO, &mut out);
    let (id, _) = last_request(&mut out);
    n.handle_response(
        Timestamp::from_millis(1),
        id,
        &response(200, json!({"K": "leader", "V": {"moved_to": "leader-2"}, "Stamp": 12})),
        &mut out,
    );
    for body in [(404, json!({})), (200, json!({"Permit": 6}))] {
        n.tick(Timestamp::from_millis(2), &mut out);
        let id = n.in_flight.unwrap().id;
        n.handle_response(Timestamp::from_millis(3), id, &response(body.0, body.1), &mut out);
    }
    let StoreRequest::CompareAndSwap(swap) = last_request(&mut out).1 else { panic!("no campaign") };
    assert_eq!((swap.conditions[0].key.as_str(), swap.conditions[0].revision), ("leader-2", 0));
}
