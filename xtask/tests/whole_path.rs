//! The whole path as real processes: the demo, refusals of bad input, drains.

use std::{
    sync::atomic::{AtomicBool, Ordering::SeqCst},
    time::Duration,
};

use miette::Result;
use nix::sys::signal::Signal;
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::EngineCounts;
use xtask::{
    CallerClient, ChatEnd, Deployment, DeploymentPlan,
    checks::forbidden_in,
    demo,
    deployment::{MODEL, MODEL_VERSION},
};

/// One engine with its agent and one entry.
async fn small() -> Result<Deployment> {
    DeploymentPlan::default()
        .engines(1)
        .window(512)
        .entry_extra(json!({ "body_max_bytes": 4096 }))
        .platform_args(&["--vm-lag-ms", "0"])
        .start()
        .await
}

#[tokio::test(flavor = "multi_thread")]
async fn demo_comes_out_as_owed() -> Result<()> {
    let line = demo::run().await?;
    assert_eq!(
        line,
        "demo tokens=400 expected=400 missing=0 repeated=0 bookings=1"
    );
    Ok(())
}

#[rstest]
#[case::not_json("{", 400, "malformed-json", Value::Null)]
#[case::unknown_model(&chat("other", "hello", 8), 400, "invalid-field", json!("model"))]
#[case::past_window(&chat("plantain-writer", &"x".repeat(2_048), 8), 400, "invalid-field", json!("messages"))]
#[case::no_tokens(&chat("plantain-writer", "hello", 0), 400, "invalid-field", json!("max_tokens"))]
#[case::too_large(&chat("plantain-writer", &"x".repeat(8_192), 8), 413, "body-too-large", Value::Null)]
#[tokio::test(flavor = "multi_thread")]
async fn bad_chat_is_refused(
    #[case] body: &str,
    #[case] status: u16,
    #[case] kind: &str,
    #[case] field: Value,
) -> Result<()> {
    let small = small().await?;
    let caller = CallerClient::new("kivu-shores");
    let reply = caller
        .call(small.entry(0), "/v1/chat/completions", None, body)
        .await?;
    let problem: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    assert_eq!(reply.status.as_u16(), status, "{problem}");
    assert_eq!(problem["type"], kind);
    assert_eq!(problem["field"], field);
    assert_eq!(problem["outcome"], "not run");
    let counts: EngineCounts = small
        .fleet
        .read(small.sites[0].server.address, "/control")
        .await?;
    assert_eq!(counts.requests, 0, "something was dispatched");
    Ok(())
}

fn chat(model: &str, content: &str, max_tokens: u32) -> String {
    let body = json!({
        "model": model,
        "messages": [{ "role": "user", "content": content }],
        "max_tokens": max_tokens,
        "stream": true,
    });
    body.to_string()
}

#[tokio::test(flavor = "multi_thread")]
async fn keyless_order_is_refused() -> Result<()> {
    let small = small().await?;
    let caller = CallerClient::new("kivu-shores");
    let path = "/v1/services/ledger/order";
    let reply = caller.call(small.entry(0), path, None, "{}").await?;
    let problem: Value = serde_json::from_slice(&reply.body).unwrap_or_default();
    assert_eq!(reply.status.as_u16(), 400);
    assert_eq!(problem["field"], "Idempotency-Key");
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_finishes_what_is_in_flight() -> Result<()> {
    let mut small = small().await?;
    let caller = CallerClient::new("kivu-shores");
    let (request, seed) = CallerClient::request(MODEL, MODEL_VERSION, "Report.", 100);
    let entry = small.entry(0);
    let outcome = caller.chat(entry, &request, None, |count| {
        if count == 10 {
            small.entries[0].signal(Signal::SIGTERM);
            small.sites[0].agent.process.signal(Signal::SIGTERM);
        }
    });
    let outcome = outcome.await;
    assert_eq!(outcome.end, ChatEnd::Finished);
    assert_eq!(outcome.faults(seed, 100), Default::default());
    let status = small.entries[0].wait_for_end(Duration::from_secs(20));
    assert_eq!(status.and_then(|status| status.code()), Some(0));
    Ok(())
}

/// SIGTERM during a drain does not end it, however often it comes; SIGINT does.
#[tokio::test(flavor = "multi_thread")]
async fn interrupt_during_a_drain_ends_at_once() -> Result<()> {
    let mut small = small().await?;
    let caller = CallerClient::new("kivu-shores");
    let (request, _) = CallerClient::request(MODEL, MODEL_VERSION, "Report.", 400);
    let entry = small.entry(0);
    let interrupted = AtomicBool::new(false);
    let outcome = caller.chat(entry, &request, None, |count| match count {
        10 | 25 => small.entries[0].signal(Signal::SIGTERM),
        40 => {
            interrupted.store(true, SeqCst);
            small.entries[0].signal(Signal::SIGINT);
        }
        _ => {}
    });
    let outcome = outcome.await;
    assert!(
        interrupted.load(SeqCst),
        "the second SIGTERM did not end it"
    );
    assert_eq!(outcome.end, ChatEnd::Cut);
    let status = small.entries[0].wait_for_end(Duration::from_secs(20));
    assert_eq!(status.and_then(|status| status.code()), Some(4));
    Ok(())
}

#[test]
fn forbidden_crates_are_found() {
    let tree = "domain v0.1.0\ntokio v1.0.0\nserde v1.0.0 (*)\nserde v1.0.0\n";
    assert_eq!(forbidden_in(tree), ["serde"]);
}
