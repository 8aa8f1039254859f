//! `bamboocross explain`: where an entry would send a request now, and why.

use std::{fmt::Write as _, net::SocketAddr, path::Path};

use exchange::{ExchangeCall, ExchangeClient};
use http::StatusCode;
use miette::{IntoDiagnostic, WrapErr, miette};
use telemetry::ExitStatus;
use wire::explain::{ExplainMessage, ExplanationMessage, ServerExplanation, ServiceExplanation};

use crate::{CommandFailure, CommandResult};

/// Servers of a service that are shown as text. JSON has all that the entry told.
const SHOWN_MAX: usize = 10;

/// Prints the explanation of the entry whose admin listener is at `address`.
pub async fn explain(
    address: SocketAddr,
    question: &ExplainMessage,
    is_json: bool,
) -> CommandResult {
    let uri = question.to_uri().into_diagnostic()?;
    let reply = ExchangeClient::pooled()
        .send(ExchangeCall::get(address, &uri))
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("no explanation from {address}"))?;
    match reply.status {
        StatusCode::OK => {}
        StatusCode::BAD_REQUEST => {
            return Err(usage(String::from_utf8_lossy(&reply.body).into_owned()));
        }
        status => {
            let report = miette!("{address} answered with status {status}: is it an entry?");
            return Err(report.into());
        }
    }
    let explanation: ExplanationMessage = reply.json().into_diagnostic()?;
    if is_json {
        println!("{:#}", serde_json::json!(explanation));
    } else {
        print!("{}", to_text(&explanation));
    }
    Ok(())
}

/// Reads a question from a file.
pub fn read_question(path: &Path) -> Result<ExplainMessage, CommandFailure> {
    let name = path.display();
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {name}"))?;
    ExplainMessage::from_json(&text).map_err(|fault| usage(format!("{name}: {fault}")))
}

/// Reads `PROMPT,OUTPUT`.
pub fn read_tokens(text: &str) -> Result<(u64, u64), String> {
    let numbers = text.split_once(',').and_then(|(prompt, output)| {
        Some((prompt.trim().parse().ok()?, output.trim().parse().ok()?))
    });
    numbers.ok_or_else(|| format!("`{text}` is not PROMPT,OUTPUT in tokens, such as 8000,900"))
}

fn usage(message: String) -> CommandFailure {
    CommandFailure {
        status: ExitStatus::Usage,
        report: miette::Report::msg(message),
    }
}

/// The explanation as text, the best server of each service first.
pub fn to_text(explanation: &ExplanationMessage) -> String {
    let mut text = String::new();
    let team = explanation.team.as_deref().unwrap_or("-");
    // Writing to a string does not fail.
    let _ = writeln!(
        text,
        "route {}  team {team}  priority {}",
        explanation.route, explanation.priority
    );
    for service in &explanation.services {
        write_service(&mut text, service);
    }
    text
}

fn write_service(text: &mut String, service: &ServiceExplanation) {
    let _ = writeln!(
        text,
        "\nservice {} ({:.0} % of the route): {}: {}",
        service.service, service.share_percent, service.outcome, service.reason
    );
    if let Some((prompt, output)) = service.tokens {
        let _ = writeln!(text, "prompt {prompt} tokens, output up to {output}");
    }
    let _ = writeln!(
        text,
        "{:<20} {:<8} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6}",
        "server", "domain", "total", "wait", "own", "others", "domain", "kv", "suspect", "speed"
    );
    for server in service.servers.iter().take(SHOWN_MAX) {
        write_server(text, server);
    }
    let left = service.servers.len().saturating_sub(SHOWN_MAX) + service.omitted;
    if left > 0 {
        let _ = writeln!(text, "and {left} more");
    }
}

fn write_server(text: &mut String, server: &ServerExplanation) {
    let _ = write!(text, "{:<20} {:<8}", server.instance, server.domain);
    let _ = match (&server.cost, &server.excluded) {
        (Some(cost), _) => writeln!(
            text,
            " {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>5}%",
            cost.total,
            cost.wait,
            cost.own,
            cost.others,
            cost.domain,
            cost.kv,
            cost.suspect,
            server.speed_percent
        ),
        (None, reason) => writeln!(
            text,
            " excluded: {}",
            reason.as_deref().unwrap_or("no reason given")
        ),
    };
}
