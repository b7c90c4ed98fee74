//! Tuning parameters in the operators' file (INI).

use super::*;

/// Tuning parameters from the operators' file (INI). Each has a default.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Duration of the leader's lease on the leader key.
    pub leader_lease: Duration,
    /// Minimum interval between two commits to the write-ahead log.
    pub commit_interval: Duration,
    /// Time after which an idle on-demand instance is released.
    pub on_demand_idle_timeout: Duration,
    /// Time after which an idle spot instance is released.
    pub spot_idle_timeout: Duration,
    /// Number of log entries between two snapshots.
    pub snapshot_interval_entries: u64,
    /// An objective that at least this share of the jobs must meet is strict: on-demand instances may be requested even
    /// for tasks that may run on spot instances if they would miss it otherwise.
    pub strict_objective_share: f64,
    /// Headroom for services, as a multiple of the services that are expected to arrive within the boot time of a
    /// machine. A multiple is needed because services arrive in bursts, and because replicas from lost machines need
    /// headroom too.
    pub headroom_factor: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            leader_lease: Duration::from_millis(1500),
            commit_interval: Duration::from_millis(150),
            on_demand_idle_timeout: Duration::from_secs(25),
            spot_idle_timeout: Duration::from_secs(12),
            snapshot_interval_entries: 200,
            strict_objective_share: 0.875,
            headroom_factor: 3.0,
        }
    }
}

impl Tuning {
    /// Parses the operators' file. Unknown sections and names are errors, since they are most likely misspelled.
    pub fn parse(text: &str) -> Result<Tuning, SettingsError> {
        let ini = ini::Ini::load_from_str(text).map_err(|e| SettingsError::Ini(e.to_string()))?;
        let mut tuning = Tuning::default();
        for (section, properties) in &ini {
            let section = section.unwrap_or("");
            if policy_parser::is_section(section) || AdmissionPolicy::is_section(section) {
                continue;
            }
            for (name, value) in properties {
                let path = format!("{section}.{name}");
                let parse_in_range = |kind: &str, min: f64, max: f64| -> Result<f64, SettingsError> {
                    match value.parse::<f64>() {
                        Ok(v) if v >= min && v <= max => Ok(v),
                        _ => Err(invalid(path.clone(), format!("`{value}` is not a {kind} from {min} to {max}"))),
                    }
                };
                let number = |min, max| parse_in_range("number", min, max);
                let seconds = |min, max| {
                    Ok::<_, SettingsError>(Duration::from_secs_f64(parse_in_range("time in seconds", min, max)?))
                };
                match path.as_str() {
                    "leadership.lease_s" => tuning.leader_lease = seconds(0.5, 60.0)?,
                    "records.commit_every_s" => tuning.commit_interval = seconds(0.02, 2.0)?,
                    "records.snapshot_entries" => {
                        tuning.snapshot_interval_entries = match value.parse() {
                            Ok(v) if (10..=100_000).contains(&v) => v,
                            _ => return Err(invalid(path, format!("`{value}` is not a count from 10 to 100000"))),
                        }
                    }
                    "fleet.idle_ordinary_s" => tuning.on_demand_idle_timeout = seconds(0.0, 86_400.0)?,
                    "fleet.strict_aim" => tuning.strict_objective_share = number(0.0, 1.0)?,
                    "fleet.room_ahead" => tuning.headroom_factor = number(0.0, 100.0)?,
                    "fleet.idle_spot_s" => tuning.spot_idle_timeout = seconds(0.0, 86_400.0)?,
                    _ => return Err(invalid(path, "not a known setting")),
                }
            }
        }
        Ok(tuning)
    }
}
