//! Names as everything else is looked up by: short ones compare as numbers.
//!
//! A controller looks claims, jobs and machines up by name hundreds of thousands of times a
//! second, and in a large deployment comparing shared strings byte by byte was a fifth of all its
//! processor time. Names of up to `SHORT` bytes, which are nearly all, are kept in place: no
//! allocation, no counter, one comparison of 16 bytes.

use serde::de::{Deserialize, Deserializer, Visitor};
use serde::{Serialize, Serializer};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// The longest name that is kept in place.
const SHORT: usize = 15;
/// In the last byte of `head`: the name is longer, or holds a zero byte.
const LONG: u8 = SHORT as u8 + 1;

/// A name. Ordered as its text is.
#[derive(Clone)]
pub struct Name {
    /// The first bytes, filled up with zeros, then the length. Read as a number this orders
    /// short names as their texts.
    head: [u8; SHORT + 1],
    /// The whole text of a long name.
    long: Option<Arc<str>>,
}

impl Name {
    /// From its text.
    pub fn new(text: &str) -> Self {
        let bytes = text.as_bytes();
        let kept = bytes.len().min(SHORT);
        let mut head = [0; SHORT + 1];
        head[..kept].copy_from_slice(&bytes[..kept]);
        // Filled up with zeros, "a" and "a\0" would be one.
        if bytes.len() <= SHORT && !bytes.contains(&0) {
            head[SHORT] = bytes.len() as u8;
            return Self { head, long: None };
        }
        head[SHORT] = LONG;
        Self { head, long: Some(Arc::from(text)) }
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        match &self.long {
            Some(text) => text,
            // Always whole characters: it was copied from a text that fits.
            None => std::str::from_utf8(&self.head[..self.head[SHORT] as usize]).unwrap_or(""),
        }
    }

    fn number(&self) -> u128 {
        u128::from_be_bytes(self.head)
    }
}

impl PartialEq for Name {
    fn eq(&self, other: &Self) -> bool {
        self.head == other.head && self.long == other.long
    }
}
impl Eq for Name {}

impl PartialOrd for Name {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Name {
    fn cmp(&self, other: &Self) -> Ordering {
        self.number().cmp(&other.number()).then_with(|| self.long.cmp(&other.long))
    }
}

impl Hash for Name {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u128(self.number());
        if let Some(text) = &self.long {
            text.hash(state);
        }
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        struct Text;
        impl Visitor<'_> for Text {
            type Value = Name;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a name")
            }
            fn visit_str<E>(self, text: &str) -> Result<Name, E> {
                Ok(Name::new(text))
            }
        }
        d.deserialize_str(Text)
    }
}
