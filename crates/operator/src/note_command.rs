//! `bamboocross note`.

use std::path::Path;

use domain::release_note::{NoteChange, NoteState};
use miette::{IntoDiagnostic, Report, WrapErr, miette};
use platform::{TableStore, TableWrite, TransactOutcome, WriteCondition};
use settings::read_note;
use telemetry::ExitStatus;
use wire::note::{HEAD_KEY, StateMessage};

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
}

/// The state in force and the version of its row.
struct NoteHead {
    state: NoteState,
    condition: WriteCondition,
}

/// Check a note against the state in force.
pub async fn check(table: &impl TableStore, source: &NoteSource) -> CommandResult {
    let head = read_head(table).await?;
    let changes = read_changes(source, &head.state)?;
    println!(
        "{}: {} changes, no findings against version {}",
        source.name,
        changes.len(),
        head.state.version()
    );
    Ok(())
}

/// Publish a note by one conditional write.
pub async fn publish(table: &impl TableStore, source: &NoteSource) -> CommandResult {
    let head = read_head(table).await?;
    let changes = read_changes(source, &head.state)?;
    let next = head.state.apply(&changes).map_err(|_| CommandFailure {
        status: ExitStatus::Conflict,
        report: miette!("the note no longer applies to the state in force"),
    })?;
    let value = serde_json::to_string(&StateMessage::from(&next)).into_diagnostic()?;
    let write = TableWrite {
        key: HEAD_KEY,
        condition: head.condition,
        value: Some(&value),
    };
    match table.transact(&[write]).await.into_diagnostic()? {
        TransactOutcome::Committed => {
            println!("version {} accepted", next.version());
            Ok(())
        }
        TransactOutcome::Refused { .. } => Err(CommandFailure {
            status: ExitStatus::Conflict,
            report: miette!(
                "another note was accepted after version {}; check this one again",
                head.state.version()
            ),
        }),
    }
}

/// Show the state in force.
pub async fn show(table: &impl TableStore) -> CommandResult {
    let head = read_head(table).await?;
    let message = serde_json::to_value(StateMessage::from(&head.state)).into_diagnostic()?;
    println!("{message:#}");
    Ok(())
}

async fn read_head(table: &impl TableStore) -> miette::Result<NoteHead> {
    let mut rows = table.read(&[HEAD_KEY]).await.into_diagnostic()?;
    let Some(row) = rows.pop() else {
        return Ok(NoteHead {
            state: NoteState::default(),
            condition: WriteCondition::Absent,
        });
    };
    let message: StateMessage = serde_json::from_str(&row.value).into_diagnostic()?;
    Ok(NoteHead {
        state: message.into(),
        condition: WriteCondition::Version(row.version),
    })
}

fn read_changes(source: &NoteSource, state: &NoteState) -> Result<Vec<NoteChange>, CommandFailure> {
    read_note(&source.name, &source.text, state).map_err(|report| CommandFailure {
        status: ExitStatus::Findings,
        report: Report::new(report),
    })
}
