//! Release notes as operators write them.

use domain::{
    AdapterName, ChangesetId, ModelName, ModelVersion, PoolName, ServiceName, TeamName,
    serving_config::{
        ConfigChange, ConfigConflict, ConfigState, ModelSpec, ServiceLimit, TeamLimit,
    },
};

use crate::{
    FindingReport,
    field_reader::{FieldReader, read_file},
};

/// Changes of one note; larger ones are split, so that no note is much to pass
/// on at once.
const CHANGES_MAX: usize = 500;

/// What a line of a note does.
#[derive(Clone, Copy)]
enum ChangeWord {
    Add,
    Change,
    Withdraw,
    LimitTeam,
    LiftTeam,
    LimitService,
    LiftService,
}

/// A note as its file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoteFile {
    /// Identity, if the file gives one.
    pub id: Option<ChangesetId>,
    /// The changes.
    pub changes: Vec<ConfigChange>,
}

/// Read a note and check it whole against the state in force.
pub fn read_note(name: &str, text: &str, state: &ConfigState) -> Result<NoteFile, FindingReport> {
    read_file(name, text, |fields| {
        let mut applied = state.clone();
        let changes = fields.objects("changes", |line| {
            let change = read_change(line);
            match applied.apply(std::slice::from_ref(&change)) {
                Ok(next) => applied = next,
                Err(conflicts) => {
                    for (_, conflict) in conflicts {
                        line.finding(field_of(&conflict), conflict.to_string());
                    }
                }
            }
            change
        });
        if changes.is_empty() || changes.len() > CHANGES_MAX {
            fields.finding(
                "changes",
                format!("a note has from 1 to {CHANGES_MAX} changes"),
            );
        }
        NoteFile {
            id: fields.optional_text("id").map(ChangesetId::from),
            changes,
        }
    })
}

/// Identity that a file gives its note, whatever else it holds.
pub fn note_id(name: &str, text: &str) -> Option<ChangesetId> {
    let id = std::cell::RefCell::new(None);
    // The findings are those of a reading against the state, not of this one.
    let _ = read_file(name, text, |fields| {
        id.replace(fields.optional_text("id"));
    });
    id.into_inner()
        .filter(|id| !id.is_empty())
        .map(ChangesetId::from)
}

const fn field_of(conflict: &ConfigConflict) -> &'static str {
    match conflict {
        ConfigConflict::ModelPresent { .. } | ConfigConflict::ModelAbsent { .. } => "model",
        ConfigConflict::TeamLimitAbsent { .. } => "team",
        ConfigConflict::ServiceLimitAbsent { .. } => "service",
    }
}

fn read_change(line: &FieldReader<'_>) -> ConfigChange {
    let word = line.word(
        "change",
        &[
            ("add", ChangeWord::Add),
            ("change", ChangeWord::Change),
            ("withdraw", ChangeWord::Withdraw),
            ("limit_team", ChangeWord::LimitTeam),
            ("lift_team", ChangeWord::LiftTeam),
            ("limit_service", ChangeWord::LimitService),
            ("lift_service", ChangeWord::LiftService),
        ],
    );
    let model = || ModelName::from(line.text("model"));
    let team = || TeamName::from(line.text("team"));
    let service = || ServiceName::from(line.text("service"));
    match word {
        ChangeWord::Add => ConfigChange::Add {
            model: model(),
            spec: read_duty(line),
        },
        ChangeWord::Change => ConfigChange::Change {
            model: model(),
            spec: read_duty(line),
        },
        ChangeWord::Withdraw => ConfigChange::Withdraw { model: model() },
        ChangeWord::LimitTeam => ConfigChange::LimitTeam {
            team: team(),
            limit: Some(read_team_limit(line)),
        },
        ChangeWord::LiftTeam => ConfigChange::LimitTeam {
            team: team(),
            limit: None,
        },
        ChangeWord::LimitService => ConfigChange::LimitService {
            service: service(),
            limit: Some(read_service_limit(line)),
        },
        ChangeWord::LiftService => ConfigChange::LimitService {
            service: service(),
            limit: None,
        },
    }
}

fn read_team_limit(line: &FieldReader<'_>) -> TeamLimit {
    let requests = line.number("requests_per_second", 0..=1_000_000, 0);
    TeamLimit {
        weight: u32::try_from(line.number("weight", 1..=10_000, 1)).unwrap_or(1),
        requests_per_second: u32::try_from(requests).ok().filter(|&count| count > 0),
    }
}

fn read_service_limit(line: &FieldReader<'_>) -> ServiceLimit {
    let calls = line.required_number("calls_max", 1..=100_000);
    ServiceLimit {
        calls_max: u32::try_from(calls).unwrap_or(u32::MAX),
    }
}

fn read_duty(line: &FieldReader<'_>) -> ModelSpec {
    let number = |name, range| u32::try_from(line.required_number(name, range)).unwrap_or(u32::MAX);
    ModelSpec {
        version: ModelVersion(number("version", 1..=1_000_000)),
        pool: PoolName::from(line.text("pool")),
        adapters: line
            .texts("adapters")
            .into_iter()
            .map(AdapterName::from)
            .collect(),
        context_window: number("window", 16..=10_000_000),
    }
}
