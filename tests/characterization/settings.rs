//! The names of all settings, the values that are read under them, and the errors for missing and invalid settings.

use crate::fixture::{self, Example, example, examples, text};
use caperstile::settings::{
    CloudLimits, Deployment, ExternalServices, NextLimits, Objective, ProcessLimits, Seed, Settings, StateLimits, Team,
    Tuning, WorkerTiming,
};
use caperstile_admission::{AdmissionPolicy, BacklogBound};
use caperstile_disruption::budget::{BatchEviction, WindowLimit};
use caperstile_disruption::window::MinuteOfDay;
use caperstile_disruption::{Budget, Limit, Policy, TaskClass};
use std::path::Path;

const PLATFORM: &str = "names/settings.toml";
const REQUIRED: &str = "names/settings-required.toml";
const OPERATORS: &str = "names/operators.ini";

fn fixture_path(file: &str) -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file)
}

/// Names and values of settings, as the fixtures list them. Each structure is destructured in full, so that a new
/// setting is a compile error until it is added here and in the fixtures.
#[derive(Default)]
struct Values(Vec<Example>);

impl Values {
    fn add(&mut self, name: &str, value: impl ToString) {
        self.0.push(example(name, value.to_string()));
    }

    fn add_option(&mut self, name: &str, value: Option<impl ToString>) {
        self.add(name, value.map_or("none".into(), |value| value.to_string()));
    }

    fn add_platform(&mut self, settings: &Settings) {
        let Settings { node, area, api_addr, peer_bind, seeds, external, deployment, .. } = settings;
        self.add("node", node);
        self.add("area", area);
        self.add("api_addr", api_addr);
        self.add("peer_bind", peer_bind);
        for Seed { node, area, address } in seeds {
            self.add("seeds.node", node);
            self.add("seeds.area", area);
            self.add("seeds.address", address);
        }
        let ExternalServices { cloud, state } = external;
        self.add("external.cloud", cloud);
        self.add("external.state", state);
        self.add_deployment(deployment);
    }

    fn add_deployment(&mut self, deployment: &Deployment) {
        let Deployment { size, clock_error_ms, teams, objectives, workers, state, cloud, resources } = deployment;
        self.add("deployment.size", size);
        self.add("deployment.clock_error_ms", clock_error_ms);
        for Team { name, cpus, cpus_max, gpus, gpus_max } in teams {
            self.add("deployment.teams.name", name);
            self.add("deployment.teams.cpus", cpus);
            self.add("deployment.teams.cpus_max", cpus_max);
            self.add("deployment.teams.gpus", gpus);
            self.add("deployment.teams.gpus_max", gpus_max);
        }
        for Objective { kind, class, within_s, share } in objectives {
            self.add("deployment.objectives.kind", kind);
            self.add("deployment.objectives.class", class);
            self.add_option("deployment.objectives.within_s", *within_s);
            self.add("deployment.objectives.share", share);
        }
        let WorkerTiming { report_s, lease_s, cancel_s, gang_wait_s, gang_peer_s } = workers;
        self.add("deployment.workers.report_s", report_s);
        self.add("deployment.workers.lease_s", lease_s);
        self.add("deployment.workers.cancel_s", cancel_s);
        self.add("deployment.workers.gang_wait_s", gang_wait_s);
        self.add("deployment.workers.gang_peer_s", gang_peer_s);
        self.add_state(state);
        let CloudLimits { rps, list_lag_s } = cloud;
        self.add("deployment.cloud.rps", rps);
        self.add("deployment.cloud.list_lag_s", list_lag_s);
        let ProcessLimits { cpu, memory_mb, fd_limit } = resources;
        self.add("deployment.resources.cpu", cpu);
        self.add("deployment.resources.memory_mb", memory_mb);
        self.add("deployment.resources.fd_limit", fd_limit);
    }

    fn add_state(&mut self, state: &StateLimits) {
        let StateLimits { rps, write_rps, value_kb, txn_ops, next } = state;
        self.add("deployment.state.rps", rps);
        self.add("deployment.state.write_rps", write_rps);
        self.add("deployment.state.value_kb", value_kb);
        self.add("deployment.state.txn_ops", txn_ops);
        let NextLimits { rps, write_rps, value_kb, txn_ops } = next.clone().unwrap_or_default();
        self.add_option("deployment.state.next.rps", rps);
        self.add_option("deployment.state.next.write_rps", write_rps);
        self.add_option("deployment.state.next.value_kb", value_kb);
        self.add_option("deployment.state.next.txn_ops", txn_ops);
    }

