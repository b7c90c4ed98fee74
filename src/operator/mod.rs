//! Operators' commands. They read the state service and write requests to it with compare-and-swap; the leader reads
//! these requests and acts on them.

pub(crate) mod admission;
pub(crate) mod drain;
mod drain_requests;
mod error;
mod report;
mod state_client;

use crate::runtime::StoreClient;
use crate::settings::Settings;
use error::CommandError;
use serde_json::json;
use state_client::StateClient;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code: the arguments or the settings are invalid.
const EXIT_USAGE: u8 = 2;
/// Exit code: the request was refused.
const EXIT_REFUSED: u8 = 3;
/// Exit code: the state service was unreachable; nothing was changed.
const EXIT_UNREACHABLE: u8 = 4;
/// Exit code: it is unknown whether the request was or will be carried out.
const EXIT_IN_DOUBT: u8 = 5;

/// What all operators' commands are told.
#[derive(Debug, clap::Args)]
struct CommonArguments {
    /// The platform's settings (TOML) of any node: they name the state service.
    #[arg(long, value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// Write JSON instead of lines.
    #[arg(long, global = true)]
    json: bool,
}

/// Creates a client of the state service that the settings name. On an error it prints the cause and returns the exit
/// code.
fn connect(config: Option<&Path>) -> Result<StateClient, ExitCode> {
    let usage_error = |problem: String| {
        eprintln!("caperstile: {problem}");
        ExitCode::from(EXIT_USAGE)
    };
    let file = config.ok_or_else(|| usage_error("--config FILE is missing: it names the state service".into()))?;
    let settings = Settings::load(file, None).map_err(|e| usage_error(e.to_string()))?;
    let client = StoreClient::new(settings.external.state).map_err(|e| {
        eprintln!("caperstile: {e}");
        ExitCode::from(EXIT_UNREACHABLE)
    })?;
    Ok(StateClient::new(client))
}

/// Prints why a command failed and returns its exit code.
fn report_failure(json: bool, error: &CommandError) -> ExitCode {
    let (code, kind) = match error {
        CommandError::Refused(_) => (EXIT_REFUSED, "refused"),
        CommandError::Unreachable(_) => (EXIT_UNREACHABLE, "not_reached"),
        CommandError::InDoubt(_) => (EXIT_IN_DOUBT, "in_doubt"),
    };
    if json {
        println!("{}", json!({"error": kind, "reason": error.to_string()}));
    } else {
        eprintln!("caperstile: {error}");
    }
    ExitCode::from(code)
}
