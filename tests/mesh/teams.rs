//! Teams: who is let in, under which name, and how many requests of a team.
//!
//! Before there were teams a request was served whatever key it had, the key reached the target, the name of
//! the team was whatever the caller said, and a team limited to 40 requests a second ran 707 in five.

use std::time::Duration;

use aspenspring::mesh::site::{Limits, RouteKind, Site};
use aspenspring::mesh::teams::roster::{Quota, Roster, RosterError, Team};
use tokio::io::AsyncWriteExt;
use tokio::time::sleep;

use super::support::{
    Reaction, TestNode, ask, connect, header, link_nodes, read_message, route, run, start, status,
};

const FAST: Reaction = Reaction::Answer(200, 0);

/// Two teams without a limit.
const TEAMS: &str = "2 growers:green-key,old-key:0:0 buyers:blue-key:0:0";

/// A request with the given lines among its headers.
fn request_with(route: &str, id: &str, lines: &str) -> String {
    format!("GET /{route}/1 HTTP/1.1\r\nhost: shop.test\r\nx-attempt: {id}\r\n{lines}\r\n")
}

/// A request with a key.
fn keyed(id: &str, key: &str) -> String {
    request_with("read", id, &format!("x-key: {key}\r\n"))
}

/// An entry and the node beside the target that its requests reach, with a configuration in force.
async fn entry_and_target(document: &'static str, reaction: Reaction) -> (TestNode, TestNode) {
    let entry = start("page-1", "page", vec![FAST]).await;
    let other = start("stock-1", "stock", vec![reaction]).await;
    link_nodes(&entry, &other).await;
    for node in [&entry, &other] {
        assert!(node.node.apply_document(&document.into(), "test").unwrap());
    }
    (entry, other)
}

#[test]
fn only_a_request_with_one_key_that_a_team_holds_is_let_in() {
    run(async {
        let (entry, other) = entry_and_target(TEAMS, FAST).await;
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
        // The id of a call that the target makes lets in nobody whose call it is not.
        let forged = ask(&entry, &request_with("read", "a1.b2", "")).await;
        assert_ne!(status(&forged), 200);
        assert_eq!(other.target.arrivals(), 0);
        assert_eq!(status(&ask(&entry, &keyed("a2", "green-key")).await), 200);
        assert_eq!(status(&ask(&entry, &keyed("a3", "blue-key")).await), 200);
    });
}

