//! Lets requests in by key and quota: reads the key of a request, asks the owner of its team's quota where
//! that has to be asked, and answers other entries that ask this node.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use tokio::time::{Instant, sleep, timeout};

use crate::mesh::frame::{Frame, QuotaGrant};
use crate::mesh::link::Link;
use crate::mesh::node::Node;
use crate::mesh::site::{Route, Site};

use super::lease::{ASK_PATIENCE, Standing, Step};
use super::owner::Grant;
use super::quota::{QuotaPolicy, TeamLease};
use super::roster::{Quota, Team};

/// The pause before the owner is looked for again, when the node that was asked is none, or cannot be reached:
/// it has come or gone, and the nodes that have noticed and those that have not agree soon.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// How often the owner is looked for.
const ROUNDS: usize = 4;

/// Whose request it is.
#[derive(Clone, Debug)]
pub enum Holder {
    /// A team's, by its key.
    Team(Rc<Team>),
    /// Nobody's in particular: the site has no teams, or the route needs no key.
    Anyone,
}

/// A request whose key nobody holds, or that has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoHolder;

/// Finds whose request it is, by the keys that it carries.
///
/// A request with several keys has none: it could not be told which of them counts.
pub fn holder(
    site: &Site,
    route: &Route,
    headers: &HeaderMap,
    key_header: &http::HeaderName,
) -> Result<Holder, NoHolder> {
    if site.teams.is_empty() {
        return Ok(Holder::Anyone);
    }
    let mut keys = headers.get_all(key_header).iter();
    let found = match (keys.next(), keys.next()) {
        (Some(key), None) => site.teams.holder(key.as_bytes()),
        _ => None,
    };
    match found {
        Some(team) => Ok(Holder::Team(Rc::clone(team))),
        None if route.needs_no_key => Ok(Holder::Anyone),
        None => Err(NoHolder),
    }
}

/// A request beyond its team's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct OverQuota {
    /// When the caller may come back.
    pub come_back: Duration,
    /// What was known of the quota.
    pub known: QuotaKnown,
}

/// What an entry knew of a quota when it refused a request.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaKnown {
    /// The quota.
    pub quota: Quota,
    /// Requests that the owner had granted over the last five seconds, and how old that knowledge is.
    /// Nothing where no owner has answered.
    pub used: Option<(u32, Duration)>,
}

impl fmt::Display for QuotaKnown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Quota { per_s, burst } = self.quota;
        match self.used {
            Some((used, age)) => {
                write!(f, "{used} granted in 5 s, told {} ms ago", age.as_millis())?;
            }
            None => f.write_str("no owner has answered")?,
        }
        write!(f, "; the quota is {per_s} a second and {burst} at once")
    }
}

/// Admits a request of a team by its quota. Asks the owner where that has to be asked.
pub async fn admit(node: &Rc<Node>, team: &Team) -> Result<(), OverQuota> {
    let Some(quota) = team.quota else { return Ok(()) };
    let now = Instant::now();
    let held = node.quotas.lease(&team.name, now);
    held.lease.borrow_mut().note_demand(now);
    if node.quotas.policy == QuotaPolicy::Equal {
        return by_equal_share(node, quota, &held);
    }
    for _ in 0..ROUNDS {
        let Some(owner) = node.quotas.owner(&team.name) else {
            return by_own_bucket(node, team, quota, &held);
        };
        let Some(link) = node.directory.get(owner).and_then(|peer| peer.open_link()) else {
            sleep(LOOK_AGAIN).await;
            continue;
        };
        let _waiting = Waiting::new(&held);
        let step = held.lease.borrow_mut().next_step(Instant::now());
        match step {
            Step::Done(standing) => return verdict(standing, quota, &held),
            Step::GoAlone => break,
            Step::Ask(tokens) => {
                link.send(&Frame::QuotaWanted { team: team.name.to_string(), tokens });
            }
            Step::Wait => {}
        }
        if timeout(ASK_PATIENCE, held.answered.notified()).await.is_err() {
            // A link on which nothing comes back is closed, and its node owns nothing then.
            link.ping();
            break;
        }
        if held.has_misasked.take() {
            sleep(LOOK_AGAIN).await;
        }
    }
    by_equal_share(node, quota, &held)
}

