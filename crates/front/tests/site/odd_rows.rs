//! Rows that another writer left in the store's tables. They name nothing to use;
//! the others hold.

use std::process::Stdio;

use crate::support::{DESK, TestSite, desired_state, wait_for};
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use stand_ins::{RowStore, ScriptedWorker};

const ODD_ROWS: &str = "bamboocross_front_odd_rows_total";

async fn start_worker(instance: &'static str) -> ScriptedWorker {
    ScriptedWorker::start(instance).await.expect("a port")
}

fn row(change: impl FnOnce(&mut Value)) -> Vec<u8> {
    let mut row = json!({
        "service": DESK, "addr": "127.0.0.1:9", "zone": "a", "version": "v1", "slots": 8,
        "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1,
    });
    change(&mut row);
    row.to_string().into_bytes()
}

fn nested(open: &str, close: &str) -> Vec<u8> {
    let depth = 100_000;
    let value = open.repeat(depth) + "1" + &close.repeat(depth);
    format!(r#"{{"service":"desk","addr":{value}}}"#).into_bytes()
}

fn with_number(field: &str, number: &str) -> Vec<u8> {
    let text = String::from_utf8(row(|row| row[field] = json!("NUMBER"))).expect("text");
    text.replace("\"NUMBER\"", number).into_bytes()
}

fn with_address(address: &str) -> Vec<u8> {
    row(|row| row["addr"] = json!(address))
}

/// Values that name no server to use.
fn odd_values() -> Vec<Vec<u8>> {
    let digits = "9".repeat(400);
    let mut values = vec![
        nested("[", "]"),
        nested("{\"a\":", "}"),
        b"".to_vec(),
        b"\xff\xfe\x00".to_vec(),
        b"[]".to_vec(),
        b"null".to_vec(),
        row(|row| row["service"] = json!(7)),
        row(|row| row["state"] = json!("asleep")),
        row(|row| row["zone"] = Value::Null),
        br#"{"service":"desk","service":"desk","addr":"127.0.0.1:9","zone":"a","slots":8,"state":"ready"}"#.to_vec(),
    ];
    for field in ["slots", "born"] {
        for number in [digits.as_str(), "1e999", "-1", "1.5"] {
            values.push(with_number(field, number));
        }
    }
    for address in [
        "127.0.0.1:0",
        "127.0.0.1:65536",
        "127.0.0.1:-1",
        "127.0.0.1",
        "[::1]:8080",
        "224.0.0.1:8080",
        "255.255.255.255:8080",
        "0.0.0.0:8080",
        "",
        "desk.example:80",
    ] {
        values.push(with_address(address));
    }
    values
}

/// Every odd value at once, several times, among good rows before and after them.
#[tokio::test]
async fn odd_rows_among_good_ones_are_passed_over() {
    let workers = [start_worker("i1").await, start_worker("i2").await];
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    for number in 0..500 {
        let values = odd_values();
        let value = &values[number % values.len()];
        store.put("servers", &format!("i-{number:05}"), value);
        store.put("entries", &format!("odd-{number:05}"), value);
    }
    for name in ["", " ", "i\n1", "ï", &"n".repeat(200)] {
        store.put("servers", name, &with_address("224.0.0.1:1"));
    }
    store.put("servers", "bad name", &row(|_| {}));
    let site = TestSite::start_with(store, Stdio::null());
    for worker in &workers {
        site.register(DESK, worker, "a", "ready");
    }
    site.wait_ready().await;
    site.wait_state(|text| text.matches("\"instance\"").count() == 2)
        .await;
    for _ in 0..8 {
        assert_eq!(site.call("/look/1", "r").await.status, StatusCode::OK);
    }
    assert!(site.metric(ODD_ROWS).await >= 500.0);
    // The list goes on being followed.
    let late = start_worker("i3").await;
    for (number, value) in odd_values().iter().enumerate() {
        site.store.put("servers", &format!("late-{number}"), value);
    }
    site.register(DESK, &late, "a", "ready");
    site.wait_state(|text| text.matches("\"instance\"").count() == 3)
        .await;
    site.store
        .put("op", "config", desired_state(2).to_string().as_bytes());
    site.wait_state(|text| text.contains("\"state_version\":2"))
        .await;
}

/// The key of a server that was in use: the server is used no more, the list goes on.
#[rstest]
#[case::nested(nested("[", "]"))]
#[case::number(with_number("slots", "1e999"))]
#[case::port(with_address("127.0.0.1:70000"))]
#[case::multicast(with_address("224.0.0.1:80"))]
#[tokio::test]
async fn odd_row_replaces_only_its_own_server(#[case] value: Vec<u8>) {
    let (first, second) = (start_worker("i1").await, start_worker("i2").await);
    let site = TestSite::start(&[(DESK, &first, "a"), (DESK, &second, "a")]).await;
    let key = format!("i-{}", first.address.port());
    site.store.put("servers", &key, &value);
    site.wait_state(|text| !text.contains(&key)).await;
    for _ in 0..4 {
        assert_eq!(site.call("/look/1", "r").await.status, StatusCode::OK);
    }
    site.register(DESK, &first, "a", "ready");
    site.wait_state(|text| text.contains(&key)).await;
}

/// The entry's own address is no server.
#[tokio::test]
async fn own_address_is_not_used() {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    let own = with_address(&site.listen.to_string());
    site.store.put("servers", "own", &own);
    wait_for("the odd row to be counted", async || {
        site.metric(ODD_ROWS).await >= 1.0
    })
    .await;
    for _ in 0..4 {
        assert_eq!(site.call("/look/1", "r").await.status, StatusCode::OK);
    }
}

/// Entries follow each other while odd rows come and go.
#[tokio::test]
async fn odd_rows_are_not_handed_on() {
    let store = RowStore::start().await.expect("a port");
    store.put("op", "config", desired_state(1).to_string().as_bytes());
    let address = store.address;
    let first = TestSite::start_entry("front-1", store.clone(), address, Stdio::null());
    first.wait_ready().await;
    let second = TestSite::start_entry("front-2", store.clone(), address, Stdio::null());
    second.wait_ready().await;
    let from_entry = "bamboocross_front_list_news_total{source=\"entry\"}";
    wait_for("updates from the other entry", async || {
        second.metric(from_entry).await >= 2.0
    })
    .await;
    for (number, value) in odd_values().iter().enumerate() {
        store.put("servers", &format!("odd-{number}"), value);
    }
    let worker = start_worker("i1").await;
    first.register(DESK, &worker, "a", "ready");
    let instance = format!("i-{}", worker.address.port());
    second.wait_state(|text| text.contains(&instance)).await;
    let before = second.metric(from_entry).await;
    wait_for("further updates", async || {
        second.metric(from_entry).await >= before + 2.0
    })
    .await;
    assert_eq!(second.call("/look/1", "r").await.status, StatusCode::OK);
}

/// Odd desired states leave the accepted one in force.
#[rstest]
#[case::nested(nested("[", "]"))]
#[case::number(br#"{"version":1e999,"routes":[],"services":[]}"#.to_vec())]
#[case::not_text(b"\xff\xfe".to_vec())]
#[tokio::test]
async fn odd_desired_state_changes_nothing(#[case] value: Vec<u8>) {
    let worker = start_worker("i1").await;
    let site = TestSite::start(&[(DESK, &worker, "a")]).await;
    site.store.put("op", "config", &value);
    for _ in 0..5 {
        assert_eq!(site.call("/look/1", "r").await.status, StatusCode::OK);
    }
    site.store
        .put("op", "config", desired_state(3).to_string().as_bytes());
    site.wait_state(|text| text.contains("\"state_version\":3"))
        .await;
}
