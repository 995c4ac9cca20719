//! A JSON document in which every value keeps its origin: a file and the JSON pointer within it.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;

use serde_json::Value;

/// Where a value was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    /// The file that was read.
    pub file: Arc<Path>,
    /// The JSON pointer (RFC 6901) within the file.
    pub pointer: String,
}

impl Origin {
    /// The origin of the member or item `name` of the value at this origin.
    pub(super) fn child(&self, name: &str) -> Self {
        Self { file: Arc::clone(&self.file), pointer: join_pointer(&self.pointer, name) }
    }
}

/// A value with its origin.
#[derive(Clone, Debug)]
pub(super) struct Tree {
    /// Where the value was read; for a merged object or list, where its first part was read.
    pub origin: Origin,
    /// The value.
    pub value: TreeValue,
}

/// A JSON value.
#[derive(Clone, Debug)]
pub(super) enum TreeValue {
    /// Null, a boolean, a number or a string.
    Scalar(Value),
    /// An object.
    Object(Members),
    /// An array.
    List(Vec<Tree>),
}

/// The members of an object.
#[derive(Clone, Debug, Default)]
pub(super) struct Members {
    /// The members that are present.
    pub present: BTreeMap<String, Tree>,
    /// The members removed by a null in an overlay, each with the origin of the null.
    pub removed: BTreeMap<String, Origin>,
}

impl Members {
    /// Creates members of which none have been removed.
    pub fn new(present: BTreeMap<String, Tree>) -> Self {
        Self { present, removed: BTreeMap::new() }
    }
}

impl Tree {
    /// Whether this is null.
    pub fn is_null(&self) -> bool {
        matches!(self.value, TreeValue::Scalar(Value::Null))
    }

    /// The member `name`, if this is an object that has it.
    pub fn member(&self, name: &str) -> Option<&Tree> {
        match &self.value {
            TreeValue::Object(members) => members.present.get(name),
            TreeValue::Scalar(_) | TreeValue::List(_) => None,
        }
    }

    /// The value, if this is a scalar.
    pub fn scalar(&self) -> Option<&Value> {
        match &self.value {
            TreeValue::Scalar(value) => Some(value),
            TreeValue::Object(_) | TreeValue::List(_) => None,
        }
    }

    /// The plain value, without origins.
    pub fn to_value(&self) -> Value {
        match &self.value {
            TreeValue::Scalar(value) => value.clone(),
            TreeValue::Object(members) => members
                .present
                .iter()
                .map(|(name, member)| (name.clone(), member.to_value()))
                .collect::<serde_json::Map<_, _>>()
                .into(),
            TreeValue::List(items) => items.iter().map(Tree::to_value).collect(),
        }
    }

    /// The value at `pointer`, if there is one.
    pub fn find(&self, pointer: &str) -> Option<&Tree> {
        let mut tree = self;
        for name in pointer_tokens(pointer) {
            tree = tree.child(&name)?;
        }
        Some(tree)
    }

    /// The origin of the value at `pointer`. If there is no value, the origin of the null that
    /// removed it, or else where it would be in the file of its nearest ancestor.
    pub fn origin_of(&self, pointer: &str) -> Origin {
        let mut tree = Some(self);
        let mut origin = self.origin.clone();
        for name in pointer_tokens(pointer) {
            let removed = tree.and_then(|tree| tree.removal_origin(&name)).cloned();
            tree = tree.and_then(|tree| tree.child(&name));
            let absent = removed.unwrap_or_else(|| origin.child(&name));
            origin = tree.map_or(absent, |tree| tree.origin.clone());
        }
        origin
    }

    /// The origin of the null that removed the member `name`, if one did.
    fn removal_origin(&self, name: &str) -> Option<&Origin> {
        match &self.value {
            TreeValue::Object(members) => members.removed.get(name),
            TreeValue::Scalar(_) | TreeValue::List(_) => None,
        }
    }

    /// The member or item `name`.
    fn child(&self, name: &str) -> Option<&Tree> {
        match &self.value {
            TreeValue::Scalar(_) => None,
            TreeValue::Object(members) => members.present.get(name),
            TreeValue::List(items) => items.get(name.parse::<usize>().ok()?),
        }
    }
}

/// The JSON pointer of the member or item `name` of the value at `pointer`.
pub(super) fn join_pointer(pointer: &str, name: &str) -> String {
    format!("{pointer}/{}", name.replace('~', "~0").replace('/', "~1"))
}

/// The unescaped reference tokens of a JSON pointer.
fn pointer_tokens(pointer: &str) -> impl Iterator<Item = String> + '_ {
    pointer.split('/').skip(1).map(|name| name.replace("~1", "/").replace("~0", "~"))
}
