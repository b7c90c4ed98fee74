//! Tests the budgets in the operators' settings: parsing, validation, and the limits that apply at a given time.

use caperstile_disruption::budget::BatchEviction;
use caperstile_disruption::policy_parser::{Section, parse};
use caperstile_disruption::{Limit, Policy, PolicyError, Scope, TaskClass};
use caperstile_types::{Duration, WallClock};
use std::collections::BTreeSet;

fn section(name: &str, entries: &[(&str, &str)]) -> Section {
    let entries = entries.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect();
    Section { name: name.to_string(), entries }
}

fn parse_sections(sections: &[Section]) -> Result<Policy, PolicyError> {
    let teams = BTreeSet::from(["studio".to_string(), "a/b".to_string()]);
    parse(sections, &teams, Duration::ZERO)
}

fn class(team: &str, class: &str) -> Scope {
    Scope::Class(TaskClass { team: team.into(), class: class.into() })
}

/// Converts a UTC time such as `2026-12-02 10:00` to milliseconds since 1970.
fn utc(text: &str) -> WallClock {
    let time = chrono::NaiveDateTime::parse_from_str(text, "%Y-%m-%d %H:%M").expect("a time");
    WallClock::from_millis(time.and_utc().timestamp_millis() as u64)
}

#[test]
fn a_class_without_a_limit_has_the_default_unless_its_team_has_a_limit() {
    let policy = parse_sections(&[section("budget studio", &[("max_unavailable", "3")])]).expect("valid");
    let at = utc("2026-12-02 10:00");
    assert_eq!(policy.max_unavailable(&class("studio", "live"), 100, at), None);
    assert_eq!(policy.max_unavailable(&Scope::Team("studio".into()), 100, at), Some(3));
    assert_eq!(policy.max_unavailable(&class("a/b", "x"), 100, at), Some(10));
    assert_eq!(policy.max_unavailable(&class("a/b", "x"), 4, at), Some(1), "at least one replica");
    assert_eq!(policy.max_unavailable(&Scope::Team("a/b".into()), 4, at), None);
}

#[test]
fn a_configured_share_is_rounded_down() {
    let policy = parse_sections(&[section("budget studio/live", &[("max_unavailable", "29%")])]).expect("valid");
    let at = utc("2026-12-02 10:00");
    assert_eq!(policy.max_unavailable(&class("studio", "live"), 100, at), Some(29));
    assert_eq!(policy.max_unavailable(&class("studio", "live"), 3, at), Some(0));
}

#[test]
fn team_names_may_contain_slashes() {
    let policy = parse_sections(&[section("budget a/b/c", &[("max_unavailable", "2"), ("evict_batch", "always")])])
        .expect("valid");
    assert_eq!(policy.base_limit(&class("a/b", "c")), Some(Limit::Count(2)));
    assert_eq!(policy.batch_eviction(&TaskClass { team: "a/b".into(), class: "c".into() }), BatchEviction::Always);
}

#[test]
fn a_window_limit_applies_in_local_time_across_daylight_saving_changes() {
    let window = section("window night", &[("zone", "Europe/Berlin"), ("from", "02:00"), ("until", "03:00")]);
    let budget = section("budget studio", &[("max_unavailable", "5"), ("max_unavailable.night", "1")]);
    let policy = parse_sections(&[budget, window]).expect("valid");
    let allowed = |at: &str| policy.max_unavailable(&Scope::Team("studio".into()), 100, utc(at));
    // On ordinary days, the window lasts one hour. Berlin is at UTC+1 in winter and at UTC+2 in summer.
    assert_eq!((allowed("2026-01-15 01:30"), allowed("2026-07-15 00:30")), (Some(1), Some(1)));
    assert_eq!((allowed("2026-01-15 00:30"), allowed("2026-07-15 01:30")), (Some(5), Some(5)));
    // On 25 October 2026, the hour from 02:00 to 03:00 occurs twice.
    assert_eq!((allowed("2026-10-25 00:30"), allowed("2026-10-25 01:30")), (Some(1), Some(1)));
    assert_eq!(allowed("2026-10-25 02:00"), Some(5));
    // On 29 March 2026, this hour is skipped.
    assert_eq!((allowed("2026-03-29 00:59"), allowed("2026-03-29 01:00")), (Some(5), Some(5)));
}

