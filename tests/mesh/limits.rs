//! Targets that name a limit in their answers, or state that they leave.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::support::{
    Reaction, TestNode, ask, header, heartbeat, link_nodes, request, run, start, status,
};

/// The most requests that a target may get in four seconds, by the limit that it names.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * 4.0 + 5.0) as usize
}

/// Two entry nodes without a target of `stock`, and one node whose target of `stock` answers with `signals`.
async fn start_site(signals: &str) -> (TestNode, TestNode, TestNode) {
    let first = start("first", "page", vec![Reaction::Answer(200, 1)]).await;
    let second = start("second", "page", vec![Reaction::Answer(200, 1)]).await;
    let stock = start("stock", "stock", vec![Reaction::Answer(200, 1)]).await;
    link_nodes(&first, &stock).await;
    link_nodes(&second, &stock).await;
    signals.clone_into(&mut stock.target.signals.borrow_mut());
    (first, second, stock)
}

/// Sends requests to both entry nodes for `period`. Returns the statuses of the answers.
async fn send_for(period: Duration, entries: [&TestNode; 2], route: &str) -> Vec<u16> {
    let (until, mut statuses) = (Instant::now() + period, Vec::new());
    while Instant::now() < until {
        for entry in entries {
            let answer = ask(entry, &request(route, &format!("a{}", statuses.len()))).await;
            statuses.push(status(&answer));
        }
        sleep(Duration::from_millis(2)).await;
    }
    statuses
}

#[test]
fn a_target_gets_no_more_than_the_limit_that_it_names() {
    run(async {
        let (first, second, stock) = start_site("x-limit: 4\r\n").await;
        let statuses = send_for(Duration::from_millis(3_500), [&first, &second], "read").await;
        let arrivals = stock.target.arrivals();
        assert!(arrivals <= allowed(4.0), "{arrivals} of {} arrived", statuses.len());
    });
}

#[test]
fn a_target_that_states_that_it_leaves_gets_no_more_requests() {
    run(async {
        let (first, second, stock) = start_site("x-leaving: 1\r\n").await;
        assert_eq!(status(&ask(&first, &request("read", "a1")).await), 200);
        for entry in [&first, &second] {
            stock.node.target.apply_heartbeat(&heartbeat("stock", "stock", 2));
            let refused = ask(entry, &request("book", "a2")).await;
            assert_eq!(status(&refused), 503, "{refused}");
            assert!(header(&refused, "retry-after").is_some(), "{refused}");
        }
        assert_eq!(stock.target.arrivals(), 1);
        stock.target.signals.borrow_mut().clear();
        stock.node.target.apply_heartbeat(&heartbeat("next", "stock", 1));
        while status(&ask(&first, &request("read", "a3")).await) != 200 {
            sleep(Duration::from_millis(5)).await;
        }
    });
}
