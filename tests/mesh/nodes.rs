//! Whole nodes: which target gets a request, what the target receives, and what answer the caller
//! gets.

use std::rc::Rc;
use std::time::Duration;

use aspenspring::mesh::peers;
use aspenspring::mesh::running_requests::{ParentRequest, RunningRequests};
use aspenspring::mesh::target::TargetState;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::support::{
    Reaction, ask, connect, header, heartbeat, link_nodes, read_message, request, run, start,
    start_at, status, unused_address,
};

const FAST: Reaction = Reaction::Answer(200, 0);

#[test]
fn a_request_reaches_the_target_of_another_node_and_its_answer_comes_back() {
    run(async {
        let entry = start("page-1", "page", vec![FAST]).await;
        let other = start("stock-1", "stock", vec![FAST]).await;
        link_nodes(&entry, &other).await;
        let text = "POST /book/7?x=1 HTTP/1.1\r\nhost: shop.test\r\nx-attempt: a1\r\n\
                    x-calling: forged\r\nx-expected: forged\r\nx-other: kept\r\n\
                    x-deadline: 900\r\ncontent-length: 5\r\n\r\nhello";
        let answer = ask(&entry, text).await;
        assert_eq!(status(&answer), 200);
        assert!(answer.ends_with("stock-1"), "{answer}");
        assert_eq!(header(&answer, "x-signature").as_deref(), Some("stock-1"));
        let seen = other.target.seen.borrow()[0].clone();
        assert!(seen.starts_with("POST /book/7?x=1 HTTP/1.1\r\n"), "{seen}");
        assert!(seen.ends_with("\r\n\r\nhello"), "{seen}");
        assert_eq!(header(&seen, "x-attempt").as_deref(), Some("a1"));
        assert_eq!(header(&seen, "x-calling").as_deref(), Some("page"));
        assert_eq!(header(&seen, "x-expected").as_deref(), Some("stock-1"));
        assert_eq!(header(&seen, "x-other").as_deref(), Some("kept"));
        let left_ms: u64 = header(&seen, "x-deadline").unwrap().parse().unwrap();
        assert!(left_ms <= 900, "the forwarded deadline exceeds the caller's: {left_ms}");
        assert_eq!(entry.target.arrivals(), 0);
    });
}

#[test]
fn a_path_without_a_route_is_not_found_and_one_with_a_route_but_no_target_is_not_run() {
    run(async {
        let entry = start("page-1", "page", vec![FAST]).await;
        assert_eq!(status(&ask(&entry, &request("nowhere", "a1")).await), 404);
        let answer = ask(&entry, &request("book", "a2")).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some(), "{answer}");
    });
}

#[test]
fn an_at_most_once_request_is_not_retried_after_a_broken_answer() {
    run(async {
        let first = start("stock-1", "stock", vec![FAST]).await;
        let second = start("stock-2", "stock", vec![FAST]).await;
        link_nodes(&first, &second).await;
        // Earns enough budget for a retry.
        for number in 0..30 {
            ask(&first, &request("read", &format!("a{number}"))).await;
        }
        first.target.reactions.replace(vec![Reaction::Break]);
        second.target.reactions.replace(vec![Reaction::Break]);
        let answer = ask(&first, &request("book", "b1")).await;
        assert_eq!(status(&answer), 502, "it may have run, so it is not refused");
        assert_eq!(first.target.arrivals() + second.target.arrivals(), 31);
    });
}

#[test]
fn a_read_is_sent_to_another_target_after_a_broken_answer_while_the_budget_lasts() {
    run(async {
        let first = start("stock-1", "stock", vec![FAST]).await;
        let second = start("stock-2", "stock", vec![FAST]).await;
        link_nodes(&first, &second).await;
        for number in 0..60 {
            let answer = ask(&first, &request("read", &format!("a{number}"))).await;
            assert_eq!(status(&answer), 200);
        }
        first.target.reactions.replace(vec![Reaction::Break, FAST]);
        let before = first.target.arrivals();
        for number in 0.. {
            assert_eq!(status(&ask(&first, &request("read", &format!("b{number}"))).await), 200);
            if first.target.arrivals() > before {
                break;
            }
        }
    });
}

