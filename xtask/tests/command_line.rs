//! Exit codes and findings of the programs, as operators see them.

use std::{
    collections::HashSet,
    net::{Ipv4Addr, TcpListener},
    path::Path,
    process::{Command, Output},
};

use miette::{IntoDiagnostic, Result};
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::PlatformFaults;
use xtask::{
    EntryPlan, Fleet,
    fleet::{free_address, merge, program_folder},
};

/// Run a program and check its exit code and what it prints in all.
fn check(program: &str, args: &[&str], code: i32, expected: &[&str]) -> Result<()> {
    let output = run(program, args)?;
    let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
    text.push_str(&String::from_utf8_lossy(&output.stderr));
    assert_eq!(output.status.code(), Some(code), "{text}");
    for part in expected {
        assert!(text.contains(part), "`{part}` is not in: {text}");
    }
    Ok(())
}

fn run(program: &str, args: &[&str]) -> Result<Output> {
    Command::new(program_folder()?.join(program))
        .args(args)
        .output()
        .into_diagnostic()
}

/// Sound settings of a daemon, with `extra` added.
fn settings(program: &str, extra: &Value) -> Result<Value> {
    let address = || free_address().map(|address| address.to_string());
    let mut settings = match program {
        "bamboocross-entry" => json!({
            "name": "entry-1", "failure_domain": "goma-shed",
            "listen": address()?, "platform": address()?,
        }),
        _ => json!({
            "name": "writer-1", "pool": "writer-pool", "failure_domain": "goma-shed",
            "server": address()?, "listen": address()?, "control": address()?,
            "platform": address()?,
        }),
    };
    merge(&mut settings, extra);
    Ok(settings)
}

/// Write settings to a file in `folder` and return its path.
fn write(folder: &Path, settings: &Value) -> Result<String> {
    let path = folder.join("settings.json");
    std::fs::write(&path, format!("{settings:#}")).into_diagnostic()?;
    Ok(path.display().to_string())
}

#[rstest]
fn wrong_arguments_are_told(
    #[values("bamboocross-entry", "bamboocross-agent", "bamboocross")] program: &str,
) -> Result<()> {
    check(program, &["--surely-not"], 2, &["Usage"])
}

#[rstest]
#[case("bamboocross-entry", &["--settings", "--check", "  3  findings in the settings"])]
#[case("bamboocross-agent", &["--settings", "--check", "  4  ended by SIGINT during a drain"])]
#[case("bamboocross", &["status", "dump", "  5  refused by the state in force"])]
fn help_tells_exit_codes(#[case] program: &str, #[case] expected: &[&str]) -> Result<()> {
    check(program, &["--help"], 0, expected)
}

#[rstest]
fn sound_settings_have_no_findings(
    #[values("bamboocross-entry", "bamboocross-agent")] program: &str,
) -> Result<()> {
    let folder = tempfile::tempdir().into_diagnostic()?;
    let path = write(folder.path(), &settings(program, &json!({}))?)?;
    check(
        program,
        &["--settings", &path, "--check"],
        0,
        &["no findings"],
    )
}

#[rstest]
#[case::entry(
    "bamboocross-entry",
    json!({ "platform": "platform.example:1", "requests_max": 1, "zeal": 1 }),
    &["3 findings", ":5:15: `platform`", ":6:19: `requests_max`", ":7:3: unknown field `zeal`"],
)]
#[case::agent(
    "bamboocross-agent",
    json!({ "beat_ms": 1, "kind": "motor" }),
    &["2 findings", ":2:14: `beat_ms`", ":5:11: `kind`"],
)]
fn all_findings_are_told(
    #[case] program: &str,
    #[case] extra: Value,
    #[case] expected: &[&str],
    #[values(true, false)] is_check: bool,
) -> Result<()> {
    let folder = tempfile::tempdir().into_diagnostic()?;
    let path = write(folder.path(), &settings(program, &extra)?)?;
    let mut args = vec!["--settings", &path];
    if is_check {
        args.push("--check");
    }
    check(program, &args, 3, expected)
}

#[rstest]
fn missing_settings_are_told(
    #[values("bamboocross-entry", "bamboocross-agent")] program: &str,
) -> Result<()> {
    let folder = tempfile::tempdir().into_diagnostic()?;
    let path = folder.path().join("absent.json").display().to_string();
    check(program, &["--settings", &path], 3, &["cannot read"])
}

