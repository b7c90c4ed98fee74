//! Messages of workers, the cloud and the state service, and settings, as PROTOCOL and DEPLOY allow them to look:
//! unknown fields are ignored, null fields may be omitted, and an odd entry does not cost the rest of its list.

use caperstile::settings::Settings;
use caperstile::wire::{
    CompareAndSwapResponse, GrantLeaseResponse, Heartbeat, KeyPage, KeyValue, MachineNames, MachinePage, MachineTypes,
};
use serde::de::DeserializeOwned;

const HEARTBEAT: &str = r#"{"Host":"m-000231","Endpoint":"10.1.0.232:9000","Build":"g8","Yard":"a","Loaners":true,"Shift":1,
    "Tally":88,"Baton":41,"RecallS":null,"Pieces":[{"Piece":"job-000412/3","Try":2,"Status":"running"}]}"#;
const MACHINES: &str = r#"{"Hosts":[{"Ref":"m-000231","Endpoint":"10.1.0.232:9000","Build":"g8","Yard":"a","Loaners":true,
    "Status":"running","AgeS":61.5}],"More":false}"#;
const MACHINE_TYPES: &str = r#"{"Builds":[{"Label":"g8","Cores":96,"Cards":8,"MemoryGb":768,"LocalGb":200,"FetchGbPerS":1.0,
    "Hourly":12.0,"MarketPrice":4.5,"BootS":45,"Yards":["a","b"]}]}"#;
const KEY_PAGE: &str = r#"{"Pairs":[{"K":"log/1","V":{"a":1},"Stamp":412}],"More":true,"Ledger":431}"#;
const SETTINGS: &str = r#"
    node = "kraal-0"
    api_addr = "10.0.0.1:8080"
    peer_bind = "10.0.0.1:8081"
    new = [[1], { a = 2 }]
    [external]
    cloud = "10.2.0.2:8443"
    state = "10.2.0.1:2379"
    new = "x"
    [deployment]
    new = 1e300
    [[deployment.objectives]]
    kind = "new"
    new = true
    [deployment.workers]
    report_s = 2
    lease_s = 16.0
    cancel_s = 41.0
    new = 1
    [deployment.state]
    rps = 200
    write_rps = 20.0
    value_kb = 16.0
    txn_ops = 16
    [deployment.cloud]
    rps = 6.0
    [deployment.resources]
    new = { b = [] }
"#;

fn is_read<T: DeserializeOwned>(text: &str) -> bool {
    serde_json::from_slice::<T>(text.as_bytes()).is_ok()
}

/// Inserts an unknown field at the beginning of every object.
fn with_unknown_fields(text: &str) -> String {
    let deep = "[".repeat(2000) + &"]".repeat(2000);
    text.replace('{', &format!("{{\"New\":{deep},\"\\u004eew2\":[1e999,\"\\ud800\",-0.0E+1],"))
}

/// Guards against a message that is refused because it carries fields of a later version or omits null ones.
#[test]
fn messages_and_settings_with_unknown_fields_and_without_null_fields_are_read() {
    for change in [str::to_string, with_unknown_fields, |text: &str| text.replace("\"RecallS\":null,", "")] {
        assert!(is_read::<Heartbeat>(&change(HEARTBEAT)), "{}", change(HEARTBEAT));
        assert!(is_read::<MachinePage>(&change(MACHINES)));
        assert!(is_read::<MachineTypes>(&change(MACHINE_TYPES)));
    }
    let with_unknown = |text: &str| text.replace('{', "{\"New\":[[1e999]],");
    assert!(is_read::<MachineNames>(&with_unknown(r#"{"Hosts":["m-000231"]}"#)));
    assert!(is_read::<CompareAndSwapResponse>(&with_unknown(r#"{"Ledger":432}"#)));
    assert!(is_read::<GrantLeaseResponse>(&with_unknown(r#"{"Permit":7}"#)));
    let outside_the_value = |text: &str| with_unknown(text).replace("{\"New\":[[1e999]],\"a\"", "{\"a\"");
    assert!(is_read::<KeyPage>(&outside_the_value(KEY_PAGE)));
    assert!(is_read::<KeyValue>(&outside_the_value(r#"{"K":"a/b","V":{"a":1},"Stamp":412}"#)));
    assert!(Settings::parse(SETTINGS).is_ok(), "{:?}", Settings::parse(SETTINGS));
}

/// Guards against a lease that runs out because one task in a worker's report has an odd status.
#[test]
fn an_odd_task_does_not_cost_the_whole_report() {
    for odd in [r#"{"Piece":"job-000412/4","Try":2}"#, r#"{"Piece":7,"Try":2,"Status":"running"}"#, "null"] {
        let text = HEARTBEAT.replace("\"Pieces\":[", &format!("\"Pieces\":[{odd},"));
        assert!(is_read::<Heartbeat>(&text), "{odd}");
    }
}

/// Guards against a cloud whose machines or types are all unknown because one entry is odd.
#[test]
fn an_odd_entry_does_not_cost_the_whole_list_of_the_cloud() {
    for odd in [r#"{"Ref":"m-000007","Status":"starting"}"#, "null"] {
        assert!(is_read::<MachinePage>(&MACHINES.replace("\"Hosts\":[", &format!("\"Hosts\":[{odd},"))), "{odd}");
    }
    for odd in [r#"{"Label":"t1","Cores":1e999,"MemoryGb":4}"#, r#"{"Label":"t2"}"#, "null"] {
        let text = MACHINE_TYPES.replace("\"Builds\":[", &format!("\"Builds\":[{odd},"));
        assert!(is_read::<MachineTypes>(&text), "{odd}");
    }
}

/// Guards against a report or response that is refused because a whole number is written with a point or an exponent.
#[test]
fn counts_in_messages_may_be_written_with_a_point_or_an_exponent() {
    assert!(is_read::<Heartbeat>(&HEARTBEAT.replace("88", "88.0")));
    assert!(is_read::<Heartbeat>(&HEARTBEAT.replace("41", "4.1e1")));
    assert!(is_read::<GrantLeaseResponse>(r#"{"Permit":7.0}"#));
    assert!(is_read::<KeyPage>(&KEY_PAGE.replace("412", "4.12E2")));
}
