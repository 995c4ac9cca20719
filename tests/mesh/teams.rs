//! Authentication by API key, the team name sent to targets, and quotas.
//!
//! Guards against requests served without a valid key, keys passed on to targets, team names taken over from
//! callers, and quotas that are not enforced: without them, a team limited to 40 requests per second ran 707 in
//! five seconds.

use std::time::Duration;

use aspenspring::mesh::site::{Limits, RouteKind, Site};
use aspenspring::mesh::teams::roster::{Quota, Roster, RosterError, Team};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use super::support::{
    Reaction, TestNode, ask, connect, header, link_nodes, read_message, route, run, start, status,
};

const FAST: Reaction = Reaction::Answer(200, 0);

/// Two teams without a quota.
const TEAMS: &str = "2 growers:green-key,old-key:0:0 buyers:blue-key:0:0";

/// A request with additional header lines.
fn request_with(route: &str, id: &str, lines: &str) -> String {
    format!("GET /{route}/1 HTTP/1.1\r\nhost: shop.test\r\nx-attempt: {id}\r\n{lines}\r\n")
}

/// A request with a key.
fn keyed(id: &str, key: &str) -> String {
    request_with("read", id, &format!("x-key: {key}\r\n"))
}

/// An entry node, and the node whose target serves its requests, with a configuration applied.
async fn entry_and_target(document: &'static str, reaction: Reaction) -> (TestNode, TestNode) {
    let entry = start("page-1", "page", vec![FAST]).await;
    let target_node = start("stock-1", "stock", vec![reaction]).await;
    link_nodes(&entry, &target_node).await;
    for node in [&entry, &target_node] {
        assert!(node.node.apply_document(&document.into(), "test").unwrap());
    }
    (entry, target_node)
}

#[test]
fn only_requests_with_exactly_one_valid_key_are_admitted() {
    run(async {
        let (entry, target_node) = entry_and_target(TEAMS, FAST).await;
        for lines in [
            "",
            "x-key:\r\n",
            "x-key: green\r\n",
            "x-key: green-key2\r\n",
            "x-key: GREEN-KEY\r\n",
            "x-key: green-key, blue-key\r\n",
            "x-key: green-key\r\nX-Key: blue-key\r\n",
            "x-key: green-key\r\nx-key: green-key\r\n",
            "x-team: growers\r\n",
        ] {
            let answer = ask(&entry, &request_with("read", "a1", lines)).await;
            assert_eq!(status(&answer), 401, "{lines:?}");
        }
        // The id of a target's own call needs no key, but does not admit a caller that forges such an id.
        let forged = ask(&entry, &request_with("read", "a1.b2", "")).await;
        assert_ne!(status(&forged), 200);
        assert_eq!(target_node.target.arrivals(), 0);
        assert_eq!(status(&ask(&entry, &keyed("a2", "green-key")).await), 200);
        assert_eq!(status(&ask(&entry, &keyed("a3", "blue-key")).await), 200);
    });
}

#[test]
fn a_request_without_a_key_is_refused_before_its_body_arrives() {
    run(async {
        let (entry, _other) = entry_and_target(TEAMS, FAST).await;
        let mut caller = connect(&entry).await;
        let head = "POST /book/1 HTTP/1.1\r\nhost: shop.test\r\ncontent-length: 9\r\n\r\n";
        caller.write_all(head.as_bytes()).await.unwrap();
        let answer = read_message(&mut caller).await.expect("an answer");
        assert_eq!(status(&answer), 401);
    });
}

#[test]
fn the_target_gets_the_team_name_but_never_the_key() {
    run(async {
        let (entry, target_node) = entry_and_target(TEAMS, FAST).await;
        let lines =
            "X-Key: green-key\r\nx-team: buyers\r\nX-TEAM: all\r\nconnection: x-team, x-key\r\n";
        assert_eq!(status(&ask(&entry, &request_with("read", "a1", lines)).await), 200);
        let open = request_with("open", "a2", "x-key: nobodys\r\nx-team: buyers\r\n");
        assert_eq!(status(&ask(&entry, &open).await), 200);
        let seen = target_node.target.seen.borrow();
        assert_eq!(header(&seen[0], "x-team").as_deref(), Some("growers"));
        assert_eq!(seen[0].to_ascii_lowercase().matches("x-team").count(), 1);
        assert_eq!(
            header(&seen[1], "x-team"),
            None,
            "the route needs no key, and this key belongs to no team"
        );
        for request in seen.iter() {
            assert!(!request.to_ascii_lowercase().contains("key"), "{request}");
        }
    });
}

#[test]
fn calls_of_a_target_need_no_key_and_belong_to_the_team_of_their_parent() {
    run(async {
        let (entry, target_node) = entry_and_target(TEAMS, Reaction::Answer(200, 400)).await;
        let mut caller = connect(&entry).await;
        caller.write_all(keyed("a1", "green-key").as_bytes()).await.unwrap();
        while target_node.target.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        // The target makes a call through its own node while it runs the request.
        let inner = ask(&target_node, &request_with("read", "a1.b2", "x-team: buyers\r\n")).await;
        assert_eq!(status(&inner), 200);
        assert_eq!(
            header(&target_node.target.seen.borrow()[1], "x-team").as_deref(),
            Some("growers")
        );
        read_message(&mut caller).await.expect("an answer");
        // The run has ended; a late call has no parent and is refused as orphaned, not for its missing key.
        let late = ask(&target_node, &request_with("read", "a1.b3", "")).await;
        assert_eq!(status(&late), 503);
        assert_eq!(target_node.target.arrivals(), 2);
    });
}