#[rstest]
#[case("bamboocross-entry", "listen")]
#[case("bamboocross-agent", "listen")]
#[case("bamboocross-agent", "control")]
fn port_in_use_is_a_finding(
    #[case] program: &str,
    #[case] field: &str,
    #[values(true, false)] is_check: bool,
) -> Result<()> {
    let taken = TcpListener::bind("127.0.0.1:0").into_diagnostic()?;
    let address = taken.local_addr().into_diagnostic()?.to_string();
    let folder = tempfile::tempdir().into_diagnostic()?;
    let path = write(
        folder.path(),
        &settings(program, &json!({ field: address }))?,
    )?;
    let mut args = vec!["--settings", &path];
    if is_check {
        args.push("--check");
    }
    let expected = format!("cannot listen on `{field}` {address}");
    check(program, &args, 3, &["1 findings", &expected])
}

#[tokio::test(flavor = "multi_thread")]
async fn second_daemon_on_a_port_is_refused() -> Result<()> {
    let mut fleet = Fleet::start(&[])?;
    let running = fleet.entry(&EntryPlan {
        name: "first".to_owned(),
        domain: "goma-shed".to_owned(),
        extra: json!({}),
    })?;
    let folder = tempfile::tempdir().into_diagnostic()?;
    let listen = running.address.to_string();
    let second = settings("bamboocross-entry", &json!({ "listen": listen }))?;
    let path = write(folder.path(), &second)?;
    check(
        "bamboocross-entry",
        &["--settings", &path],
        3,
        &["cannot listen on `listen`"],
    )
}

#[rstest]
#[case(&["note", "show"])]
#[case(&["status"])]
#[case(&["vm", "stop", "writer-1"])]
fn platform_down_is_a_failure(#[case] command: &[&str]) -> Result<()> {
    let platform = free_address()?.to_string();
    let mut args = command.to_vec();
    args.extend_from_slice(&["--platform", &platform]);
    check("bamboocross", &args, 1, &["store unavailable"])
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_that_refuses_is_a_failure() -> Result<()> {
    let fleet = Fleet::start(&[])?;
    let faults = PlatformFaults {
        down: true,
        ..PlatformFaults::default()
    };
    fleet.control(fleet.platform(), &faults).await?;
    let (status, text) = fleet.operator(&["status"])?;
    assert_eq!(status.code(), Some(1), "{text}");
    Ok(())
}

fn note(version: u32) -> Value {
    json!({ "changes": [{
        "change": "add", "model": "plantain-writer", "version": version,
        "pool": "writer-pool", "window": 4096
    }] })
}

#[test]
fn findings_in_a_note_have_places() -> Result<()> {
    let fleet = Fleet::start(&[])?;
    let path = write(fleet.folder(), &note(0))?;
    let (status, text) = fleet.operator(&["note", "check", &path])?;
    assert_eq!(status.code(), Some(3), "{text}");
    assert!(text.contains(":7:18: `version`"), "{text}");
    Ok(())
}

/// Two operators publish different notes at once; the store takes so long to write that both
/// have read the state before either changes it.
#[test]
fn racing_note_is_refused() -> Result<()> {
    let fleet = Fleet::start(&["--write-us", "1000000"])?;
    let folder = tempfile::tempdir().into_diagnostic()?;
    let first = write(folder.path(), &note(1))?;
    let second = write(fleet.folder(), &note(2))?;
    let publish = |path: &str| fleet.operator(&["note", "publish", path]);
    let (one, other) = std::thread::scope(|scope| {
        let one = scope.spawn(|| publish(&first));
        let other = publish(&second);
        (one.join().expect("publishing does not panic"), other)
    });
    let mut codes = [one?.0.code(), other?.0.code()];
    codes.sort_unstable();
    assert_eq!(codes, [Some(0), Some(5)]);
    Ok(())
}

/// Outgoing connections take their ports at the common loopback host.
#[test]
fn addresses_are_given_once() -> Result<()> {
    let given = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..4)
            .map(|_| scope.spawn(|| (0..50).map(|_| free_address()).collect::<Result<Vec<_>>>()))
            .collect();
        let given = threads.into_iter().map(|thread| thread.join());
        given
            .map(|addresses| addresses.expect("giving does not panic"))
            .collect::<Result<Vec<_>>>()
    })?
    .concat();
    let distinct: HashSet<_> = given.iter().collect();
    assert_eq!(distinct.len(), given.len());
    assert!(
        given
            .iter()
            .all(|address| address.ip() != Ipv4Addr::LOCALHOST)
    );
    Ok(())
}
