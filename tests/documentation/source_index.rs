//! An index of what the Rust sources of the workspace declare: modules, items with their fields and variants, and
//! tests.
//!
//! The sources are scanned line by line and not parsed. This suffices because rustfmt formats them: the indentation of
//! a line shows which block encloses it and where that block ends.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Folders of each package (the root package and those in `crates/`) that are searched for Rust sources.
const SOURCE_FOLDERS: [&str; 2] = ["src", "tests"];
const ITEM_KEYWORDS: [&str; 9] = ["fn", "struct", "enum", "trait", "mod", "const", "static", "type", "macro_rules!"];
const QUALIFIERS: [&str; 4] = ["async", "unsafe", "default", "extern"];

/// A declaration as the segments of its path, such as `["leadership", "tests", "some_test"]`.
type ItemPath = Vec<String>;

/// The items and tests to which documentation pages may refer.
#[derive(Default)]
pub struct SourceIndex {
    items: BTreeSet<ItemPath>,
    tests: BTreeSet<ItemPath>,
}

impl SourceIndex {
    /// Reads all packages of the workspace below `root`.
    pub fn of_workspace(root: &Path) -> SourceIndex {
        let mut index = SourceIndex::default();
        let mut packages = folder_entries(&root.join("crates"));
        packages.push(root.to_owned());
        for package in packages {
            for folder in SOURCE_FOLDERS {
                index.read_folder(&package.join(folder), &package.join(folder));
            }
        }
        index
    }

    /// Whether a test has this name. In a name with `::`, the part before the last `::` lists modules that contain the
    /// test.
    pub fn has_test(&self, name: &str) -> bool {
        contains_name(&self.tests, name)
    }

    /// Whether the name of a test begins with this prefix, which may be qualified by modules as in
    /// [`SourceIndex::has_test`].
    pub fn has_test_with_prefix(&self, prefix: &str) -> bool {
        let (modules, prefix) = prefix.rsplit_once("::").unwrap_or(("", prefix));
        self.tests.iter().any(|test| {
            let (name, path) = test.split_last().expect("a path has a name");
            name.starts_with(prefix) && (modules.is_empty() || is_subsequence(modules, path))
        })
    }

    /// Whether an item of this name is declared. In a name with `::`, the part before the last `::` lists modules or
    /// types that contain the item.
    pub fn has_item(&self, name: &str) -> bool {
        contains_name(&self.items, name)
    }

    fn read_folder(&mut self, folder: &Path, source_root: &Path) {
        for entry in folder_entries(folder) {
            if entry.is_dir() {
                self.read_folder(&entry, source_root);
            } else if entry.extension().is_some_and(|extension| extension == "rs") {
                let source = std::fs::read_to_string(&entry).expect("a source can be read");
                self.read_source(&module_path(&entry, source_root), &source);
            }
        }
    }

