//! Objects of the object store: bytes by key, each with an entity tag.

use std::collections::BTreeMap;

use crate::standin::answer::digest;
use crate::standin::exchange::{Exchange, Reply};

/// All objects of the store.
#[derive(Debug, Default)]
pub(super) struct Objects {
    /// Contents by key.
    objects: BTreeMap<String, Vec<u8>>,
}

impl Objects {
    /// Answers one request.
    pub(super) fn answer(&mut self, exchange: &Exchange) -> Reply {
        let Some(key) = exchange.path.strip_prefix("/objects/").filter(|key| !key.is_empty())
        else {
            return Reply::problem(404, "no such path");
        };
        match exchange.method.as_str() {
            "GET" => self.get(key),
            "PUT" => self.put(key, exchange),
            "DELETE" => self.delete(key),
            _ => Reply::problem(405, "no such method"),
        }
    }

    fn get(&self, key: &str) -> Reply {
        match self.objects.get(key) {
            Some(bytes) => Reply::bytes(200, bytes.clone()).with("etag", &entity_tag(bytes)),
            None => Reply::problem(404, "no such object"),
        }
    }

    fn put(&mut self, key: &str, exchange: &Exchange) -> Reply {
        let create_only = exchange.header("if-none-match").is_some();
        if let Some(current) = self.objects.get(key).filter(|_| create_only) {
            return Reply::problem(412, "the object exists").with("etag", &entity_tag(current));
        }
        let created = self.objects.insert(key.to_owned(), exchange.body.clone()).is_none();
        let status = if created { 201 } else { 200 };
        Reply::empty(status).with("etag", &entity_tag(&exchange.body))
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
