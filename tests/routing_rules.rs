//! Property tests of the router: invariants of every pick after random events, checked against a
//! simple model of the known targets.

use std::collections::BTreeMap;

use aspenspring::call::{ArmId, ClassRank, Level, LoadReport, NodeId, RefusalReason};
use aspenspring::config::Rules;
use aspenspring::routing::{Observation, Outcome, Peer, PickRequest, Router};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVICE: &str = "hilfebuchung";
const CLASS: ClassRank = ClassRank(2);

#[derive(Clone, Debug)]
enum Event {
    Put { node: u64, near: bool, leaving: bool },
    Remove(u64),
    LinkLost(u64),
    LinkUp(u64),
    Settled { node: u64, outcome: Outcome, floor: u16, leaving: bool },
    Pick { avoid: u64, level: u16, arm: u8 },
    Wait(u64),
}

/// The expected state of a known target.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    leaving: bool,
    /// Whether the connection is lost.
    lost: bool,
}

fn outcomes() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        any::<bool>().prop_map(|healthy| Outcome::Answered { healthy }),
        Just(Outcome::Refused(RefusalReason::Shed)),
        Just(Outcome::Refused(RefusalReason::QueueFull)),
        Just(Outcome::Refused(RefusalReason::Leaving)),
        Just(Outcome::Lost),
    ]
}

fn events() -> impl Strategy<Value = Event> {
    let node = 1..8u64;
    prop_oneof![
        2 => (node.clone(), any::<bool>(), prop::bool::weighted(0.1))
            .prop_map(|(node, near, leaving)| Event::Put { node, near, leaving }),
        1 => node.clone().prop_map(Event::Remove),
        1 => node.clone().prop_map(Event::LinkLost),
        2 => node.clone().prop_map(Event::LinkUp),
        6 => (node.clone(), outcomes(), 0..0x300u16, prop::bool::weighted(0.05)).prop_map(
            |(node, outcome, floor, leaving)| Event::Settled { node, outcome, floor, leaving }
        ),
        6 => (node, 0..0x300u16, 0..3u8)
            .prop_map(|(avoid, level, arm)| Event::Pick { avoid, level, arm }),
        1 => (0..2_000_000u64).prop_map(Event::Wait),
    ]
}

fn rules() -> Rules {
    serde_json::from_value(serde_json::json!({
        "classes": [], "routes": [], "services": [],
        "arms": [{"id": 0, "name": "full", "share": 0.5, "policy": "full"},
                 {"id": 1, "name": "turns", "share": 0.5, "policy": "turns"}],
        "policies": [{"name": "full", "limit": {"kind": "none"}, "retry": {"kind": "none"},
                      "choice": "least_loaded"},
                     {"name": "turns", "limit": {"kind": "none"}, "retry": {"kind": "none"},
                      "choice": "round_robin", "refuse_early": false}]
    }))
    .expect("the rules are well formed")
}

struct Model {
    router: Router,
    known: BTreeMap<u64, Known>,
    rng: SmallRng,
    now_us: u64,
}

impl Model {
    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        self.now_us += 1_000;
        match *event {
            Event::Put { node, near, leaving } => self.put(node, near, leaving),
            Event::Remove(node) => {
                self.router.remove(self.now_us, NodeId(node));
                self.known.remove(&node);
            }
            Event::LinkLost(node) => {
                self.router.link_lost(self.now_us, NodeId(node));
                self.change(node, |known| known.lost = true);
            }
            Event::LinkUp(node) => {
                self.router.link_up(self.now_us, NodeId(node));
                self.change(node, |known| known.lost = false);
            }
            Event::Settled { node, outcome, floor, leaving } => {
                self.settle(node, outcome, floor, leaving);
            }
            Event::Pick { avoid, level, arm } => return self.pick(avoid, Level(level), ArmId(arm)),
            Event::Wait(us) => self.now_us += us,
        }
        Ok(())
    }

    fn change(&mut self, node: u64, change: impl FnOnce(&mut Known)) {
        if let Some(known) = self.known.get_mut(&node) {
            change(known);
        }
    }

    fn put(&mut self, node: u64, near: bool, leaving: bool) {
        let peer = Peer {
            node: NodeId(node),
            service: SERVICE.to_owned(),
            failure_domain: if near { "a" } else { "b" }.to_owned(),
            address: ([127, 0, 0, 1], node as u16).into(),
            slots: 10,
            leaving,
            first_seen_us: self.now_us,
        };
        self.router.put(self.now_us, peer);
        let known = self.known.entry(node).or_default();
        known.leaving |= leaving;
    }

    fn settle(&mut self, node: u64, outcome: Outcome, floor: u16, leaving: bool) {
        let load = LoadReport { floor: Level(floor), leaving, ..LoadReport::default() };
        let arm = ArmId(0);
        let observation =
            Observation { arm, class: CLASS, latency_us: 1_000, outcome, load: Some(load) };
        self.router.sent(self.now_us, NodeId(node), arm);
        self.router.observed(self.now_us, NodeId(node), &observation);
        let is_refused_by_leaving = outcome == Outcome::Refused(RefusalReason::Leaving);
        self.change(node, |known| known.leaving |= leaving || is_refused_by_leaving);
    }

    fn pick(&mut self, avoid: u64, level: Level, arm: ArmId) -> Result<(), TestCaseError> {
        let avoid = [NodeId(avoid)];
        let request = PickRequest { service: SERVICE, arm, class: CLASS, level, avoid: &avoid };
        let is_allowed =
            |node: u64, known: &Known| !known.leaving && !known.lost && node != avoid[0].0;
        let usable = self.known.iter().filter(|(node, known)| is_allowed(**node, known)).count();
        let floor = self.router.floor(self.now_us, SERVICE, arm, CLASS);
        let may_pick = self.router.may_pick(self.now_us, &request);
        match self.router.pick(self.now_us, &request, &mut self.rng) {
            Ok(node) => {
                let known = self.known.get(&node.0).copied().unwrap_or_default();
                prop_assert!(self.known.contains_key(&node.0), "{node} is not known");
                prop_assert!(
                    is_allowed(node.0, &known),
                    "{node} picked: {known:?}, avoid {avoid:?}"
                );
                prop_assert!(may_pick);
            }
            Err(refusal) if refusal.reason == RefusalReason::NoTarget => {
                prop_assert_eq!(usable, 0);
            }
            Err(refusal) => {
                prop_assert_eq!(refusal.reason, RefusalReason::Shed);
                prop_assert!(arm != ArmId(1), "the arm does not refuse early");
                prop_assert!(usable > 0);
                prop_assert!(refusal.retry_after_ms > 0);
                // The floor also covers the avoided target, so it can be checked only if that one
                // is not usable.
                let is_avoided_unusable =
                    self.known.get(&avoid[0].0).is_none_or(|known| known.leaving || known.lost);
                prop_assert!(
                    !is_avoided_unusable || level < floor,
                    "shed at {level:?}, floor {floor:?}"
                );
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_picked_target_is_usable_and_a_refusal_is_justified(
        events in prop::collection::vec(events(), 1..200),
    ) {
        let router = Router::new(NodeId(99), "a", &rules());
        let rng = SmallRng::seed_from_u64(1);
        let mut model = Model { router, known: BTreeMap::new(), rng, now_us: 0 };
        for event in &events {
            model.apply(event)?;
        }
    }
}
