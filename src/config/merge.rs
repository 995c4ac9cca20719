//! Merges an overlay into the settings of earlier files.
//!
//! Objects are merged as in JSON Merge Patch (RFC 7396): a member replaces the inherited one, and
//! null removes it. There are two exceptions, so that an overlay holds only the differences. A list
//! whose items have a key is merged item by item, and an item `{<key>, "remove": true}` removes the
//! inherited one. An object whose `kind` changes is replaced as a whole, since the members of one
//! kind have no meaning in another.

use std::collections::BTreeSet;

use serde_json::Value;

use super::problem::Problem;
use super::tree::{Members, Tree, TreeValue, join_pointer};

/// The member of an overlay's item that removes the inherited item.
const REMOVE: &str = "remove";
/// The member of an object that names its variant, such as the kind of a retry rule.
const KIND: &str = "kind";

/// A list whose items are merged by key.
struct KeyedList {
    /// The JSON pointer of the list within the settings.
    pointer: &'static str,
    /// The members that make up an item's key, each with its default, if it has one.
    key: &'static [(&'static str, Option<&'static str>)],
    /// Whether items that an overlay adds go before the inherited ones. True for lists in which the
    /// first matching item applies, so that later files take precedence.
    adds_in_front: bool,
}

/// Every list whose items have a key.
const KEYED_LISTS: &[KeyedList] = &[
    KeyedList { pointer: "/rules/classes", key: &[("name", None)], adds_in_front: false },
    KeyedList { pointer: "/rules/services", key: &[("name", None)], adds_in_front: false },
    KeyedList { pointer: "/rules/arms", key: &[("id", None)], adds_in_front: false },
    KeyedList { pointer: "/rules/policies", key: &[("name", None)], adds_in_front: false },
    KeyedList {
        pointer: "/rules/routes",
        key: &[("service", None), ("method", Some("")), ("path_prefix", Some("/"))],
        adds_in_front: true,
    },
];

/// Merges `overlay` into `inherited`, both of which are at `pointer`. Returns `None` if nothing is
/// left.
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
    let inherited = inherited.filter(|inherited| !has_different_kind(inherited, &overlay));
    match (overlay.value, keyed_list) {
        (TreeValue::Object(members), _) => {
            let (origin, merged) = match inherited {
                Some(Tree { origin, value: TreeValue::Object(merged) }) => (origin, merged),
                _ => (overlay.origin, Members::default()),
            };
            let merged = merge_members(merged, members, pointer, problems);
            Some(Tree { origin, value: TreeValue::Object(merged) })
        }
        (TreeValue::List(items), Some(list)) => {
            let (origin, merged) = match inherited {
                Some(Tree { origin, value: TreeValue::List(merged) }) => (origin, merged),
                _ => (overlay.origin, Vec::new()),
            };
            let merged = merge_items(merged, items, list, problems);
            Some(Tree { origin, value: TreeValue::List(merged) })
        }
        (value, _) => Some(Tree { origin: overlay.origin, value }),
    }
}

/// Whether both are objects with a `kind`, and the kinds differ.
fn has_different_kind(inherited: &Tree, overlay: &Tree) -> bool {
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
        let member_pointer = join_pointer(pointer, &name);
        let origin = member.origin.clone();
        match merge(inherited, member, &member_pointer, problems) {
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
            // An item without a key is reported by the schema validation after the merge.
            added.push(item);
            continue;
        };
        if !seen.insert(key.clone()) {
            let found = format!("a second item {}", render_key(&key));
            problems.push(problem(&item, found, "one item per key in a file"));
            continue;
        }
        let position = merged.iter().position(|old| key_of(old, list).as_ref() == Some(&key));
        if item.member(REMOVE).is_some() {
            remove_item(&mut merged, position, &item, list, problems);
            continue;
        }
        let inherited = position.map(|position| merged.remove(position));
        let item_pointer = join_pointer(list.pointer, &render_key(&key));
        let Some(item) = merge(inherited, item, &item_pointer, problems) else {
            continue;
        };
        match position {
            Some(position) => merged.insert(position, item),
            None => added.push(item),
        }
    }
    if list.adds_in_front {
        std::mem::swap(&mut merged, &mut added);
    }
    merged.append(&mut added);
    merged
}

/// Removes the inherited item at `position`, as `item` requests.
fn remove_item(
    merged: &mut Vec<Tree>,
    position: Option<usize>,
    item: &Tree,
    list: &KeyedList,
    problems: &mut Vec<Problem>,
) {
    if !is_bare_removal(item, list) {
        let found = "a removal whose \"remove\" is not true, or that has other members";
        problems.push(problem(item, found, "only the members of the key and \"remove\": true"));
        return;
    }
    let Some(position) = position else {
        let found = "a removal of an item that no earlier file has";
        problems.push(problem(item, found, "the key of an item of an earlier file"));
        return;
    };
    merged.remove(position);
}

/// The key of an item, if every member of the key is present or has a default.
fn key_of(item: &Tree, list: &KeyedList) -> Option<Vec<String>> {
    let mut key = Vec::new();
    for (name, default) in list.key {
        let value = item.member(name).and_then(Tree::scalar).filter(|value| !value.is_null());
        let part = match value {
            Some(Value::String(text)) => text.clone(),
            Some(value) => value.to_string(),
            None => (*default)?.to_owned(),
        };
        key.push(part);
    }
    Some(key)
}

/// Whether `item` has its key, `"remove": true` and nothing else.
fn is_bare_removal(item: &Tree, list: &KeyedList) -> bool {
    let TreeValue::Object(members) = &item.value else {
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

/// The key as text.
fn render_key(key: &[String]) -> String {
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
