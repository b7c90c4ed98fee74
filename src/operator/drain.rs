//! `caperstile drain`: asks for drains, shows them, lets them rest, go on or end.

use super::report;
use super::request::{CommandError, Requests, Shown};
use crate::types::{self, MachineId};
use caperstile_disruption::record_keys::valid_name;
use caperstile_disruption::records::{
    DesiredState, DrainMode, DrainPhase, DrainRequest, MachineFilter, MachineSelector,
};
use clap::{ArgGroup, Args, Subcommand};
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

/// Tries at a change of a request that other operators change too.
const TRIES: u32 = 5;

/// Arguments of `caperstile drain`.
#[derive(Debug, Args)]
pub(crate) struct Arguments {
    #[command(flatten)]
    common: super::CommonArguments,
    /// How long to wait for the leader's answer, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 15, global = true)]
    wait: u64,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Empty machines, as the budgets allow, and return them.
    Start(Start),
    /// Show one drain, or all.
    Status {
        /// Name of the drain.
        name: Option<String>,
    },
    /// Evict nothing more for now.
    Pause {
        /// Name of the drain.
        name: String,
    },
    /// Go on.
    Resume {
        /// Name of the drain.
        name: String,
    },
    /// End it: machines that are not returned yet take work again.
    Cancel {
        /// Name of the drain.
        name: String,
    },
}

#[derive(Debug, Args)]
#[command(group(ArgGroup::new("selection").required(true).multiple(true)
    .args(["machines", "zone", "kind", "older_than", "count", "all"])))]
struct Start {
    /// Name of the drain: a to z, 0 to 9 and -.
    name: String,
    /// These machines.
    #[arg(long = "machine", value_name = "ID",
        conflicts_with_all = ["zone", "kind", "older_than", "count", "all"])]
    machines: Vec<MachineId>,
    /// Machines in this zone.
    #[arg(long)]
    zone: Option<String>,
    /// Machines of this type.
    #[arg(long = "type", value_name = "TYPE")]
    kind: Option<String>,
    /// Machines that were rented, and their system images made, at least so long ago, such as 7d or 12h.
    #[arg(long, value_name = "AGE", value_parser = humantime::parse_duration)]
    older_than: Option<Duration>,
    /// So many at the most, the oldest first.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    count: Option<u32>,
    /// All machines.
    #[arg(long)]
    all: bool,
    /// Rent a like machine for each before it is emptied.
    #[arg(long)]
    replace: bool,
}

impl Start {
    fn request(&self) -> DrainRequest {
        let selector = if self.machines.is_empty() {
            MachineSelector::Matching(MachineFilter {
                zone: self.zone.clone(),
                machine_type: self.kind.clone(),
                older_than: self.older_than.map(|age| types::Duration::from_millis(age.as_millis() as u64)),
                count: self.count,
            })
        } else {
            let mut machines = self.machines.clone();
            machines.sort();
            machines.dedup();
            MachineSelector::Machines(machines)
        };
        let mode = if self.replace { DrainMode::Replace } else { DrainMode::Remove };
        DrainRequest { selector, mode, desired_state: DesiredState::Run }
    }
}

/// Runs a command.
pub(crate) fn main(arguments: &Arguments) -> ExitCode {
    let requests = match super::connect(arguments.common.config.as_deref()) {
        Ok(requests) => requests,
        Err(code) => return code,
    };
    match run(arguments, &requests) {
        Ok(shown) => {
            print(arguments.common.json, &shown);
            ExitCode::SUCCESS
        }
        Err(error) => super::fail(arguments.common.json, &error),
    }
}

fn run(arguments: &Arguments, requests: &Requests) -> Result<Vec<Shown>, CommandError> {
    let patience = Duration::from_secs(arguments.wait);
    match &arguments.action {
        Action::Start(start) => start_drain(requests, &start.name, &start.request(), patience).map(|shown| vec![shown]),
        Action::Status { name: Some(name) } => requests.show(name).map(|shown| vec![shown]),
        Action::Status { name: None } => requests.show_all(),
        Action::Pause { name } => change(requests, name, DesiredState::Pause, patience).map(|shown| vec![shown]),
        Action::Resume { name } => change(requests, name, DesiredState::Run, patience).map(|shown| vec![shown]),
        Action::Cancel { name } => change(requests, name, DesiredState::Cancel, patience).map(|shown| vec![shown]),
    }
}

fn start_drain(
    requests: &Requests,
    name: &str,
    request: &DrainRequest,
    patience: Duration,
) -> Result<Shown, CommandError> {
    if !valid_name(name) {
        let form = "up to 40 of a to z, 0 to 9 and -";
        return Err(CommandError::Refused(format!("`{name}` is no name for a drain: {form}")));
    }
    // Asked for twice, by one operator or by two, it is the same drain.
    let revision = match requests.write(name, request, 0)? {
        Some(revision) => revision,
        None => match requests.request(name)? {
            Some((found, revision)) if (&found.selector, found.mode) == (&request.selector, request.mode) => revision,
            _ => return Err(CommandError::Refused(format!("there is another drain {name}; choose another name"))),
        },
    };
    answered(requests, name, revision, patience)
}

/// Waits for the leader's answer to what was asked.
fn answered(requests: &Requests, name: &str, revision: u64, patience: Duration) -> Result<Shown, CommandError> {
    let status = requests.await_status(name, revision, patience)?;
    if status.phase == DrainPhase::Refused {
        return Err(CommandError::Refused(status.refusal.unwrap_or_default()));
    }
    let request = requests.request(name)?.map(|(request, _)| request);
    Ok(Shown { name: name.to_string(), request, status: Some(status) })
}

fn change(requests: &Requests, name: &str, wanted: DesiredState, patience: Duration) -> Result<Shown, CommandError> {
    for _ in 0..TRIES {
        let Some((request, revision)) = requests.request(name)? else {
            return Err(CommandError::Refused(format!("there is no drain {name}")));
        };
        let phase = requests.show(name)?.status.map(|status| status.phase);
        match (phase, request.desired_state) {
            (Some(DrainPhase::Done), _) => return Err(CommandError::Refused(format!("drain {name} is done"))),
            (Some(DrainPhase::Refused), _) => return Err(CommandError::Refused(format!("drain {name} was refused"))),
            (_, before) if before == wanted => return answered(requests, name, revision, patience),
            (_, DesiredState::Cancel) => return Err(CommandError::Refused(format!("drain {name} was called off"))),
            _ => {}
        }
        if let Some(written) = requests.write(name, &DrainRequest { desired_state: wanted, ..request }, revision)? {
            return answered(requests, name, written, patience).and_then(|shown| in_time(shown, wanted));
        }
    }
    Err(CommandError::Refused(format!("others are changing drain {name}; nothing was changed, try again")))
}

/// A drain may end before a change reaches the leader.
fn in_time(shown: Shown, wanted: DesiredState) -> Result<Shown, CommandError> {
    let phase = shown.status.as_ref().map(|status| status.phase);
    match (phase, wanted) {
        (Some(DrainPhase::Done), DesiredState::Pause | DesiredState::Cancel) => {
            Err(CommandError::Refused(format!("drain {} was done before", shown.name)))
        }
        _ => Ok(shown),
    }
}

fn print(json: bool, shown: &[Shown]) {
    if json {
        println!("{}", json!({"drains": shown.iter().map(report::json).collect::<Vec<_>>()}));
        return;
    }
    if shown.is_empty() {
        println!("no drains");
    }
    for line in shown.iter().flat_map(report::lines) {
        println!("{line}");
    }
}
