//! A small JSON reader for the bodies that nodes send to the store.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Value::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Value::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Value> {
        match self.get(name) {
            Some(Value::List(list)) => list.clone(),
            _ => Vec::new(),
        }
    }
}

/// Parses a document; `None` if it is malformed.
pub fn parse(bytes: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut reader = Reader { chars: text.chars().collect(), at: 0 };
    let value = reader.value()?;
    reader.skip_space();
    (reader.at == reader.chars.len()).then_some(value)
}

/// A text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for found in text.chars() {
        match found {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            other if (other as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", other as u32)),
            other => out.push(other),
        }
    }
    out.push('"');
    out
}

struct Reader {
    chars: Vec<char>,
    at: usize,
}

impl Reader {
    fn skip_space(&mut self) {
        while self.chars.get(self.at).is_some_and(|found| found.is_whitespace()) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<char> {
        self.skip_space();
        self.chars.get(self.at).copied()
    }

    fn take(&mut self, wanted: char) -> Option<()> {
        (self.peek()? == wanted).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        for wanted in word.chars() {
            if self.chars.get(self.at) != Some(&wanted) {
                return None;
            }
            self.at += 1;
        }
        Some(value)
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            '{' => self.table(),
            '[' => self.list(),
            '"' => Some(Value::Text(self.string()?)),
            't' => self.word("true", Value::Bool(true)),
            'f' => self.word("false", Value::Bool(false)),
            'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let start = self.at;
        while self.chars.get(self.at).is_some_and(|found| "+-.eE0123456789".contains(*found)) {
            self.at += 1;
        }
        let text: String = self.chars[start..self.at].iter().collect();
        text.parse().ok().map(Value::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take('"')?;
        let mut out = String::new();
        loop {
            let found = *self.chars.get(self.at)?;
            self.at += 1;
            match found {
                '"' => return Some(out),
                '\\' => {
                    let escaped = *self.chars.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        'n' => out.push('\n'),
                        't' => out.push('\t'),
                        'r' => out.push('\r'),
                        'b' => out.push('\u{8}'),
                        'f' => out.push('\u{c}'),
                        'u' => {
                            let code: String =
                                self.chars.get(self.at..self.at + 4)?.iter().collect();
                            self.at += 4;
                            out.push(char::from_u32(u32::from_str_radix(&code, 16).ok()?)?);
                        }
                        other => out.push(other),
                    }
                }
                other => out.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take('[')?;
        let mut list = Vec::new();
        if self.peek()? == ']' {
            self.at += 1;
            return Some(Value::List(list));
        }
        loop {
            list.push(self.value()?);
            if self.peek()? == ',' {
                self.at += 1;
                continue;
            }
            self.take(']')?;
            return Some(Value::List(list));
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.take('{')?;
        let mut fields = BTreeMap::new();
        if self.peek()? == '}' {
            self.at += 1;
            return Some(Value::Table(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(':')?;
            fields.insert(name, self.value()?);
            if self.peek()? == ',' {
                self.at += 1;
                continue;
            }
            self.take('}')?;
            return Some(Value::Table(fields));
        }
    }
}
