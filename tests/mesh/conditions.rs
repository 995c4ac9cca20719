//! Conditions of targets: the load report that switches them on, and nodes that don't read them.

use aspenspring::mesh::codec::{Decoder, Encoder, Received};
use aspenspring::mesh::condition::{self, ConditionTracker, PeerCondition};
use aspenspring::mesh::frame::{Condition, FEATURE_CONDITION, Frame, Hello, Status};
use aspenspring::mesh::placing;
use bytes::{BufMut, BytesMut};
use tokio::time::{Duration, sleep};

use super::support::{Reaction, ask, memory, paused, request, run, start, status, unused_address};

#[test]
fn only_a_report_with_a_fourth_figure_states_the_slowness() {
    assert_eq!(condition::read_slowness("3,0,8,250"), Ok(Some(250)));
    assert_eq!(condition::read_slowness(" 3, 0, 8, 0 "), Ok(Some(10)));
    assert_eq!(condition::read_slowness("3,0,8,4000000000"), Ok(Some(2_000)));
    assert_eq!(condition::read_slowness("3,0,8"), Ok(None));
    for invalid in
        ["", "3", "3,0,8,", "3,0,8,x", "3,0,8,-1", "3,0,8,100,1", "3,0,8,99999999999", "3,0,+8"]
    {
        assert!(condition::read_slowness(invalid).is_err(), "{invalid:?}");
    }
}

#[test]
fn a_target_without_extended_reports_states_no_slowness() {
    paused(async {
        let tracker = ConditionTracker::default();
        tracker.record_run(Duration::from_millis(50), Duration::ZERO);
        tracker.record_offer(true);
        assert!(!tracker.is_extended());
        let plain = Condition { rejected_percent: 20, ..Condition::default() };
        assert_eq!(tracker.current(), plain);
        tracker.record_slowness(300);
        let extended = tracker.current();
        assert_eq!((extended.slowness_percent, extended.run_us), (300, 50_000));
    });
}

#[test]
fn a_slowness_that_is_no_longer_reported_counts_as_usual() {
    paused(async {
        let condition =
            Condition { rejected_percent: 200, slowness_percent: u16::MAX, run_us: 40_000 };
        let peer = PeerCondition::default();
        peer.update(condition);
        let (clamped, _) = peer.current().unwrap();
        assert_eq!((clamped.rejected_percent, clamped.slowness_percent), (100, 2_000));
        sleep(Duration::from_millis(1_001)).await;
        let (outdated, age) = peer.current().unwrap();
        assert_eq!(outdated.slowness_percent, 100);
        assert!(age > Duration::from_secs(1));
    });
}

#[test]
fn a_hello_of_the_last_version_announces_no_features() {
    let hello = Hello {
        address: unused_address(),
        failure_domain: "a".to_owned(),
        status: Status::default(),
        left_incarnations: Vec::new(),
        features: FEATURE_CONDITION,
    };
    let mut bytes = BytesMut::new();
    assert_eq!(Encoder::default().encode(&Frame::Hello(hello.clone()), &mut bytes), None);
    let without_features = bytes[4..bytes.len() - 1].to_vec();
    let decode = |bytes: &mut BytesMut| match Decoder::new(memory()).decode(bytes).unwrap() {
        Some(Received::Frame(frame)) => frame,
        other => panic!("{other:?}"),
    };
    assert_eq!(decode(&mut bytes), Frame::Hello(hello.clone()));
    let mut bytes = BytesMut::new();
    bytes.put_u32(without_features.len() as u32);
    bytes.put_slice(&without_features);
    assert_eq!(decode(&mut bytes), Frame::Hello(Hello { features: 0, ..hello }));
}

/// Guards against multiplying the time of inner calls by the slowness of the caller's machine.
#[test]
fn only_the_own_time_of_a_run_depends_on_the_slowness() {
    paused(async {
        let tracker = ConditionTracker::default();
        for (slowness, own_ms) in [(100, 20), (250, 50), (100, 20)] {
            tracker.record_slowness(slowness);
            for _ in 0..100 {
                tracker.record_run(Duration::from_millis(own_ms), Duration::from_millis(80));
            }
            let run_time_us = placing::run_time(tracker.current()).unwrap();
            let expected_us = (own_ms + 80) as f64 * 1_000.0;
            assert!((run_time_us - expected_us).abs() < 10.0, "{run_time_us} at {slowness}%");
        }
    });
}

/// Guards against counting the inner calls of a run as work of its target, or twice if they overlap.
#[test]
fn the_own_time_of_a_run_excludes_its_calls() {
    run(async {
        let reactions = vec![Reaction::Answer(200, 800), Reaction::Answer(200, 500)];
        let entry = start("stock-1", "stock", reactions).await;
        let tracker = &entry.node.target.conditions;
        let outer = request("read", "a1");
        let calls = async {
            while entry.target.arrivals() == 0 {
                sleep(Duration::from_millis(5)).await;
            }
            let (first, second) = (request("read", "a1.b1"), request("read", "a1.b2"));
            let answers = tokio::join!(ask(&entry, &first), ask(&entry, &second));
            assert_eq!((status(&answers.0), status(&answers.1)), (200, 200));
            // Only the outer run counts.
            tracker.reset();
        };
        let (answer, ()) = tokio::join!(ask(&entry, &outer), calls);
        assert_eq!(status(&answer), 200);
        tracker.record_slowness(2_000);
        let run_us = tracker.current().run_us;
        assert!((200_000..450_000).contains(&run_us), "{run_us}");
    });
}
