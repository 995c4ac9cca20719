//! Authenticates requests by API key and admits them by the quota of their team, and handles the messages by
//! which nodes request, grant and return tokens.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use http::HeaderMap;
use tokio::time::{Instant, sleep, timeout};

use crate::mesh::frame::{Frame, QuotaGrant};
use crate::mesh::link::Link;
use crate::mesh::node::Node;
use crate::mesh::site::{Route, Site};

use super::lease::{Decision, OWNER_TIMEOUT, Step};
use super::owner::Grant;
use super::quota::{Owner, QuotaPolicy, TeamLease};
use super::roster::{Quota, Team};

/// The pause before the owner is looked up again, if the node that was asked cannot be reached or does not own the
/// quota. The fleet has then changed, and all nodes will soon agree on an owner again.
const LOOKUP_PAUSE: Duration = Duration::from_millis(50);
/// The maximum number of look-ups of the owner for one request.
const LOOKUPS_MAX: usize = 4;
/// How long a request waits at a node that has just started, until the node knows the other nodes.
const FLEET_WAIT_MAX: Duration = Duration::from_secs(1);

/// The team that a request is attributed to.
#[derive(Clone, Debug)]
pub enum Identity {
    /// The team that the key of the request belongs to.
    Team(Rc<Team>),
    /// No team: the site has no teams, or the route needs no key and the request has no valid one.
    Anonymous,
}

/// A request without a valid key, on a route that needs one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unauthenticated;

/// Attributes a request to a team by its key.
///
/// A request with several key headers counts as one without a key, as it is ambiguous which of them applies.
pub fn authenticate(
    site: &Site,
    route: &Route,
    headers: &HeaderMap,
    key_header: &http::HeaderName,
) -> Result<Identity, Unauthenticated> {
    if site.teams.is_empty() {
        return Ok(Identity::Anonymous);
    }
    let mut keys = headers.get_all(key_header).iter();
    let found = match (keys.next(), keys.next()) {
        (Some(key), None) => site.teams.team_by_key(key.as_bytes()),
        _ => None,
    };
    match found {
        Some(team) => Ok(Identity::Team(Rc::clone(team))),
        None if route.needs_no_key => Ok(Identity::Anonymous),
        None => Err(Unauthenticated),
    }
}

/// Why a request was not admitted by the quota of its team.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaRefusal {
    /// The quota is used up.
    Over(OverQuota),
    /// This node has just started and does not know the other nodes yet.
    FleetUnknown,
}

/// A request beyond its team's quota.
#[derive(Clone, Debug, PartialEq)]
pub struct OverQuota {
    /// The time after which the caller may retry.
    pub retry_after: Duration,
    /// The state of the quota when the request was refused.
    pub state: QuotaState,
}

/// The state of a quota, as known to the entry node that refused a request.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaState {
    /// The quota.
    pub quota: Quota,
    /// The tokens granted by the owner over the last five seconds, and the age of that report. None if no owner has
    /// answered.
    pub used: Option<(u32, Duration)>,
}

impl fmt::Display for QuotaState {
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

/// Admits a request by the quota of its team. Requests tokens from the owner if the node has none.
pub async fn admit(node: &Rc<Node>, team: &Team) -> Result<(), QuotaRefusal> {
    let Some(quota) = team.quota else { return Ok(()) };
    let now = Instant::now();
    let team_lease = node.quotas.lease(&team.name, now);
    team_lease.lease.borrow_mut().record_demand(now);
    if node.quotas.policy == QuotaPolicy::Equal {
        return admit_by_equal_share(node, quota, &team_lease);
    }
    let owner_known = node.quotas.wait_for_owner(&team.name);
    if timeout(FLEET_WAIT_MAX, owner_known).await.is_err() {
        return Err(QuotaRefusal::FleetUnknown);
    }
    for _ in 0..LOOKUPS_MAX {
        let owner = match node.quotas.owner(&team.name) {
            Owner::This => return admit_as_owner(node, team, quota, &team_lease),
            Owner::Other(owner) => owner,
            Owner::Unknown => break,
        };
        let Some(link) = node.directory.get(owner).and_then(|peer| peer.open_link()) else {
            sleep(LOOKUP_PAUSE).await;
            continue;
        };
        let _guard = WaitingGuard::new(&team_lease);
        let step = team_lease.next_step(owner, Instant::now());
        match step {
            Step::Decided(decision) => return into_result(decision, quota, &team_lease),
            Step::UseEqualShare => break,
            Step::Ask(tokens) => {
                link.send(&Frame::QuotaWanted { team: team.name.to_string(), tokens });
            }
            Step::Wait => {}
        }
        if timeout(OWNER_TIMEOUT, team_lease.answered.notified()).await.is_err() {
            // If the ping is not answered either, the link is closed, and that node is no longer an owner.
            link.ping();
            break;
        }
        if team_lease.asked_wrong_node.take() {
            sleep(LOOKUP_PAUSE).await;
        }
    }
    admit_by_equal_share(node, quota, &team_lease)
}

/// Admits a request by a quota that this node owns.
fn admit_as_owner(
    node: &Node,
    team: &Team,
    quota: Quota,
    team_lease: &TeamLease,
) -> Result<(), QuotaRefusal> {
    let now = Instant::now();
    let mut lease = team_lease.lease.borrow_mut();
    let mut decision = lease.try_take(now);
    if decision == Decision::Unknown {
        if let Some(grant) = node.quotas.grant(&team.name, quota, 1, now) {
            lease.add_grant(&grant, 1, now);
        }
        decision = lease.try_take(now);
    }
    drop(lease);
    into_result(decision, quota, team_lease)
}

/// Counts a request as waiting for the owner's answer until dropped.
struct WaitingGuard<'a>(&'a TeamLease);

