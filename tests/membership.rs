//! Membership under loss, outages, freezes, replaced VMs and leaving.

mod fleet;

use aspenspring::membership::MembershipEvent;

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
        assert!(STOCK.iter().all(|stock| fleet.sees(front, *stock)));
    }
    for stock in STOCK {
        assert!(FRONT.iter().all(|front| !fleet.sees(stock, *front)));
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
        assert!(STOCK.iter().all(|stock| fleet.sees(front, *stock)));
    }
}

#[test]
fn a_dead_member_ages_out_and_stays_out() {
    let mut fleet = two_services(3);
    fleet.run(20);
    fleet.kill(STOCK[0]);
    fleet.run(120);
    assert!(FRONT.iter().all(|front| !fleet.sees(*front, STOCK[0])));
    assert!(FRONT.iter().all(|front| fleet.sees(*front, STOCK[1])));
}

#[test]
fn a_leaving_member_is_known_within_three_seconds() {
    let mut fleet = two_services(4);
    fleet.run(20);
    fleet.tell(STOCK[0], MembershipEvent::Leave);
    fleet.run(3);
    assert!(FRONT.iter().all(|front| !fleet.sees(*front, STOCK[0])));
}

#[test]
fn a_replacement_takes_over_the_name_even_with_its_clock_behind() {
    let mut fleet = two_services(5);
    fleet.run(100);
    fleet.kill(STOCK[0]);
    let replacement = fleet.start_at("stock-0", "stock", &[], 0);
    fleet.run(30);
    for front in FRONT {
        assert!(fleet.sees(front, replacement));
        assert!(!fleet.sees(front, STOCK[0]));
    }
}

#[test]
fn a_frozen_node_keeps_its_peers_and_comes_back() {
    let mut fleet = two_services(6);
    fleet.run(20);
    fleet.freeze(FRONT[0]);
    fleet.freeze(STOCK[0]);
    fleet.run(300);
    assert!(!fleet.sees(FRONT[1], STOCK[0]));
    fleet.thaw(FRONT[0]);
    fleet.thaw(STOCK[0]);
    assert!(STOCK.iter().any(|stock| fleet.sees(FRONT[0], *stock)));
    fleet.run(90);
    for front in FRONT {
        assert!(STOCK.iter().all(|stock| fleet.sees(front, *stock)));
    }
}

#[test]
fn a_frozen_node_whose_name_was_taken_is_told_so() {
    let mut fleet = two_services(7);
    fleet.run(100);
    fleet.freeze(STOCK[0]);
    let replacement = fleet.start("stock-0", "stock", &[]);
    fleet.run(100);
    fleet.thaw(STOCK[0]);
    fleet.run(20);
    assert!(fleet.nodes[STOCK[0]].superseded);
    assert!(!fleet.nodes[replacement].superseded);
    assert!(fleet.sees(FRONT[0], replacement));
}

#[test]
fn timers_do_not_spin() {
    let mut fleet = two_services(8);
    fleet.run(50);
    fleet.table = Table::Down;
    fleet.kill(STOCK[1]);
    fleet.freeze(STOCK[0]);
    fleet.start("stock-0", "stock", &[]);
    fleet.run(100);
    fleet.thaw(STOCK[0]);
    fleet.run(50);
    assert!(fleet.wakes < 7 * 200 * 4, "{} wakes", fleet.wakes);
}
