//! Parses one JSON file into a tree that keeps the origin of each value.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;
use std::sync::Arc;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::Value;

use super::problem::Problem;
use super::tree::{Members, Origin, Tree, TreeValue};

/// Reads the JSON document in `file`. Adds a problem and returns `None` if it cannot be read.
pub(super) fn read_file(file: &Path, problems: &mut Vec<Problem>) -> Option<Tree> {
    match std::fs::read_to_string(file) {
        Ok(text) => read_text(file, &text, problems),
        Err(error) => {
            let found = format!("an unreadable file ({error})");
            problems.push(problem(file, "", found, "a JSON file in UTF-8"));
            None
        }
    }
}

/// Reads the JSON document `text`, which came from `file`. Adds a problem and returns `None` if it
/// is not valid JSON.
///
/// A duplicate member of an object is a problem too: other JSON parsers keep the first or the last
/// one without an error.
pub(super) fn read_text(file: &Path, text: &str, problems: &mut Vec<Problem>) -> Option<Tree> {
    let duplicates = RefCell::new(Vec::new());
    let origin = Origin { file: Arc::from(file), pointer: String::new() };
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let tree = TreeSeed { origin, duplicates: &duplicates }
        .deserialize(&mut deserializer)
        .and_then(|tree| deserializer.end().map(|()| tree));
    for origin in duplicates.into_inner() {
        let found = "a member that the object has more than once";
        problems.push(problem(file, &origin.pointer, found, "each member at most once"));
    }
    match tree {
        Ok(tree) => Some(tree),
        Err(error) => {
            problems.push(problem(file, "", error.to_string(), "one JSON document"));
            None
        }
    }
}

/// A problem in `file`.
fn problem(file: &Path, path: &str, found: impl Into<String>, accepted: &str) -> Problem {
    Problem {
        file: Some(file.to_path_buf()),
        path: path.to_owned(),
        found: found.into(),
        accepted: accepted.to_owned(),
    }
}

/// Deserializes a value into a tree whose root has a given origin.
struct TreeSeed<'a> {
    /// The origin of the value.
    origin: Origin,
    /// Collects the origins of duplicate members.
    duplicates: &'a RefCell<Vec<Origin>>,
}

impl TreeSeed<'_> {
    /// A scalar with this origin.
    fn scalar(self, value: impl Into<Value>) -> Tree {
        Tree { origin: self.origin, value: TreeValue::Scalar(value.into()) }
    }

    /// The seed of the member or item `name`.
    fn child(&self, name: &str) -> Self {
        Self { origin: self.origin.child(name), duplicates: self.duplicates }
    }
}

impl<'de> DeserializeSeed<'de> for TreeSeed<'_> {
    type Value = Tree;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Tree, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for TreeSeed<'_> {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Tree, E> {
        Ok(self.scalar(Value::Null))
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Tree, E> {
        Ok(self.scalar(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Tree, E> {
        Ok(self.scalar(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Tree, E> {
        Ok(self.scalar(value))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Tree, E> {
        Ok(self.scalar(value))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Tree, E> {
        Ok(self.scalar(value))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Tree, A::Error> {
        let mut items: Vec<Tree> = Vec::new();
        while let Some(item) = access.next_element_seed(self.child(&items.len().to_string()))? {
            items.push(item);
        }
        Ok(Tree { origin: self.origin, value: TreeValue::List(items) })
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Tree, A::Error> {
        let mut members = BTreeMap::new();
        while let Some(name) = access.next_key::<String>()? {
            let seed = self.child(&name);
            let origin = seed.origin.clone();
            let member = access.next_value_seed(seed)?;
            if members.insert(name, member).is_some() {
                self.duplicates.borrow_mut().push(origin);
            }
        }
        Ok(Tree { origin: self.origin, value: TreeValue::Object(Members::new(members)) })
    }
}
