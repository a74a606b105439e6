//! Names used as lookup keys. Short names are stored inline and compared as numbers.
//!
//! A controller looks up claims, jobs and machines by name hundreds of thousands of times a second. In a
//! large deployment, comparing reference-counted strings byte by byte took a fifth of its processor time.
//! Names of up to `MAX_INLINE_LEN` bytes, which are nearly all, need no allocation and no reference count, and
//! are compared as one 16-byte value.

use serde::de::{Deserialize, Deserializer, Visitor};
use serde::{Serialize, Serializer};
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Maximum length in bytes of a name that is stored inline.
const MAX_INLINE_LEN: usize = 15;
/// Value of the last byte of `head` for a name that is longer or contains a zero byte.
const NOT_INLINE: u8 = MAX_INLINE_LEN as u8 + 1;

/// A name. Ordered like its text.
#[derive(Clone)]
pub struct Name {
    /// The first bytes, padded with zeros, and the length. As a big-endian number it orders short names like
    /// their texts.
    head: [u8; MAX_INLINE_LEN + 1],
    /// The complete text of a name that is not stored inline.
    long: Option<Arc<str>>,
}

impl Name {
    /// Creates a name from its text.
    pub fn new(text: &str) -> Self {
        let bytes = text.as_bytes();
        let copied_len = bytes.len().min(MAX_INLINE_LEN);
        let mut head = [0; MAX_INLINE_LEN + 1];
        head[..copied_len].copy_from_slice(&bytes[..copied_len]);
        // A name with a zero byte is not stored inline, to keep its padded form unambiguous.
        if bytes.len() <= MAX_INLINE_LEN && !bytes.contains(&0) {
            head[MAX_INLINE_LEN] = bytes.len() as u8;
            return Self { head, long: None };
        }
        head[MAX_INLINE_LEN] = NOT_INLINE;
        Self { head, long: Some(Arc::from(text)) }
    }

    /// The text of the name.
    pub fn as_str(&self) -> &str {
        match &self.long {
            Some(text) => text,
            // Always valid UTF-8: an inline name was copied completely.
            None => {
                std::str::from_utf8(&self.head[..self.head[MAX_INLINE_LEN] as usize]).unwrap_or("")
            }
        }
    }

    fn head_as_number(&self) -> u128 {
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
        self.head_as_number().cmp(&other.head_as_number()).then_with(|| self.long.cmp(&other.long))
    }
}

impl Hash for Name {
    fn hash<H: Hasher>(&self, state: &mut H) {
        state.write_u128(self.head_as_number());
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