#[test]
fn a_read_is_sent_to_the_only_target_again() {
    run(async {
        let entry = start("stock-1", "stock", vec![FAST]).await;
        for number in 0..30 {
            ask(&entry, &request("read", &format!("a{number}"))).await;
        }
        entry.target.reactions.replace(vec![Reaction::Break, FAST]);
        assert_eq!(status(&ask(&entry, &request("read", "b1")).await), 200);
        assert_eq!(entry.target.arrivals(), 32);
    });
}

#[test]
fn a_failure_is_returned_although_its_retry_was_not_run() {
    run(async {
        let entry = start("stock-1", "stock", vec![FAST]).await;
        for number in 0..30 {
            ask(&entry, &request("read", &format!("a{number}"))).await;
        }
        entry.target.reactions.replace(vec![Reaction::Answer(500, 0), Reaction::Decline]);
        assert_eq!(status(&ask(&entry, &request("read", "b1")).await), 500);
        assert_eq!(entry.target.arrivals(), 33, "three attempts, the last two of them declined");
    });
}

#[test]
fn a_failure_that_comes_from_further_down_is_not_repeated_above() {
    run(async {
        let entry = start("stock-1", "stock", vec![FAST]).await;
        for number in 0..30 {
            ask(&entry, &request("read", &format!("a{number}"))).await;
        }
        entry.target.reactions.replace(vec![Reaction::Answer(500, 200), Reaction::Break, FAST]);
        let mut caller = connect(&entry).await;
        caller.write_all(request("read", "b1").as_bytes()).await.unwrap();
        while entry.target.arrivals() < 31 {
            sleep(Duration::from_millis(1)).await;
        }
        // An inner call of the target, made while it runs the request, fails.
        assert_eq!(status(&ask(&entry, &request("book", "b1.c1")).await), 502);
        let answer = read_message(&mut caller).await.unwrap();
        assert_eq!(status(&answer), 500);
        let scraped = entry.node.metrics.render(&entry.node);
        assert!(scraped.contains(r#"end="call-failed""#), "{scraped}");
        assert_eq!(entry.target.arrivals(), 32, "one for the request, one for the call");
    });
}

#[test]
fn a_target_that_fails_often_is_left_alone_while_another_has_room() {
    run(async {
        let entry = start("page-1", "page", vec![FAST]).await;
        let sound = start("stock-1", "stock", vec![FAST]).await;
        let failing = start("stock-2", "stock", vec![Reaction::Answer(500, 0)]).await;
        link_nodes(&entry, &sound).await;
        link_nodes(&entry, &failing).await;
        for number in 0..60 {
            ask(&entry, &request("book", &format!("a{number}"))).await;
        }
        assert!(failing.target.arrivals() < 10, "{}", failing.target.arrivals());
        assert!(sound.target.arrivals() > 50);
    });
}

#[test]
fn an_answer_that_a_target_gives_twice_is_not_taken_for_the_next_one() {
    run(async {
        let entry = start("stock-1", "stock", vec![Reaction::Twice]).await;
        for id in ["a1", "a2", "a3"] {
            let answer = ask(&entry, &request("book", id)).await;
            assert_eq!(header(&answer, "x-attempt").as_deref(), Some(id));
        }
        assert_eq!(entry.target.arrivals(), 3);
    });
}

/// Guards against requests that run twice, or are refused though they run: the copy of a rejection was taken for the
/// answer to the next offer of the same attempt on the same connection.
#[test]
fn a_late_copy_of_a_rejection_is_not_taken_for_the_answer_to_the_next_offer() {
    run(async {
        let slow = Reaction::Answer(200, 30);
        for (reactions, offers) in [
            (vec![Reaction::DeclineTwice, slow.clone()], 2),
            (vec![Reaction::Decline, Reaction::DeclineTwice, slow], 3),
        ] {
            let entry = start("stock-1", "stock", reactions).await;
            let answer = ask(&entry, &request("book", "a1")).await;
            assert_eq!((status(&answer), entry.target.arrivals()), (200, offers));
            let next = ask(&entry, &request("book", "a2")).await;
            assert_eq!(header(&next, "x-attempt").as_deref(), Some("a2"));
        }
    });
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    run(async {
        let entry = start("stock-1", "stock", vec![FAST]).await;
        assert!(entry.node.apply_document(&"3".into(), "test").unwrap());
        assert!(!entry.node.apply_document(&"2".into(), "test").unwrap());
        assert!(!entry.node.apply_document(&"3".into(), "test").unwrap());
        assert_eq!(entry.node.site_version(), 3);
    });
}

#[test]
fn a_request_that_a_target_declined_is_refused_and_not_failed() {
    run(async {
        let entry = start("stock-1", "stock", vec![Reaction::Decline]).await;
        let answer = ask(&entry, &request("book", "a1")).await;
        assert_eq!(status(&answer), 503);
        assert!(header(&answer, "retry-after").is_some());
    });
}

#[test]
fn a_target_that_fails_with_a_status_that_promises_not_run_is_not_believed() {
    run(async {
        let entry = start("stock-1", "stock", vec![Reaction::Answer(503, 0)]).await;
        let answer = ask(&entry, &request("book", "a1")).await;
        assert_eq!(status(&answer), 502, "the target did not say that it had not run");
        assert_eq!(
            header(&answer, "x-signature"),
            None,
            "the status is not the one the target gave and signed"
        );
    });
}

#[test]
fn a_draining_target_gets_nothing_more_and_its_requests_go_elsewhere() {
    run(async {
        let first = start("stock-1", "stock", vec![FAST]).await;
        let second = start("stock-2", "stock", vec![FAST]).await;
        link_nodes(&first, &second).await;
        let mut draining = heartbeat("stock-1", "stock", 2);
        draining.state = TargetState::Draining;
        first.node.target.apply_heartbeat(&draining);
        for number in 0..10 {
            // The second node does not know yet that the first target is draining, so the first
            // node refuses the request.
            for node in [&first, &second] {
                let answer = ask(node, &request("book", &format!("a{number}"))).await;
                assert_eq!(status(&answer), 200);
            }
        }
        assert_eq!(first.target.arrivals(), 0);
        assert_eq!(second.target.arrivals(), 20);
    });
}

#[test]
fn a_caller_that_leaves_ends_the_work_at_the_target() {
    run(async {
        let entry = start("page-1", "page", vec![FAST]).await;
        let other = start("stock-1", "stock", vec![Reaction::Answer(200, 60_000)]).await;
        link_nodes(&entry, &other).await;
        let mut caller = connect(&entry).await;
        caller.write_all(request("read", "a1").as_bytes()).await.unwrap();
        while other.target.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        drop(caller);
        while other.target.cut_off.get() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(other.node.target.load().running, 0);
        assert_eq!(entry.node.in_flight.get(), 0);
        let scraped = other.node.metrics.render(&other.node);
        assert!(
            !scraped.contains(r#"end="timeout""#),
            "the call ended only by its timeout: {scraped}"
        );
    });
}

#[test]
fn a_request_past_the_timeout_of_its_route_is_answered_while_the_target_runs_it() {
    run(async {
        let entry = start("stock-1", "stock", vec![Reaction::Answer(200, 60_000)]).await;
        let answer = ask(&entry, &request("hasty", "a1")).await;
        assert_eq!(status(&answer), 504);
    });
}

#[test]
fn calls_of_a_target_are_distinguished_from_requests_of_callers() {
    run(async {
        let entry = start("stock-1", "stock", vec![Reaction::Answer(200, 400)]).await;
        let mut caller = connect(&entry).await;
        caller.write_all(request("read", "a1").as_bytes()).await.unwrap();
        while entry.target.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        let parent = entry.node.running_requests.parent("a1.b2").expect("the target runs a1");
        assert_eq!((&*parent.root, parent.rank), ("read", 1));
        assert!(entry.node.running_requests.parent("a1x.b2").is_none());
        assert!(entry.node.running_requests.parent("a1").is_none());
        read_message(&mut caller).await.expect("an answer");
        assert!(entry.node.running_requests.parent("a1.b2").is_none(), "it has ended");
    });
}

/// Guards against calls that are refused as orphans while their parent request runs: of two runs of one attempt, the
/// one that ended first took the other with it.
#[test]
fn the_end_of_one_run_of_an_attempt_leaves_the_other() {
    let running = RunningRequests::default();
    let parent = |rank| ParentRequest {
        root: "read".into(),
        rank,
        deadline: Instant::now(),
        is_repeat: false,
        team: "".into(),
        has_failed_below: Rc::default(),
        calls: Rc::default(),
        inner_call_time: Rc::default(),
        withdrawn: CancellationToken::new(),
    };
    let first = running.register("a1", parent(1));
    let second = running.register("a1", parent(2));
    drop(first);
    let found = running.parent("a1.b2").expect("the second run goes on");
    assert!(found.rank == 2 && !found.withdrawn.is_cancelled());
    assert!(!running.has_unanswered_parent("a1.b2"));
    let third = running.register("a1", parent(3));
    assert_eq!(running.running_of("read"), 2);
    second.finish();
    assert_eq!(running.parent("a1.b2").unwrap().rank, 3);
    drop(third);
    assert!(running.parent("a1.b2").is_none() && running.has_unanswered_parent("a1.b2"));
}

#[test]
fn another_incarnation_at_the_address_does_not_run_requests_for_the_first() {
    run(async {
        let misdirect = Reaction::Misdirect("stock-1b".to_owned());
        let entry = start("stock-1", "stock", vec![misdirect, FAST]).await;
        assert_eq!(status(&ask(&entry, &request("book", "a1")).await), 503);
        assert!(
            entry.node.target.current().is_none(),
            "no heartbeat of the instance that answered is known"
        );
        entry.node.target.apply_heartbeat(&heartbeat("stock-1b", "stock", 1));
        assert_eq!(status(&ask(&entry, &request("book", "a2")).await), 200);
    });
}

#[test]
fn other_nodes_learn_at_once_by_which_routes_requests_reach_a_target() {
    run(async {
        let entry = start("page-1", "page", vec![FAST]).await;
        let other = start("stock-1", "stock", vec![FAST]).await;
        link_nodes(&entry, &other).await;
        let peer = entry.node.directory.get(other.node.settings.listen.peers).unwrap();
        // Calls keep the link busy, so it is never pinged, and the status must come without a ping.
        for number in 0.. {
            ask(&entry, &request("read", &format!("a{number}"))).await;
            if peer.status.borrow().roots.iter().any(|work| work.root == "read") {
                return;
            }
        }
    });
}

#[test]
fn a_node_that_says_hello_is_dialled_at_once() {
    run(async {
        let first = start("page-1", "page", vec![FAST]).await;
        let address = unused_address();
        peers::add_peer(&first.node, address, "a");
        // By now the first node redials only every one or two seconds.
        sleep(Duration::from_millis(1_800)).await;
        let second = start_at(address.ip(), "stock-1", "stock", vec![FAST]).await;
        let linked = timeout(Duration::from_secs(1), link_nodes(&second, &first)).await;
        assert!(linked.is_ok(), "the first node waited for its next redial");
    });
}
