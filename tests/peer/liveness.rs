//! Tests the pure parts of the transport: liveness, reply flow control, reconnect backoff.

use aspenspring::call::NodeId;
use aspenspring::duty::peer::liveness::{Liveness, LivenessAction, LivenessSettings, ReceivedKind};
use aspenspring::duty::peer::redial::RedialBackoff;
use aspenspring::duty::peer::window::{REPLY_WINDOW, ReplyCount, ReplyWindow};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The settings of these tests.
const SETTINGS: LivenessSettings =
    LivenessSettings { ping_every_us: 100, idle_ping_every_us: 1_000, silent_after_us: 300 };
/// How often `step` is called.
const TICK_US: u64 = 10;

fn config() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Default::default() }
}

/// Calls `step` at every tick from `from_us`. Returns when it reports silence.
fn silent_at(liveness: &mut Liveness, from_us: u64, until_us: u64) -> Option<u64> {
    (from_us..until_us)
        .step_by(TICK_US as usize)
        .find(|&at| liveness.step(at) == LivenessAction::Silent)
}

#[test]
fn a_new_connection_is_pinged_at_once_and_seldom_while_idle() {
    let mut liveness = Liveness::new(SETTINGS, 0);
    assert_eq!(liveness.step(0), LivenessAction::Ping(1));
    liveness.record_received(5, ReceivedKind::Pong);
    let next = (10..).step_by(10).find(|&at| liveness.step(at) != LivenessAction::Wait);
    assert_eq!(next, Some(1_010));
}

#[test]
fn a_process_that_was_stopped_gives_its_peer_more_time() {
    let mut liveness = Liveness::new(SETTINGS, 0);
    assert_eq!(liveness.step(0), LivenessAction::Ping(1));
    assert_eq!(
        liveness.step(50_000),
        LivenessAction::Wait,
        "the answer may be unread in the kernel's buffer"
    );
    assert_eq!(silent_at(&mut liveness, 50_010, 60_000), Some(50_300));
}

#[test]
fn an_overdue_answer_is_no_longer_expected() {
    let mut liveness = Liveness::new(SETTINGS, 0);
    liveness.expect_answer(0, 500);
    assert!(liveness.is_expecting(499));
    assert!(!liveness.is_expecting(500));
}

proptest! {
    #![proptest_config(config())]

    /// Silence is detected in time, whenever the last message was received.
    #[test]
    fn silence_is_found_in_time(
        messages in prop::collection::vec((1_u64..400, any::<bool>()), 0..12),
        is_busy in any::<bool>(),
    ) {
        let mut liveness = Liveness::new(SETTINGS, 0);
        let mut now_us = 0;
        if is_busy {
            liveness.expect_answer(0, 1_000_000);
        }
        liveness.step(0);
        for (after_us, is_pong) in messages {
            // The message is received before the connection could count as silent.
            let until_us = now_us + after_us.min(SETTINGS.silent_after_us - TICK_US);
            prop_assert_eq!(silent_at(&mut liveness, now_us, until_us), None);
            now_us = until_us;
            liveness.record_received(now_us, if is_pong { ReceivedKind::Pong } else { ReceivedKind::Other });
        }
        let interval_us =
            if is_busy { SETTINGS.ping_every_us } else { SETTINGS.idle_ping_every_us };
        let found = silent_at(&mut liveness, now_us, now_us + 10_000).expect("it is silent");
        prop_assert!(found - now_us >= SETTINGS.silent_after_us);
        prop_assert!(found - now_us <= interval_us + SETTINGS.silent_after_us + 2 * TICK_US);
    }

    /// The replies in flight never exceed the window, whatever is acknowledged and when.
    #[test]
    fn the_window_holds(actions in prop::collection::vec(any::<(bool, u64)>(), 0..400)) {
        let mut window = ReplyWindow::default();
        let mut sent = 0;
        for (is_send, number) in actions {
            if is_send && window.has_room() {
                window.record_sent();
                sent += 1;
            }
            if !is_send {
                let received = number % (sent + 10);
                prop_assert_eq!(window.acknowledge(received), received <= sent);
            }
            prop_assert!(window.in_flight() <= REPLY_WINDOW);
        }
    }

    /// The wait doubles up to the maximum, and the jitter takes off at most half of it.
    #[test]
    fn the_wait_grows(node in any::<u64>(), failures in 1_u32..20) {
        let mut redial = RedialBackoff::new(NodeId(node), 50, 5_000);
        for failure in 0..failures {
            let whole_us = (50_000_u64 << failure).min(5_000_000);
            let wait_us = redial.record_failure();
            prop_assert!(wait_us <= whole_us && wait_us >= whole_us / 2);
        }
    }
}

#[test]
fn confirmations_keep_the_window_open() {
    let (mut window, mut count) = (ReplyWindow::default(), ReplyCount::default());
    for _ in 0..10 * REPLY_WINDOW {
        assert!(window.has_room());
        window.record_sent();
        if let Some(received) = count.record_received() {
            count.record_acknowledged(received);
            assert!(window.acknowledge(received));
        }
    }
}
