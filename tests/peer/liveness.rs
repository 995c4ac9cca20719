//! The pure parts of the transport: silence, the window of replies, the wait before connecting.

use aspenspring::call::NodeId;
use aspenspring::duty::peer::liveness::{Liveness, LivenessSettings, Sign, Step};
use aspenspring::duty::peer::redial::Redial;
use aspenspring::duty::peer::window::{ReplyCount, ReplyWindow, WINDOW};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The intervals of these tests, in microseconds.
const SETTINGS: LivenessSettings =
    LivenessSettings { ping_every_us: 100, idle_ping_every_us: 1_000, silent_after_us: 300 };
/// How often the watch is asked.
const TICK_US: u64 = 10;

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Default::default() }
}

/// Asks at every tick from `from_us`. Returns when the connection was found silent.
fn silent_at(watch: &mut Liveness, from_us: u64, until_us: u64) -> Option<u64> {
    (from_us..until_us).step_by(TICK_US as usize).find(|&at| watch.step(at) == Step::Silent)
}

#[test]
fn a_new_connection_is_pinged_at_once_and_seldom_while_idle() {
    let mut watch = Liveness::new(SETTINGS, 0);
    assert_eq!(watch.step(0), Step::Ping(1));
    watch.received(5, Sign::Pong);
    let next = (10..).step_by(10).find(|&at| watch.step(at) != Step::Wait);
    assert_eq!(next, Some(1_010));
}

#[test]
fn a_process_that_was_stopped_gives_its_peer_more_time() {
    let mut watch = Liveness::new(SETTINGS, 0);
    assert_eq!(watch.step(0), Step::Ping(1));
    assert_eq!(watch.step(50_000), Step::Wait, "the answer may lie unread");
    assert_eq!(silent_at(&mut watch, 50_010, 60_000), Some(50_300));
}

#[test]
fn an_overdue_answer_is_no_longer_expected() {
    let mut watch = Liveness::new(SETTINGS, 0);
    watch.expect(0, 500);
    assert!(watch.is_expecting(499));
    assert!(!watch.is_expecting(500));
}

proptest! {
    #![proptest_config(config())]

    /// Whenever the last sign of life came, and whatever was pinged, silence is found in time.
    #[test]
    fn silence_is_found_in_time(
        signs in prop::collection::vec((1_u64..400, any::<bool>()), 0..12),
        is_busy in any::<bool>(),
    ) {
        let mut watch = Liveness::new(SETTINGS, 0);
        let mut now_us = 0;
        if is_busy {
            watch.expect(0, 1_000_000);
        }
        watch.step(0);
        for (after_us, is_pong) in signs {
            // A sign comes before the silence could be judged.
            let until_us = now_us + after_us.min(SETTINGS.silent_after_us - TICK_US);
            prop_assert_eq!(silent_at(&mut watch, now_us, until_us), None);
            now_us = until_us;
            watch.received(now_us, if is_pong { Sign::Pong } else { Sign::Other });
        }
        let interval_us =
            if is_busy { SETTINGS.ping_every_us } else { SETTINGS.idle_ping_every_us };
        let found = silent_at(&mut watch, now_us, now_us + 10_000).expect("it is silent");
        prop_assert!(found - now_us >= SETTINGS.silent_after_us);
        prop_assert!(found - now_us <= interval_us + SETTINGS.silent_after_us + 2 * TICK_US);
    }

    /// Never more replies under way than the window, whatever is confirmed and when.
    #[test]
    fn the_window_holds(actions in prop::collection::vec(any::<(bool, u64)>(), 0..400)) {
        let mut window = ReplyWindow::default();
        let mut sent = 0;
        for (is_send, number) in actions {
            if is_send && window.has_room() {
                window.sent();
                sent += 1;
            }
            if !is_send {
                let received = number % (sent + 10);
                prop_assert_eq!(window.confirm(received), received <= sent);
            }
            prop_assert!(window.under_way() <= WINDOW);
        }
    }

    /// The wait doubles up to the longest, and no more than half of it is taken off.
    #[test]
    fn the_wait_grows(node in any::<u64>(), failures in 1_u32..20) {
        let mut redial = Redial::new(NodeId(node), 50, 5_000);
        for failure in 0..failures {
            let whole_us = (50_000_u64 << failure).min(5_000_000);
            let wait_us = redial.failed();
            prop_assert!(wait_us <= whole_us && wait_us >= whole_us / 2);
        }
    }
}

#[test]
fn confirmations_keep_the_window_open() {
    let (mut window, mut count) = (ReplyWindow::default(), ReplyCount::default());
    for _ in 0..10 * WINDOW {
        assert!(window.has_room());
        window.sent();
        if let Some(received) = count.received() {
            count.confirmed(received);
            assert!(window.confirm(received));
        }
    }
}