    /// Adds the items and tests that `source`, the text of the module `module`, declares.
    pub fn read_source(&mut self, module: &[String], source: &str) {
        let mut blocks: Vec<Block> = Vec::new();
        let mut is_test = false;
        for segments in 1..=module.len() {
            self.items.insert(module[..segments].to_vec());
        }
        for line in source.lines() {
            let text = line.trim_start();
            let indentation = line.len() - text.len();
            if text.is_empty() || text.starts_with("//") {
                continue;
            }
            blocks.retain(|block| block.indentation < indentation);
            if text.starts_with("#[") {
                is_test |= text.starts_with("#[test]");
                continue;
            }
            let parent = blocks.last();
            let names = declared_names(text, parent);
            let is_in_trace_list = parent.is_some_and(|block| block.kind == BlockKind::TraceList);
            for name in &names {
                let mut path = module.to_vec();
                path.extend(blocks.iter().filter_map(|block| block.name.clone()));
                path.push(name.clone());
                if is_test || is_in_trace_list {
                    self.tests.insert(path.clone());
                }
                self.items.insert(path);
            }
            is_test = false;
            if let Some(block) = Block::opened_by(text, indentation) {
                blocks.push(block);
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum BlockKind {
    /// The body of a struct, whose lines declare fields.
    Struct,
    /// The body of an enum, whose lines declare variants.
    Enum,
    /// The argument list of the macro `traces!`, which generates a test for each trace file that it lists.
    TraceList,
    /// Any other block: only lines with an item keyword declare something.
    Other,
}

/// A block that encloses the current line.
struct Block {
    kind: BlockKind,
    /// The path segment that the block adds to its declarations; none if it adds no segment.
    name: Option<String>,
    indentation: usize,
}

impl Block {
    fn opened_by(text: &str, indentation: usize) -> Option<Block> {
        if !text.ends_with('{') {
            return None;
        }
        let declaration = without_qualifiers(text);
        let (keyword, rest) = declaration.split_once(' ').unwrap_or((declaration, ""));
        let (kind, name) = match keyword {
            "struct" => (BlockKind::Struct, identifier(rest)),
            "enum" => (BlockKind::Enum, identifier(rest)),
            "trait" | "mod" => (BlockKind::Other, identifier(rest)),
            "traces!" => (BlockKind::TraceList, None),
            _ if keyword.starts_with("impl") => (BlockKind::Other, implemented_type(declaration)),
            _ => (BlockKind::Other, None),
        };
        Some(Block { kind, name, indentation })
    }
}

/// Returns the names that a line declares, given the block that encloses it.
fn declared_names(text: &str, parent: Option<&Block>) -> Vec<String> {
    let declaration = without_qualifiers(text);
    if let Some((keyword, rest)) = declaration.split_once(' ')
        && ITEM_KEYWORDS.contains(&keyword)
    {
        return identifier(rest.trim_start_matches("mut ")).into_iter().collect();
    }
    match parent.map(|block| block.kind) {
        Some(BlockKind::Struct) => {
            declaration.split_once(": ").and_then(|(name, _)| identifier(name)).into_iter().collect()
        }
        Some(BlockKind::Enum) => identifier(declaration).into_iter().collect(),
        Some(BlockKind::TraceList) => declaration.split(',').filter_map(identifier).collect(),
        _ => Vec::new(),
    }
}

/// Returns the line without its leading `pub`, `pub(...)`, `async` and similar qualifiers.
fn without_qualifiers(text: &str) -> &str {
    let mut rest = text;
    while let Some((word, after)) = rest.split_once(' ') {
        let is_qualifier = word == "pub" || word.starts_with("pub(") || QUALIFIERS.contains(&word);
        let is_const_fn = word == "const" && after.starts_with("fn ");
        if !is_qualifier && !is_const_fn {
            break;
        }
        rest = after;
    }
    rest
}

/// Returns `Type` for `impl<..> Trait<..> for module::Type<..> {`.
fn implemented_type(declaration: &str) -> Option<String> {
    let head = declaration.trim_start_matches("impl");
    let head = if head.starts_with('<') { after_generics(head) } else { head };
    let implemented = head.rsplit_once(" for ").map_or(head, |(_, implemented)| implemented).trim();
    let path_end = implemented.find(['<', ' ', '{']).unwrap_or(implemented.len());
    identifier(implemented[..path_end].rsplit("::").next()?)
}

/// Returns what follows the generics (`<...>`) at the beginning of `text`.
fn after_generics(text: &str) -> &str {
    let mut depth = 0;
    for (position, character) in text.char_indices() {
        match character {
            '<' => depth += 1,
            '>' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return &text[position + 1..];
        }
    }
    ""
}

/// Returns the identifier at the beginning of `text`, if there is one.
fn identifier(text: &str) -> Option<String> {
    let text = text.trim_start();
    let end =
        text.find(|character: char| !(character.is_ascii_alphanumeric() || character == '_')).unwrap_or(text.len());
    let name = &text[..end];
    (!name.is_empty() && !name.starts_with(|character: char| character.is_ascii_digit())).then(|| name.to_owned())
}

/// Whether a name is in camel case, as names of types and variants are.
pub fn is_type_name(name: &str) -> bool {
    name.starts_with(|character: char| character.is_ascii_uppercase())
        && name.contains(|character: char| character.is_ascii_lowercase())
}

/// Returns the module path of a file: `leadership::tests` for `src/leadership/tests.rs`, `drains` for
/// `tests/drains.rs`.
fn module_path(file: &Path, source_root: &Path) -> Vec<String> {
    let relative = file.strip_prefix(source_root).expect("the file is below the source root").with_extension("");
    let segments = relative.iter().map(|segment| segment.to_string_lossy().into_owned());
    segments.filter(|segment| !["mod", "lib", "main"].contains(&segment.as_str())).collect()
}

fn contains_name(paths: &BTreeSet<ItemPath>, name: &str) -> bool {
    let (modules, name) = name.rsplit_once("::").unwrap_or(("", name));
    paths.iter().any(|path| {
        let (last, modules_of_path) = path.split_last().expect("a path has a name");
        last == name && (modules.is_empty() || is_subsequence(modules, modules_of_path))
    })
}

/// Whether `path` contains all segments of `modules` in the same order, possibly with others between them.
fn is_subsequence(modules: &str, path: &[String]) -> bool {
    let mut rest = path.iter();
    modules.split("::").all(|wanted| rest.any(|segment| segment == wanted))
}

/// Returns the entries of a folder, or none if the folder cannot be read.
fn folder_entries(folder: &Path) -> Vec<PathBuf> {
    let Ok(entries) = std::fs::read_dir(folder) else { return Vec::new() };
    entries.map(|entry| entry.expect("an entry can be read").path()).collect()
}
