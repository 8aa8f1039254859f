//! The command line that all daemons share.

use std::{path::PathBuf, process::ExitCode};

use clap::{Arg, ArgAction, Command, value_parser};

use crate::DaemonSpec;

/// Exit codes of the programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done, or drained.
    Done = 0,
    /// Failed while running.
    Failed = 1,
    /// Wrong command line.
    Usage = 2,
    /// Findings in the settings or in a release note.
    Findings = 3,
    /// Ended by SIGINT during a drain, with work in flight.
    Cut = 4,
    /// Refused by the state in force or by another operator's change.
    Conflict = 5,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}

const EXIT_HELP: &str = "Exit codes:
  0  done, or drained after SIGTERM
  1  failed while running
  2  wrong command line
  3  findings in the settings
  4  ended by SIGINT during a drain with work in flight";

/// What a daemon's command line says.
#[derive(Clone, Debug)]
pub struct DaemonArgs {
    /// Settings file.
    pub settings: PathBuf,
    /// Only check the settings.
    pub check: bool,
    /// Filter of the logs.
    pub log: String,
}

/// Read the command line of a daemon.
pub fn daemon_args(spec: &DaemonSpec) -> DaemonArgs {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .help("JSON settings file")
        .value_parser(value_parser!(PathBuf))
        .required(true);
    let settings = match spec.settings_variable {
        Some(variable) => settings.env(variable),
        None => settings,
    };
    let matches = Command::new(spec.name)
        .about(spec.about)
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_HELP)
        .arg(settings)
        .arg(
            Arg::new("check")
                .long("check")
                .help("Check the settings, report all findings and exit")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("FILTER")
                .help("Filter of the logs, such as info or entry=debug")
                .default_value("info"),
        )
        .get_matches();
    DaemonArgs {
        settings: matches
            .get_one::<PathBuf>("settings")
            .cloned()
            .unwrap_or_default(),
        check: matches.get_flag("check"),
        log: matches
            .get_one::<String>("log")
            .cloned()
            .unwrap_or_default(),
    }
}

/// Print a report with its places and return the exit code.
pub fn report_and_exit(report: miette::Report, status: ExitStatus) -> ExitCode {
    eprintln!("{report:?}");
    eprintln!("{report}");
    status.into()
}