    fn add_tuning(&mut self, tuning: &Tuning) {
        let Tuning {
            leader_lease,
            commit_interval,
            on_demand_idle_timeout,
            spot_idle_timeout,
            snapshot_interval_entries,
            strict_objective_share,
            headroom_factor,
        } = tuning;
        self.add("leadership.lease_s", leader_lease.as_secs_f64());
        self.add("records.commit_every_s", commit_interval.as_secs_f64());
        self.add("records.snapshot_entries", snapshot_interval_entries);
        self.add("fleet.idle_ordinary_s", on_demand_idle_timeout.as_secs_f64());
        self.add("fleet.idle_spot_s", spot_idle_timeout.as_secs_f64());
        self.add("fleet.strict_aim", strict_objective_share);
        self.add("fleet.room_ahead", headroom_factor);
    }

    fn add_budgets(&mut self, policy: &Policy) {
        let Policy { enabled, max_draining_machines, clock_error, teams, classes } = policy;
        self.add("drains.enabled", enabled);
        self.add("drains.max_machines", max_draining_machines);
        self.add("drains:clock-error", clock_error.as_secs_f64());
        for (team, budget) in teams {
            self.add_budget(&format!("budget:{team}"), budget);
        }
        for (TaskClass { team, class }, budget) in classes {
            self.add_budget(&format!("budget:{team}/{class}"), budget);
        }
    }

    fn add_budget(&mut self, scope: &str, budget: &Budget) {
        let Budget { max_unavailable, windows, min_interval, batch_wait, batch_eviction } = budget;
        self.add_option(&format!("{scope}.max_unavailable"), max_unavailable.as_ref().map(Limit::to_string));
        for WindowLimit { window, limit } in windows {
            let minute = |text| MinuteOfDay::parse(text).expect("a time");
            assert_eq!((window.from, window.until), (minute("09:30"), minute("17:00")));
            let days: String = window.days.iter().map(|day| if *day { 'x' } else { '-' }).collect();
            self.add(
                &format!("{scope}.max_unavailable.window"),
                format!("{} {} {days}", window.name, window.time_zone),
            );
            self.add(&format!("{scope}.max_unavailable.in-window"), limit);
        }
        self.add_option(&format!("{scope}.min_interval_s"), min_interval.map(|span| span.as_secs_f64()));
        self.add_option(&format!("{scope}.batch_wait_s"), batch_wait.map(|span| span.as_secs_f64()));
        let word = batch_eviction.map(|eviction| match eviction {
            BatchEviction::Never => "never",
            BatchEviction::Checkpointed => "checkpointed",
            BatchEviction::Always => "always",
        });
        self.add_option(&format!("{scope}.evict_batch"), word);
    }

    fn add_admission(&mut self, policy: &AdmissionPolicy) {
        self.add("admission.enabled", policy.enabled);
        let word = match policy.backlog_bound {
            BacklogBound::Never => "never",
            BacklogBound::WhileOverloaded => "overload",
            BacklogBound::Always => "always",
        };
        self.add("admission.bound_backlog", word);
        self.add("admission.max_wait_s", policy.max_wait.as_secs_f64());
        self.add("admission:crew.weight", policy.weight("crew"));
        self.add("admission:small.weight", policy.weight("small"));
    }

    fn add_operators(&mut self, settings: &Settings) {
        self.add_tuning(&settings.tuning);
        self.add_budgets(&settings.policy);
        self.add_admission(&settings.admission);
    }
}

#[test]
fn every_platform_setting_is_read_under_its_name() {
    let mut values = Values::default();
    values.add_platform(&Settings::load(&fixture_path(PLATFORM), None).expect("settings"));
    fixture::assert_examples("names/settings-read.txt", &values.0);
}

#[test]
fn omitted_settings_have_the_same_defaults() {
    let mut values = Values::default();
    let settings = Settings::load(&fixture_path(REQUIRED), None).expect("settings");
    values.add_platform(&settings);
    values.add_operators(&settings);
    fixture::assert_examples("names/settings-defaults.txt", &values.0);
}

