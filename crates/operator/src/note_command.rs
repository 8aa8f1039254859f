//! `bamboocross note`.

use std::path::Path;

use backing::{HttpPlatform, NoteHead, NoteStore, PublishOutcome};
use domain::{
    BodyDigest, ChangesetId, ConfigVersion,
    serving_config::{AcceptedChangeset, ConfigChange, ConfigHistory, ConfigState},
};
use miette::{IntoDiagnostic, Report, WrapErr, miette};
use settings::{NoteFile, note_id, read_note};
use telemetry::ExitStatus;
use wire::note::{ChangeMessage, StateMessage};

use crate::{CommandFailure, CommandResult};

/// A note's file.
#[derive(Clone, Debug)]
pub struct NoteSource {
    name: String,
    text: String,
}

impl NoteSource {
    /// Read the file.
    pub fn read(path: &Path) -> miette::Result<Self> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .into_diagnostic()
            .wrap_err_with(|| format!("cannot read {name}"))?;
        Ok(Self { name, text })
    }

    /// Identity of a note whose file gives none: the digest of its text.
    fn digest(&self) -> ChangesetId {
        let digest = BodyDigest::of("note", self.text.as_bytes());
        ChangesetId::from(format!("{:032x}", digest.to_u128()))
    }
}

/// Check a note against the state in force.
pub async fn check(notes: &NoteStore<HttpPlatform>, source: &NoteSource) -> CommandResult {
    let (ledger, _) = notes.read().await.into_diagnostic()?;
    let file = read_file(source, ledger.state())?;
    println!(
        "{}: {} changes, no findings against version {}",
        source.name,
        file.changes.len(),
        ledger.version()
    );
    Ok(())
}

/// Publish a note by one conditional write; returns the accepted version.
pub async fn publish(
    notes: &NoteStore<HttpPlatform>,
    source: &NoteSource,
) -> Result<ConfigVersion, CommandFailure> {
    let (ledger, head) = notes.read().await.into_diagnostic()?;
    if let Some(version) = find_repeat(&ledger, &head, source) {
        println!("version {version} accepted already, by this same note");
        return Ok(version);
    }
    let state = ledger.state().in_era(head.era);
    let file = read_file(source, &state)?;
    let next = state
        .apply(&file.changes)
        .map_err(|_| conflict("the note no longer applies to the state in force".to_owned()))?;
    let note = AcceptedChangeset {
        version: next.version(),
        id: file.id.unwrap_or_else(|| source.digest()),
        changes: file.changes,
    };
    match notes.publish(&head, &note, &next).await.into_diagnostic()? {
        PublishOutcome::Accepted => {
            println!("version {} accepted, note {}", note.version, note.id);
            Ok(note.version)
        }
        PublishOutcome::Lost(winner) => Err(conflict(format!(
            "version {} was won by note {}, which says:\n{}check this note again and publish it anew",
            winner.version,
            winner.id,
            lines_of(&winner.changes),
        ))),
    }
}

/// Show the state in force.
pub async fn show(notes: &NoteStore<HttpPlatform>) -> CommandResult {
    let (ledger, _) = notes.read().await.into_diagnostic()?;
    let state: &ConfigState = ledger.state();
    let message = serde_json::to_value(StateMessage::from(state)).into_diagnostic()?;
    println!("{message:#}");
    Ok(())
}

/// Show the latest notes, newest last.
pub async fn history(notes: &NoteStore<HttpPlatform>, count: u64) -> CommandResult {
    let head = notes.head().await.into_diagnostic()?;
    let from = ConfigVersion(head.version.0.saturating_sub(count));
    for note in notes_between(notes, from, head.version).await? {
        println!("version {} note {}", note.version, note.id);
        print!("{}", lines_of(&note.changes));
    }
    Ok(())
}

/// Show what changed after one version up to another.
pub async fn diff(
    notes: &NoteStore<HttpPlatform>,
    from: ConfigVersion,
    to: Option<ConfigVersion>,
) -> CommandResult {
    let head = notes.head().await.into_diagnostic()?;
    let to = to.unwrap_or(head.version);
    if from > to || to > head.version {
        let report = miette!(
            "versions run from 0 to {}, the older one first",
            head.version
        );
        return Err(report.into());
    }
    for note in notes_between(notes, from, to).await? {
        print!("{}", lines_of(&note.changes));
    }
    Ok(())
}

async fn notes_between(
    notes: &NoteStore<HttpPlatform>,
    from: ConfigVersion,
    to: ConfigVersion,
) -> miette::Result<Vec<AcceptedChangeset>> {
    let mut found: Vec<AcceptedChangeset> = Vec::new();
    let mut after = from;
    while after < to {
        let page = notes.notes_after(after).await.into_diagnostic()?;
        let Some(last) = page.last() else {
            break;
        };
        after = last.version;
        found.extend(page);
    }
    found.retain(|note| note.version <= to);
    Ok(found)
}

/// Version under which this very note was accepted before.
///
/// A note with an identity of its own is sought among the latest notes. One
/// without is a repeat only if nothing was accepted after it, since a note may
/// rightly say later what an older one said before.
fn find_repeat(
    ledger: &ConfigHistory,
    head: &NoteHead,
    source: &NoteSource,
) -> Option<ConfigVersion> {
    match note_id(&source.name, &source.text) {
        Some(id) if head.id == id => Some(head.version),
        Some(id) => ledger.version_of(&id),
        None => (head.id == source.digest()).then_some(head.version),
    }
}

fn lines_of(changes: &[ConfigChange]) -> String {
    let lines = changes.iter().map(|change| {
        let message = serde_json::to_string(&ChangeMessage::from(change));
        format!("  {}\n", message.unwrap_or_default())
    });
    lines.collect()
}

fn conflict(text: String) -> CommandFailure {
    CommandFailure {
        status: ExitStatus::Conflict,
        report: miette!("{text}"),
    }
}

fn read_file(source: &NoteSource, state: &ConfigState) -> Result<NoteFile, CommandFailure> {
    read_note(&source.name, &source.text, state).map_err(|report| CommandFailure {
        status: ExitStatus::Findings,
        report: Report::new(report),
    })
}
