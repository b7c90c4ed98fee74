use super::*;

fn response(status: u16, body: serde_json::Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

fn last_request(out: &mut Vec<UpgradeEvent>) -> (u64, StoreRequest) {
    match out.drain(..).next_back() {
        Some(UpgradeEvent::Request(id, request)) => (id, request),
        other => panic!("no request; last event: {other:?}"),
    }
}

fn page(nodes: &[&str], format: u64, more: bool) -> serde_json::Value {
    let item = |node: &&str| json!({"K": format!("version/{node}"), "V": {"format": format}, "Stamp": 3});
    json!({"Pairs": nodes.iter().map(item).collect::<Vec<_>>(), "More": more})
}

/// The upgrade state of a leader under the old format whose version key exists.
fn announced_leader() -> Upgrade {
    let mut upgrade = Upgrade::new("n0", ["n1", "n2"].map(String::from).into_iter());
    let mut out = Vec::new();
    upgrade.tick(Timestamp::from_millis(1), true, &mut out);
    let (id, request) = last_request(&mut out);
    assert!(matches!(request, StoreRequest::CompareAndSwap(_)));
    upgrade.handle_response(Timestamp::from_millis(2), id, &response(409, json!({"failed": ["version/n0"]})), &mut out);
    upgrade
}

/// The write of the version key is retried until a response shows that the key exists; no other request is sent before
/// that.
#[test]
fn version_key_is_written_until_it_is_known_to_exist() {
    let mut upgrade = Upgrade::new("n0", std::iter::empty());
    let mut out = Vec::new();
    upgrade.tick(Timestamp::from_millis(1), true, &mut out);
    let (first, _) = last_request(&mut out);
    upgrade.tick(Timestamp::from_millis(1000), true, &mut out);
    assert_eq!(out, [], "one request is in flight at a time");
    upgrade.tick(Timestamp::from_millis(1600), true, &mut out);
    let (second, request) = last_request(&mut out);
    assert!(matches!(request, StoreRequest::CompareAndSwap(_)));
    upgrade.handle_response(Timestamp::from_millis(1610), first, &response(200, json!({"Ledger": 4})), &mut out);
    upgrade.tick(Timestamp::from_millis(1620), true, &mut out);
    assert_eq!(out, [], "the response to the timed-out first attempt is ignored");
    upgrade.handle_response(
        Timestamp::from_millis(1630),
        second,
        &response(409, json!({"failed": ["version/n0"]})),
        &mut out,
    );
    upgrade.tick(Timestamp::from_millis(1640), true, &mut out);
    assert!(matches!(last_request(&mut out).1, StoreRequest::Scan { .. }));
}

#[test]
fn upgrade_is_complete_only_when_every_controller_has_published_its_version() {
    for (pages, all) in [
        (vec![page(&["n0", "n1"], 2, false)], false),
        (vec![page(&["n0", "n1", "n2"], 1, false)], false),
        (vec![page(&["n0", "n1", "n9"], 2, false)], false),
        (vec![page(&["n0", "n1"], 2, true), page(&["n2"], 2, false)], true),
        (vec![page(&["n0", "n1", "n2"], 2, false)], true),
    ] {
        let (mut upgrade, mut out) = (announced_leader(), Vec::new());
        upgrade.tick(Timestamp::from_millis(10), true, &mut out);
        let mut last = None;
        for body in pages {
            let (id, request) = last_request(&mut out);
            assert!(matches!(request, StoreRequest::Scan { .. }));
            upgrade.handle_response(Timestamp::from_millis(20), id, &response(200, body.clone()), &mut out);
            last = Some(body);
        }
        assert_eq!(out == [UpgradeEvent::AllUpgraded], all, "{last:?}");
    }
}

/// Followers, and leaders under the new format, send no requests once their version key exists.
#[test]
fn only_a_leader_under_the_old_format_scans_versions() {
    let (mut upgrade, mut out) = (announced_leader(), Vec::new());
    upgrade.tick(Timestamp::from_millis(10), false, &mut out);
    assert_eq!(out, []);
}
