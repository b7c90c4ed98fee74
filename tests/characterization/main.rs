//! Characterization tests: the bytes and names that others depend on, exactly as they were made before a large renaming.
//!
//! What is stored, what goes over the wire and what operators type and read must not change when types and fields get other names.
//! Each module pins one of these by examples in `tests/fixtures/`. Not pinned twice: stored data of whole runs and the frames of
//! users' requests, their answers and a leader's announcement (`tests/production_compatibility.rs`), and when a command is refused in a running
//! service (`tests/drain_processes.rs`).

mod command_line;
#[path = "../support/fixture.rs"]
mod fixture;
mod frames;
mod messages;
mod responses;
mod settings;
mod stored_admission;
mod stored_drains;
mod stored_keys;
mod stored_log;
