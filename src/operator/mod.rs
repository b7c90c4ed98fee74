//! Operators' commands: they read the state service and write conditional keys to it, which the leader follows.

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

/// The arguments or settings cannot be used.
const EXIT_USAGE: u8 = 2;
/// The request was not taken.
const EXIT_REFUSED: u8 = 3;
/// The state service was not reached; nothing was changed.
const EXIT_NOT_REACHED: u8 = 4;
/// Whether the request was or will be carried out is not known.
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

/// A client of the state service that the settings name; says what is wrong with them.
fn connect(config: Option<&Path>) -> Result<StateClient, ExitCode> {
    let usage = |problem: String| {
        eprintln!("caperstile: {problem}");
        ExitCode::from(EXIT_USAGE)
    };
    let file = config.ok_or_else(|| usage("--config FILE is missing: it names the state service".into()))?;
    let settings = Settings::load(file, None).map_err(|e| usage(e.to_string()))?;
    let client = StoreClient::new(settings.external.state).map_err(|e| {
        eprintln!("caperstile: {e}");
        ExitCode::from(EXIT_NOT_REACHED)
    })?;
    Ok(StateClient::new(client))
}

/// Says why a command did not do what was asked.
fn fail(json: bool, error: &CommandError) -> ExitCode {
    let (code, kind) = match error {
        CommandError::Refused(_) => (EXIT_REFUSED, "refused"),
        CommandError::NotReached(_) => (EXIT_NOT_REACHED, "not_reached"),
        CommandError::InDoubt(_) => (EXIT_IN_DOUBT, "in_doubt"),
    };
    if json {
        println!("{}", json!({"error": kind, "reason": error.to_string()}));
    } else {
        eprintln!("caperstile: {error}");
    }
    ExitCode::from(code)
}
