//! Heartbeats of a target, including late ones and ones out of order.

use std::time::Duration;

use aspenspring::mesh::departures::Departures;
use aspenspring::mesh::target::{Target, TargetState};
use tokio::time::sleep;

use super::support::{heartbeat, incarnation, paused};

fn target() -> Target {
    Target::new("127.0.0.1:9".parse().unwrap())
}

fn current(target: &Target) -> Option<String> {
    target.current().map(|instance| instance.incarnation.id.clone())
}

#[test]
fn a_heartbeat_that_was_overtaken_changes_nothing() {
    let target = target();
    assert!(target.apply_heartbeat(&heartbeat("one", "stock", 5)));
    assert!(!target.apply_heartbeat(&heartbeat("one", "page", 4)));
    assert_eq!(target.current().unwrap().service, "stock");
}

#[test]
fn a_late_heartbeat_of_an_incarnation_that_is_gone_does_not_replace_the_present_one() {
    let target = target();
    target.apply_heartbeat(&heartbeat("old", "stock", 7));
    target.apply_heartbeat(&heartbeat("new", "page", 1));
    assert!(!target.apply_heartbeat(&heartbeat("old", "stock", 6)));
    assert_eq!(current(&target).as_deref(), Some("new"));
}

#[test]
fn the_incarnation_that_answers_becomes_the_current_one() {
    let target = target();
    target.apply_heartbeat(&heartbeat("new", "page", 1));
    // Delayed since before this node started, so its sequence does not show that it is late.
    target.apply_heartbeat(&heartbeat("old", "stock", 7));
    assert_eq!(current(&target).as_deref(), Some("old"));
    assert!(target.observe_instance("new"));
    assert_eq!(current(&target).as_deref(), Some("new"));
    assert!(target.observe_instance("unknown"));
    assert_eq!(current(&target), None);
}

#[test]
fn an_incarnation_that_has_left_never_comes_back() {
    let target = target();
    target.apply_heartbeat(&heartbeat("one", "stock", 1));
    let mut draining = heartbeat("one", "stock", 2);
    draining.state = TargetState::Draining;
    assert!(target.apply_heartbeat(&draining));
    assert_eq!(current(&target), None);
    assert!(!target.apply_heartbeat(&heartbeat("one", "stock", 3)));
    assert!(target.apply_heartbeat(&heartbeat("two", "stock", 1)));
    // A late deregistration of the first one does not affect the second.
    assert!(!target.mark_left(&incarnation("one", 0)));
    assert_eq!(current(&target).as_deref(), Some("two"));
    assert_eq!(target.left(), [incarnation("one", 0)]);
}

#[test]
fn a_restart_under_the_same_id_is_another_incarnation() {
    let target = target();
    let life = |started_unix_ms, sequence| {
        let mut heartbeat = heartbeat("one", "stock", sequence);
        heartbeat.incarnation.started_unix_ms = started_unix_ms;
        heartbeat
    };
    target.apply_heartbeat(&life(5_000, 70));
    target.failing.record(true);
    assert!(target.apply_heartbeat(&life(6_000, 1)), "its sequence starts again");
    assert_eq!(
        target.failing.share(tokio::time::Instant::now()),
        0.0,
        "the new incarnation has no failures"
    );
    assert!(
        !target.apply_heartbeat(&life(5_000, 71)),
        "a delayed heartbeat of the earlier incarnation"
    );
    assert!(!target.mark_left(&incarnation("one", 5_000)));
    assert_eq!(target.current().unwrap().incarnation, incarnation("one", 6_000));
    assert!(target.mark_left(&incarnation("one", 6_000)));
    assert!(!target.apply_heartbeat(&life(6_000, 2)));
    assert!(!target.apply_heartbeat(&life(5_000, 72)));
    assert!(target.apply_heartbeat(&life(7_000, 1)));
    // A deregistration without a start time means the incarnation that is known.
    assert!(target.mark_left(&incarnation("one", 0)));
    assert!(!target.apply_heartbeat(&life(7_000, 2)));
    assert!(target.apply_heartbeat(&life(8_000, 1)));
}

#[test]
fn departures_are_saved_once_and_the_latest_are_kept() {
    let departures = Departures::default();
    departures.restore(vec![incarnation("one", 5), incarnation("two", 5)]);
    departures.request_save(&incarnation("two", 5));
    departures.request_save(&incarnation("two", 4));
    assert_eq!(departures.next_to_save(), None, "the departures of these are saved");
    departures.request_save(&incarnation("one", 6));
    departures.request_save(&incarnation("one", 6));
    let next = departures.next_to_save().unwrap();
    assert_eq!(next, [incarnation("two", 5), incarnation("one", 6)]);
    // One that is reported during the write is saved by the next one.
    departures.request_save(&incarnation("three", 0));
    departures.record_saved(next);
    assert_eq!(departures.next_to_save().unwrap().last(), Some(&incarnation("three", 0)));
    for number in 0..40 {
        departures.request_save(&incarnation(&format!("n{number}"), 0));
    }
    let next = departures.next_to_save().unwrap();
    assert_eq!((next.len(), next.last()), (8, Some(&incarnation("n39", 0))));
}

#[test]
fn a_departure_is_acknowledged_only_after_it_was_saved() {
    paused(async {
        let departures = Departures::default();
        let one = incarnation("one", 5);
        departures.request_save(&one);
        let limit = Duration::from_millis(900);
        assert!(!departures.wait_until_saved(&one, limit).await);
        let (is_saved, ()) = tokio::join!(departures.wait_until_saved(&one, limit), async {
            sleep(Duration::from_millis(500)).await;
            departures.record_saved(departures.next_to_save().unwrap());
        });
        assert!(is_saved);
        assert!(departures.wait_until_saved(&incarnation("one", 0), Duration::ZERO).await);
    });
}

#[test]
fn a_target_gets_work_once_its_departures_are_known() {
    paused(async {
        let departures = Departures::default();
        assert!(departures.is_settled(false), "nothing is to be read");
        departures.await_restore();
        sleep(Duration::from_secs(60)).await;
        assert!(!departures.is_settled(false), "no configuration either");
        assert!(!departures.is_settled(true));
        sleep(Duration::from_millis(1_900)).await;
        assert!(!departures.is_settled(true));
        sleep(Duration::from_millis(100)).await;
        assert!(departures.is_settled(true), "the store has been silent for too long");
        let departures = Departures::default();
        departures.await_restore();
        departures.restore(Vec::new());
        assert!(departures.is_settled(true));
    });
}
