//! Heartbeats of a target, including late ones and ones out of order.

use std::time::Duration;

use aspenspring::mesh::departures::Departures;
use aspenspring::mesh::target::{Heartbeat, Target, TargetState};
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

/// A heartbeat of the incarnation of `one` that started at this time.
fn life(started_unix_ms: u64, sequence: u64) -> Heartbeat {
    let mut heartbeat = heartbeat("one", "stock", sequence);
    heartbeat.incarnation.started_unix_ms = started_unix_ms;
    heartbeat
}

fn draining(started_unix_ms: u64, sequence: u64) -> Heartbeat {
    Heartbeat { state: TargetState::Draining, ..life(started_unix_ms, sequence) }
}

fn current_start(target: &Target) -> Option<u64> {
    target.current().map(|instance| instance.incarnation.started_unix_ms)
}

/// Guards against a departure that is acknowledged and ignored, as the clock was set back before the
/// target that leaves had started.
#[test]
fn a_target_leaves_whose_clock_was_set_back_before_its_start() {
    let target = target();
    target.apply_heartbeat(&life(5_000, 70));
    assert!(target.apply_heartbeat(&life(4_100, 1)));
    assert_eq!(current_start(&target), Some(4_100));
    assert!(target.apply_heartbeat(&draining(4_100, 2)));
    assert_eq!(current_start(&target), None);
    for late in [life(5_000, 71), life(4_100, 3)] {
        assert!(!target.apply_heartbeat(&late));
    }
    assert!(target.apply_heartbeat(&life(6_000, 1)), "the next one gets work");
}

/// Guards against a target that gets no work for as long as it runs, as its clock was set back after
/// an earlier incarnation had left.
#[test]
fn a_target_gets_work_whose_clock_was_set_back_after_a_departure() {
    paused(async {
        let target = target();
        target.apply_heartbeat(&life(5_000, 70));
        target.apply_heartbeat(&draining(5_000, 71));
        // So far it may be a late heartbeat of an incarnation before the one that leaves.
        assert!(!target.apply_heartbeat(&life(4_100, 1)));
        sleep(Duration::from_millis(900)).await;
        assert!(!target.apply_heartbeat(&life(4_100, 2)));
        sleep(Duration::from_millis(100)).await;
        assert!(!target.apply_heartbeat(&life(4_100, 2)), "the same one once more");
        assert!(target.apply_heartbeat(&life(4_100, 3)));
        assert_eq!(current_start(&target), Some(4_100));
        assert_eq!(target.left(), [incarnation("one", 5_000)]);
    });
}

#[test]
fn the_incarnation_that_sends_heartbeats_is_the_current_one_if_start_times_contradict() {
    let target = target();
    target.apply_heartbeat(&life(5_000, 1));
    // Late, from before this node started, or from after the clock was set back.
    target.apply_heartbeat(&life(4_100, 9));
    assert_eq!(current_start(&target), Some(4_100));
    target.apply_heartbeat(&life(5_000, 2));
    assert_eq!(current_start(&target), Some(5_000));
    target.apply_heartbeat(&life(4_100, 10));
    assert_eq!(current_start(&target), Some(4_100));
    // Later than both by any order.
    target.apply_heartbeat(&life(7_000, 1));
    for late in [life(5_000, 3), life(4_100, 11)] {
        assert!(!target.apply_heartbeat(&late));
    }
    assert_eq!(current_start(&target), Some(7_000));
}

/// Guards against work for a target whose only report that has arrived is that it leaves.
#[test]
fn a_departure_of_an_unknown_incarnation_stops_work_until_the_current_one_is_confirmed() {
    paused(async {
        for start in [4_100, 6_000] {
            let target = target();
            target.apply_heartbeat(&life(5_000, 1));
            assert!(target.apply_heartbeat(&draining(start, 8)));
            assert!(!target.apply_heartbeat(&life(5_000, 2)));
            sleep(Duration::from_secs(1)).await;
            assert!(target.apply_heartbeat(&life(5_000, 3)));
            assert_eq!(current_start(&target), Some(5_000));
        }
    });
}

#[test]
fn departures_are_saved_once_and_the_latest_are_kept() {
    let departures = Departures::default();
    departures.restore(vec![incarnation("one", 5), incarnation("two", 5)]);
    departures.request_save(&incarnation("two", 5));
    assert_eq!(departures.next_to_save(), None, "the departure of this one is saved");
    // A start time before that of another incarnation does not show that it ended earlier.
    departures.request_save(&incarnation("two", 4));
    departures.request_save(&incarnation("one", 6));
    departures.request_save(&incarnation("one", 6));
    let next = departures.next_to_save().unwrap();
    let (one, two) = (|start| incarnation("one", start), |start| incarnation("two", start));
    assert_eq!(next, [one(5), two(5), two(4), one(6)]);
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