/// Admits a request whose team's quota this node owns.
fn by_own_bucket(
    node: &Node,
    team: &Team,
    quota: Quota,
    held: &TeamLease,
) -> Result<(), OverQuota> {
    let now = Instant::now();
    let mut lease = held.lease.borrow_mut();
    let mut standing = lease.try_take(now);
    if standing == Standing::Unknown {
        if let Some(grant) = node.quotas.grant(&team.name, quota, 1, now) {
            lease.take_grant(&grant, 1, now);
        }
        standing = lease.try_take(now);
    }
    drop(lease);
    verdict(standing, quota, held)
}

/// Counts a request that waits for the owner's answer.
struct Waiting<'a>(&'a TeamLease);

impl<'a> Waiting<'a> {
    fn new(held: &'a TeamLease) -> Self {
        held.lease.borrow_mut().waiting += 1;
        Self(held)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lease.borrow_mut().waiting -= 1;
    }
}

/// Admits a request by this node's equal share.
fn by_equal_share(node: &Node, quota: Quota, held: &TeamLease) -> Result<(), OverQuota> {
    let start = match node.quotas.policy {
        QuotaPolicy::Leased => node.quotas.tolerance.start(quota),
        QuotaPolicy::Equal => quota.burst,
    };
    let nodes = node.quotas.fleet().known;
    let rng = &mut *node.rng.borrow_mut();
    let standing = held.lease.borrow_mut().try_take_floor(quota, start, nodes, Instant::now(), rng);
    verdict(standing, quota, held)
}

fn verdict(standing: Standing, quota: Quota, held: &TeamLease) -> Result<(), OverQuota> {
    let Standing::Refused { come_back } = standing else { return Ok(()) };
    let used = held.lease.borrow().used(Instant::now());
    Err(OverQuota { come_back, known: QuotaKnown { quota, used } })
}

/// Answers an entry that asks for tokens of a team's quota.
pub fn answer(node: &Node, link: &Link, team: String, wanted: u32) {
    let grant = node.site().and_then(|site| {
        let found = site.teams.team(&team)?;
        node.quotas.grant(&found.name, found.quota?, wanted, Instant::now())
    });
    let grant = grant.map(|grant| QuotaGrant {
        tokens: grant.tokens,
        dry_ms: grant.dry_for.as_millis().try_into().unwrap_or(u32::MAX),
        come_back_ms: grant.come_back.as_millis().try_into().unwrap_or(u32::MAX),
        used: grant.used,
    });
    link.send(&Frame::QuotaGranted { team, grant });
}

/// Takes in the answer of a node that was asked for tokens.
pub fn take_answer(node: &Node, link: &Link, team: String, grant: Option<QuotaGrant>) {
    let Some(held) = node.quotas.known_lease(&team) else { return };
    held.has_misasked.set(grant.is_none());
    let grant = grant.map(|grant| Grant {
        tokens: grant.tokens,
        dry_for: Duration::from_millis(grant.dry_ms.into()),
        come_back: Duration::from_millis(grant.come_back_ms.into()),
        used: grant.used,
    });
    let tokens = held.lease.borrow_mut().take_answer(grant, Instant::now());
    if tokens > 0 {
        link.send(&Frame::QuotaReturned { team, tokens });
    }
    held.answered.notify_waiters();
}

/// Gives back the token of a request that was admitted and has not run. A request without a team took none.
pub fn give_back(node: &Node, team: &str) {
    if let Some(held) = node.quotas.known_lease(team) {
        held.lease.borrow_mut().put_back(Instant::now());
    }
}

/// Gives tokens that were leased and not used back to their owners.
pub fn give_back_unused(node: &Node) {
    let now = Instant::now();
    for (team, tokens) in node.quotas.take_unused(now) {
        let Some(owner) = node.quotas.owner(&team) else {
            node.quotas.put_back(&team, tokens, now);
            continue;
        };
        if let Some(link) = node.directory.get(owner).and_then(|peer| peer.open_link()) {
            link.send(&Frame::QuotaReturned { team: team.to_string(), tokens });
        }
    }
}