#[test]
fn a_request_without_a_key_is_refused_before_its_body_is_there() {
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
fn the_target_is_told_the_team_and_never_the_key() {
    run(async {
        let (entry, other) = entry_and_target(TEAMS, FAST).await;
        let lines =
            "X-Key: green-key\r\nx-team: buyers\r\nX-TEAM: all\r\nconnection: x-team, x-key\r\n";
        assert_eq!(status(&ask(&entry, &request_with("read", "a1", lines)).await), 200);
        let open = request_with("open", "a2", "x-key: nobodys\r\nx-team: buyers\r\n");
        assert_eq!(status(&ask(&entry, &open).await), 200);
        let seen = other.target.seen.borrow();
        assert_eq!(header(&seen[0], "x-team").as_deref(), Some("growers"));
        assert_eq!(seen[0].to_ascii_lowercase().matches("x-team").count(), 1);
        assert_eq!(
            header(&seen[1], "x-team"),
            None,
            "the route needs no key, and nobody holds this one"
        );
        for request in seen.iter() {
            assert!(!request.to_ascii_lowercase().contains("key"), "{request}");
        }
    });
}

#[test]
fn calls_of_a_target_need_no_key_and_belong_to_the_team_of_their_parent() {
    run(async {
        let (entry, other) = entry_and_target(TEAMS, Reaction::Answer(200, 400)).await;
        let mut caller = connect(&entry).await;
        caller.write_all(keyed("a1", "green-key").as_bytes()).await.unwrap();
        while other.target.arrivals() == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        // The target calls through the node beside it; that call makes one of its own.
        let inner = ask(&other, &request_with("read", "a1.b2", "x-team: buyers\r\n")).await;
        assert_eq!(status(&inner), 200);
        assert_eq!(header(&other.target.seen.borrow()[1], "x-team").as_deref(), Some("growers"));
        read_message(&mut caller).await.expect("an answer");
        // The run is over; a call that comes late is nobody's, and is not refused for want of a key.
        let late = ask(&other, &request_with("read", "a1.b3", "")).await;
        assert_eq!(status(&late), 503);
        assert_eq!(other.target.arrivals(), 2);
    });
}

#[test]
fn a_key_that_is_taken_away_lets_in_nothing_more_on_a_connection_that_stays_open() {
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
fn teams_that_cannot_be_told_apart_do_not_come_into_force() {
    run(async {
        let (entry, _other) = entry_and_target(TEAMS, FAST).await;
        for document in ["3 growers:one:0:0 buyers:one:0:0", "4 growers:a:0:0 growers:b:0:0"] {
            assert!(entry.node.apply_document(&document.into(), "test").is_err(), "{document}");
        }
        assert_eq!(status(&ask(&entry, &keyed("a1", "green-key")).await), 200);
        let team = |name: &str| Team { name: name.into(), rank: None, quota: None };
        let roster = |name: &str, key: &str| Roster::new(vec![(team(name), vec![key.to_owned()])]);
        assert_eq!(roster("", "a").unwrap_err(), RosterError::NoName);
        assert_eq!(roster("b", "").unwrap_err(), RosterError::EmptyKey("b".to_owned()));
    });
}

/// A team's rank took the place of its route's, so that under overload orders of teams of one rank were refused
/// as often as pages, and what was put behind the less urgent cost a busy day most.
#[test]
fn a_team_s_rank_goes_before_its_route_s_and_the_route_s_still_counts() {
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
    assert_eq!(ranks(&one_rank, Some(&first)), [0, 2], "as without teams");
    assert_eq!(one_rank.rank_max(), 2);
    let two_ranks = site(&[&second, &first, &last]);
    assert_eq!(ranks(&two_ranks, Some(&first)), [0, 2]);
    assert_eq!(ranks(&two_ranks, Some(&second)), [3, 5]);
    assert_eq!(ranks(&two_ranks, Some(&last)), [3, 5], "it has none");
    assert_eq!(ranks(&two_ranks, None), [3, 5]);
    assert_eq!(two_ranks.rank_max(), 5);
}

/// How many of `count` requests, sent in turn to the given entries, are let in; the others are told when to
/// come back.
async fn let_in(entries: &[&TestNode], count: usize) -> usize {
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
        let (entry, other) = entry_and_target("2 growers:green-key:2:20", FAST).await;
        // Until each knows that the other is a member of the fleet, and 2 a second have made 20.
        sleep(Duration::from_secs(11)).await;
        let served = let_in(&[&entry, &other], 60).await;
        assert!((20..=22).contains(&served), "{served} were let in at once");
        for node in [&entry, &other] {
            assert!(node.node.apply_document(&"3 growers:green-key:1:1".into(), "test").unwrap());
        }
        sleep(Duration::from_millis(1_100)).await;
        let served = let_in(&[&entry, &other], 40).await;
        assert!((1..=2).contains(&served), "{served} were let in after the limit was lowered");
    });
}

#[test]
fn what_a_team_sends_within_its_quota_is_let_in_at_whichever_entry_it_comes() {
    run(async {
        let (entry, other) = entry_and_target("2 growers:green-key:500:100", FAST).await;
        sleep(Duration::from_millis(400)).await;
        assert_eq!(let_in(&[&entry], 60).await, 60);
        assert_eq!(let_in(&[&other], 60).await, 60);
        let quota = Quota { per_s: 500.0, burst: 100.0 };
        assert_eq!(entry.node.site().unwrap().teams.team("growers").unwrap().quota, Some(quota));
    });
}

/// Requests that were refused for want of room used up their team's quota, and so did the same callers when
/// they returned: on a busy day two in five 429s were within the quota.
#[test]
fn a_request_that_has_not_run_costs_its_team_nothing() {
    run(async {
        let (entry, other) = entry_and_target("2 growers:green-key:25:20", FAST).await;
        sleep(Duration::from_millis(1_000)).await;
        other.target.reactions.replace(vec![Reaction::Decline]);
        for _ in 0..60 {
            assert_eq!(status(&ask(&entry, &keyed("a1", "green-key")).await), 503);
        }
    });
}
