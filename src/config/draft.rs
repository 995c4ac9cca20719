//! The settings as far as they can be read.
//!
//! A file with one wrong value still has its other contradictions reported: each item that can be
//! read is checked, and what cannot be read is left out of the checks that would need it.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{ArmSettings, ClassSettings, PolicySettings, RouteSettings, ServiceSettings};

/// The rules as far as they can be read.
pub(super) struct RulesDraft {
    /// Classes of calls.
    pub classes: Listed<ClassSettings>,
    /// Which calls belong to which class.
    pub routes: Listed<RouteSettings>,
    /// The services of the site.
    pub services: Listed<ServiceSettings>,
    /// The policies that run side by side.
    pub arms: Listed<ArmSettings>,
    /// The policies the arms refer to.
    pub policies: Listed<PolicySettings>,
}

impl RulesDraft {
    /// Reads what can be read of the rules in `value`.
    pub fn read(value: &Value) -> Self {
        Self {
            classes: Listed::read(value.get("classes")),
            routes: Listed::read(value.get("routes")),
            services: Listed::read(value.get("services")),
            arms: Listed::read(value.get("arms")),
            policies: Listed::read(value.get("policies")),
        }
    }
}

/// A list as far as it can be read.
pub(super) struct Listed<T> {
    /// The items that can be read, each with its index in the list.
    pub items: Vec<(usize, T)>,
    /// Whether every item can be read.
    pub is_whole: bool,
    /// The names of all items, or none where some name cannot be read.
    names: Option<BTreeSet<String>>,
}

impl<T: DeserializeOwned> Listed<T> {
    /// Reads what can be read of a list.
    fn read(list: Option<&Value>) -> Self {
        let Some(list) = list.and_then(Value::as_array) else {
            return Self { items: Vec::new(), is_whole: false, names: None };
        };
        let mut items = Vec::new();
        let mut names = Some(BTreeSet::new());
        for (index, value) in list.iter().enumerate() {
            match (value.get("name").and_then(Value::as_str), &mut names) {
                (Some(name), Some(names)) => drop(names.insert(name.to_owned())),
                _ => names = None,
            }
            items.extend(T::deserialize(value).ok().map(|item| (index, item)));
        }
        let is_whole = items.len() == list.len();
        Self { items, is_whole, names }
    }

    /// Whether no item is called `name`; false where that cannot be told.
    pub fn lacks(&self, name: &str) -> bool {
        self.names.as_ref().is_some_and(|names| !names.contains(name))
    }

    /// The names of all items, as far as they are known.
    pub fn names(&self) -> Vec<&str> {
        self.names.iter().flatten().map(String::as_str).collect()
    }
}

/// The members of a node's section that other members must fit, as far as they can be read.
pub(super) struct NodeDraft<'a>(Option<&'a Value>);

impl<'a> NodeDraft<'a> {
    /// Reads what can be read of the node's section of `settings`.
    pub fn read(settings: &'a Value) -> Self {
        Self(settings.get("node"))
    }

    /// The text of the member `name`.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.0?.get(name)?.as_str()
    }

    /// The number of the member `name`.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.0?.get(name)?.as_u64()
    }

    /// The address of the member `name`.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.text(name)?.parse().ok()
    }

    /// The seeds that can be read, each with its index.
    pub fn seeds(&self) -> Vec<(usize, SocketAddr)> {
        let seeds = self.0.and_then(|node| node.get("seeds")).and_then(Value::as_array);
        let mut read = Vec::new();
        for (index, seed) in seeds.into_iter().flatten().enumerate() {
            let address = seed.as_str().and_then(|text| text.parse().ok());
            read.extend(address.map(|address| (index, address)));
        }
        read
    }
}
