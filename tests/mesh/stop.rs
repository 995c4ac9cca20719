//! A planned stop cuts off no request that was accepted.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::sleep;

use super::support::{
    GRACE_MS, Reaction, ask, connect, header, link_nodes, read_message, request, run, start, status,
};

#[test]
fn an_answer_arrives_though_another_request_waits_behind_it() {
    run(async {
        let entry = start("stock-1", "stock", vec![Reaction::Answer(200, 150)]).await;
        let mut caller = connect(&entry).await;
        caller.write_all(request("read", "a1").as_bytes()).await.unwrap();
        while entry.target.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        entry.node.stop();
        // Large enough that a part is still unread when the connection is closed.
        let behind = format!(
            "GET /read/2 HTTP/1.1\r\nhost: shop.test\r\nx-attempt: a2\r\nx-pad: {}\r\n\r\n",
            "x".repeat(3_000)
        );
        for _ in 0..60 {
            caller.write_all(behind.as_bytes()).await.unwrap();
        }
        sleep(Duration::from_millis(300)).await;
        let answer = read_message(&mut caller).await.expect("the answer arrives");
        assert_eq!(status(&answer), 200);
        assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
        let mut rest = [0; 1];
        let closed = caller.read(&mut rest).await;
        assert_eq!(closed.expect("closed after the answer, not reset"), 0);
        assert_eq!(entry.target.arrivals(), 1, "no pipelined request was forwarded");
    });
}

#[test]
fn an_answer_is_not_held_for_the_one_behind_it() {
    run(async {
        let reactions = vec![Reaction::Answer(200, 0), Reaction::Answer(200, 60_000)];
        let entry = start("stock-1", "stock", reactions).await;
        let mut caller = connect(&entry).await;
        let both = request("read", "a1") + &request("read", "a2");
        caller.write_all(both.as_bytes()).await.unwrap();
        while entry.target.arrivals() < 2 {
            sleep(Duration::from_millis(5)).await;
        }
        let answer = read_message(&mut caller).await.expect("the first answer");
        assert_eq!(header(&answer, "x-attempt").as_deref(), Some("a1"));
    });
}

#[test]
fn a_stopping_node_serves_its_target_for_a_while_and_then_finishes_what_it_has() {
    run(async {
        let entry = start("page-1", "page", vec![Reaction::Answer(200, 0)]).await;
        let reactions = vec![Reaction::Answer(200, 0), Reaction::Answer(200, 600)];
        let leaving = start("stock-1", "stock", reactions).await;
        link_nodes(&entry, &leaving).await;
        leaving.node.stop();
        assert!(!leaving.node.is_ready());
        assert_eq!(
            status(&ask(&entry, &request("book", "a1")).await),
            200,
            "its target still accepts calls"
        );
        sleep(Duration::from_millis(GRACE_MS / 3 - 300)).await;
        let mut caller = connect(&entry).await;
        caller.write_all(request("book", "a2").as_bytes()).await.unwrap();
        while leaving.target.arrivals() < 2 {
            sleep(Duration::from_millis(5)).await;
        }
        while leaving.node.accepts_calls() {
            sleep(Duration::from_millis(5)).await;
        }
        for node in [&entry, &leaving] {
            assert_eq!(status(&ask(node, &request("book", "a3")).await), 503);
        }
        let answer = read_message(&mut caller).await.expect("an answer");
        assert_eq!(status(&answer), 200);
        assert_eq!(leaving.target.arrivals(), 2);
    });
}

#[test]
fn a_node_about_to_end_refuses_what_it_could_not_finish() {
    run(async {
        let entry = start("page-1", "page", vec![Reaction::Answer(200, 0)]).await;
        let other = start("stock-1", "stock", vec![Reaction::Answer(200, 0)]).await;
        link_nodes(&entry, &other).await;
        entry.node.stop();
        assert_eq!(status(&ask(&entry, &request("read", "a0")).await), 200);
        sleep(Duration::from_millis(GRACE_MS / 2 + 50)).await;
        let answer = ask(&entry, &request("read", "a1")).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
        assert_eq!(other.target.arrivals(), 1);
    });
}
