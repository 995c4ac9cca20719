//! Objects of the object store: bytes by key, each with an entity tag.

use std::collections::BTreeMap;

use crate::standin::answer::digest;
use crate::standin::message::{Reply, Request};

/// All objects of the store.
#[derive(Debug, Default)]
pub(super) struct Objects {
    /// Contents by key.
    objects: BTreeMap<String, Vec<u8>>,
}

impl Objects {
    /// Answers one request.
    pub(super) fn answer(&mut self, request: &Request) -> Reply {
        let Some(key) = request.path.strip_prefix("/objects/").filter(|key| !key.is_empty()) else {
            return Reply::problem(404, "no such path");
        };
        match request.method.as_str() {
            "GET" => self.get(key),
            "PUT" => self.put(key, request),
            "DELETE" => self.delete(key),
            _ => Reply::problem(405, "no such method"),
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.objects.get(key) {
            Some(bytes) => Reply::bytes(200, bytes.clone()).with_header("etag", &entity_tag(bytes)),
            None => Reply::problem(404, "no such object"),
        }
    }

    fn put(&mut self, key: &str, request: &Request) -> Reply {
        let create_only = request.header("if-none-match").is_some();
        if let Some(current) = self.objects.get(key).filter(|_| create_only) {
            return Reply::problem(412, "the object exists")
                .with_header("etag", &entity_tag(current));
        }
        let created = self.objects.insert(key.to_owned(), request.body.clone()).is_none();
        let status = if created { 201 } else { 200 };
        Reply::empty(status).with_header("etag", &entity_tag(&request.body))
    }

    fn delete(&mut self, key: &str) -> Reply {
        match self.objects.remove(key) {
            Some(_) => Reply::empty(204),
            None => Reply::problem(404, "no such object"),
        }
    }
}

/// The quoted entity tag of an object's contents.
fn entity_tag(bytes: &[u8]) -> String {
    format!("\"{}\"", digest(bytes))
}
