//! Reports how the teams use a target, and keeps the reports of other nodes.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::mesh::frame::{Frame, Load, OtherUse, TeamRankUse, TeamUse};
use crate::mesh::node::Node;
use crate::mesh::report::paced;

use super::roster::Roster;

/// Time over which the running requests of a team are averaged.
pub const AVERAGING: Duration = Duration::from_secs(1);
/// Mean utilisation above which reports are sent.
const REPORTED_ABOVE: f64 = 0.8;
/// Minimum interval between two reports of a target.
const INTERVAL: Duration = Duration::from_millis(500);
/// Number of teams and ranks that a report lists. All others are summed.
const LISTED_MAX: usize = 16;
/// Mean number of running requests below which a team is forgotten.
const NEGLIGIBLE: f64 = 0.001;

/// The last report on the use of a target.
#[derive(Debug, Default)]
pub struct PeerTeamUse {
    reported: RefCell<Option<(Rc<TeamUse>, Instant)>>,
}

impl PeerTeamUse {
    /// Records a report. Figures that no target can have are reduced, so that a wrong report has
    /// no more effect than a full target.
    pub fn update(&self, mut report: TeamUse) {
        let most = report.limit.saturating_mul(1_000);
        report.teams.truncate(LISTED_MAX);
        for used in &mut report.teams {
            used.running_milli = used.running_milli.min(most);
        }
        // One entry for each rank.
        report.others.sort_by_key(|other| other.rank);
        report.others.dedup_by_key(|other| other.rank);
        for other in &mut report.others {
            other.running_milli = other.running_milli.min(most);
            // A team that is not forgotten uses at least `NEGLIGIBLE`.
            other.teams = other.teams.min(other.running_milli);
        }
        self.reported.replace(Some((Rc::new(report), Instant::now())));
    }

    /// Forgets the report when a new incarnation takes over.
    pub fn clear(&self) {
        self.reported.replace(None);
    }

    /// The last report and its age.
    pub fn current(&self) -> Option<(Rc<TeamUse>, Duration)> {
        let (report, at) = self.reported.borrow().clone()?;
        Some((report, at.elapsed()))
    }
}

/// The weight of a new sample in a moving average over `AVERAGING`, `elapsed` after the last one.
pub fn sample_weight(elapsed: Duration) -> f64 {
    1.0 - (-elapsed.as_secs_f64() / AVERAGING.as_secs_f64()).exp()
}

/// Interval between two reports of one of `targets` targets of a service.
pub fn interval(targets: usize) -> Duration {
    paced(INTERVAL, targets)
}

/// Measures how the teams use the local target.
#[derive(Debug, Default)]
pub struct UseMeter {
    /// Mean number of running requests by team and rank.
    means: RefCell<HashMap<(Rc<str>, u8), f64>>,
    /// Mean utilisation.
    utilisation: Cell<f64>,
    sampled_at: Cell<Option<Instant>>,
    sent_at: Cell<Option<Instant>>,
    /// The last report that was sent, for the decisions of this node.
    pub sent: PeerTeamUse,
}

impl UseMeter {
    /// Adds a sample of the running requests by team and rank, and of the load.
    pub fn sample(&self, running: &HashMap<(Rc<str>, u8), u32>, load: Load, now: Instant) {
        let last = self.sampled_at.replace(Some(now));
        let weight = sample_weight(last.map_or(Duration::ZERO, |last| now - last));
        let utilisation = self.utilisation.get();
        self.utilisation.set(utilisation + weight * (load.utilisation() - utilisation));
        let mut means = self.means.borrow_mut();
        for mean in means.values_mut() {
            *mean *= 1.0 - weight;
        }
        for (team_rank, count) in running {
            let added = weight * f64::from(*count);
            if let Some(mean) = means.get_mut(team_rank) {
                *mean += added;
                continue;
            }
            means.insert(team_rank.clone(), added);
        }
        means.retain(|_, mean| *mean >= NEGLIGIBLE);
    }

    /// Forgets everything when shares are no longer in use.
    pub fn reset(&self) {
        self.means.borrow_mut().clear();
        self.utilisation.set(0.0);
        self.sampled_at.set(None);
        self.sent.clear();
    }

    /// The report that is due now, if any. `targets` is the number of targets of the service,
    /// `limit` the maximum number of running requests.
    pub fn take_due(
        &self,
        roster: &Roster,
        limit: u32,
        targets: usize,
        now: Instant,
    ) -> Option<TeamUse> {
        let is_due = self.sent_at.get().is_none_or(|sent_at| now - sent_at >= interval(targets));
        if self.utilisation.get() <= REPORTED_ABOVE || !is_due {
            return None;
        }
        self.sent_at.set(Some(now));
        let report = self.report(roster, limit);
        self.sent.update(report.clone());
        Some(report)
    }

    /// The use by the teams with the highest use by weight, and the sums of all others.
    fn report(&self, roster: &Roster, limit: u32) -> TeamUse {
        let means = self.means.borrow();
        let mut uses: Vec<_> = means
            .iter()
            .map(|((team, rank), mean)| (*mean / roster.share_weight(team), team, *rank, *mean))
            .collect();
        uses.sort_unstable_by(|one, other| {
            other.0.total_cmp(&one.0).then_with(|| (one.1, one.2).cmp(&(other.1, other.2)))
        });
        let milli = |mean: f64| (mean * 1000.0).round() as u32;
        let mut report = TeamUse { limit, ..TeamUse::default() };
        let mut others: HashMap<u8, (u32, f64)> = HashMap::new();
        for (index, (_, team, rank, mean)) in uses.into_iter().enumerate() {
            if index < LISTED_MAX {
                let running_milli = milli(mean);
                report.teams.push(TeamRankUse { team: team.to_string(), rank, running_milli });
                continue;
            }
            let (teams, sum) = others.entry(rank).or_default();
            *teams += 1;
            *sum += mean;
        }
        for (rank, (teams, sum)) in others {
            report.others.push(OtherUse { rank, teams, running_milli: milli(sum) });
        }
        report.others.sort_unstable_by_key(|other| other.rank);
        report
    }
}

/// Measures how the teams use the local target, and reports it to the peers if it is due. Does
/// nothing unless the settings ask for fair shares. `targets` is the number of targets of the
/// service.
pub fn send_due(node: &Node, roster: &Roster, targets: usize) {
    if roster.is_empty() || !node.settings.teams.fair_shares {
        node.use_meter.reset();
        return;
    }
    let (now, load) = (Instant::now(), node.target.load());
    node.use_meter.sample(&node.running_requests.running_by_team(), load, now);
    if let Some(report) = node.use_meter.take_due(roster, load.limit, targets, now) {
        node.inbound.broadcast_to_condition_readers(&Frame::TeamUse(report));
    }
}
