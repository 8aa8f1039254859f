//! Names of fields in log lines stand in the page for operators.

use std::{
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
};

const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");
/// Programs of the users' platform, whose lines the page lists.
const SOURCES: [&str; 2] = ["crates/front/src", "platform/src"];
const MACROS: [&str; 4] = ["log::error!(", "log::warn!(", "log::info!(", "log::debug!("];

fn source_files() -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let mut files = Vec::new();
    let mut folders: Vec<PathBuf> = SOURCES.iter().map(|folder| root.join(folder)).collect();
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("a folder of sources") {
            let path = entry.expect("a file or folder").path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|kind| kind == "rs") {
                files.push(path);
            }
        }
    }
    files
}

/// Names before `=` in the fields of one log macro.
fn names_in(fields: &str) -> impl Iterator<Item = &str> {
    fields
        .split(['\n', ','])
        .filter_map(|field| {
            let field = field.trim();
            let end = field.find(|c: char| !(c.is_ascii_alphanumeric() || c == '_'))?;
            let (name, rest) = field.split_at(end);
            let rest = rest
                .trim_start_matches(":%")
                .trim_start_matches(":?")
                .trim_start();
            let is_field = rest.is_empty() || rest.starts_with("= ") || rest.starts_with(';');
            (is_field && !name.is_empty()).then_some(name)
        })
        .filter(|name| *name != "target")
}

fn written_names() -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for path in source_files() {
        let text = fs::read_to_string(&path).expect("a source file");
        for start in MACROS.iter().flat_map(|name| text.match_indices(name)) {
            let call = &text[start.0 + start.1.len()..];
            // Fields end at the semicolon; a line without one has none.
            let Some(end) = call.find(';') else { continue };
            if call[..end].trim_start().starts_with('"') {
                continue;
            }
            names.extend(names_in(&call[..=end]).map(str::to_owned));
        }
    }
    names
}

#[test]
fn every_field_that_is_written_is_listed() {
    let listed: BTreeSet<String> = OPERATIONS
        .lines()
        .filter_map(|line| line.strip_prefix("| field `"))
        .filter_map(|rest| rest.split('`').next())
        .map(str::to_owned)
        .collect();
    let written = written_names();
    assert!(written.contains("request"), "{written:?}");
    assert_eq!(written, listed, "written (left) and listed (right)");
}
