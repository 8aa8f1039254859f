//! `cargo xtask`: the chores of the workspace.

use std::process::{Command as Program, ExitCode};

use clap::Command;
use miette::{IntoDiagnostic, Result, miette};
use xtask::{checks, demo};

fn main() -> ExitCode {
    let matches = Command::new("cargo xtask")
        .about("Chores of the workspace")
        .subcommand_required(true)
        .subcommand(Command::new("demo").about("A long report through the death of its engine"))
        .subcommand(Command::new("test").about("Build all programs and run all tests"))
        .subcommand(Command::new("check-domain").about("Check what the domain depends on"))
        .get_matches();
    let ran = match matches.subcommand_name() {
        Some("demo") => build().and_then(|()| block_on(demo::run()).map(drop)),
        Some("test") => build().and_then(|()| cargo(&["test", "--release", "--workspace"])),
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