/// Omits each line of the required settings in turn.
#[test]
fn a_missing_required_setting_gives_the_same_error() {
    let settings = text(REQUIRED);
    let lines: Vec<&str> = settings.lines().collect();
    let mut errors = Vec::new();
    for (n, line) in lines.iter().enumerate().filter(|(_, line)| line.contains('=')) {
        let remaining: Vec<&str> = [&lines[..n], &lines[n + 1..]].concat();
        let error = Settings::parse(&remaining.join("\n")).expect_err("the setting is required").to_string();
        let last = error.trim().lines().last().expect("a line");
        errors.push(example(line.replace(' ', ""), last));
    }
    fixture::assert_examples("names/settings-missing.txt", &errors);
}

/// Replaces each platform setting in turn by an invalid value.
#[test]
fn an_invalid_platform_setting_gives_the_same_error() {
    let settings = text(PLATFORM);
    let changes = [
        ("node = \"n0\"", "node = \"\""),
        ("node = \"n1\"", "node = \"n0\""),
        ("report_s = 108.5", "report_s = 0.0"),
        ("lease_s = 109.5", "lease_s = -1.0"),
        ("cancel_s = 110.5", "cancel_s = nan"),
        ("gang_wait_s = 111.5", "gang_wait_s = 0.0"),
        ("gang_peer_s = 112.5", "gang_peer_s = inf"),
        ("\nrps = 113.5", "\nrps = 0.0"),
        ("write_rps = 114.5", "write_rps = 0.0"),
        ("value_kb = 115.5", "value_kb = 0.0"),
        ("txn_ops = 116", "txn_ops = 1"),
        ("\nrps = 117.5", "\nrps = 0.0"),
        ("write_rps = 118.5", "write_rps = 0.0"),
        ("value_kb = 119.5", "value_kb = 0.0"),
        ("txn_ops = 120", "txn_ops = 1"),
        ("rps = 121.5", "rps = 0.0"),
        ("cpu = 123.5", "cpu = 0.0"),
        ("memory_mb = 124.5", "memory_mb = 0.0"),
        ("fd_limit = 125", "fd_limit = 31"),
        ("cpus = 102.5", "cpus = -1.0"),
        ("cpus_max = 103.5", "cpus_max = -1.0"),
        ("\ngpus = 104.5", "\ngpus = -1.0"),
        ("gpus_max = 105.5", "gpus_max = -1.0"),
        ("[[deployment.objectives]]", "[[deployment.teams]]\nname = \"crew\"\n[[deployment.objectives]]"),
    ];
    let errors: Vec<Example> = changes
        .iter()
        .map(|(valid, invalid)| {
            assert_eq!(settings.matches(valid).count(), 1, "{valid}");
            let error =
                Settings::parse(&settings.replace(valid, invalid)).expect_err("the value is invalid").to_string();
            example(invalid.trim().replace([' ', '\n'], ""), error)
        })
        .collect();
    fixture::assert_examples("names/settings-unusable.txt", &errors);
}

/// Returns the platform settings with a second team, `small`, to which the operators' file refers.
fn two_teams() -> Settings {
    let with_small = format!("{}\n[[deployment.teams]]\nname = \"small\"\n", text(PLATFORM));
    Settings::parse(&with_small).expect("settings")
}

/// Parses the operators' file in the order in which a node does at its start.
fn read_operators(ini: &str) -> Result<Settings, String> {
    let settings = two_teams();
    let tuning = Tuning::parse(ini).map_err(|error| error.to_string())?;
    let policy = settings.parse_policy(ini).map_err(|error| error.to_string())?;
    let admission = settings.parse_admission(ini).map_err(|error| error.to_string())?;
    Ok(Settings { tuning, policy, admission, ..settings })
}

#[test]
fn every_operators_setting_is_read_under_its_name() {
    let mut values = Values::default();
    values.add_operators(&read_operators(&text(OPERATORS)).expect("settings"));
    fixture::assert_examples("names/operators-read.txt", &values.0);
}

/// Each example of `operators-unusable.txt` is an INI file in which `;` stands for a line break.
#[test]
fn an_invalid_operators_setting_gives_the_same_error() {
    let errors: Vec<Example> = examples("names/operators-unusable.txt")
        .into_iter()
        .map(|(name, ini)| {
            let error = read_operators(&ini.replace(';', "\n")).err();
            example(name, error.unwrap_or_else(|| "taken".into()))
        })
        .collect();
    fixture::assert_examples("names/operators-unusable-said.txt", &errors);
}
