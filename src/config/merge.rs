//! Lays an overlay over what earlier files say.
//!
//! Objects are merged as by RFC 7396: a member replaces the inherited one, null removes it. Two
//! things differ, so that an overlay states only what differs. A list whose items have a key is
//! merged item by item, and an item `{<key>, "remove": true}` takes the inherited one out. An
//! object whose `kind` changes is replaced as a whole, since the members of one kind mean nothing
//! in another.

use std::collections::BTreeSet;

use serde_json::Value;

use super::problem::Problem;
use super::tree::{Kind, Members, Tree, join};

/// The member of an overlay's item that takes the inherited item out.
const REMOVE: &str = "remove";
/// The member that tells the kinds of an object apart.
const KIND: &str = "kind";

/// A list whose items are merged one by one.
struct KeyedList {
    /// The JSON pointer of the list within the settings.
    pointer: &'static str,
    /// The members that make up an item's key, each with the value it has when it is absent.
    key: &'static [(&'static str, Option<&'static str>)],
    /// Whether items that an overlay adds come before the inherited ones. They do where the first
    /// item that fits decides, so that the later file has the say.
    is_added_first: bool,
}

/// Every list whose items have a key.
const KEYED_LISTS: &[KeyedList] = &[
    KeyedList { pointer: "/rules/classes", key: &[("name", None)], is_added_first: false },
    KeyedList { pointer: "/rules/services", key: &[("name", None)], is_added_first: false },
    KeyedList { pointer: "/rules/arms", key: &[("id", None)], is_added_first: false },
    KeyedList { pointer: "/rules/policies", key: &[("name", None)], is_added_first: false },
    KeyedList {
        pointer: "/rules/routes",
        key: &[("service", None), ("method", Some("")), ("path_prefix", Some("/"))],
        is_added_first: true,
    },
];

/// Lays `overlay` over `inherited`, both standing at `pointer`. None where nothing is left.
pub(super) fn merge(
    inherited: Option<Tree>,
    overlay: Tree,
    pointer: &str,
    problems: &mut Vec<Problem>,
) -> Option<Tree> {
    if overlay.is_null() {
        return None;
    }
    let keyed_list = KEYED_LISTS.iter().find(|list| list.pointer == pointer);
    let inherited = inherited.filter(|inherited| !has_other_kind(inherited, &overlay));
    match (overlay.kind, keyed_list) {
        (Kind::Object(members), _) => {
            let (origin, merged) = match inherited {
                Some(Tree { origin, kind: Kind::Object(merged) }) => (origin, merged),
                _ => (overlay.origin, Members::default()),
            };
            let merged = merge_members(merged, members, pointer, problems);
            Some(Tree { origin, kind: Kind::Object(merged) })
        }
        (Kind::List(items), Some(list)) => {
            let (origin, merged) = match inherited {
                Some(Tree { origin, kind: Kind::List(merged) }) => (origin, merged),
                _ => (overlay.origin, Vec::new()),
            };
            let merged = merge_items(merged, items, list, problems);
            Some(Tree { origin, kind: Kind::List(merged) })
        }
        (kind, _) => Some(Tree { origin: overlay.origin, kind }),
    }
}

/// Whether both are objects that name different kinds.
fn has_other_kind(inherited: &Tree, overlay: &Tree) -> bool {
    let kinds = (inherited.member(KIND), overlay.member(KIND));
    let (Some(inherited), Some(overlay)) = kinds else {
        return false;
    };
    inherited.scalar() != overlay.scalar()
}

/// Merges the members of two objects.
fn merge_members(
    mut merged: Members,
    members: Members,
    pointer: &str,
    problems: &mut Vec<Problem>,
) -> Members {
    for (name, member) in members.present {
        let inherited = merged.present.remove(&name);
        let below = join(pointer, &name);
        let origin = member.origin.clone();
        match merge(inherited, member, &below, problems) {
            Some(member) => drop(merged.present.insert(name, member)),
            None => drop(merged.removed.insert(name, origin)),
        }
    }
    merged
}

/// Merges the items of two lists by their key.
fn merge_items(
    mut merged: Vec<Tree>,
    items: Vec<Tree>,
    list: &KeyedList,
    problems: &mut Vec<Problem>,
) -> Vec<Tree> {
    let mut added = Vec::new();
    let mut seen = BTreeSet::new();
    for item in items {
        let Some(key) = key_of(&item, list) else {
            // An item without a key is refused for its shape later, with all else that is wrong.
            added.push(item);
            continue;
        };
        if !seen.insert(key.clone()) {
            let found = format!("a second item {}", describe(&key));
            problems.push(problem(&item, found, "one item for each key in a file"));
            continue;
        }
        let place = merged.iter().position(|old| key_of(old, list).as_ref() == Some(&key));
        if item.member(REMOVE).is_some() {
            remove_item(&mut merged, place, &item, list, problems);
            continue;
        }
        let inherited = place.map(|place| merged.remove(place));
        let below = join(list.pointer, &describe(&key));
        let Some(item) = merge(inherited, item, &below, problems) else {
            continue;
        };
        match place {
            Some(place) => merged.insert(place, item),
            None => added.push(item),
        }
    }
    if list.is_added_first {
        std::mem::swap(&mut merged, &mut added);
    }
    merged.append(&mut added);
    merged
}

/// Takes the inherited item at `place` out, as `item` asks.
fn remove_item(
    merged: &mut Vec<Tree>,
    place: Option<usize>,
    item: &Tree,
    list: &KeyedList,
    problems: &mut Vec<Problem>,
) {
    if !is_bare_removal(item, list) {
        let found = "a removal that is not true or has other members";
        problems.push(problem(item, found, "the members of the key and \"remove\": true"));
        return;
    }
    let Some(place) = place else {
        let found = "a removal of what no earlier file has";
        problems.push(problem(item, found, "the key of an item of an earlier file"));
        return;
    };
    merged.remove(place);
}

/// The key of an item, where it has one.
fn key_of(item: &Tree, list: &KeyedList) -> Option<Vec<String>> {
    let mut key = Vec::new();
    for (name, absent) in list.key {
        let value = item.member(name).and_then(Tree::scalar).filter(|value| !value.is_null());
        let part = match value {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => (*absent)?.to_owned(),
        };
        key.push(part);
    }
    Some(key)
}

/// Whether `item` has its key, `"remove": true` and nothing else.
fn is_bare_removal(item: &Tree, list: &KeyedList) -> bool {
    let Kind::Object(members) = &item.kind else {
        return false;
    };
    for (name, member) in &members.present {
        let is_key = list.key.iter().any(|(key, _)| key == name);
        let is_removal = name == REMOVE && member.scalar() == Some(&Value::Bool(true));
        if !is_key && !is_removal {
            return false;
        }
    }
    true
}

/// The key in words.
fn describe(key: &[String]) -> String {
    key.join(" ").trim().to_owned()
}

/// A problem with an item of an overlay.
fn problem(item: &Tree, found: impl Into<String>, accepted: &str) -> Problem {
    Problem {
        file: Some(item.origin.file.to_path_buf()),
        path: item.origin.pointer.clone(),
        found: found.into(),
        accepted: accepted.to_owned(),
    }
}