impl<'a> WaitingGuard<'a> {
    fn new(team_lease: &'a TeamLease) -> Self {
        team_lease.lease.borrow_mut().waiting += 1;
        Self(team_lease)
    }
}

impl Drop for WaitingGuard<'_> {
    fn drop(&mut self) {
        self.0.lease.borrow_mut().waiting -= 1;
    }
}

/// Admits a request by this node's equal share of the quota.
fn admit_by_equal_share(
    node: &Node,
    quota: Quota,
    team_lease: &TeamLease,
) -> Result<(), QuotaRefusal> {
    if !node.quotas.is_fleet_known() {
        return Err(QuotaRefusal::FleetUnknown);
    }
    let initial_tokens = match node.quotas.policy {
        QuotaPolicy::Leased => node.quotas.tolerance.initial_tokens(quota),
        QuotaPolicy::Equal => quota.burst,
    };
    let nodes = node.quotas.fleet().known;
    let rng = &mut *node.rng.borrow_mut();
    let decision = team_lease.lease.borrow_mut().try_take_equal_share(
        quota,
        initial_tokens,
        nodes,
        Instant::now(),
        rng,
    );
    into_result(decision, quota, team_lease)
}

fn into_result(
    decision: Decision,
    quota: Quota,
    team_lease: &TeamLease,
) -> Result<(), QuotaRefusal> {
    let Decision::Refused { retry_after } = decision else { return Ok(()) };
    let used = team_lease.lease.borrow().used(Instant::now());
    Err(QuotaRefusal::Over(OverQuota { retry_after, state: QuotaState { quota, used } }))
}

/// Answers an entry node that requests tokens of a team's quota; without a grant if this node is not the owner.
pub fn answer_token_request(node: &Node, link: &Link, team: String, wanted: u32) {
    let grant = node.site().and_then(|site| {
        let found = site.teams.team(&team)?;
        node.quotas.grant(&found.name, found.quota?, wanted, Instant::now())
    });
    let grant = grant.map(|grant| QuotaGrant {
        tokens: grant.tokens,
        dry_ms: grant.next_token_in.as_millis().try_into().unwrap_or(u32::MAX),
        come_back_ms: grant.retry_after.as_millis().try_into().unwrap_or(u32::MAX),
        used: grant.used,
    });
    link.send(&Frame::QuotaGranted { team, grant });
}

/// Handles the answer to a request for tokens. Sends back tokens that came too late.
pub fn handle_answer(node: &Node, link: &Link, team: String, grant: Option<QuotaGrant>) {
    let Some(team_lease) = node.quotas.existing_lease(&team) else { return };
    team_lease.asked_wrong_node.set(grant.is_none());
    let grant = grant.map(|grant| Grant {
        tokens: grant.tokens,
        next_token_in: Duration::from_millis(grant.dry_ms.into()),
        retry_after: Duration::from_millis(grant.come_back_ms.into()),
        used: grant.used,
    });
    let tokens = team_lease.lease.borrow_mut().handle_answer(grant, Instant::now());
    if tokens > 0 {
        link.send(&Frame::QuotaReturned { team, tokens });
    }
    team_lease.answered.notify_waiters();
}

/// Returns the token of a request that was admitted and has not run. Does nothing for a request without a team.
pub fn refund_token(node: &Node, team: &str) {
    if let Some(team_lease) = node.quotas.existing_lease(team) {
        team_lease.lease.borrow_mut().put_back(Instant::now());
    }
}

/// Returns the tokens of expired leases to the owners.
pub fn return_expired_tokens(node: &Node) {
    let now = Instant::now();
    for (team, tokens) in node.quotas.take_expired(now) {
        let owner = match node.quotas.owner(&team) {
            Owner::This => {
                node.quotas.put_back(&team, tokens, now);
                continue;
            }
            Owner::Other(owner) => owner,
            Owner::Unknown => continue,
        };
        if let Some(link) = node.directory.get(owner).and_then(|peer| peer.open_link()) {
            link.send(&Frame::QuotaReturned { team: team.to_string(), tokens });
        }
    }
}
