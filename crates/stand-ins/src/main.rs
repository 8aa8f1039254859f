//! `stand-in`: one program for all stand-ins.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use stand_ins::{
    EngineOptions, PlatformOptions, run_engine, run_platform, run_proxies, run_service,
};
use volo_http::error::BoxError;

fn main() -> ExitCode {
    let matches = command_line().get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let ran = match runtime {
        Ok(runtime) => runtime.block_on(run(&matches)),
        Err(error) => Err(error.into()),
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn command_line() -> Command {
    Command::new("stand-in")
        .about("Stand-ins for engine, service, platform and network")
        .subcommand_required(true)
        .subcommand(
            Command::new("engine")
                .arg(listen())
                .arg(number("slots", "16"))
                .arg(number("token-gap-us", "40000"))
                .arg(number("prefill-us-per-token", "200"))
                .arg(number("load-lag-ms", "0"))
                .arg(
                    Arg::new("checks-fencing")
                        .long("checks-fencing")
                        .action(ArgAction::SetTrue),
                ),
        )
        .subcommand(
            Command::new("service").arg(listen()).arg(
                Arg::new("ledger")
                    .long("ledger")
                    .value_name("IP:PORT")
                    .help("Service that keeps what this one runs")
                    .value_parser(value_parser!(SocketAddr)),
            ),
        )
        .subcommand(
            Command::new("platform")
                .arg(listen())
                .arg(number("write-us", "2000"))
                .arg(number("writes-per-second", "400"))
                .arg(number("vm-lag-ms", "1000"))
                .arg(number("weights-per-second", "4")),
        )
        .subcommand(Command::new("proxy").arg(listen()))
}

fn listen() -> Arg {
    Arg::new("listen")
        .long("listen")
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .required(true)
}

fn number(name: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_parser(value_parser!(u32))
        .default_value(default)
}

async fn run(matches: &ArgMatches) -> Result<(), BoxError> {
    let (name, matches) = matches.subcommand().expect("a subcommand is required");
    let listen = *matches
        .get_one::<SocketAddr>("listen")
        .expect("the argument is required");
    let value = |name: &str| {
        *matches
            .get_one::<u32>(name)
            .expect("the argument has a default")
    };
    let micros = |name: &str| Duration::from_micros(value(name).into());
    let millis = |name: &str| Duration::from_millis(value(name).into());
    match name {
        "engine" => {
            run_engine(EngineOptions {
                listen,
                slots: value("slots"),
                token_gap: micros("token-gap-us"),
                prefill_per_token: micros("prefill-us-per-token"),
                load_lag: millis("load-lag-ms"),
                checks_fencing: matches.get_flag("checks-fencing"),
            })
            .await
        }
        "platform" => {
            run_platform(PlatformOptions {
                listen,
                write_time: micros("write-us"),
                writes_per_second: value("writes-per-second"),
                vm_lag: millis("vm-lag-ms"),
                weights_per_second: value("weights-per-second"),
            })
            .await
        }
        "proxy" => run_proxies(listen).await,
        _ => run_service(listen, matches.get_one::<SocketAddr>("ledger").copied()).await,
    }
}
