use super::limits::{BASE_MB, CONNECTION_MB, JOB_MB};
use super::*;

/// Settings of a small deployment, shared by the tests of several modules.
pub(crate) const SAMPLE: &str = r#"
    node = "n0"
    area = "a"
    api_addr = "127.0.0.1:7000"
    peer_bind = "127.0.0.1:7001"
    later = "ignored"
    [[seeds]]
    node = "n1"
    area = "b"
    address = "127.0.0.1:7003"
    [external]
    cloud = "127.0.0.1:7100"
    state = "127.0.0.1:7101"
    [deployment]
    size = 2
    zones = ["a", "b"]
    clock_error_ms = 100.0
    [[deployment.teams]]
    name = "crew"
    cpus = 0.0
    cpus_max = 0.0
    [[deployment.teams]]
    name = "small"
    cpus_max = 4.0
    [[deployment.objectives]]
    kind = "wait"
    class = "live"
    within_s = 2.0
    share = 0.9
    [deployment.workers]
    report_s = 2.0
    lease_s = 16.0
    cancel_s = 41.0
    [deployment.state]
    rps = 200.0
    write_rps = 20.0
    value_kb = 8.0
    txn_ops = 16
    [deployment.cloud]
    rps = 6.0
    list_lag_s = 8.0
    [deployment.resources]
    cpu = 0.1
    memory_mb = 56.0
    fd_limit = 900
"#;

#[test]
fn invalid_settings_name_the_field() {
    assert!(Settings::parse(SAMPLE).is_ok());
    let invalid = SAMPLE.replace("lease_s = 16.0", "lease_s = -1.0");
    assert!(Settings::parse(&invalid).unwrap_err().to_string().contains("deployment.workers.lease_s"));
    let missing = SAMPLE.replace("report_s = 2.0", "");
    assert!(Settings::parse(&missing).unwrap_err().to_string().contains("report_s"));
    let no_memory = SAMPLE.replace("memory_mb = 56.0", "memory_mb = 0.0");
    assert!(Settings::parse(&no_memory).unwrap_err().to_string().contains("deployment.resources.memory_mb"));
    let no_cpu = SAMPLE.replace("cpu = 0.1", "cpu = 0.0");
    assert!(Settings::parse(&no_cpu).unwrap_err().to_string().contains("deployment.resources.cpu"));
    let too_few_sockets = SAMPLE.replace("fd_limit = 900", "fd_limit = 3");
    assert!(Settings::parse(&too_few_sockets).unwrap_err().to_string().contains("deployment.resources.fd_limit"));
    let duplicate_node = SAMPLE.replace("node = \"n1\"", "node = \"n0\"");
    assert!(Settings::parse(&duplicate_node).unwrap_err().to_string().contains("seeds[0].node"));
}

#[test]
fn future_state_limits_are_optional_and_validated() {
    let with_next = |next: &str| {
        SAMPLE.replace(
            "    [deployment.cloud]",
            &format!("    [deployment.state.next]\n    {next}\n    [deployment.cloud]"),
        )
    };
    let limits = Settings::parse(&with_next("value_kb = 2.0\n    write_rps = 12.0")).unwrap().deployment.state;
    assert_eq!(
        (limits.guaranteed_value_kb(), limits.guaranteed_txn_ops(), limits.write_rates()),
        (2.0, 16, (20.0, 12.0))
    );
    let higher_limits = Settings::parse(&with_next("value_kb = 64.0\n    txn_ops = 99")).unwrap().deployment.state;
    assert_eq!(
        (higher_limits.guaranteed_value_kb(), higher_limits.guaranteed_txn_ops(), higher_limits.write_rates()),
        (8.0, 16, (20.0, 20.0))
    );
    for (invalid, name) in [
        ("value_kb = 0.0", "deployment.state.next.value_kb"),
        ("rps = -1.0", "deployment.state.next.rps"),
        ("write_rps = nan", "deployment.state.next.write_rps"),
        ("txn_ops = 1", "deployment.state.next.txn_ops"),
    ] {
        assert!(Settings::parse(&with_next(invalid)).unwrap_err().to_string().contains(name), "{invalid}");
    }
}

#[test]
fn open_jobs_and_connections_fit_into_the_memory_limit() {
    for (memory_mb, fd_limit) in [(37.0, 900), (56.0, 900), (66.0, 1500), (104.0, 1500), (188.0, 2900)] {
        let resources = ProcessLimits { cpu: 0.1, memory_mb, fd_limit };
        let used_mb =
            resources.max_open_jobs() as f64 * JOB_MB + resources.max_connections() as f64 * CONNECTION_MB + BASE_MB;
        assert!(used_mb <= memory_mb && resources.max_open_jobs() > 1000, "{used_mb} of {memory_mb} MB");
    }
}

#[test]
fn operators_file_is_validated() {
    let tuning = Tuning::parse("[fleet]\nidle_spot_s = 5\n").unwrap();
    assert_eq!(tuning.spot_idle_timeout, Duration::from_secs(5));
    assert!(Tuning::parse("[fleet]\nidle_spt_s = 5\n").unwrap_err().to_string().contains("fleet.idle_spt_s"));
    assert_eq!(Tuning::parse("[fleet]\nstrict_aim = 0.95\n").unwrap().strict_objective_share, 0.95);
    assert!(Tuning::parse("[fleet]\nstrict_aim = 95\n").unwrap_err().to_string().contains("fleet.strict_aim"));
    assert!(Tuning::parse("[leadership]\nlease_s = soon\n").unwrap_err().to_string().contains("leadership.lease_s"));
}
