//! The commands and their arguments.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use backing::{HttpPlatform, NoteStore};
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use domain::{ConfigVersion, ServerName, vm_membership::StopKind};
use wire::explain::ExplainMessage;

use crate::{
    CommandResult, dump_command,
    explain_command::{self, read_question, read_tokens},
    follow_command,
    note_command::{self, NoteSource},
    requests_command::{self, RequestQuery},
    spread_watch::wait_until_in_force,
    status_command,
    vm_command::{self, StopRequest},
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
        .subcommand(follow_command_line())
        .subcommand(explain_command_line())
}

fn explain_command_line() -> Command {
    let text = |name: &'static str, help: &'static str| {
        Arg::new(name).long(name).help(help).conflicts_with("file")
    };
    Command::new("explain")
        .about("Tell where an entry would send a request now, and why; nothing is sent to a server")
        .arg(address_arg("address", "Admin address of the entry"))
        .arg(text("route", "Name of the route").conflicts_with_all(["host", "path"]))
        .arg(text("host", "Host that the request names").requires("path"))
        .arg(text("path", "Path of its URL").requires("host"))
        .arg(text("key", "API key of its caller"))
        .arg(
            text("tokens", "Tokens of the prompt, and of the output at most")
                .value_name("PROMPT,OUTPUT")
                .value_parser(read_tokens),
        )
        .arg(
            text("length-hint", "Output tokens that the caller expects")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            text(
                "part",
                "Id of a shared part of the prompt; may be given more than once",
            )
            .action(ArgAction::Append),
        )
        .arg(
            Arg::new("file")
                .long("file")
                .help("The request as JSON, with the same fields")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(json_arg("Print JSON"))
}

fn follow_command_line() -> Command {
    Command::new("follow")
        .about("Tell the story of one request from saved logs of several processes")
        .arg(
            Arg::new("request")
                .help("Identity of the request, as the logs have it")
                .required(true),
        )
        .arg(
            Arg::new("logs")
                .value_name("FILE")
                .help("Saved logs, one file a process or one with the names of processes")
                .value_parser(value_parser!(PathBuf))
                .num_args(1..)
                .required(true),
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
                .arg(file())
                .arg(
                    Arg::new("wait")
                        .long("wait")
                        .help("Wait until all processes have it in force")
                        .action(ArgAction::SetTrue),
                )
                .arg(
                    Arg::new("wait-seconds")
                        .long("wait-seconds")
                        .help("Longest time to wait")
                        .value_parser(value_parser!(u64))
                        .default_value("30"),
                ),
        )
        .subcommand(
            Command::new("history")
                .about("Show the latest notes")
                .arg(platform_arg())
                .arg(
                    Arg::new("count")
                        .long("count")
                        .help("Notes at most")
                        .value_parser(value_parser!(u64))
                        .default_value("20"),
                ),
        )
        .subcommand(
            Command::new("diff")
                .about("Show what changed after one version up to another")
                .arg(platform_arg())
                .arg(version_arg("from", "Version to start after").required(true))
                .arg(version_arg(
                    "to",
                    "Version to end with; the one in force unless given",
                )),
        )
        .subcommand(
            Command::new("show")
                .about("Show the state in force")
                .arg(platform_arg()),
        )
}

fn version_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).help(help).value_parser(value_parser!(u64))
}

