//! Checks that the documentation refers only to what exists: tests, items of the sources, recorded days, paths and
//! links.
//!
//! In docs/safety.md every code span (text between backticks) must be one of these:
//!
//! - a test: its name, with or without the modules that contain it (`gangs::some_test`); `some_test_…` stands for all
//!   tests whose names begin with that prefix;
//! - a type, a variant or a trace of the tests: a name that begins with a capital letter (`Outage`);
//! - an item qualified by its module or type (`scheduling::may_start`, `Leadership::certain`); intermediate modules may
//!   be omitted;
//! - a path in the repository, or the name of a file in `days/` without its extension;
//! - one of the words that name nothing in the sources: [`ALLOWED_WORDS`].
//!
//! In the other pages, except the historical ones, this applies to names with `::` and to names of four words or more
//! (`some_test_of_ours`). Paths are checked in all pages but the historical ones, relative links in all pages.

mod page;
mod source_index;

use page::Mention;
use source_index::{SourceIndex, is_type_name};
use std::path::{Path, PathBuf};

/// Top-level folders of the repository. A word in a page that begins with one of them is checked as a path.
const REPOSITORY_FOLDERS: [&str; 9] = [".ci", "benches", "crates", "days", "deploy", "docs", "scripts", "src", "tests"];

/// Pages that record past work. They may refer to tests, items and paths that no longer exist.
const HISTORICAL_PAGES: [&str; 4] = ["docs/renamed.md", "docs/results.md", "docs/rounds.md", "CHANGELOG.md"];

/// Paths in the pages that are patterns and not files.
const PLACEHOLDERS: [&str; 1] = ["days/NAME.toml"];

/// Code spans of docs/safety.md that name nothing in the sources.
const ALLOWED_WORDS: [&str; 17] = [
    // Paths, fields, headers, commands and states of the protocol.
    "/commands",
    "Baton",
    "Retry-After",
    "Shift",
    "Tally",
    "Together",
    "Try",
    "done",
    "kill",
    "run",
    // Settings.
    "cancel_s",
    "lease_s",
    // Keys in the state service.
    "admission/status",
    "leader",
    "leader-2",
    "version/NODE",
    // A suffix of the names of recorded days.
    "-sautimuseo",
];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read_page(page: &str) -> String {
    std::fs::read_to_string(root().join(page)).unwrap_or_else(|error| panic!("{page}: {error}"))
}

/// Returns README.md, CHANGELOG.md, days/README.md and all Markdown files below docs/, as paths relative to the root.
fn pages() -> Vec<String> {
    let mut pages = vec!["README.md".to_owned(), "CHANGELOG.md".to_owned(), "days/README.md".to_owned()];
    let mut folders = vec![PathBuf::from("docs")];
    while let Some(folder) = folders.pop() {
        for entry in std::fs::read_dir(root().join(&folder)).expect("the folder can be read") {
            let path = folder.join(entry.expect("an entry can be read").file_name());
            if root().join(&path).is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|extension| extension == "md") {
                pages.push(path.to_string_lossy().into_owned());
            }
        }
    }
    pages.sort();
    pages
}

fn is_historical_page(page: &str) -> bool {
    HISTORICAL_PAGES.contains(&page) || page.starts_with("docs/incidents/")
}

/// Whether a code span of docs/safety.md is an allowed word or names something that exists.
fn is_known(text: &str, sources: &SourceIndex) -> bool {
    if ALLOWED_WORDS.contains(&text) {
        return true;
    }
    if let Some(prefix) = text.strip_suffix('…') {
        return sources.has_test_with_prefix(prefix);
    }
    if text.contains('/') {
        return root().join(text).exists();
    }
    if text.contains("::") || is_type_name(text) {
        return sources.has_test(text) || sources.has_item(text);
    }
    sources.has_test(text) || root().join("days").join(text).with_extension("toml").exists()
}

/// Whether a code span can only be a name in the sources: it is qualified by a module or type, or has at least four
/// words, as only names of tests have.
fn is_unambiguous_name(text: &str) -> bool {
    let is_identifier =
        |segment: &str| segment.chars().all(|character| character.is_ascii_alphanumeric() || "_…".contains(character));
    let is_long = text.split('_').filter(|word| !word.is_empty()).count() >= 4;
    text.split("::").all(is_identifier) && (text.contains("::") || is_long)
}

fn failures(page: &str, mentions: Vec<Mention>, exists: impl Fn(&str) -> bool) -> Vec<String> {
    let missing = mentions.into_iter().filter(|mention| !exists(&mention.text));
    missing.map(|mention| format!("{page}:{}: there is no {}", mention.line, mention.text)).collect()
}

fn broken_links(page: &str, text: &str) -> Vec<String> {
    let folder = root().join(page).parent().expect("a page is in a folder").to_owned();
    failures(page, page::relative_links(text), |target| folder.join(target).exists())
}

fn missing_paths(page: &str, text: &str) -> Vec<String> {
    failures(page, page::paths(text, &REPOSITORY_FOLDERS), |path| {
        PLACEHOLDERS.contains(&path) || root().join(path).exists()
    })
}

