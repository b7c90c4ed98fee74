//! The program: see `caperstile --help`.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    caperstile::cli::main()
}
