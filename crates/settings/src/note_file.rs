//! Release notes as operators write them.

use domain::{
    AdapterName, ModelName, ModelVersion, PoolName,
    release_note::{ModelDuty, NoteChange, NoteState},
};

use crate::{
    FindingReport,
    field_reader::{FieldReader, read_file},
};

/// What a line of a note does.
#[derive(Clone, Copy)]
enum ChangeWord {
    Add,
    Change,
    Withdraw,
}

/// Read a note and check it whole against the state in force.
pub fn read_note(
    name: &str,
    text: &str,
    state: &NoteState,
) -> Result<Vec<NoteChange>, FindingReport> {
    read_file(name, text, |fields| {
        let mut applied = state.clone();
        fields.objects("changes", |line| {
            let change = read_change(line);
            match applied.apply(std::slice::from_ref(&change)) {
                Ok(next) => applied = next,
                Err(conflicts) => {
                    for (_, conflict) in conflicts {
                        line.finding("model", conflict.to_string());
                    }
                }
            }
            change
        })
    })
}

fn read_change(line: &FieldReader<'_>) -> NoteChange {
    let word = line.word(
        "change",
        &[
            ("add", ChangeWord::Add),
            ("change", ChangeWord::Change),
            ("withdraw", ChangeWord::Withdraw),
        ],
    );
    let model = ModelName::from(line.text("model"));
    match word {
        ChangeWord::Add => NoteChange::Add {
            model,
            duty: read_duty(line),
        },
        ChangeWord::Change => NoteChange::Change {
            model,
            duty: read_duty(line),
        },
        ChangeWord::Withdraw => NoteChange::Withdraw { model },
    }
}

fn read_duty(line: &FieldReader<'_>) -> ModelDuty {
    let number = |name, range| u32::try_from(line.required_number(name, range)).unwrap_or(u32::MAX);
    ModelDuty {
        version: ModelVersion(number("version", 1..=1_000_000)),
        pool: PoolName::from(line.text("pool")),
        adapters: line
            .texts("adapters")
            .into_iter()
            .map(AdapterName::from)
            .collect(),
        window: number("window", 16..=10_000_000),
    }
}
