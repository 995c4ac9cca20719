//! Words that the two ends of a link both know, so that they are sent as numbers.
//!
//! Names of services, routes, hosts and headers, and many values, are the same in call after call. Both
//! ends number the words that the sender asks to be kept, in the order in which they are sent, and
//! forget the oldest when there are too many.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::codec::FrameError;

/// How many words are kept for one direction of a link: more than a site of a dozen services uses in a
/// minute, and at most some 10 KB a link.
const WORDS_MAX: usize = 128;
/// The longest word that is kept, in bytes.
const WORD_MAX_BYTES: usize = 96;

/// A word as it is sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Word<'a> {
    /// The kept word of this number.
    Known(u8),
    /// A word that is kept from now on.
    New(&'a [u8]),
    /// A word that is not kept.
    Once(&'a [u8]),
}

/// The words that a sender has asked the other end to keep.
#[derive(Debug, Default)]
pub struct SentWords {
    numbers: HashMap<Bytes, u8>,
    kept: Vec<Bytes>,
    oldest: usize,
    /// The hash of the value that was sent last for each name.
    last_values: HashMap<Bytes, u64>,
}

impl SentWords {
    /// A word that is likely to be sent again.
    pub fn word<'a>(&mut self, word: &'a [u8]) -> Word<'a> {
        if let Some(number) = self.numbers.get(word) {
            return Word::Known(*number);
        }
        if word.len() > WORD_MAX_BYTES {
            return Word::Once(word);
        }
        self.keep(Bytes::copy_from_slice(word));
        Word::New(word)
    }

    /// The value that goes with `name`: it is kept once it comes for a second time in a row, as many
    /// are different each time.
    pub fn value<'a>(&mut self, name: &[u8], value: &'a [u8]) -> Word<'a> {
        if let Some(number) = self.numbers.get(value) {
            return Word::Known(*number);
        }
        let mut hasher = DefaultHasher::new();
        value.hash(&mut hasher);
        let hash = hasher.finish();
        if let Some(last) = self.last_values.get_mut(name) {
            if *last == hash {
                return self.word(value);
            }
            *last = hash;
        } else if self.last_values.len() < WORDS_MAX {
            self.last_values.insert(Bytes::copy_from_slice(name), hash);
        }
        Word::Once(value)
    }

    fn keep(&mut self, word: Bytes) {
        if self.kept.len() < WORDS_MAX {
            self.numbers.insert(word.clone(), self.kept.len() as u8);
            self.kept.push(word);
            return;
        }
        let forgotten = std::mem::replace(&mut self.kept[self.oldest], word.clone());
        self.numbers.remove(&forgotten);
        self.numbers.insert(word, self.oldest as u8);
        self.oldest = (self.oldest + 1) % WORDS_MAX;
    }
}

/// The words that the other end has asked to be kept.
#[derive(Debug, Default)]
pub struct HeardWords {
    kept: Vec<Bytes>,
    oldest: usize,
}

impl HeardWords {
    /// What a word says.
    ///
    /// # Errors
    ///
    /// The other end counts otherwise, or wants more to be kept than is allowed.
    pub fn resolve(&mut self, word: &Word<'_>) -> Result<Bytes, FrameError> {
        match word {
            Word::Known(number) => {
                self.kept.get(usize::from(*number)).cloned().ok_or(FrameError::UnknownWord(*number))
            }
            Word::Once(word) => Ok(Bytes::copy_from_slice(word)),
            Word::New(word) if word.len() > WORD_MAX_BYTES => Err(FrameError::TooLong(word.len())),
            Word::New(word) => {
                let word = Bytes::copy_from_slice(word);
                if self.kept.len() < WORDS_MAX {
                    self.kept.push(word.clone());
                } else {
                    self.kept[self.oldest] = word.clone();
                    self.oldest = (self.oldest + 1) % WORDS_MAX;
                }
                Ok(word)
            }
        }
    }

    /// The same as text.
    pub fn resolve_text(&mut self, word: &Word<'_>) -> Result<String, FrameError> {
        let word = self.resolve(word)?;
        String::from_utf8(word.into()).map_err(|_| FrameError::NotText)
    }
}
