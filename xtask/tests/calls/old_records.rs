//! Records that grow old, and records that others wrote meanwhile.
//!
//! Nobody can wait for days here: rows of that age are put into the table by
//! hand, beside those that the system wrote.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use domain::service_call::{KEY_LIFETIME, RECORD_RETENTION, WallTime};
use exchange::{ExchangeCall, ExchangeClient};
use miette::{IntoDiagnostic, Result, miette};
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::ServiceFaults;
use wire::{
    service_call::{EndedMessage, RecordMessage, StateMessage, call_row, ended_row, ended_rows},
    table::{
        ConditionMessage, ReadMessage, RowMessage, RowsReply, ScanMessage, TransactMessage,
        WriteMessage,
    },
};
use xtask::{Deployment, deployment::SERVICE_POOL};

use crate::support::{
    TEAM, final_outcome, ledger, order, plan, ran, recorded, runs, set_service, wait_for,
};

const HOUR: Duration = Duration::from_secs(3_600);

fn ago(age: Duration) -> Result<WallTime> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let then = now.into_diagnostic()?.saturating_sub(age).as_millis();
    Ok(WallTime(u64::try_from(then).into_diagnostic()?))
}

fn request(key: &str) -> String {
    format!("{TEAM}/{key}")
}

async fn ask_store(deployment: &Deployment, path: &str, message: &Value) -> Result<Vec<u8>> {
    let call = ExchangeCall::post(deployment.fleet.platform(), path).json(message);
    let reply = ExchangeClient::unpooled()
        .send(call)
        .await
        .into_diagnostic()?;
    Ok(reply.body.to_vec())
}

async fn rows(
    deployment: &Deployment,
    path: &str,
    message: &impl serde::Serialize,
) -> Result<Vec<RowMessage>> {
    let message = serde_json::to_value(message).into_diagnostic()?;
    let reply = ask_store(deployment, path, &message).await?;
    let reply: RowsReply = serde_json::from_slice(&reply).into_diagnostic()?;
    Ok(reply.rows)
}

/// Record of a key, as it stands in the table.
async fn record(deployment: &Deployment, key: &str) -> Result<RecordMessage> {
    let read = ReadMessage {
        keys: vec![call_row(&request(key))],
    };
    let rows = rows(deployment, "/v1/table/read", &read).await?;
    let row = rows.first().ok_or_else(|| miette!("{key} has no record"))?;
    serde_json::from_str(&row.value).into_diagnostic()
}

/// Listing that the system wrote of a settled key.
async fn listing(deployment: &Deployment, key: &str) -> Result<Option<EndedMessage>> {
    let scan = ScanMessage {
        prefix: ended_rows(SERVICE_POOL),
        after: String::new(),
        limit: 1_000,
    };
    let rows = rows(deployment, "/v1/table/scan", &scan).await?;
    let mut listed = rows
        .iter()
        .filter_map(|row| serde_json::from_str::<EndedMessage>(&row.value).ok());
    Ok(listed.find(|ended| ended.request == request(key)))
}

async fn write(
    deployment: &Deployment,
    key: String,
    message: &impl serde::Serialize,
) -> Result<()> {
    let transact = TransactMessage {
        writes: vec![WriteMessage {
            key,
            condition: ConditionMessage::Always,
            value: Some(serde_json::to_string(message).into_diagnostic()?),
        }],
    };
    let message = serde_json::to_value(&transact).into_diagnostic()?;
    ask_store(deployment, "/v1/table/transact", &message)
        .await
        .map(drop)
}

/// List a key as settled so long ago, with what the system's listing says.
async fn list_as_old(deployment: &Deployment, key: &str, age: Duration) -> Result<()> {
    let ended = listing(deployment, key).await?;
    let ended = ended.ok_or_else(|| miette!("{key} is not listed"))?;
    let row = ended_row(SERVICE_POOL, ago(age)?, &request(key));
    write(deployment, row, &ended).await
}

async fn wait_until_listed(deployment: &Deployment, key: &str) -> Result<()> {
    wait_for("the listing", async || {
        Ok(listing(deployment, key).await?.is_some())
    })
    .await
}

