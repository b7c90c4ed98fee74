//! The operators' own settings, read from an INI file.

use super::*;

/// The operators' own settings, read from an INI file; each has a default.
#[derive(Debug, Clone, PartialEq)]
pub struct Tuning {
    /// Life of the leadership lease.
    pub leader_lease: Duration,
    /// Least time between two commits.
    pub commit_every: Duration,
    /// How long an idle ordinary machine is kept.
    pub idle_ordinary: Duration,
    /// How long an idle spot machine is kept.
    pub idle_spot: Duration,
    /// Log entries between two snapshots.
    pub snapshot_every: u64,
    /// Ordinary machines are paid for tasks that could wait only for aims of at least this share.
    pub strict_aim: f64,
    /// Room is kept for so many times the services that are likely to come within a boot: they come in
    /// bursts, and dying machines need it too.
    pub room_ahead: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            leader_lease: Duration::from_millis(1500),
            commit_every: Duration::from_millis(150),
            idle_ordinary: Duration::from_secs(25),
            idle_spot: Duration::from_secs(12),
            snapshot_every: 200,
            strict_aim: 0.875,
            room_ahead: 3.0,
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
                    "records.commit_every_s" => tuning.commit_every = seconds(0.02, 2.0)?,
                    "records.snapshot_entries" => {
                        tuning.snapshot_every = match value.parse() {
                            Ok(v) if (10..=100_000).contains(&v) => v,
                            _ => return Err(field(path, format!("`{value}` is not a count from 10 to 100000"))),
                        }
                    }
                    "fleet.idle_ordinary_s" => tuning.idle_ordinary = seconds(0.0, 86_400.0)?,
                    "fleet.strict_aim" => tuning.strict_aim = number(0.0, 1.0)?,
                    "fleet.room_ahead" => tuning.room_ahead = number(0.0, 100.0)?,
                    "fleet.idle_spot_s" => tuning.idle_spot = seconds(0.0, 86_400.0)?,
                    _ => return Err(field(path, "not a known setting")),
                }
            }
        }
        Ok(tuning)
    }
}
