//! `cargo xtask`: the chores of the workspace.

use std::process::{Command as Program, ExitCode};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use miette::{IntoDiagnostic, Result, miette};
use xtask::{
    checks, demo,
    measure::{self, MeasureOptions},
    soak::{self, SoakOptions},
};

fn main() -> ExitCode {
    let matches = Command::new("cargo xtask")
        .about("Chores of the workspace")
        .subcommand_required(true)
        .subcommand(Command::new("demo").about("A long report through the death of its engine"))
        .subcommand(test_command())
        .subcommand(measure_command())
        .subcommand(soak_command())
        .subcommand(Command::new("check-domain").about("Check what the domain depends on"))
        .get_matches();
    let ran = match matches.subcommand() {
        Some(("measure", matches)) => run_measure(matches),
        Some(("soak", matches)) => run_soak(matches),
        Some(("demo", _)) => build().and_then(|()| block_on(demo::run()).map(drop)),
        Some(("test", matches)) => build().and_then(|()| run_tests(matches)),
        _ => checks::check_domain(),
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn test_command() -> Command {
    Command::new("test")
        .about("Build all programs and run all tests")
        .arg(
            Arg::new("options")
                .help("Options of the test programs, after `--`")
                .num_args(0..)
                .last(true),
        )
}

fn run_tests(matches: &ArgMatches) -> Result<()> {
    let options = matches.get_many::<String>("options").into_iter().flatten();
    let mut args = vec![
        "test",
        "--release",
        "--workspace",
        "--lib",
        "--bins",
        "--tests",
        "--",
    ];
    args.extend(options.map(String::as_str));
    cargo(&args)
}

fn measure_command() -> Command {
    Command::new("measure")
        .about("One measurement with real processes")
        .arg(Arg::new("name").required(true).value_parser(measure::NAMES))
        .arg(
            Arg::new("seed")
                .long("seed")
                .help("Seed of all that is drawn")
                .value_parser(value_parser!(u64))
                .default_value("1"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Print all figures as JSON before the last line")
                .action(ArgAction::SetTrue),
        )
}

fn run_measure(matches: &ArgMatches) -> Result<()> {
    let name = matches.get_one::<String>("name");
    let name = name.expect("the argument is required");
    let options = MeasureOptions {
        seed: *matches
            .get_one::<u64>("seed")
            .expect("the argument has a default"),
        is_json: matches.get_flag("json"),
    };
    build()?;
    block_on(measure::run(name, options))
}

fn soak_command() -> Command {
    let number = |name: &'static str, help: &'static str, default: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .value_parser(value_parser!(u64))
            .default_value(default)
    };
    Command::new("soak")
        .about("Entries of the users' platform under faults that are drawn")
        .arg(number("seed", "Seed of the first run", "1"))
        .arg(number("seeds", "Runs, one a seed", "1"))
        .arg(number("seconds", "Seconds of faults in each run", "20"))
        .arg(
            Arg::new("entries")
                .long("entries")
                .help("Entries in each run")
                .value_parser(value_parser!(u8).range(1..=i64::from(soak::ENTRIES_MAX)))
                .default_value("4"),
        )
}

fn run_soak(matches: &ArgMatches) -> Result<()> {
    let number = |name: &str| *matches.get_one::<u64>(name).expect("it has a default");
    let entries = *matches.get_one("entries").expect("it has a default");
    build()?;
    let mut broken = Vec::new();
    for seed in number("seed")..number("seed") + number("seeds") {
        let options = SoakOptions {
            seed,
            seconds: number("seconds"),
            entries,
        };
        if let Err(report) = block_on(soak::run(options)) {
            eprintln!("{report}");
            broken.push(seed);
        }
    }
    if broken.is_empty() {
        return Ok(());
    }
    Err(miette!("promises broken with seeds {broken:?}"))
}

fn build() -> Result<()> {
    cargo(&["build", "--quiet", "--release", "--workspace", "--bins"])
}

fn cargo(args: &[&str]) -> Result<()> {
    let status = Program::new("cargo")
        .args(args)
        .status()
        .into_diagnostic()?;
    if !status.success() {
        return Err(miette!("cargo {} failed", args.join(" ")));
    }
    Ok(())
}

fn block_on<T>(run: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .into_diagnostic()?
        .block_on(run)
}