#[test]
fn a_window_past_midnight_belongs_to_the_day_on_which_it_begins() {
    let entries = [("zone", "Africa/Nairobi"), ("days", "fri"), ("from", "22:00"), ("until", "06:00")];
    let budget = section("budget studio", &[("max_unavailable", "5"), ("max_unavailable.late", "0")]);
    let policy = parse_sections(&[section("window late", &entries), budget]).expect("valid");
    let allowed = |at: &str| policy.max_unavailable(&Scope::Team("studio".into()), 100, utc(at));
    // 4 December 2026 is a Friday; Nairobi is three hours ahead of UTC.
    assert_eq!(allowed("2026-12-04 18:59"), Some(5));
    assert_eq!(allowed("2026-12-04 19:00"), Some(0));
    assert_eq!(allowed("2026-12-05 02:59"), Some(0));
    assert_eq!(allowed("2026-12-05 03:00"), Some(5));
    assert_eq!(allowed("2026-12-04 01:00"), Some(5), "in the night after Thursday, which is not in the window");
}

#[test]
fn a_window_is_extended_by_the_clock_error_on_both_sides() {
    let window = section("window day", &[("zone", "UTC"), ("from", "09:00"), ("until", "17:00")]);
    let budget = section("budget studio", &[("max_unavailable", "5"), ("max_unavailable.day", "0")]);
    let teams = BTreeSet::from(["studio".to_string()]);
    let policy = parse(&[window, budget], &teams, Duration::from_secs(60)).expect("valid");
    let allowed = |at: &str| policy.max_unavailable(&Scope::Team("studio".into()), 100, utc(at));
    assert_eq!((allowed("2026-12-02 08:58"), allowed("2026-12-02 08:59")), (Some(5), Some(0)));
    assert_eq!((allowed("2026-12-02 17:00"), allowed("2026-12-02 17:01")), (Some(0), Some(5)));
}

#[test]
fn invalid_settings_are_rejected_with_section_key_and_reason() {
    let day = |entries: &[(&str, &str)]| vec![section("window day", entries)];
    let cases: Vec<(Vec<Section>, &str)> = vec![
        (
            vec![section("budget studio", &[("max_unavailable", "101%")])],
            "[budget studio] max_unavailable: `101%` is not",
        ),
        (
            vec![section("budget studio", &[("max_unavailable", "-1")])],
            "[budget studio] max_unavailable: `-1` is neither",
        ),
        (
            vec![section("budget studio", &[("max_unavailable", "0.5")])],
            "[budget studio] max_unavailable: `0.5` is neither",
        ),
        (vec![section("budget nobody", &[])], "[budget nobody] : `nobody` names no team"),
        (vec![section("budget studio/", &[])], "[budget studio/] : the class is missing"),
        (vec![section("budget studio", &[("max", "1")])], "[budget studio] max: not a known setting"),
        (
            vec![section("budget studio", &[("min_interval_s", "nan")])],
            "[budget studio] min_interval_s: `nan` is not a time",
        ),
        (vec![section("budget studio", &[("evict_batch", "maybe")])], "[budget studio] evict_batch: `maybe` is not"),
        (
            vec![section("budget studio", &[("max_unavailable.day", "1")])],
            "[budget studio] max_unavailable.day: there is no section [window day]",
        ),
        (
            day(&[("zone", "Mars/Base"), ("from", "09:00"), ("until", "17:00")]),
            "[window day] zone: `Mars/Base` is not a known",
        ),
        (day(&[("zone", "UTC"), ("from", "09:00"), ("until", "09:00")]), "[window day] until: the window is empty"),
        (day(&[("zone", "UTC"), ("from", "9:00"), ("until", "17:00")]), "[window day] from: `9:00` is not a time"),
        (day(&[("zone", "UTC"), ("from", "09:00"), ("until", "24:01")]), "[window day] until: `24:01` is not a time"),
        (day(&[("zone", "UTC"), ("from", "09:00")]), "[window day] until: is missing"),
        (day(&[("from", "09:00"), ("until", "10:00")]), "[window day] zone: is missing"),
        (
            day(&[("zone", "UTC"), ("from", "09:00"), ("until", "10:00"), ("days", "fri-mon")]),
            "[window day] days: `fri-mon` ends before it begins",
        ),
        (vec![section("drains", &[("enabled", "perhaps")])], "[drains] enabled: `perhaps` is neither yes nor no"),
        (vec![section("drains", &[("max_machines", "0")])], "[drains] max_machines: must be at least 1"),
    ];
    for (sections, expected) in cases {
        let error = parse_sections(&sections).expect_err(expected).to_string();
        assert!(error.starts_with(expected), "{error}");
    }
}
