//! Partially deserialized settings, which allow consistency checks despite invalid values.
//!
//! Each list item that can be deserialized is checked. Checks that would need the invalid items are
//! skipped.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{ArmSettings, ClassSettings, PolicySettings, RouteSettings, ServiceSettings};

/// The parts of the rules that can be deserialized.
pub(super) struct PartialRules {
    /// Classes of calls.
    pub classes: PartialList<ClassSettings>,
    /// Assignment of calls to classes.
    pub routes: PartialList<RouteSettings>,
    /// The services of the site.
    pub services: PartialList<ServiceSettings>,
    /// The arms, each of which runs a policy on a share of root requests.
    pub arms: PartialList<ArmSettings>,
    /// The policies that arms refer to.
    pub policies: PartialList<PolicySettings>,
}

impl PartialRules {
    /// Deserializes the valid items of the rules in `value`.
    pub fn read(value: &Value) -> Self {
        Self {
            classes: PartialList::read(value.get("classes")),
            routes: PartialList::read(value.get("routes")),
            services: PartialList::read(value.get("services")),
            arms: PartialList::read(value.get("arms")),
            policies: PartialList::read(value.get("policies")),
        }
    }
}

/// The items of a list that can be deserialized.
pub(super) struct PartialList<T> {
    /// The valid items, each with its index in the list.
    pub items: Vec<(usize, T)>,
    /// Whether every item of the list is valid.
    pub is_complete: bool,
    /// The names of all items; `None` if the name of any item cannot be read.
    names: Option<BTreeSet<String>>,
}

impl<T: DeserializeOwned> PartialList<T> {
    /// Deserializes the valid items of a list.
    fn read(list: Option<&Value>) -> Self {
        let Some(list) = list.and_then(Value::as_array) else {
            return Self { items: Vec::new(), is_complete: false, names: None };
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
        let is_complete = items.len() == list.len();
        Self { items, is_complete, names }
    }

    /// Whether no item is named `name`; false if not all names are known.
    pub fn lacks(&self, name: &str) -> bool {
        self.names.as_ref().is_some_and(|names| !names.contains(name))
    }

    /// The names of all items; empty if not all names are known.
    pub fn names(&self) -> Vec<&str> {
        self.names.iter().flatten().map(String::as_str).collect()
    }
}

/// The node section, whose members are read one by one for the consistency checks.
pub(super) struct PartialNode<'a>(Option<&'a Value>);

impl<'a> PartialNode<'a> {
    /// The node section of `settings`.
    pub fn read(settings: &'a Value) -> Self {
        Self(settings.get("node"))
    }

    /// The member `name`, if it is a string.
    pub fn text(&self, name: &str) -> Option<&'a str> {
        self.0?.get(name)?.as_str()
    }

    /// The member `name`, if it is an unsigned integer.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.0?.get(name)?.as_u64()
    }

    /// The member `name`, if it is a socket address.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.text(name)?.parse().ok()
    }

    /// The seeds that are valid addresses, each with its index.
    pub fn seeds(&self) -> Vec<(usize, SocketAddr)> {
        let seeds = self.0.and_then(|node| node.get("seeds")).and_then(Value::as_array);
        let mut addresses = Vec::new();
        for (index, seed) in seeds.into_iter().flatten().enumerate() {
            let address = seed.as_str().and_then(|text| text.parse().ok());
            addresses.extend(address.map(|address| (index, address)));
        }
        addresses
    }
}
