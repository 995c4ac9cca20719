//! The target beside the node: what it has said about itself, and connections to it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use super::crash::BrokenRequests;
use super::failing::FailureShare;
use super::frame::Load;
use super::gate::Gate;
use super::http1::Connection;
use super::incarnation::Incarnation;

/// How many incarnations that have left are remembered.
const LEFT_MAX: usize = 64;
/// How many incarnations are kept track of at once.
const HEARD_MAX: usize = 64;
/// The most idle connections that are kept to a target.
const IDLE_MAX: usize = 64;

/// What a target says about itself from time to time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The incarnation of the target.
    pub incarnation: Incarnation,
    /// Grows with each heartbeat of an incarnation.
    pub sequence: u64,
    /// Its service.
    pub service: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: TargetState,
    /// How much longer it stays slow after its start, in milliseconds.
    pub cold_ms: u64,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
}

/// An incarnation that takes work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Instance {
    /// Which one it is.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: String,
    /// Whether it is still slow after its start.
    pub is_cold: bool,
}

/// What was heard last of an incarnation.
#[derive(Debug)]
struct Heard {
    sequence: u64,
    slots: u32,
    instance: Rc<Instance>,
}

/// The target beside the node.
#[derive(Debug)]
pub struct Target {
    /// Where it listens.
    pub address: SocketAddr,
    /// What it runs, and what waits for it.
    pub gate: Rc<Gate>,
    /// How many of its answers were failures of late.
    pub failing: FailureShare,
    /// What it has broken off a moment ago.
    pub broken: BrokenRequests,
    current: RefCell<Option<Rc<Instance>>>,
    /// What was heard last of each target that has not left, by its id.
    heard: RefCell<HashMap<String, Heard>>,
    /// Incarnations that are leaving, have left or were replaced, oldest first.
    left: RefCell<Vec<Incarnation>>,
    idle: RefCell<Vec<Connection>>,
}

impl Target {
    /// A target of which nothing is known but its address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            gate: Rc::default(),
            failing: FailureShare::default(),
            broken: BrokenRequests::default(),
            current: RefCell::default(),
            heard: RefCell::default(),
            left: RefCell::default(),
            idle: RefCell::default(),
        }
    }

    /// The incarnation that takes work, where there is one.
    pub fn current(&self) -> Option<Rc<Instance>> {
        self.current.borrow().clone()
    }

    /// Takes in a heartbeat. Says whether the state has changed.
    ///
    /// One that was overtaken, or of an incarnation that has left or was followed by another one under
    /// the same id, changes nothing.
    pub fn take_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        let incarnation = &heartbeat.incarnation;
        if heartbeat.state == TargetState::Draining {
            return self.leave(incarnation);
        }
        if self.has_left(incarnation) || self.is_overtaken(heartbeat) {
            return false;
        }
        let instance = Rc::new(Instance {
            incarnation: incarnation.clone(),
            service: heartbeat.service.clone(),
            is_cold: heartbeat.cold_ms > 0,
        });
        let mut heard = self.heard.borrow_mut();
        if heard.len() >= HEARD_MAX {
            heard.clear();
        }
        let (sequence, slots) = (heartbeat.sequence, heartbeat.slots);
        let entry = Heard { sequence, slots, instance: Rc::clone(&instance) };
        heard.insert(incarnation.id.clone(), entry);
        drop(heard);
        self.become_current(instance, slots)
    }

    /// Whether a later heartbeat of the same target has been heard, from this life of it or a later.
    fn is_overtaken(&self, heartbeat: &Heartbeat) -> bool {
        let heard = self.heard.borrow();
        let Some(known) = heard.get(&heartbeat.incarnation.id) else { return false };
        let known_start = known.instance.incarnation.started_unix_ms;
        let start = heartbeat.incarnation.started_unix_ms;
        (start, heartbeat.sequence) <= (known_start, known.sequence)
    }

    /// Takes in that the incarnation `id` has answered at the target's address. Says whether the
    /// state has changed.
    ///
    /// A heartbeat that was held up may name an incarnation that is gone; the one that answers is
    /// then the one to go by, if it has been heard of.
    pub fn take_sighting(&self, id: &str) -> bool {
        let heard = self.heard.borrow();
        let Some(known) = heard.get(id) else {
            drop(heard);
            let current = self.current();
            return current.is_some_and(|current| self.lose(&current.incarnation));
        };
        let (instance, slots) = (Rc::clone(&known.instance), known.slots);
        drop(heard);
        self.become_current(instance, slots)
    }

    /// Gives an incarnation, and earlier lives of the same target, no more work. Says whether the
    /// state has changed.
    pub fn leave(&self, incarnation: &Incarnation) -> bool {
        let mut incarnation = incarnation.clone();
        if let Some(known) = self.heard.borrow().get(&incarnation.id) {
            if incarnation.started_unix_ms == 0 {
                incarnation = known.instance.incarnation.clone();
            }
        }
        self.heard.borrow_mut().retain(|_, known| !incarnation.ends(&known.instance.incarnation));
        if !self.has_left(&incarnation) {
            let mut left = self.left.borrow_mut();
            left.retain(|known| !incarnation.ends(known));
            if left.len() >= LEFT_MAX {
                left.remove(0);
            }
            left.push(incarnation.clone());
        }
        self.lose(&incarnation)
    }

    /// Takes it that an incarnation is no longer there, until it is heard of again.
    pub fn lose(&self, incarnation: &Incarnation) -> bool {
        let current = self.current();
        let is_current = current.is_some_and(|current| incarnation.ends(&current.incarnation));
        if is_current {
            self.stop_work();
        }
        is_current
    }

    /// Incarnations that are leaving, have left or were replaced.
    pub fn left(&self) -> Vec<Incarnation> {
        self.left.borrow().clone()
    }

    /// What the target has to do.
    pub fn load(&self) -> Load {
        self.gate.load()
    }

    /// A kept connection that works, if there is one.
    pub fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for a later request.
    pub fn keep(&self, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        if idle.len() >= IDLE_MAX {
            idle.remove(0);
        }
        idle.push(connection);
    }

    fn become_current(&self, instance: Rc<Instance>, slots: u32) -> bool {
        let before = self.current.replace(Some(Rc::clone(&instance)));
        if before.as_ref().is_some_and(|before| before.incarnation != instance.incarnation) {
            self.drop_idle();
            self.failing.forget();
        }
        self.gate.set_slots(slots);
        before.as_ref() != Some(&instance)
    }

    fn has_left(&self, incarnation: &Incarnation) -> bool {
        self.left.borrow().iter().any(|left| left.ends(incarnation))
    }

    fn stop_work(&self) {
        self.current.replace(None);
        self.gate.close();
        self.drop_idle();
    }

    fn drop_idle(&self) {
        self.idle.borrow_mut().clear();
    }
}