#[tokio::test(flavor = "multi_thread")]
async fn outlived_record_is_taken_away() -> Result<()> {
    let deployment = ledger(2).await?;
    for key in ["old", "younger", "reopened"] {
        assert_eq!(order(&deployment, 0, key).await?, ran());
        wait_until_listed(&deployment, key).await?;
    }
    // The record of this one is open again, at a later version than is listed.
    let open = RecordMessage {
        state: StateMessage::Unknown,
        ..record(&deployment, "reopened").await?
    };
    write(&deployment, call_row(&request("reopened")), &open).await?;
    list_as_old(&deployment, "reopened", RECORD_RETENTION * 2).await?;
    list_as_old(&deployment, "younger", RECORD_RETENTION - HOUR).await?;
    list_as_old(&deployment, "old", RECORD_RETENTION + HOUR).await?;
    wait_for("the end of the record", async || {
        Ok(recorded(&deployment, "old").await?.0 == 404)
    })
    .await?;
    // Listed before it, this one was dealt with at the same turn.
    assert_eq!(recorded(&deployment, "reopened").await?.0, 504);
    assert_eq!(recorded(&deployment, "younger").await?, ran());
    // The key is as new, as the pages say.
    assert_eq!(order(&deployment, 1, "old").await?, ran());
    assert_eq!(runs(&deployment, "old").await?, 2);
    assert_eq!(order(&deployment, 1, "younger").await?, ran());
    assert_eq!(runs(&deployment, "younger").await?, 1);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn repeat_of_an_expired_key_is_not_called_not_run() -> Result<()> {
    let deployment = ledger(1).await?;
    assert_eq!(order(&deployment, 0, "expired").await?, ran());
    assert_eq!(final_outcome(&deployment, "expired").await?, "ran");
    let old = RecordMessage {
        recorded_at_ms: ago(KEY_LIFETIME + HOUR)?.into(),
        ..record(&deployment, "expired").await?
    };
    write(&deployment, call_row(&request("expired")), &old).await?;
    let refused = (410, "unknown".to_owned());
    assert_eq!(order(&deployment, 0, "expired").await?, refused);
    assert_eq!(recorded(&deployment, "expired").await?, refused);
    assert_eq!(runs(&deployment, "expired").await?, 1);
    Ok(())
}

/// Keys made so long ago that say their age, and how often they run.
#[rstest]
#[case::spent(RECORD_RETENTION + HOUR, (410, "unknown"), 0)]
#[case::fresh(RECORD_RETENTION - HOUR, (200, "ran"), 1)]
#[tokio::test(flavor = "multi_thread")]
async fn key_with_a_time_is_refused_without_record(
    #[case] age: Duration,
    #[case] expected: (u16, &str),
    #[case] expected_runs: u64,
) -> Result<()> {
    let deployment = ledger(1).await?;
    let made_at = u64::from(ago(age)?);
    let (high, low) = (made_at >> 16, made_at & 0xffff);
    let key = format!("{high:08x}-{low:04x}-7abc-8def-0123456789ab");
    let (status, outcome) = order(&deployment, 0, &key).await?;
    assert_eq!((status, outcome.as_str()), expected);
    assert_eq!(runs(&deployment, &key).await?, expected_runs);
    Ok(())
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_settles_what_a_peer_called_unknown() -> Result<()> {
    // Without a journal only the owner knows what became of its call.
    let deployment = plan(1)
        .agent_extra(json!({ "journal": "none", "service_run_max_ms": 1_500 }))
        .start()
        .await?;
    set_service(&deployment, 0, ServiceFaults::late_answer(800)).await?;
    let peer = async {
        wait_for("the run", async || {
            Ok(runs(&deployment, "judged").await? == 1)
        })
        .await?;
        let judged = RecordMessage {
            state: StateMessage::Unknown,
            ..record(&deployment, "judged").await?
        };
        write(&deployment, call_row(&request("judged")), &judged).await?;
        recorded(&deployment, "judged").await
    };
    let (answer, judged) = tokio::join!(order(&deployment, 0, "judged"), peer);
    assert_eq!(judged?, (504, "unknown".to_owned()));
    assert_eq!(answer?, ran());
    assert_eq!(final_outcome(&deployment, "judged").await?, "ran");
    assert_eq!(runs(&deployment, "judged").await?, 1);
    Ok(())
}
