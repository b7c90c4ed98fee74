//! Characterization tests: compare stored data, messages and operator-facing texts with fixtures, byte for byte.
//!
//! Renaming a type or a field must not change what the state service stores, what is sent over the wire, or what
//! operators type and read. Each module covers one of these formats with examples in `tests/fixtures/`.
//!
//! Other tests cover the stored data of whole runs, the frames for forwarded user requests, their responses and leader
//! announcements (`tests/production_compatibility.rs`), and the conditions under which a running service rejects an
//! operator's command (`tests/drain_processes.rs`).

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
