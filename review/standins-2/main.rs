//! The stand-ins of the cases in `review/`, and the cases. Called by each case's `run.sh` as
//! `standins-2 CASE RECORD RUN...`, where RUN is the command of the deploy file. Exit code 0: the rule held, 1: it was
//! broken, 2: the case could not run.

mod cases;
mod http;
mod json;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, record, run @ ..] = arguments.as_slice() else { std::process::exit(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // Whatever happens, the case ends in time: the controllers are killed by the panic's unwinding or here.
    let outcome = std::panic::catch_unwind(|| cases::run(case, record.as_ref(), run.to_vec(), trouble));
    std::process::exit(outcome.unwrap_or(2));
}
