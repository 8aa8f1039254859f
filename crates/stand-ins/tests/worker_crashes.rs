//! Scripted workers come back after their crashes.

use std::time::Duration;

use stand_ins::ScriptedWorker;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// A worker whose port is in use by another socket when its crash ends does not stay away.
#[tokio::test]
async fn port_in_use_at_the_end_of_a_crash() {
    let worker = ScriptedWorker::start("w").await.expect("a port");
    // The worker heeds crashes from its first connection.
    let connected = TcpStream::connect(worker.address).await;
    sleep(Duration::from_millis(20)).await;
    drop(connected);
    worker.crash_for(Duration::from_millis(50));
    let taken = async {
        loop {
            match TcpListener::bind(worker.address).await {
                Ok(listener) => return listener,
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
    };
    let listener = timeout(Duration::from_secs(10), taken).await;
    let listener = listener.expect("the worker crashed");
    sleep(Duration::from_millis(100)).await;
    drop(listener);
    let returned = async {
        while TcpStream::connect(worker.address).await.is_err() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let returned = timeout(Duration::from_secs(10), returned).await;
    assert!(returned.is_ok(), "the worker stays away");
}
