//! Tests the configuration under races, lost answers, outages, restarts, pauses and partitions.

mod fleet;

use aspenspring::configuration::SubmitOutcome;

use fleet::{Fleet, Table};

fn one_service(seed: u64, nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(seed, Fleet::options());
    for n in 0..nodes {
        fleet.start(&format!("node-{n}"), "front", &[]);
    }
    fleet.run(20);
    fleet
}

#[test]
fn an_accepted_document_is_in_force_everywhere_with_the_store_away_right_after() {
    let mut fleet = one_service(1, 8);
    fleet.submit(0, 7, 0, "{}");
    while fleet.nodes[0].outcomes.is_empty() {
        fleet.run_until(fleet.now_us + 1_000);
    }
    assert_eq!(fleet.nodes[0].outcomes, [(7, SubmitOutcome::Accepted { version: 1 })]);
    fleet.table = Table::Down;
    fleet.run(5);
    assert_eq!(fleet.count_with_version(1), 8);
}

#[test]
fn of_two_racing_operators_one_is_told_what_it_lost_to() {
    let mut fleet = one_service(2, 4);
    fleet.submit(0, 7, 0, "{\"a\":1}");
    fleet.submit(1, 8, 0, "{\"a\":2}");
    fleet.run(5);
    let mut won = 0;
    for (index, other) in [(0, 8), (1, 7)] {
        match &fleet.nodes[index].outcomes[..] {
            [(_, SubmitOutcome::Accepted { version: 1 })] => won += 1,
            [(_, SubmitOutcome::Conflict { lost_to: Some(entry) })] => {
                assert_eq!((entry.submission, entry.version), (other, 1));
                assert_eq!(entry.by, format!("operator {other}"));
            }
            outcomes => panic!("{outcomes:?}"),
        }
    }
    assert_eq!(won, 1);
}

#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let mut fleet = one_service(3, 4);
    fleet.table = Table::LoseAnswers;
    fleet.submit(0, 7, 0, "{}");
    fleet.run(5);
    assert_eq!(fleet.nodes[0].outcomes, [(7, SubmitOutcome::Accepted { version: 1 })]);
    assert_eq!(fleet.count_with_version(1), 4);
}

#[test]
fn a_restarted_node_is_not_ready_before_it_has_what_its_peers_have() {
    let mut fleet = one_service(4, 4);
    fleet.submit(0, 7, 0, "{}");
    fleet.run(5);
    fleet.table = Table::Down;
    fleet.kill(3);
    let restarted = fleet.start("node-3", "front", &[]);
    assert!(!fleet.nodes[restarted].configuration.is_ready());
    for _ in 0..60 {
        fleet.run(1);
        let configuration = &fleet.nodes[restarted].configuration;
        assert!(!configuration.is_ready() || configuration.version() == 1);
    }
}

#[test]
fn a_document_that_makes_no_rules_is_refused() {
    let mut fleet = one_service(5, 2);
    fleet.submit(0, 7, 0, "bad");
    let cause = "bad".to_owned();
    assert_eq!(fleet.nodes[0].outcomes, [(7, SubmitOutcome::Invalid { cause })]);
}

#[test]
fn a_node_that_was_frozen_is_not_ready_until_it_hears_a_version() {
    let mut fleet = one_service(6, 4);
    fleet.pause(2);
    fleet.submit(0, 7, 0, "{}");
    fleet.run(60);
    fleet.partition_of[2] = 1;
    fleet.table = Table::Down;
    fleet.resume(2);
    fleet.run(20);
    assert!(!fleet.nodes[2].configuration.is_ready());
    fleet.partition_of[2] = 0;
    fleet.run(20);
    assert!(fleet.nodes[2].configuration.is_ready());
    assert_eq!(fleet.nodes[2].configuration.version(), 1);
}
