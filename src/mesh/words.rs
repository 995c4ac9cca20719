//! Dynamic tables that compress frames, similar to HPACK: repeated byte strings (words) are sent as
//! indices.
//!
//! Names of services, routes, hosts and headers, and many values, are the same in most calls. The
//! sender marks the words to be added to the tables. Both ends number these in the order in which
//! they are sent, and overwrite the oldest when the table is full.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::codec::FrameError;

/// Table size for one direction of a link: more words than a site of a dozen services uses in a
/// minute, and at most about 10 KB a link.
const TABLE_WORDS_MAX: usize = 128;
/// Maximum length of a word in the table, in bytes.
const WORD_MAX_BYTES: usize = 96;

/// A word in its encoded form.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Word<'a> {
    /// The word in the table with this number.
    Known(u8),
    /// A word that both ends add to their tables.
    New(&'a [u8]),
    /// A word that is not added to the tables.
    Once(&'a [u8]),
}

/// The sender's table.
#[derive(Debug, Default)]
pub struct EncoderTable {
    numbers: HashMap<Bytes, u8>,
    entries: Vec<Bytes>,
    oldest: usize,
    /// The hash of the last value sent for each name.
    last_value_hashes: HashMap<Bytes, u64>,
}

impl EncoderTable {
    /// Encodes a word that is likely to be sent again.
    pub fn encode<'a>(&mut self, word: &'a [u8]) -> Word<'a> {
        if let Some(number) = self.numbers.get(word) {
            return Word::Known(*number);
        }
        if word.len() > WORD_MAX_BYTES {
            return Word::Once(word);
        }
        self.insert(Bytes::copy_from_slice(word));
        Word::New(word)
    }

    /// Encodes a value that goes with `name`. It is added to the table only when sent twice in a
    /// row for that name, as many values differ each time.
    pub fn encode_value<'a>(&mut self, name: &[u8], value: &'a [u8]) -> Word<'a> {
        if let Some(number) = self.numbers.get(value) {
            return Word::Known(*number);
        }
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        let hash = hasher.finish();
        if let Some(last) = self.last_value_hashes.get_mut(name) {
            if *last == hash {
                return self.encode(value);
            }
            *last = hash;
        } else if self.last_value_hashes.len() < TABLE_WORDS_MAX {
            self.last_value_hashes.insert(Bytes::copy_from_slice(name), hash);
        }
        Word::Once(value)
    }

    fn insert(&mut self, word: Bytes) {
        if self.entries.len() < TABLE_WORDS_MAX {
            self.numbers.insert(word.clone(), self.entries.len() as u8);
            self.entries.push(word);
            return;
        }
        let evicted = std::mem::replace(&mut self.entries[self.oldest], word.clone());
        self.numbers.remove(&evicted);
        self.numbers.insert(word, self.oldest as u8);
        self.oldest = (self.oldest + 1) % TABLE_WORDS_MAX;
    }
}

/// The receiver's table, which holds the same words as the sender's.
#[derive(Debug, Default)]
pub struct DecoderTable {
    entries: Vec<Bytes>,
    oldest: usize,
}

impl DecoderTable {
    /// Decodes a word.
    ///
    /// # Errors
    ///
    /// The number is unknown, so the tables of the two ends differ, or a word to be added is too
    /// long.
    pub fn decode(&mut self, word: &Word<'_>) -> Result<Bytes, FrameError> {
        match word {
            Word::Known(number) => self
                .entries
                .get(usize::from(*number))
                .cloned()
                .ok_or(FrameError::UnknownWord(*number)),
            Word::Once(word) => Ok(Bytes::copy_from_slice(word)),
            Word::New(word) if word.len() > WORD_MAX_BYTES => Err(FrameError::TooLong(word.len())),
            Word::New(word) => {
                let word = Bytes::copy_from_slice(word);
                if self.entries.len() < TABLE_WORDS_MAX {
                    self.entries.push(word.clone());
                } else {
                    self.entries[self.oldest] = word.clone();
                    self.oldest = (self.oldest + 1) % TABLE_WORDS_MAX;
                }
                Ok(word)
            }
        }
    }

    /// Decodes a word that must be valid UTF-8.
    pub fn decode_text(&mut self, word: &Word<'_>) -> Result<String, FrameError> {
        let word = self.decode(word)?;
        String::from_utf8(word.into()).map_err(|_| FrameError::NotText)
    }
}
