//! `caperstile drain`: requests drains, shows their status, and pauses, resumes or cancels them.

use super::drain_requests::{DrainRequests, DrainSummary};
use super::error::{CommandError, Refusal};
use super::report;
use super::state_client::Versioned;
use crate::types::{self, MachineId};
use caperstile_disruption::record_keys::is_valid_drain_name;
use caperstile_disruption::records::{
    DesiredState, DrainMode, DrainPhase, DrainRequest, MachineFilter, MachineSelector,
};
use clap::{ArgGroup, Args, Subcommand};
use serde_json::json;
use std::process::ExitCode;
use std::time::Duration;

/// Maximum number of attempts to change a request that other operators change at the same time.
const MAX_ATTEMPTS: u32 = 5;

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

/// Runs `caperstile drain` and returns its exit code.
pub(crate) fn main(arguments: &Arguments) -> ExitCode {
    let client = match super::connect(arguments.common.config.as_deref()) {
        Ok(client) => client,
        Err(code) => return code,
    };
    match run(arguments, &DrainRequests::new(&client)) {
        Ok(summaries) => {
            print(arguments.common.json, &summaries);
            ExitCode::SUCCESS
        }
        Err(error) => super::report_failure(arguments.common.json, &error),
    }
}

fn run(arguments: &Arguments, requests: &DrainRequests<'_>) -> Result<Vec<DrainSummary>, CommandError> {
    let timeout = Duration::from_secs(arguments.wait);
    let change = |name, desired_state| change_state(requests, name, desired_state, timeout);
    let summary = match &arguments.action {
        Action::Status { name: None } => return requests.show_all(),
        Action::Status { name: Some(name) } => requests.show(name),
        Action::Start(start) => start_drain(requests, &start.name, &start.request(), timeout),
        Action::Pause { name } => change(name, DesiredState::Pause),
        Action::Resume { name } => change(name, DesiredState::Run),
        Action::Cancel { name } => change(name, DesiredState::Cancel),
    };
    Ok(vec![summary?])
}

fn start_drain(
    requests: &DrainRequests<'_>,
    name: &str,
    request: &DrainRequest,
    timeout: Duration,
) -> Result<DrainSummary, CommandError> {
    if !is_valid_drain_name(name) {
        return Err(CommandError::Refused(Refusal::InvalidName(name.to_string())));
    }
    let revision = match requests.write(name, request, 0)? {
        Some(revision) => revision,
        None => existing_revision(requests, name, request)?,
    };
    await_response(requests, name, revision, timeout)
}

/// Returns the revision of an existing request with the same name, selector and mode: the drain is then the same,
/// whether one operator requested it twice or two operators did.
fn existing_revision(requests: &DrainRequests<'_>, name: &str, request: &DrainRequest) -> Result<u64, CommandError> {
    let is_same_drain = |found: &DrainRequest| (&found.selector, found.mode) == (&request.selector, request.mode);
    match requests.request(name)? {
        Some(found) if is_same_drain(&found.value) => Ok(found.revision),
        _ => Err(CommandError::Refused(Refusal::NameTaken(name.to_string()))),
    }
}

/// Waits until the leader has accepted or refused a request.
fn await_response(
    requests: &DrainRequests<'_>,
    name: &str,
    revision: u64,
    timeout: Duration,
) -> Result<DrainSummary, CommandError> {
    let status = requests.await_status(name, revision, timeout)?;
    if status.phase == DrainPhase::Refused {
        return Err(CommandError::Refused(Refusal::ByLeader(status.refusal.unwrap_or_default())));
    }
    let request = requests.request(name)?.map(|found| found.value);
    Ok(DrainSummary { name: name.to_string(), request, status: Some(status) })
}

fn change_state(
    requests: &DrainRequests<'_>,
    name: &str,
    desired_state: DesiredState,
    timeout: Duration,
) -> Result<DrainSummary, CommandError> {
    let refused = |reason: fn(String) -> Refusal| Err(CommandError::Refused(reason(name.to_string())));
    for _ in 0..MAX_ATTEMPTS {
        let Some(Versioned { value: request, revision }) = requests.request(name)? else {
            return refused(Refusal::NoSuchDrain);
        };
        let phase = requests.show(name)?.status.map(|status| status.phase);
        match (phase, request.desired_state) {
            (Some(DrainPhase::Done), _) => return refused(Refusal::Done),
            (Some(DrainPhase::Refused), _) => return refused(Refusal::DrainRefused),
            (_, current) if current == desired_state => return await_response(requests, name, revision, timeout),
            (_, DesiredState::Cancel) => return refused(Refusal::Cancelled),
            _ => {}
        }
        if let Some(written) = requests.write(name, &DrainRequest { desired_state, ..request }, revision)? {
            let summary = await_response(requests, name, written, timeout)?;
            return check_change_took_effect(summary, desired_state);
        }
    }
    refused(Refusal::ConcurrentChanges)
}

/// Reports an error if the drain was done before the leader read the change, so that the change had no effect.
fn check_change_took_effect(summary: DrainSummary, desired_state: DesiredState) -> Result<DrainSummary, CommandError> {
    let phase = summary.status.as_ref().map(|status| status.phase);
    match (phase, desired_state) {
        (Some(DrainPhase::Done), DesiredState::Pause | DesiredState::Cancel) => {
            Err(CommandError::Refused(Refusal::DoneBeforeChange(summary.name)))
        }
        _ => Ok(summary),
    }
}

fn print(json: bool, summaries: &[DrainSummary]) {
    if json {
        println!("{}", json!({"drains": summaries.iter().map(report::json).collect::<Vec<_>>()}));
        return;
    }
    if summaries.is_empty() {
        println!("no drains");
    }
    for line in summaries.iter().flat_map(report::lines) {
        println!("{line}");
    }
}