fn vm_commands() -> Command {
    let order = |name: &'static str, about: &'static str| {
        Command::new(name).about(about).arg(platform_arg()).arg(
            Arg::new("server")
                .help("Name of the backend server")
                .required(true),
        )
    };
    let stop = |name: &'static str, about: &'static str| {
        order(name, about)
            .arg(
                Arg::new("force")
                    .long("force")
                    .help("Stop it even if nobody else serves its pool")
                    .action(ArgAction::SetTrue),
            )
            .arg(
                Arg::new("operator")
                    .long("operator")
                    .help("Who asks, for those who meet the record")
                    .env("USER")
                    .default_value("operator"),
            )
    };
    Command::new("vm")
        .about("Stop backend servers on plan")
        .subcommand_required(true)
        .subcommand(stop(
            "stop",
            "Take no new work until the VM is restarted; finish what is in flight",
        ))
        .subcommand(stop(
            "withdraw",
            "Take no new work until it is undone; finish what is in flight",
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
                .help("An entry to ask beside those that announce themselves; may be given more than once")
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
        Some(("follow", matches)) => run_follow(matches),
        Some(("explain", matches)) => run_explain(matches).await,
        _ => unreachable!("a subcommand is required"),
    }
}

async fn run_explain(matches: &ArgMatches) -> CommandResult {
    let text = |name: &str| matches.get_one::<String>(name).cloned();
    let question = match matches.get_one::<PathBuf>("file") {
        Some(path) => read_question(path)?,
        None => ExplainMessage {
            route: text("route"),
            host: text("host"),
            path: text("path"),
            key: text("key"),
            tokens: matches.get_one::<(u64, u64)>("tokens").copied(),
            length_hint: number_of(matches, "length-hint"),
            parts: matches
                .get_many::<String>("part")
                .into_iter()
                .flatten()
                .cloned()
                .collect(),
        },
    };
    let address = matches.get_one::<SocketAddr>("address");
    let address = *address.expect("the argument is required");
    explain_command::explain(address, &question, matches.get_flag("json")).await
}

fn run_follow(matches: &ArgMatches) -> CommandResult {
    let request = matches.get_one::<String>("request");
    let logs = matches.get_many::<PathBuf>("logs");
    let paths: Vec<PathBuf> = logs.into_iter().flatten().cloned().collect();
    follow_command::follow(request.expect("the argument is required"), &paths)?;
    Ok(())
}

async fn run_note(matches: &ArgMatches) -> CommandResult {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    let platform = platform_of(matches);
    let notes = NoteStore::new(platform.clone());
    match name {
        "check" => note_command::check(&notes, &source_of(matches)?).await,
        "publish" => {
            let version = note_command::publish(&notes, &source_of(matches)?).await?;
            if !matches.get_flag("wait") {
                return Ok(());
            }
            let patience = Duration::from_secs(number_of(matches, "wait-seconds").unwrap_or(0));
            wait_until_in_force(&platform, version, patience).await
        }
        "show" => note_command::show(&notes).await,
        "history" => note_command::history(&notes, number_of(matches, "count").unwrap_or(0)).await,
        "diff" => {
            let from = ConfigVersion(number_of(matches, "from").unwrap_or(0));
            let to = number_of(matches, "to").map(ConfigVersion);
            note_command::diff(&notes, from, to).await
        }
        _ => unreachable!("all commands are listed"),
    }
}

fn source_of(matches: &ArgMatches) -> miette::Result<NoteSource> {
    let path = matches.get_one::<PathBuf>("file");
    NoteSource::read(path.expect("the argument is required"))
}

fn number_of(matches: &ArgMatches, name: &str) -> Option<u64> {
    matches.get_one::<u64>(name).copied()
}

async fn run_vm(matches: &ArgMatches) -> CommandResult {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    let platform = platform_of(matches);
    let text = |name: &str| {
        let text = matches.get_one::<String>(name);
        text.expect("the argument is required or has a default")
            .as_str()
    };
    let server = ServerName::from(text("server"));
    let kind = match name {
        "undo" => return vm_command::undo(&platform, &server).await,
        "stop" => StopKind::Stop,
        "withdraw" => StopKind::Withdraw,
        _ => unreachable!("all commands are listed"),
    };
    let request = StopRequest {
        server,
        kind,
        is_forced: matches.get_flag("force"),
        operator: text("operator").to_owned(),
    };
    vm_command::stop(&platform, &request).await
}

fn platform_of(matches: &ArgMatches) -> HttpPlatform {
    let address = matches.get_one::<SocketAddr>("platform");
    HttpPlatform::new(
        *address.expect("the argument is required"),
        PLATFORM_TIMEOUT,
    )
}
