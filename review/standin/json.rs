//! A small JSON reader and writer, enough for the bodies of the platform.

use std::collections::BTreeMap;
use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name) {
            Some(Json::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        match self.get(name) {
            Some(Json::Number(number)) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(entries)) => entries,
            _ => &[],
        }
    }
}

/// A JSON string literal.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => write!(quoted, "\\u{:04x}", c as u32).unwrap(),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

pub fn parse(bytes: &[u8]) -> Option<Json> {
    let mut reader = Reader { bytes, at: 0 };
    let value = reader.value()?;
    reader.skip_space();
    (reader.at == bytes.len()).then_some(value)
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn peek(&mut self) -> Option<u8> {
        self.skip_space();
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.table(),
            b'[' => self.entries(),
            b'"' => self.string().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.numeral(),
        }
    }

    fn numeral(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|b| b"+-.eE0123456789".contains(b)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let character = match escaped {
                        b'n' => '\n',
                        b't' => '\t',
                        b'r' => '\r',
                        b'b' => '\u{8}',
                        b'f' => '\u{c}',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    let mut buffer = [0; 4];
                    text.extend_from_slice(character.encode_utf8(&mut buffer).as_bytes());
                }
                other => text.push(other),
            }
        }
    }

    fn entries(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut entries = Vec::new();
        if self.peek()? == b']' {
            self.at += 1;
            return Some(Json::List(entries));
        }
        loop {
            entries.push(self.value()?);
            if self.peek()? == b']' {
                self.at += 1;
                return Some(Json::List(entries));
            }
            self.take(b',')?;
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.peek()? == b'}' {
            self.at += 1;
            return Some(Json::Table(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.peek()? == b'}' {
                self.at += 1;
                return Some(Json::Table(fields));
            }
            self.take(b',')?;
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= group.len() {
                text.push(DIGITS[(bits >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
