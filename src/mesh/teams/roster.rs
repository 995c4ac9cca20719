//! The teams of a configuration and their API keys.

use std::collections::HashMap;
use std::rc::Rc;

use thiserror::Error;

use super::key::{KeyDigest, KeyHasher};

/// The request rate allowed to a team, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub per_s: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
}

/// A team as the operator configures it.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The name, which is sent to targets.
    pub name: Rc<str>,
    /// The rank of its requests, which takes precedence over the rank of their routes; none if not configured.
    pub rank: Option<u8>,
    /// The quota; none means unlimited.
    pub quota: Option<Quota>,
}

/// Why a list of teams is invalid. Messages contain the names of teams, never keys.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RosterError {
    /// A team without a name.
    #[error("a team has an empty name")]
    EmptyName,
    /// Two teams have the same name.
    #[error("the team {0:?} is listed twice")]
    DuplicateName(String),
    /// An empty key, which would admit requests with an empty key header.
    #[error("the team {0:?} has an empty key")]
    EmptyKey(String),
    /// Two teams have a key in common, so that a request with it could not be attributed.
    #[error("the teams {0:?} and {1:?} share a key")]
    SharedKey(String, String),
}

/// The teams of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    hasher: KeyHasher,
    teams: HashMap<Rc<str>, Rc<Team>>,
    teams_by_key: HashMap<KeyDigest, Rc<Team>>,
    /// The distinct ranks of the teams, most important first.
    ranks: Vec<u8>,
    /// The median rate of all quotas; `None` if no team has one.
    median_per_s: Option<f64>,
}

impl Roster {
    /// A roster of teams, each with its keys. A team may list a key twice. A team without keys is valid, but
    /// no request is admitted for it.
    pub fn new(teams_with_keys: Vec<(Team, Vec<String>)>) -> Result<Self, RosterError> {
        let mut roster = Self::default();
        for (team, keys) in teams_with_keys {
            if team.name.is_empty() {
                return Err(RosterError::EmptyName);
            }
            let team = Rc::new(team);
            if roster.teams.insert(Rc::clone(&team.name), Rc::clone(&team)).is_some() {
                return Err(RosterError::DuplicateName(team.name.to_string()));
            }
            for key in &keys {
                roster.add_key(&team, key)?;
            }
            roster.ranks.extend(team.rank);
        }
        roster.ranks.sort_unstable();
        roster.ranks.dedup();
        let quotas = roster.teams.values().filter_map(|team| team.quota);
        let mut rates: Vec<f64> = quotas.map(|quota| quota.per_s).collect();
        rates.sort_unstable_by(f64::total_cmp);
        roster.median_per_s = rates.get(rates.len() / 2).copied();
        Ok(roster)
    }

    fn add_key(&mut self, team: &Rc<Team>, key: &str) -> Result<(), RosterError> {
        if key.is_empty() {
            return Err(RosterError::EmptyKey(team.name.to_string()));
        }
        let previous =
            self.teams_by_key.insert(self.hasher.digest(key.as_bytes()), Rc::clone(team));
        match previous {
            Some(other) if other.name != team.name => {
                Err(RosterError::SharedKey(other.name.to_string(), team.name.to_string()))
            }
            _ => Ok(()),
        }
    }

    /// Whether no team is configured, in which case requests need no key.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// The team that `key` belongs to.
    pub fn team_by_key(&self, key: &[u8]) -> Option<&Rc<Team>> {
        self.teams_by_key.get(&self.hasher.digest(key))
    }

    /// The team with the given name.
    pub fn team(&self, name: &str) -> Option<&Rc<Team>> {
        self.teams.get(name)
    }

    /// The names of the teams with the largest quotas, largest first, at most `count`. A team without a quota
    /// counts as larger than any other.
    pub fn largest(&self, count: usize) -> Vec<Rc<str>> {
        let size = |team: &Team| team.quota.map_or(f64::INFINITY, |quota| quota.per_s);
        let mut teams: Vec<&Rc<Team>> = self.teams.values().collect();
        teams.sort_unstable_by(|one, other| {
            size(other).total_cmp(&size(one)).then_with(|| one.name.cmp(&other.name))
        });
        teams.truncate(count);
        teams.into_iter().map(|team| Rc::clone(&team.name)).collect()
    }

    /// The weight of a team among those that share an overloaded service: the rate of its quota. A team without
    /// a quota has the median weight; without any quotas, all teams weigh the same.
    pub fn share_weight(&self, name: &str) -> f64 {
        let quota = self.teams.get(name).and_then(|team| team.quota);
        let weight = quota.map(|quota| quota.per_s).or(self.median_per_s);
        weight.filter(|weight| *weight > 0.0).unwrap_or(1.0)
    }

    /// The number of distinct ranks of teams; one if no team has a rank.
    pub fn rank_count(&self) -> usize {
        self.ranks.len().max(1)
    }

    /// The index of a team's rank among the distinct ranks. A team without a rank gets the last index.
    pub fn rank_index(&self, team: &Team) -> usize {
        let index = self.ranks.iter().position(|rank| Some(*rank) == team.rank);
        index.unwrap_or(self.rank_count() - 1)
    }
}