#[test]
fn every_name_in_the_safety_page_exists() {
    let sources = SourceIndex::of_workspace(root());
    let page = "docs/safety.md";

    let failures = failures(page, page::code_spans(&read_page(page)), |text| is_known(text, &sources));

    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn every_full_name_in_the_other_pages_exists() {
    let sources = SourceIndex::of_workspace(root());
    let pages = pages().into_iter().filter(|page| !is_historical_page(page));

    let failures: Vec<String> = pages
        .flat_map(|page| {
            let spans = page::code_spans(&read_page(&page));
            let names = spans.into_iter().filter(|span| is_unambiguous_name(&span.text));
            failures(&page, names.collect(), |name| is_known(name, &sources))
        })
        .collect();

    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn every_repository_path_in_the_pages_exists() {
    let pages = pages().into_iter().filter(|page| !is_historical_page(page));

    let failures: Vec<String> = pages.flat_map(|page| missing_paths(&page, &read_page(&page))).collect();

    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn every_relative_link_in_the_pages_exists() {
    let failures: Vec<String> = pages().into_iter().flat_map(|page| broken_links(&page, &read_page(&page))).collect();

    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn missing_names_are_found_with_file_and_line() {
    let sources = SourceIndex::of_workspace(root());
    let text = [
        "Known: `every_name_in_the_safety_page_exists`, `documentation::missing_names_are_found_with_file_and_line`,",
        "`every_name_in_the_…`, `SourceIndex::has_test`, `source_index::has_item`, `BlockKind::TraceList`, `quiet_day`, `gap`,",
        "`tests/documentation`, `Baton`.",
        "Missing: `every_name_in_the_safety_page`, `gangs::quiet_day`, `every_other_name_…`, `SourceIndex::gone`,",
        "`has_item`, `BlockKind::NeverDeclared`, `gone::has_item`, `NeverDeclared`, `gap-gone`, `tests/gone.rs`,",
        "`sources`.",
    ];

    let found = failures("page.md", page::code_spans(&text.join("\n")), |text| is_known(text, &sources));

    let expected = [
        "page.md:4: there is no every_name_in_the_safety_page",
        "page.md:4: there is no gangs::quiet_day",
        "page.md:4: there is no every_other_name_…",
        "page.md:4: there is no SourceIndex::gone",
        "page.md:5: there is no has_item",
        "page.md:5: there is no BlockKind::NeverDeclared",
        "page.md:5: there is no gone::has_item",
        "page.md:5: there is no NeverDeclared",
        "page.md:5: there is no gap-gone",
        "page.md:5: there is no tests/gone.rs",
        "page.md:6: there is no sources",
    ];
    assert_eq!(found, expected);
}

#[test]
fn missing_paths_and_links_are_found_with_file_and_line() {
    let text = [
        "See src/lib.rs, (tests/traces/), `tests/gone.rs`, days/NAME.toml, https://example.org/docs/gone.md and",
        "[one](../README.md#tests), [another](gone.md), [far](https://example.org/docs/gone.md).",
    ];
    let text = text.join("\n");

    assert_eq!(missing_paths("docs/page.md", &text), ["docs/page.md:1: there is no tests/gone.rs"]);
    assert_eq!(broken_links("docs/page.md", &text), ["docs/page.md:2: there is no gone.md"]);
}

#[test]
fn sources_are_read_with_fields_variants_and_traces() {
    let source = [
        "pub(crate) struct Store<K> {",
        "    pub(crate) entries: Vec<K>,",
        "    #[serde(default)]",
        "    size: u64,",
        "}",
        "enum State {",
        "    Idle,",
        "    Busy { since: u64 },",
        "    Away(Since, u64),",
        "}",
        "impl<K: Ord> From<Vec<K>> for Store<K> {",
        "    const fn from(_: Vec<K>) -> Self {",
        "        let local: u64 = 1;",
        "    }",
        "}",
        "traces! {",
        "    first_trace,",
        "    second_trace,",
        "}",
        "proptest! {",
        "    #[test]",
        "    #[ignore = \"takes minutes\"]",
        "    fn property(x in 0..1) {}",
        "}",
        "fn not_a_test() {}",
    ];
    let mut index = SourceIndex::default();

    index.read_source(&["store".to_owned()], &source.join("\n"));

    for item in
        ["store", "store::Store::entries", "Store::size", "State::Idle", "State::Busy", "State::Away", "Store::from"]
    {
        assert!(index.has_item(item), "{item}");
    }
    for item in ["local", "Store::local", "From::from", "State::size", "Idle::Busy", "State::Since", "State::since"] {
        assert!(!index.has_item(item), "{item}");
    }
    for test in ["first_trace", "store::second_trace", "property"] {
        assert!(index.has_test(test), "{test}");
    }
    for test in ["not_a_test", "from", "second_trace::property", "second"] {
        assert!(!index.has_test(test), "{test}");
    }
    assert!(index.has_test_with_prefix("store::second_"));
    assert!(!index.has_test_with_prefix("not_a_"));
}
