//! The `caperstile` binary; `caperstile --help` describes its commands.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    caperstile::cli::main()
}
