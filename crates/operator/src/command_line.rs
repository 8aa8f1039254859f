//! The commands and their arguments.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use platform::HttpPlatform;

use crate::{
    CommandResult, dump_command,
    note_command::{self, NoteSource},
    requests_command::{self, RequestQuery},
    status_command,
    vm_command::{self, VmOrder},
};

/// Time within which the platform answers or counts as down.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

const EXIT_HELP: &str = "Exit codes:
  0  done
  1  failed
  2  wrong command line
  3  findings in a release note
  5  refused by the state in force or by another operator's change";

/// The whole command line.
pub fn command_line() -> Command {
    Command::new("bamboocross")
        .about("Publishes release notes, stops VMs and shows what the system does")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(EXIT_HELP)
        .subcommand_required(true)
        .subcommand(note_commands())
        .subcommand(vm_commands())
        .subcommand(status_command_line())
        .subcommand(requests_command_line())
        .subcommand(
            Command::new("dump")
                .about("Print the state of one process as JSON")
                .arg(address_arg("address", "HTTP address of the process")),
        )
}

fn note_commands() -> Command {
    let file = || {
        Arg::new("file")
            .help("Release note as JSON")
            .value_parser(value_parser!(PathBuf))
            .required(true)
    };
    Command::new("note")
        .about("Check, publish and show release notes")
        .subcommand_required(true)
        .subcommand(
            Command::new("check")
                .about("Check a note against the state in force")
                .arg(platform_arg())
                .arg(file()),
        )
        .subcommand(
            Command::new("publish")
                .about("Publish a note")
                .arg(platform_arg())
                .arg(file()),
        )
        .subcommand(
            Command::new("show")
                .about("Show the state in force")
                .arg(platform_arg()),
        )
}

fn vm_commands() -> Command {
    let order = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(platform_arg()).arg(
            Arg::new("server")
                .help("Name of the backend server")
                .required(true),
        )
    };
    Command::new("vm")
        .about("Stop backend servers on plan")
        .subcommand_required(true)
        .subcommand(order(
            "stop",
            "Take no new work and finish what is in flight",
        ))
        .subcommand(order("undo", "Take new work again"))
}

fn status_command_line() -> Command {
    Command::new("status")
        .about("Show the whole deployment: entries, servers, versions, unsettled calls")
        .arg(platform_arg())
        .arg(
            Arg::new("entry")
                .long("entry")
                .value_name("IP:PORT")
                .help("An entry to ask; may be given more than once")
                .value_parser(value_parser!(SocketAddr))
                .action(ArgAction::Append),
        )
        .arg(json_arg("Print JSON, with the whole state of each process"))
}

fn requests_command_line() -> Command {
    Command::new("requests")
        .about("List the teams' requests whose outcome is unknown")
        .arg(platform_arg())
        .arg(
            Arg::new("team")
                .long("team")
                .help("Team whose requests are listed; all unless given"),
        )
        .arg(
            Arg::new("state")
                .long("state")
                .help("State of the requests that are listed")
                .value_parser(["unknown"])
                .default_value("unknown"),
        )
        .arg(json_arg("Print JSON"))
}

fn json_arg(help: &'static str) -> Arg {
    Arg::new("json")
        .long("json")
        .help(help)
        .action(ArgAction::SetTrue)
}

fn platform_arg() -> Arg {
    Arg::new("platform")
        .long("platform")
        .value_name("IP:PORT")
        .help("The platform's service")
        .env("BAMBOOCROSS_PLATFORM")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .help(help)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
}

/// Run the command that the line names.
pub async fn run_command(matches: &ArgMatches) -> CommandResult {
    match matches.subcommand() {
        Some(("note", matches)) => run_note(matches).await,
        Some(("vm", matches)) => run_vm(matches).await,
        Some(("status", matches)) => {
            let entries = matches.get_many::<SocketAddr>("entry");
            let entries: Vec<SocketAddr> = entries.into_iter().flatten().copied().collect();
            let is_json = matches.get_flag("json");
            status_command::show(&platform_of(matches), &entries, is_json).await
        }
        Some(("requests", matches)) => {
            let query = RequestQuery {
                team: matches.get_one::<String>("team").map(String::as_str),
                is_json: matches.get_flag("json"),
            };
            requests_command::list(&platform_of(matches), query).await
        }
        Some(("dump", matches)) => {
            let address = matches.get_one::<SocketAddr>("address");
            dump_command::dump(address.copied().expect("the argument is required")).await
        }
        _ => unreachable!("a subcommand is required"),
    }
}

async fn run_note(matches: &ArgMatches) -> CommandResult {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    let platform = platform_of(matches);
    if name == "show" {
        return note_command::show(&platform).await;
    }
    let path = matches
        .get_one::<PathBuf>("file")
        .expect("the argument is required");
    let source = NoteSource::read(path)?;
    match name {
        "check" => note_command::check(&platform, &source).await,
        "publish" => note_command::publish(&platform, &source).await,
        _ => unreachable!("all commands are listed"),
    }
}

async fn run_vm(matches: &ArgMatches) -> CommandResult {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    let platform = platform_of(matches);
    let server = matches
        .get_one::<String>("server")
        .expect("the argument is required");
    let order = match name {
        "stop" => VmOrder::Stop,
        "undo" => VmOrder::Undo,
        _ => unreachable!("all commands are listed"),
    };
    vm_command::give_order(&platform, server, order).await
}

fn platform_of(matches: &ArgMatches) -> HttpPlatform {
    let address = matches.get_one::<SocketAddr>("platform");
    HttpPlatform::new(
        *address.expect("the argument is required"),
        PLATFORM_TIMEOUT,
    )
}
