//! Large images on the machines, and what watches the seats at their origin.

use super::{records, Worker, World};
use cleatfold_fakes::images::ImageNetwork;
use cleatfold_image_distribution::{OriginRecord, Settings};

const STEP_MS: u64 = 100;

/// What the region's origin and machines can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImageSettings {
    pub origin_gb_per_s: f64,
    pub fetch_gb_per_s: f64,
    pub cache_gb: f64,
    pub hand_on: bool,
    /// Of a hundred machines so many fetch from others; the rest know the protocol alone.
    pub hear: usize,
}

impl ImageSettings {
    pub const SMALL: ImageSettings = ImageSettings {
        origin_gb_per_s: 2.0,
        fetch_gb_per_s: 1.0,
        cache_gb: 50.0,
        hand_on: true,
        hear: 100,
    };

    pub fn settings(&self) -> Settings {
        let (origin_gb_per_s, hand_on) = (self.origin_gb_per_s, self.hand_on);
        Settings { origin_gb_per_s, uploads: 2, min_gb: 2.0, hand_on }
    }

    pub(super) fn net(&self) -> ImageNetwork {
        ImageNetwork::new(self.origin_gb_per_s, 2)
    }
}

impl World {
    pub(super) fn has_images(&mut self, worker: &mut Worker) {
        let (Some(images), Some(net)) = (self.size.images, &mut self.net) else { return };
        worker.images.min_gb = images.settings().min_gb;
        worker.images.supports_peer_fetch = self.booted * 37 % 100 < images.hear;
        let (rate, cache) = (images.fetch_gb_per_s, images.cache_gb);
        net.add_machine(worker.id.clone(), worker.zone.clone(), rate, cache);
    }

    pub(super) fn move_images(&mut self) {
        let now = self.now;
        let ms = now.since(self.images_moved);
        let Some(net) = self.net.as_mut().filter(|_| ms >= STEP_MS) else { return };
        self.images_moved = now;
        let workers = &self.workers;
        net.holders.retain(|id, _| workers.contains_key(id));
        net.advance(now, ms);
        let mut come = Vec::new();
        for (id, worker) in &mut self.workers {
            if net.sync_worker(now, worker) {
                come.push(id.clone());
            }
        }
        self.watch_slots();
        for id in come {
            self.wake(&id);
        }
    }

    pub fn origin_record(&self) -> OriginRecord {
        let item = self.store.get(records::ORIGIN_KEY);
        item.map(|i| serde_json::from_str(i.value.get()).expect("a record")).unwrap_or_default()
    }

    /// The sum of the seats stays within the bound, and whoever fetches has one.
    fn watch_slots(&mut self) {
        let (Some(net), Some(images)) = (&self.net, self.size.images) else { return };
        let record = self.origin_record();
        let bound = images.settings().origin_mb_per_s();
        if record.used_mb_per_s() > bound {
            self.broken.push(format!("{:?} seats {} of {bound}", self.now, record.used_mb_per_s()));
        }
        for id in net.fetching_from_origin(self.now) {
            if !record.slots.contains_key(id) {
                self.broken.push(format!("{:?} {id} fetches without a seat", self.now));
            }
        }
    }
}
