//! Tests membership under message loss, outages, process pauses, replaced VMs and leaving nodes.

mod fleet;

use aspenspring::membership::{MembershipEvent, MembershipOptions};

use fleet::{Fleet, Table};

/// Three nodes of `front`, which calls `stock`, and three of `stock`.
fn two_services(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, Fleet::options());
    for n in 0..3 {
        fleet.start(&format!("front-{n}"), "front", &["stock"]);
    }
    for n in 0..3 {
        fleet.start(&format!("stock-{n}"), "stock", &[]);
    }
    fleet
}

const FRONT: [usize; 3] = [0, 1, 2];
const STOCK: [usize; 3] = [3, 4, 5];

#[test]
fn nodes_find_the_services_they_call_and_no_others() {
    let mut fleet = two_services(1);
    fleet.run(20);
    for front in FRONT {
        assert!(STOCK.iter().all(|stock| fleet.sees_serving(front, *stock)));
    }
    for stock in STOCK {
        assert!(FRONT.iter().all(|front| !fleet.sees_serving(stock, *front)));
    }
}

#[test]
fn a_store_outage_of_an_hour_loses_nobody() {
    let mut fleet = two_services(2);
    fleet.run(20);
    fleet.table = Table::Down;
    fleet.loss = 0.2;
    fleet.run(3_600);
    for front in FRONT {
        assert!(STOCK.iter().all(|stock| fleet.sees_serving(front, *stock)));
    }
}

#[test]
fn a_dead_member_ages_out_and_stays_out() {
    let mut fleet = two_services(3);
    fleet.run(20);
    fleet.kill(STOCK[0]);
    fleet.run(120);
    assert!(FRONT.iter().all(|front| !fleet.sees_serving(*front, STOCK[0])));
    assert!(FRONT.iter().all(|front| fleet.sees_serving(*front, STOCK[1])));
}

#[test]
fn a_leaving_member_is_known_within_three_seconds() {
    let mut fleet = two_services(4);
    fleet.run(20);
    fleet.handle_membership(STOCK[0], MembershipEvent::Leave);
    fleet.run(3);
    assert!(FRONT.iter().all(|front| !fleet.sees_serving(*front, STOCK[0])));
}

#[test]
fn a_replacement_takes_over_the_name_even_with_its_clock_behind() {
    let mut fleet = two_services(5);
    fleet.run(100);
    fleet.kill(STOCK[0]);
    let replacement = fleet.start_at("stock-0", "stock", &[], 0);
    fleet.run(30);
    for front in FRONT {
        assert!(fleet.sees_serving(front, replacement));
        assert!(!fleet.sees_serving(front, STOCK[0]));
    }
}

#[test]
fn a_frozen_node_keeps_its_peers_and_comes_back() {
    let mut fleet = two_services(6);
    fleet.run(20);
    fleet.pause(FRONT[0]);
    fleet.pause(STOCK[0]);
    fleet.run(300);
    assert!(!fleet.sees_serving(FRONT[1], STOCK[0]));
    fleet.resume(FRONT[0]);
    fleet.resume(STOCK[0]);
    assert!(STOCK.iter().any(|stock| fleet.sees_serving(FRONT[0], *stock)));
    fleet.run(90);
    for front in FRONT {
        assert!(STOCK.iter().all(|stock| fleet.sees_serving(front, *stock)));
    }
}

#[test]
fn a_frozen_node_whose_name_was_taken_is_told_so() {
    let mut fleet = two_services(7);
    fleet.run(100);
    fleet.pause(STOCK[0]);
    let replacement = fleet.start("stock-0", "stock", &[]);
    fleet.run(100);
    fleet.resume(STOCK[0]);
    fleet.run(20);
    assert!(fleet.nodes[STOCK[0]].superseded);
    assert!(!fleet.nodes[replacement].superseded);
    assert!(fleet.sees_serving(FRONT[0], replacement));
}

#[test]
fn timers_do_not_spin() {
    let mut fleet = two_services(8);
    fleet.run(50);
    fleet.table = Table::Down;
    fleet.kill(STOCK[1]);
    fleet.pause(STOCK[0]);
    fleet.start("stock-0", "stock", &[]);
    fleet.run(100);
    fleet.resume(STOCK[0]);
    fleet.run(50);
    assert!(fleet.wakes < 7 * 200 * 4, "{} wakes", fleet.wakes);
}

#[test]
fn a_site_that_starts_at_once_spares_the_store() {
    let nodes = 300;
    let options = MembershipOptions::builder().site_nodes(nodes).build();
    let mut fleet = Fleet::new(9, options);
    for n in 0..nodes {
        let calls = ["service-0", "service-1", "service-2"];
        fleet.start(&format!("node-{n}"), &format!("service-{}", n % 15), &calls);
    }
    fleet.run(30);
    let (writes, reads) = (peak(&fleet.write_at_us), peak(&fleet.read_at_us));
    assert!(writes <= 260, "{writes} writes in a second");
    assert!(reads <= 1_600, "{reads} reads in a second");
    let found = fleet.nodes.iter().filter(|node| node.membership.member_count() >= 19).count();
    assert_eq!(found, nodes as usize);
}

/// The largest number of times in `at_us` within one whole second.
fn peak(at_us: &[u64]) -> usize {
    let mut seconds = std::collections::BTreeMap::new();
    for at in at_us {
        *seconds.entry(at / fleet::US_PER_S).or_insert(0) += 1;
    }
    seconds.into_values().max().unwrap_or(0)
}

#[test]
fn parts_that_lost_each_other_for_ten_minutes_meet_again_without_the_store() {
    let mut fleet = two_services(10);
    fleet.run(30);
    fleet.table = Table::Down;
    for index in [0, 1, 3] {
        fleet.partition_of[index] = 1;
    }
    fleet.run(600);
    assert!(!fleet.sees_serving(FRONT[0], STOCK[1]));
    assert!(fleet.sees_serving(FRONT[0], STOCK[0]));
    fleet.partition_of.fill(0);
    fleet.run(60);
    for front in FRONT {
        assert!(STOCK.iter().all(|stock| fleet.sees_serving(front, *stock)));
    }
}

#[test]
fn with_the_store_away_from_the_start_a_seed_of_another_service_is_enough() {
    let options = MembershipOptions::builder().seeds(vec![fleet::address(3)]).build();
    let mut fleet = Fleet::new(11, options);
    fleet.table = Table::Down;
    for n in 0..3 {
        fleet.start(&format!("front-{n}"), "front", &["stock"]);
    }
    for n in 0..3 {
        fleet.start(&format!("stock-{n}"), "stock", &[]);
    }
    fleet.run(60);
    for front in FRONT {
        assert!(STOCK.iter().all(|stock| fleet.sees_serving(front, *stock)));
        assert!(FRONT.iter().all(|other| front == *other || fleet.sees_serving(front, *other)));
    }
}

#[test]
fn a_replacement_that_starts_with_the_store_away_keeps_its_name() {
    let mut fleet = two_services(12);
    fleet.run(100);
    fleet.kill(STOCK[0]);
    fleet.table = Table::Down;
    let replacement = fleet.start_at("stock-0", "stock", &[], 0);
    fleet.run(200);
    fleet.table = Table::Up;
    fleet.run(100);
    assert!(!fleet.nodes[replacement].superseded);
    assert!(fleet.sees_serving(FRONT[0], replacement));
}
