use super::*;

fn answer(status: u16, body: serde_json::Value) -> ServiceResponse {
    ServiceResponse { status, body: body.to_string().into() }
}

fn only_call(out: &mut Vec<UpgradeEvent>) -> (u64, StoreRequest) {
    match out.drain(..).next_back() {
        Some(UpgradeEvent::Request(id, call)) => (id, call),
        other => panic!("no call but {other:?}"),
    }
}

fn page(nodes: &[&str], format: u64, more: bool) -> serde_json::Value {
    let item = |node: &&str| json!({"K": format!("version/{node}"), "V": {"format": format}, "Stamp": 3});
    json!({"Pairs": nodes.iter().map(item).collect::<Vec<_>>(), "More": more})
}

/// A leader under the old format that has written its own key.
fn announced() -> Upgrade {
    let mut upgrade = Upgrade::new("n0", ["n1", "n2"].map(String::from).into_iter());
    let mut out = Vec::new();
    upgrade.tick(Timestamp::from_millis(1), true, &mut out);
    let (id, call) = only_call(&mut out);
    assert!(matches!(call, StoreRequest::CompareAndSwap(_)));
    upgrade.handle_response(Timestamp::from_millis(2), id, &answer(409, json!({"failed": ["version/n0"]})), &mut out);
    upgrade
}

/// The key is written again until an answer tells that it is there, and nothing else is asked before.
#[test]
fn the_own_key_is_written_until_it_is_known_to_exist() {
    let mut upgrade = Upgrade::new("n0", std::iter::empty());
    let mut out = Vec::new();
    upgrade.tick(Timestamp::from_millis(1), true, &mut out);
    let (first, _) = only_call(&mut out);
    upgrade.tick(Timestamp::from_millis(1000), true, &mut out);
    assert_eq!(out, [], "one at a time");
    upgrade.tick(Timestamp::from_millis(1600), true, &mut out);
    let (second, call) = only_call(&mut out);
    assert!(matches!(call, StoreRequest::CompareAndSwap(_)));
    upgrade.handle_response(Timestamp::from_millis(1610), first, &answer(200, json!({"Ledger": 4})), &mut out);
    upgrade.tick(Timestamp::from_millis(1620), true, &mut out);
    assert_eq!(out, [], "an answer to the first try comes too late to count");
    upgrade.handle_response(
        Timestamp::from_millis(1630),
        second,
        &answer(409, json!({"failed": ["version/n0"]})),
        &mut out,
    );
    upgrade.tick(Timestamp::from_millis(1640), true, &mut out);
    assert!(matches!(only_call(&mut out).1, StoreRequest::Scan { .. }));
}

#[test]
fn all_are_upgraded_only_when_each_controller_has_said_so() {
    for (pages, all) in [
        (vec![page(&["n0", "n1"], 2, false)], false),
        (vec![page(&["n0", "n1", "n2"], 1, false)], false),
        (vec![page(&["n0", "n1", "n9"], 2, false)], false),
        (vec![page(&["n0", "n1"], 2, true), page(&["n2"], 2, false)], true),
        (vec![page(&["n0", "n1", "n2"], 2, false)], true),
    ] {
        let (mut upgrade, mut out) = (announced(), Vec::new());
        upgrade.tick(Timestamp::from_millis(10), true, &mut out);
        let mut last = None;
        for body in pages {
            let (id, call) = only_call(&mut out);
            assert!(matches!(call, StoreRequest::Scan { .. }));
            upgrade.handle_response(Timestamp::from_millis(20), id, &answer(200, body.clone()), &mut out);
            last = Some(body);
        }
        assert_eq!(out == [UpgradeEvent::AllUpgraded], all, "{last:?}");
    }
}

/// Followers, and leaders of the new format, ask nothing.
#[test]
fn only_a_leader_of_the_old_format_looks() {
    let (mut upgrade, mut out) = (announced(), Vec::new());
    upgrade.tick(Timestamp::from_millis(10), false, &mut out);
    assert_eq!(out, []);
}
