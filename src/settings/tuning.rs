//! The operators' own settings, read from an INI file.

use super::*;

/// The operators' own settings, read from an INI file; each has a default.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Life of the leadership lease.
    pub leader_lease: Duration,
    /// Least time between two commits.
    pub commit_interval: Duration,
    /// How long an idle ordinary machine is kept.
    pub on_demand_idle_timeout: Duration,
    /// How long an idle spot machine is kept.
    pub spot_idle_timeout: Duration,
    /// Log entries between two snapshots.
    pub snapshot_interval_entries: u64,
    /// Ordinary machines are paid for tasks that could wait only for aims of at least this share.
    pub strict_objective_share: f64,
    /// Room is kept for so many times the services that are likely to come within a boot: they come in
    /// bursts, and dying machines need it too.
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
    /// Reads the operators' INI; unknown sections and names are errors, since they are typing slips.
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
                let within = |what: &str, low: f64, high: f64| -> Result<f64, SettingsError> {
                    match value.parse::<f64>() {
                        Ok(v) if v >= low && v <= high => Ok(v),
                        _ => Err(field(path.clone(), format!("`{value}` is not a {what} from {low} to {high}"))),
                    }
                };
                let number = |low, high| within("number", low, high);
                let seconds =
                    |low, high| Ok::<_, SettingsError>(Duration::from_secs_f64(within("time in seconds", low, high)?));
                match path.as_str() {
                    "leadership.lease_s" => tuning.leader_lease = seconds(0.5, 60.0)?,
                    "records.commit_every_s" => tuning.commit_interval = seconds(0.02, 2.0)?,
                    "records.snapshot_entries" => {
                        tuning.snapshot_interval_entries = match value.parse() {
                            Ok(v) if (10..=100_000).contains(&v) => v,
                            _ => return Err(field(path, format!("`{value}` is not a count from 10 to 100000"))),
                        }
                    }
                    "fleet.idle_ordinary_s" => tuning.on_demand_idle_timeout = seconds(0.0, 86_400.0)?,
                    "fleet.strict_aim" => tuning.strict_objective_share = number(0.0, 1.0)?,
                    "fleet.room_ahead" => tuning.headroom_factor = number(0.0, 100.0)?,
                    "fleet.idle_spot_s" => tuning.spot_idle_timeout = seconds(0.0, 86_400.0)?,
                    _ => return Err(field(path, "not a known setting")),
                }
            }
        }
        Ok(tuning)
    }
}
