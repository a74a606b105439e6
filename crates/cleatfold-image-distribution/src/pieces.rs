//! Fetches an image piece by piece: tracks the received pieces, selects the source of the next one, and
//! skips sources that are unreachable, slow, at their upload limit, or send corrupt data.

use cleatfold_wire::{ImageId, Ms};
use std::collections::BTreeMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The digest of a piece: a hash of its bytes, seeded with its number.
pub fn piece_digest(number: u32, bytes: &[u8]) -> u64 {
    xxh3_64_with_seed(bytes, u64::from(number))
}

/// The digests of an image's pieces, as published with the image.
#[derive(Clone, Debug, PartialEq)]
pub struct ImageManifest {
    /// The image.
    pub image: ImageId,
    /// The digest of each piece.
    pub digests: Arc<[u64]>,
}

impl ImageManifest {
    /// Whether these bytes are the piece with this number.
    pub fn is_valid_piece(&self, number: u32, bytes: &[u8]) -> bool {
        self.digests.get(number as usize) == Some(&piece_digest(number, bytes))
    }
}

/// The next action of a fetch.
#[derive(Clone, Debug, PartialEq)]
pub enum FetchStep {
    /// Request this piece from this peer.
    Peer(String, u32),
    /// Request this piece from the origin.
    Origin(u32),
    /// Every source failed; the controller has to assign new sources.
    Stuck,
    /// All pieces have been received.
    Complete,
}

/// Time after which a failed source is retried.
const SOURCE_RETRY_MS: u64 = 30_000;

/// The fetch of one image on one machine. It never falls back to the origin by itself: if a zone's source
/// failed, all machines fetching from it would load the origin at once. Instead it reports that it is stuck
/// and waits for new sources.
#[derive(Clone, Debug)]
pub struct Fetch {
    /// The pieces of the image.
    pub manifest: ImageManifest,
    /// Number of pieces received. Pieces are fetched in order.
    pub received: u32,
    /// `None`: fetch from the origin.
    sources: Option<Vec<String>>,
    failed_at: BTreeMap<String, Ms>,
    /// Number of received pieces whose digest did not match.
    pub corrupt_pieces: u32,
}

impl Fetch {
    /// A fetch with no pieces received.
    pub fn new(manifest: ImageManifest, sources: &[String]) -> Self {
        let mut fetch = Fetch {
            manifest,
            received: 0,
            sources: None,
            failed_at: BTreeMap::new(),
            corrupt_pieces: 0,
        };
        fetch.set_sources(sources);
        fetch
    }

    /// Replaces the sources by those of a start command; an empty list means the origin. Received pieces are
    /// kept.
    pub fn set_sources(&mut self, sources: &[String]) {
        self.sources = (!sources.is_empty()).then(|| sources.to_vec());
        self.failed_at.clear();
    }

    /// The received fraction of the image, from 0 to 1.
    pub fn fraction(&self) -> f64 {
        f64::from(self.received) / (self.manifest.digests.len() as f64).max(1.0)
    }

    /// The next action.
    pub fn next(&self, now: Ms) -> FetchStep {
        if self.received as usize >= self.manifest.digests.len() {
            return FetchStep::Complete;
        }
        let Some(sources) = &self.sources else { return FetchStep::Origin(self.received) };
        let is_usable =
            |s: &&String| self.failed_at.get(*s).is_none_or(|at| now.since(*at) > SOURCE_RETRY_MS);
        match sources.iter().find(is_usable) {
            Some(source) => FetchStep::Peer(source.clone(), self.received),
            None => FetchStep::Stuck,
        }
    }

    /// Records a received piece and returns whether its digest matches. If it does not, its source is
    /// skipped for `SOURCE_RETRY_MS` and the next source is used.
    pub fn receive_piece(
        &mut self,
        now: Ms,
        source: Option<&str>,
        number: u32,
        bytes: &[u8],
    ) -> bool {
        if !self.manifest.is_valid_piece(number, bytes) {
            self.corrupt_pieces += 1;
            self.mark_failed(now, source);
            return false;
        }
        self.received = self.received.max(number + 1);
        true
    }

    /// Marks a source as failed: it is unreachable, slow, or at its upload limit.
    pub fn mark_failed(&mut self, now: Ms, source: Option<&str>) {
        if let Some(source) = source {
            self.failed_at.insert(source.to_string(), now);
        }
    }
}
