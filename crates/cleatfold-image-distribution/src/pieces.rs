//! An image in pieces: which of them are there, whom to ask for the next, and what is done about a
//! source that is gone, slow, full, or sends something else.

use cleatfold_wire::{ImageId, Ms};
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The digest of a piece: of its bytes, under its number.
pub fn digest(number: u32, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, u64::from(number))
}

/// What the image's maker says its pieces are.
#[derive(Clone, Debug, PartialEq)]
pub struct Pieces {
    /// The image.
    pub image: ImageId,
    /// The digest of each piece.
    pub digests: Arc<[u64]>,
}

impl Pieces {
    /// Whether these bytes are the piece of this number.
    pub fn is(&self, number: u32, bytes: &[u8]) -> bool {
        self.digests.get(number as usize) == Some(&digest(number, bytes))
    }
}

/// What a fetch does next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Ask this source for this piece.
    Ask(String, u32),
    /// Ask the origin.
    Origin(u32),
    /// Every source failed; whoever decides has to say from where.
    Stuck,
    /// All pieces are here.
    Whole,
}

/// A source that failed is asked again after this time.
const AGAIN_MS: u64 = 30_000;

/// One image's fetch on one machine. It never goes to the origin of itself: when a zone's source
/// dies all behind it would go there at once. It says that it is stuck and is told.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// What the image consists of.
    pub pieces: Pieces,
    /// Pieces are fetched in order: the first so many are there.
    pub have: u32,
    /// None: from the origin.
    sources: Option<Vec<String>>,
    failed: BTreeMap<String, Ms>,
    /// Pieces that were not what they should be.
    pub wrong: u32,
}

impl Fetch {
    /// A fetch that has nothing yet.
    pub fn new(pieces: Pieces, sources: &[String]) -> Self {
        let mut fetch = Fetch { pieces, have: 0, sources: None, failed: BTreeMap::new(), wrong: 0 };
        fetch.take_sources(sources);
        fetch
    }

    /// Sources as in the command: none means the origin. What is there stays.
    pub fn take_sources(&mut self, sources: &[String]) {
        self.sources = (!sources.is_empty()).then(|| sources.to_vec());
        self.failed.clear();
    }

    /// How much is here; 1: all of it.
    pub fn part(&self) -> f64 {
        f64::from(self.have) / (self.pieces.digests.len() as f64).max(1.0)
    }

    /// What to fetch next.
    pub fn next(&self, now: Ms) -> Next {
        if self.have as usize >= self.pieces.digests.len() {
            return Next::Whole;
        }
        let Some(sources) = &self.sources else { return Next::Origin(self.have) };
        let failed = |s: &&String| self.failed.get(*s).is_none_or(|at| now.since(*at) > AGAIN_MS);
        match sources.iter().find(failed) {
            Some(source) => Next::Ask(source.clone(), self.have),
            None => Next::Stuck,
        }
    }

    /// A piece came. Returns whether it is what it should be; else its source is asked no more
    /// for a while, and the next one is.
    pub fn came(&mut self, now: Ms, source: Option<&str>, number: u32, bytes: &[u8]) -> bool {
        if !self.pieces.is(number, bytes) {
            self.wrong += 1;
            self.fails(now, source);
            return false;
        }
        self.have = self.have.max(number + 1);
        true
    }

    /// The source is gone, is slow, or serves enough others already.
    pub fn fails(&mut self, now: Ms, source: Option<&str>) {
        if let Some(source) = source {
            self.failed.insert(source.to_string(), now);
        }
    }
}
