//! The teams of a configuration, and who holds which key.

use std::collections::HashMap;
use std::rc::Rc;

use thiserror::Error;

use super::key::{KeyDigest, KeyHasher};

/// How many requests a team may send, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub per_s: f64,
    /// Requests beyond that at once.
    pub burst: f64,
}

/// A team as the operator configures it.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name, which targets are told.
    pub name: Rc<str>,
    /// The rank of its requests, where that goes before the rank of their routes.
    pub rank: Option<u8>,
    /// How many requests it may send; no limit where there is none.
    pub quota: Option<Quota>,
}

/// Why teams cannot come into force. Names teams, never keys.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RosterError {
    /// A team without a name.
    #[error("a team has no name")]
    NoName,
    /// Two teams of one name.
    #[error("the team {0:?} is listed twice")]
    SameName(String),
    /// A key without a character would let in requests that have none.
    #[error("the team {0:?} has an empty key")]
    EmptyKey(String),
    /// It could not be told whose request it is.
    #[error("the teams {0:?} and {1:?} share a key")]
    SharedKey(String, String),
}

/// The teams of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    hasher: KeyHasher,
    teams: HashMap<Rc<str>, Rc<Team>>,
    holders: HashMap<KeyDigest, Rc<Team>>,
    /// The ranks that teams have, each once, the most important first.
    ranks: Vec<u8>,
}

impl Roster {
    /// A roster of teams, each with its keys. A team may list a key twice, and may have none at all: then
    /// nobody is let in under its name.
    pub fn new(listed: Vec<(Team, Vec<String>)>) -> Result<Self, RosterError> {
        let mut roster = Self::default();
        for (team, keys) in listed {
            if team.name.is_empty() {
                return Err(RosterError::NoName);
            }
            let team = Rc::new(team);
            if roster.teams.insert(Rc::clone(&team.name), Rc::clone(&team)).is_some() {
                return Err(RosterError::SameName(team.name.to_string()));
            }
            for key in &keys {
                roster.add_key(&team, key)?;
            }
            roster.ranks.extend(team.rank);
        }
        roster.ranks.sort_unstable();
        roster.ranks.dedup();
        Ok(roster)
    }

    fn add_key(&mut self, team: &Rc<Team>, key: &str) -> Result<(), RosterError> {
        if key.is_empty() {
            return Err(RosterError::EmptyKey(team.name.to_string()));
        }
        let holder = self.holders.insert(self.hasher.digest(key.as_bytes()), Rc::clone(team));
        match holder {
            Some(other) if other.name != team.name => {
                Err(RosterError::SharedKey(other.name.to_string(), team.name.to_string()))
            }
            _ => Ok(()),
        }
    }

    /// Whether no team is configured: then no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// The team that holds `key`.
    pub fn holder(&self, key: &[u8]) -> Option<&Rc<Team>> {
        self.holders.get(&self.hasher.digest(key))
    }

    /// The team of a name.
    pub fn team(&self, name: &str) -> Option<&Rc<Team>> {
        self.teams.get(name)
    }

    /// The names of the teams with the largest quotas, the largest first, at most `most`. A team without
    /// a limit counts as larger than any other.
    pub fn largest(&self, most: usize) -> Vec<Rc<str>> {
        let size = |team: &Team| team.quota.map_or(f64::INFINITY, |quota| quota.per_s);
        let mut teams: Vec<&Rc<Team>> = self.teams.values().collect();
        teams.sort_unstable_by(|one, other| {
            size(other).total_cmp(&size(one)).then_with(|| one.name.cmp(&other.name))
        });
        teams.truncate(most);
        teams.into_iter().map(|team| Rc::clone(&team.name)).collect()
    }

    /// How many ranks there are among the teams; one where no team has any.
    pub fn rank_places(&self) -> usize {
        self.ranks.len().max(1)
    }

    /// The place of a team's rank among those that there are. A team without a rank has the last one.
    pub fn rank_place(&self, team: &Team) -> usize {
        let place = self.ranks.iter().position(|rank| Some(*rank) == team.rank);
        place.unwrap_or(self.rank_places() - 1)
    }
}