#[test]
fn a_revoked_key_is_refused_on_connections_that_stay_open() {
    run(async {
        let (entry, _other) = entry_and_target(TEAMS, FAST).await;
        let mut caller = connect(&entry).await;
        let mut answers = Vec::new();
        for document in [TEAMS, "3 growers:new-key:0:0", "4 growers:old-key:0:0", "5 growers::0:0"]
        {
            entry.node.apply_document(&document.into(), "test").unwrap();
            caller.write_all(keyed("a1", "old-key").as_bytes()).await.unwrap();
            answers.push(status(&read_message(&mut caller).await.expect("an answer")));
        }
        assert_eq!(answers, [200, 401, 200, 401]);
    });
}

#[test]
fn ambiguous_teams_are_refused() {
    run(async {
        let (entry, _other) = entry_and_target(TEAMS, FAST).await;
        for document in ["3 growers:one:0:0 buyers:one:0:0", "4 growers:a:0:0 growers:b:0:0"] {
            assert!(entry.node.apply_document(&document.into(), "test").is_err(), "{document}");
        }
        assert_eq!(status(&ask(&entry, &keyed("a1", "green-key")).await), 200);
        let team = |name: &str| Team { name: name.into(), rank: None, quota: None };
        let roster = |name: &str, key: &str| Roster::new(vec![(team(name), vec![key.to_owned()])]);
        assert_eq!(roster("", "a").unwrap_err(), RosterError::EmptyName);
        assert_eq!(roster("b", "").unwrap_err(), RosterError::EmptyKey("b".to_owned()));
    });
}

/// The rank of a team must not replace that of its routes: otherwise, under overload, orders are refused
/// as often as page views of teams of the same rank, which cost the most on a busy day.
#[test]
fn requests_are_ranked_by_team_and_then_by_route() {
    let team = |name: &str, rank| Team { name: name.into(), rank, quota: None };
    let (first, second, last) = (team("a", Some(3)), team("b", Some(7)), team("c", None));
    let listed =
        |teams: &[&Team]| Roster::new(teams.iter().map(|team| ((*team).clone(), vec![])).collect());
    let routes = || {
        vec![
            route("book", "stock", RouteKind::AtMostOnce, 0),
            route("read", "stock", RouteKind::Idempotent, 2),
        ]
    };
    let site = |teams: &[&Team]| {
        Site::new(1, routes(), Limits::default()).with_teams(listed(teams).unwrap())
    };
    let ranks = |site: &Site, team| {
        ["/book/1", "/read/1"].map(|path| site.rank(&site.route("shop.test", path).unwrap(), team))
    };
    let one_rank = site(&[&first]);
    assert_eq!(ranks(&one_rank, Some(&first)), [0, 2], "same as without teams");
    assert_eq!(one_rank.rank_max(), 2);
    let two_ranks = site(&[&second, &first, &last]);
    assert_eq!(ranks(&two_ranks, Some(&first)), [0, 2]);
    assert_eq!(ranks(&two_ranks, Some(&second)), [3, 5]);
    assert_eq!(ranks(&two_ranks, Some(&last)), [3, 5], "a team without a rank");
    assert_eq!(ranks(&two_ranks, None), [3, 5]);
    assert_eq!(two_ranks.rank_max(), 5);
}

/// The number of requests admitted out of `count`, sent to the given entry nodes in turn. The others must be refused
/// with a `retry-after` header.
async fn count_admitted(entries: &[&TestNode], count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let answer = ask(entries[number % entries.len()], &keyed("a1", "green-key")).await;
        match status(&answer) {
            200 => served += 1,
            429 => assert!(header(&answer, "retry-after").is_some(), "{answer}"),
            other => panic!("status {other}"),
        }
    }
    served
}

#[test]
fn the_quota_of_a_team_holds_over_all_nodes_together() {
    run(async {
        let (entry, target_node) = entry_and_target("2 growers:green-key:2:20", FAST).await;
        // Until each node knows that the other is a member of the fleet, and 2 tokens per second have made 20.
        sleep(Duration::from_secs(11)).await;
        let served = count_admitted(&[&entry, &target_node], 60).await;
        assert!((20..=22).contains(&served), "{served} were admitted at once");
        for node in [&entry, &target_node] {
            assert!(node.node.apply_document(&"3 growers:green-key:1:1".into(), "test").unwrap());
        }
        sleep(Duration::from_millis(1_100)).await;
        let served = count_admitted(&[&entry, &target_node], 40).await;
        assert!((1..=2).contains(&served), "{served} were admitted after the quota was lowered");
    });
}

