//! Callers that disconnect before their answer: running work is cancelled, and no new work starts.

use std::io::Write;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

use super::support::{
    Reaction, TestNode, ask, connect, link_nodes, read_message, request, run, start, status,
};

const FAST: Reaction = Reaction::Answer(200, 0);
/// Time within which work for a disconnected caller must end.
const CANCELLED_WITHIN: Duration = Duration::from_millis(500);

/// An entry node without a target for reads, and a node whose target takes `run_ms` for each.
async fn entry_and_target(run_ms: u64) -> (TestNode, TestNode) {
    let entry = start("page-1", "page", vec![FAST]).await;
    let other = start("stock-1", "stock", vec![Reaction::Answer(200, run_ms)]).await;
    link_nodes(&entry, &other).await;
    (entry, other)
}

async fn wait_for_arrival(at: &TestNode) {
    while at.target.arrivals() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until the target's only request has been cut off.
async fn expect_cut_off(at: &TestNode) {
    let cut_off = async {
        while at.target.cut_off.get() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(CANCELLED_WITHIN, cut_off).await.expect("the target still runs the cancelled request");
}

/// Sends a read followed by `trailing`, and disconnects once the read runs.
async fn disconnect_with(trailing: &str) {
    let (entry, other) = entry_and_target(700).await;
    let mut caller = connect(&entry).await;
    caller.write_all((request("read", "a1") + trailing).as_bytes()).await.unwrap();
    wait_for_arrival(&other).await;
    drop(caller);
    expect_cut_off(&other).await;
    sleep(Duration::from_millis(1_000)).await;
    assert_eq!(other.target.arrivals(), 1, "a pipelined request was started after the disconnect");
    assert_eq!(entry.node.in_flight.get(), 0);
}

#[test]
fn pipelined_bytes_do_not_hide_that_the_caller_has_disconnected() {
    run(async {
        disconnect_with(&request("read", "a2")).await;
        disconnect_with(&(request("read", "a2") + &request("read", "a3"))).await;
        disconnect_with("\r\n").await;
        disconnect_with(&"x".repeat(20_000)).await;
    });
}

#[test]
fn a_request_that_is_read_after_its_caller_has_left_is_not_begun() {
    run(async {
        let entry = start("stock-1", "stock", vec![FAST]).await;
        ask(&entry, &request("read", "warm")).await;
        let callers = entry.node.settings.listen.callers;
        for number in 0..20 {
            // The node shares this thread, so it reads only after the connection is closed.
            let mut caller = std::net::TcpStream::connect(callers).unwrap();
            caller.write_all(request("read", &format!("a{number}")).as_bytes()).unwrap();
        }
        std::thread::sleep(Duration::from_millis(50));
        let until = Instant::now() + CANCELLED_WITHIN;
        while Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(entry.target.arrivals(), 1);
    });
}

/// A node whose target runs `a1` for the returned caller; later requests get `reactions`.
async fn start_request(first_ms: u64, reactions: &[Reaction]) -> (TestNode, TcpStream) {
    let mut all = vec![Reaction::Answer(200, first_ms)];
    all.extend_from_slice(reactions);
    let entry = start("stock-1", "stock", all).await;
    let mut caller = connect(&entry).await;
    caller.write_all(request("read", "a1").as_bytes()).await.unwrap();
    wait_for_arrival(&entry).await;
    (entry, caller)
}

#[test]
fn a_call_does_not_outlive_the_run_whose_caller_has_left() {
    run(async {
        let (entry, caller) = start_request(60_000, &[Reaction::Answer(200, 60_000)]).await;
        let mut target = connect(&entry).await;
        target.write_all(request("read", "a1.b1").as_bytes()).await.unwrap();
        while entry.target.arrivals() < 2 {
            sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        let cut_off = async {
            while entry.target.cut_off.get() < 2 {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(CANCELLED_WITHIN, cut_off).await.expect("the call still runs after the disconnect");
        let answer = read_message(&mut target).await.expect("an answer");
        assert_eq!(status(&answer), 502, "it may have run");
    });
}

#[test]
fn a_call_for_a_run_whose_caller_has_left_is_not_begun() {
    run(async {
        let (entry, caller) = start_request(60_000, &[FAST]).await;
        drop(caller);
        expect_cut_off(&entry).await;
        assert_eq!(status(&ask(&entry, &request("read", "a1.b1")).await), 503);
        assert_eq!(entry.target.arrivals(), 1);
    });
}

#[test]
fn a_call_is_carried_through_after_its_run_was_answered() {
    run(async {
        let (entry, mut caller) = start_request(100, &[Reaction::Answer(200, 400)]).await;
        let call = request("read", "a1.b1");
        let (answer, called) = tokio::join!(read_message(&mut caller), ask(&entry, &call));
        assert_eq!(status(&answer.expect("an answer")), 200);
        assert_eq!(status(&called), 200);
    });
}
