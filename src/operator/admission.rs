//! `caperstile admission`: shows what the controllers refuse.

use crate::units::Wall;
use caperstile_admission::{AdmissionStatus, RefusedPair, STATUS_KEY};
use clap::{Args, Subcommand};
use serde_json::{Value, json};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

/// A leader that refuses something says so every ten seconds: what is older says nothing of now.
const CURRENT_S: f64 = 30.0;

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

/// Runs a command.
pub(crate) fn main(arguments: &Arguments) -> ExitCode {
    let requests = match super::connect(arguments.common.config.as_deref()) {
        Ok(requests) => requests,
        Err(code) => return code,
    };
    let Action::Status = arguments.action;
    match requests.get::<AdmissionStatus>(STATUS_KEY) {
        Ok(found) => {
            let shown = Shown { status: found.map(|(status, _)| status), now: now() };
            print(arguments.common.json, &shown);
            ExitCode::SUCCESS
        }
        Err(error) => super::fail(arguments.common.json, &error),
    }
}

fn now() -> Wall {
    Wall(SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64))
}

/// What is shown.
struct Shown {
    status: Option<AdmissionStatus>,
    now: Wall,
}

impl Shown {
    fn age_s(&self, status: &AdmissionStatus) -> f64 {
        self.now.0.saturating_sub(status.at.0) as f64 / 1000.0
    }

    /// What is refused now: nothing, if the last that was written is old.
    fn current(&self) -> Option<&AdmissionStatus> {
        self.status.as_ref().filter(|status| !status.refused.is_empty() && self.age_s(status) <= CURRENT_S)
    }

    fn lines(&self) -> Vec<String> {
        let Some(status) = self.current() else {
            let ago = self.status.as_ref().map(|status| format!("; last told {:.0} s ago", self.age_s(status)));
            return vec![format!("nothing is refused{}", ago.unwrap_or_default())];
        };
        let limit =
            status.limit.map_or("without a limit of the controllers".into(), |limit| format!("limit {limit:.1}"));
        let (token, sequence) = (status.token, status.sequence);
        let mut lines = vec![format!("table {token}/{sequence}, {limit}, {:.0} s ago", self.age_s(status))];
        lines.extend(status.refused.iter().map(line));
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

fn line(pair: &RefusedPair) -> String {
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

fn print(json: bool, shown: &Shown) {
    if json {
        println!("{}", shown.json());
        return;
    }
    for line in shown.lines() {
        println!("{line}");
    }
}

#[cfg(test)]
mod tests;
