//! The story of one request from the saved logs of several processes.
//!
//! Clocks of processes differ. All of them log when a version of the desired
//! state comes into force, which happens within moments, so those lines tell
//! how far each clock is from the first one. Lines that cannot be read are
//! counted and passed over.

use std::{collections::HashMap, path::PathBuf};

use chrono::{DateTime, FixedOffset, TimeDelta};
use miette::{IntoDiagnostic, WrapErr};

/// Message and field of the lines that all processes write at the same time.
const SHARED_MESSAGE: &str = "desired state in force";
const SHARED_FIELD: &str = "row_version=";

/// One line of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine<'a> {
    /// Process that wrote it.
    pub process: &'a str,
    /// Its clock then.
    pub time: DateTime<FixedOffset>,
    /// The rest.
    pub text: &'a str,
}

/// Lines of one request in their order.
#[derive(Debug, Default)]
pub struct RequestStory<'a> {
    /// Lines, with the time by the clock of the first process.
    pub lines: Vec<LogLine<'a>>,
    /// Lines that could not be read.
    pub unreadable: usize,
}

/// Read one line. Before the time there may stand a time of a test bench and
/// the name of the process; else the process is the file's.
pub fn read_line<'a>(file: &'a str, line: &'a str) -> Option<LogLine<'a>> {
    let mut process = file;
    let mut rest = line.trim_start();
    for _ in 0..3 {
        let (word, after) = rest.split_once(' ')?;
        if let Ok(time) = DateTime::parse_from_rfc3339(word) {
            return Some(LogLine {
                process,
                time,
                text: after.trim_start(),
            });
        }
        if word.parse::<f64>().is_err() {
            process = word;
        }
        rest = after.trim_start();
    }
    None
}

/// Put the story of a request together; each file is a name and its text.
pub fn tell_story<'a>(request: &str, files: &[(&'a str, &'a str)]) -> RequestStory<'a> {
    let mut story = RequestStory::default();
    let mut all = Vec::new();
    for (name, text) in files {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match read_line(name, line) {
                Some(line) => all.push(line),
                None => story.unreadable += 1,
            }
        }
    }
    let differences = clock_differences(&all);
    let field = format!("request={request}");
    let mut lines: Vec<LogLine<'a>> = all
        .into_iter()
        .filter(|line| line.text.split(' ').any(|word| word == field))
        .collect();
    for line in &mut lines {
        if let Some(difference) = differences.get(line.process) {
            line.time -= *difference;
        }
    }
    lines.sort_by_key(|line| line.time);
    story.lines = lines;
    story
}

/// How far each clock is ahead of that of the process that logged first.
fn clock_differences<'a>(lines: &[LogLine<'a>]) -> HashMap<&'a str, TimeDelta> {
    let mut reference: HashMap<&str, DateTime<FixedOffset>> = HashMap::new();
    let mut found: HashMap<&'a str, Vec<TimeDelta>> = HashMap::new();
    for line in lines
        .iter()
        .filter(|line| line.text.contains(SHARED_MESSAGE))
    {
        let version = line
            .text
            .split(' ')
            .find_map(|word| word.strip_prefix(SHARED_FIELD));
        if let Some(version) = version {
            let first = *reference.entry(version).or_insert(line.time);
            found
                .entry(line.process)
                .or_default()
                .push(line.time - first);
        }
    }
    let median = |mut differences: Vec<TimeDelta>| {
        differences.sort_unstable();
        differences[differences.len() / 2]
    };
    found
        .into_iter()
        .map(|(process, differences)| (process, median(differences)))
        .collect()
}

/// Print the story of a request.
pub fn follow(request: &str, paths: &[PathBuf]) -> miette::Result<()> {
    let mut files = Vec::new();
    for path in paths {
        let bytes = std::fs::read(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        files.push((name, String::from_utf8_lossy(&bytes).into_owned()));
    }
    let views: Vec<(&str, &str)> = files
        .iter()
        .map(|(name, text)| (name.as_str(), text.as_str()))
        .collect();
    let story = tell_story(request, &views);
    let start = story.lines.first().map(|line| line.time);
    for line in &story.lines {
        let since = start.map_or(0, |start| (line.time - start).num_milliseconds());
        println!("{since:>7} ms  {}  {}", line.process, line.text);
    }
    if story.lines.is_empty() {
        return Err(miette::miette!("no line of request {request}"));
    }
    if story.unreadable > 0 {
        println!("{} lines could not be read", story.unreadable);
    }
    Ok(())
}
