//! `caperstile admission`: shows which submissions the controllers refuse.

use crate::types::WallClock;
use caperstile_admission::{AdmissionStatus, RefusedPair, STATUS_KEY};
use clap::{Args, Subcommand};
use serde_json::{Value, json};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum age of a status that is shown as current. A leader that refuses submissions writes its status every ten
/// seconds, so an older one is stale.
const MAX_STATUS_AGE_S: f64 = 30.0;

/// Arguments of `caperstile admission`.
#[derive(Debug, Args)]
pub(crate) struct Arguments {
    #[command(flatten)]
    common: super::CommonArguments,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Show which submissions are refused, and since when.
    Status,
}

/// Runs `caperstile admission` and returns its exit code.
pub(crate) fn main(arguments: &Arguments) -> ExitCode {
    let client = match super::connect(arguments.common.config.as_deref()) {
        Ok(client) => client,
        Err(code) => return code,
    };
    let Action::Status = arguments.action;
    match client.get::<AdmissionStatus>(STATUS_KEY) {
        Ok(found) => {
            let report = StatusReport { status: found.map(|found| found.value), now: now() };
            print(arguments.common.json, &report);
            ExitCode::SUCCESS
        }
        Err(error) => super::report_failure(arguments.common.json, &error),
    }
}

fn now() -> WallClock {
    WallClock::from_millis(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64))
}

/// The admission status as shown to operators at the time `now`.
struct StatusReport {
    status: Option<AdmissionStatus>,
    now: WallClock,
}

impl StatusReport {
    fn age_s(&self, status: &AdmissionStatus) -> f64 {
        self.now.as_millis().saturating_sub(status.at.as_millis()) as f64 / 1000.0
    }

    /// The status if it reports refused submissions and is recent enough; otherwise nothing is refused now.
    fn current(&self) -> Option<&AdmissionStatus> {
        self.status.as_ref().filter(|status| !status.refused.is_empty() && self.age_s(status) <= MAX_STATUS_AGE_S)
    }

    fn lines(&self) -> Vec<String> {
        let Some(status) = self.current() else {
            let status_age = self.status.as_ref().map(|status| format!("; last told {:.0} s ago", self.age_s(status)));
            return vec![format!("nothing is refused{}", status_age.unwrap_or_default())];
        };
        let limit =
            status.limit.map_or("without a limit of the controllers".into(), |limit| format!("limit {limit:.1}"));
        let (token, sequence) = (status.token, status.sequence);
        let mut lines = vec![format!("table {token}/{sequence}, {limit}, {:.0} s ago", self.age_s(status))];
        lines.extend(status.refused.iter().map(pair_line));
        if status.left_out > 0 {
            lines.push(format!("  and {} more", status.left_out));
        }
        lines
    }

    fn json(&self) -> Value {
        json!({
            "refusing": self.current().is_some(),
            "age_s": self.status.as_ref().map(|status| self.age_s(status)),
            "status": self.status,
        })
    }
}

fn pair_line(pair: &RefusedPair) -> String {
    let wait = pair.predicted_wait_s.map(|wait| format!(", its jobs would wait {wait:.0} s for machines"));
    format!(
        "  {}/{}: {:.1}% admitted for {:.0} s (asks for {:.2}, gets {:.2}){}",
        pair.team,
        pair.class,
        pair.ratio * 100.0,
        pair.refused_for_s,
        pair.demanded,
        pair.admitted,
        wait.unwrap_or_default()
    )
}

fn print(json: bool, report: &StatusReport) {
    if json {
        println!("{}", report.json());
        return;
    }
    for line in report.lines() {
        println!("{line}");
    }
}

#[cfg(test)]
mod tests;