#[test]
fn requests_within_the_quota_are_admitted_at_any_entry_node() {
    run(async {
        let (entry, target_node) = entry_and_target("2 growers:green-key:500:100", FAST).await;
        sleep(Duration::from_millis(400)).await;
        assert_eq!(count_admitted(&[&entry], 60).await, 60);
        assert_eq!(count_admitted(&[&target_node], 60).await, 60);
        let quota = Quota { per_s: 500.0, burst: 100.0 };
        assert_eq!(entry.node.site().unwrap().teams.team("growers").unwrap().quota, Some(quota));
    });
}

/// A request that no target accepts must not use up its team's quota. Otherwise refused requests and their
/// retries exhaust it, and requests within the quota get 429: two in five of all 429s on a busy day.
#[test]
fn a_request_that_has_not_run_uses_no_quota() {
    run(async {
        let (entry, target_node) = entry_and_target("2 growers:green-key:25:20", FAST).await;
        sleep(Duration::from_millis(1_000)).await;
        target_node.target.reactions.replace(vec![Reaction::Decline]);
        for _ in 0..60 {
            assert_eq!(status(&ask(&entry, &keyed("a1", "green-key")).await), 503);
        }
    });
}

/// Sends requests of a team to stopping nodes in turn, and returns how many were admitted. Those beyond its quota
/// must be refused.
async fn admitted_while_stopping(entries: &[&TestNode], count: usize) -> usize {
    let admitted = count_admitted(entries, count).await;
    for entry in entries {
        assert!(entry.node.is_stopping() && !entry.node.is_closing());
        let fleet = entry.node.quotas.fleet();
        assert_eq!((fleet.members.len(), fleet.share()), (entries.len(), 1.0), "{fleet:?}");
    }
    admitted
}

/// Waits until a stopping node knows that its peer is stopping, too, and no longer changes its fleet.
async fn wait_for_stopping_fleet(at: &TestNode, peer: &TestNode) {
    let address = peer.node.settings.listen.peers;
    let is_settled = || {
        let known = at.node.directory.get(address);
        known.is_some_and(|known| known.status.borrow().stopping)
            && *at.node.quotas.fleet() == at.node.directory.fleet(true)
    };
    while !is_settled() {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against nodes that abort on requests of teams with quotas once all other nodes are stopping or down: no
/// node owned the quota, and the time until the next token overflowed.
#[test]
fn stopping_nodes_admit_by_quota_when_all_nodes_stop() {
    run(async {
        let (first, second) = entry_and_target("2 growers:green-key:100:20", FAST).await;
        sleep(Duration::from_millis(400)).await;
        for node in [&first, &second] {
            node.node.stop();
        }
        wait_for_stopping_fleet(&first, &second).await;
        wait_for_stopping_fleet(&second, &first).await;
        // Until an owner that has just changed has the whole burst.
        sleep(Duration::from_millis(250)).await;
        let admitted = admitted_while_stopping(&[&first, &second], 60).await;
        // The burst, and what accrues in the second that 60 requests take at most.
        assert!((20..=120).contains(&admitted), "{admitted} were admitted");
    });
}

/// Guards against the same abort of a node that is alone.
#[test]
fn a_stopping_node_without_peers_admits_by_quota() {
    run(async {
        let alone = start("stock-1", "stock", vec![FAST]).await;
        alone.node.has_read_nodes.set(true);
        assert!(alone.node.apply_document(&"2 growers:green-key:2:20".into(), "test").unwrap());
        sleep(Duration::from_millis(400)).await;
        alone.node.stop();
        sleep(Duration::from_millis(250)).await;
        let admitted = admitted_while_stopping(&[&alone], 60).await;
        assert!(admitted < 60, "the quota still holds");
    });
}

/// Guards against nodes that each own every quota after all of them have been restarted, until they know
/// each other.
#[test]
fn a_node_that_does_not_know_the_others_grants_no_tokens() {
    run(async {
        let (first, second) = entry_and_target("2 growers:green-key:100:50", FAST).await;
        let alone = start("stock-2", "stock", vec![FAST]).await;
        assert!(alone.node.apply_document(&"2 growers:green-key:100:50".into(), "test").unwrap());
        sleep(Duration::from_millis(400)).await;
        assert_eq!(status(&ask(&first, &keyed("a1", "green-key")).await), 200);
        alone.node.has_joined.set(false);
        let refused = ask(&alone, &keyed("a1", "green-key")).await;
        assert_eq!(status(&refused), 503);
        assert!(header(&refused, "retry-after").is_some());
        assert_eq!(alone.target.arrivals(), 0);
        // A request that waits is decided by the quota as soon as the others are known.
        let request = keyed("a2", "green-key");
        let (decided, ()) = tokio::join!(ask(&alone, &request), async {
            for node in [&first, &second] {
                link_nodes(&alone, node).await;
            }
            alone.node.has_joined.set(true);
        });
        assert!(matches!(status(&decided), 200 | 429), "{decided}");
        sleep(Duration::from_millis(250)).await;
        assert_eq!(status(&ask(&alone, &request).await), 200);
    });
}
