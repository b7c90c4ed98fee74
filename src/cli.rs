//! The command line interface: running a node, checking settings, and the operators' commands.

use crate::operator::{admission, drain};
use crate::settings::Settings;
use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

/// A cluster scheduler that plans by deadline and priority.
#[derive(Debug, Parser)]
#[command(version, arg_required_else_help = true, args_conflicts_with_subcommands = true)]
struct Cli {
    /// Run a node with the platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operators' own settings (INI).
    #[arg(long, value_name = "FILE", env = "CAPERSTILE_OPERATORS", requires = "config")]
    operators: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check settings without starting; the exit code is not 0 if they cannot be used.
    Check {
        /// The platform's settings (TOML).
        file: PathBuf,
        /// The operators' own settings (INI).
        #[arg(long, value_name = "FILE")]
        operators: Option<PathBuf>,
    },
    /// Empty and return machines of a running service, within the teams' disruption budgets.
    Drain(drain::Arguments),
    /// Show which submissions a running service refuses.
    Admission(admission::Arguments),
}

/// Entry point: parses the arguments, runs the command and returns the exit code.
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    let (file, operators, start) = match (cli.command, cli.config) {
        (Some(Command::Drain(arguments)), _) => return drain::main(&arguments),
        (Some(Command::Admission(arguments)), _) => return admission::main(&arguments),
        (Some(Command::Check { file, operators }), _) => (file, operators, false),
        (None, Some(file)) => (file, cli.operators, true),
        (None, None) => return ExitCode::from(2),
    };
    let settings = match Settings::load(&file, operators.as_deref()) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("caperstile: {e}");
            return ExitCode::from(2);
        }
    };
    if !start {
        println!("{}: settings of node {} can be used", file.display(), settings.node);
        for scope in settings.policy.scopes_with_zero_budget() {
            println!(
                "the budget of {scope} is 0: its services are never moved, and machines with them cannot be drained"
            );
        }
        return ExitCode::SUCCESS;
    }
    start_logging();
    match crate::runtime::run(settings, operators) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("cannot run: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Sets up logging to standard error at the level in `LOG_LEVEL`; an unknown level is treated as `info`.
fn start_logging() {
    let wanted = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into());
    let (level, known) = match wanted.as_str() {
        "error" => (log::LevelFilter::Error, true),
        "info" => (log::LevelFilter::Info, true),
        "debug" => (log::LevelFilter::Debug, true),
        _ => (log::LevelFilter::Info, false),
    };
    env_logger::Builder::new()
        .filter_module("caperstile", level)
        .format(|buf, record| {
            use std::io::Write;
            writeln!(buf, "{} {}", record.level(), record.args())
        })
        .init();
    if !known {
        log::warn!("LOG_LEVEL `{wanted}` is not error, info or debug; taking info");
    }
}
