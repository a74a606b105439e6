//! How large a simulated region is, and how it is set up.

use super::{Config, ControllerId, ImageSettings, MachineType, Team, TeamId, TypeId, ZoneId};

/// Controllers of a usual region.
pub const CONTROLLERS: usize = 3;
pub(super) const LEASE_MS: u64 = 10_000;
pub(super) const CANCEL_MS: u64 = 40_000;
pub(super) const ZONES: [&str; 3] = ["a", "b", "c"];

/// How large the region is, and what its services take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Size {
    pub controllers: usize,
    /// The second of them, and every other one after it, has the limit; or all have.
    pub teams: usize,
    pub all_limited: bool,
    pub machines: usize,
    pub changes_per_s: f64,
    /// Of each team that has a limit.
    pub limit_cpus: f64,
    pub heartbeat_interval_ms: u64,
    /// The workers' lease, and how long a cancellation may take.
    pub lease_ms: u64,
    pub cancel_ms: u64,
    /// Tasks of a usual job, at least and less than.
    pub tasks: (u32, u32),
    /// Mean pause between what one user does, in milliseconds.
    pub pause_ms: u64,
    pub most_jobs: usize,
    /// Whether anything is done about overload that lasts.
    pub admission: bool,
    /// Large images: what their origin gives, and machines. None: no weights block.
    pub images: Option<ImageSettings>,
    /// How long machines take to boot, in seconds.
    pub boot_s: f64,
}

impl Size {
    pub const SMALL: Size = Size {
        controllers: CONTROLLERS,
        teams: 2,
        all_limited: false,
        machines: 9,
        changes_per_s: 60.0,
        limit_cpus: 24.0,
        heartbeat_interval_ms: 1000,
        lease_ms: LEASE_MS,
        cancel_ms: CANCEL_MS,
        tasks: (1, 12),
        pause_ms: 900,
        most_jobs: 60,
        admission: true,
        images: None,
        boot_s: 5.0,
    };
    /// What a region with fast boots takes to boot a machine, in seconds.
    pub const FAST_BOOT_S: f64 = 1.5;
    /// Every team has a limit of about a tenth of what it asks for at once.
    pub const SCARCE: Size = Size {
        teams: 4,
        all_limited: true,
        limit_cpus: 12.0,
        machines: 16,
        tasks: (1, 12),
        most_jobs: 48,
        ..Size::SMALL
    };
    /// Hundreds of machines that report seldom, and few changes a second.
    pub const GROWN: Size = Size {
        machines: 240,
        changes_per_s: 15.0,
        limit_cpus: 200.0,
        heartbeat_interval_ms: 3000,
        tasks: (10, 60),
        ..Size::SMALL
    };
}

/// Times that the controllers and workers of a region go by.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub heartbeat_interval_ms: u64,
    pub controller_lease_ms: u64,
    pub lease_ms: u64,
    pub cancel_ms: u64,
}

impl Size {
    /// Whether the team of this number has the limit.
    pub fn is_limited(&self, team: usize) -> bool {
        self.all_limited || team % 2 == 1
    }

    pub fn times(&self) -> Times {
        let Config { heartbeat_interval_ms, controller_lease_ms, lease_ms, cancel_ms, .. } =
            config(0, *self);
        Times { heartbeat_interval_ms, controller_lease_ms, lease_ms, cancel_ms }
    }
}

pub fn controller_id(i: usize) -> ControllerId {
    ControllerId::new(format!("n{i}"))
}

pub(super) fn config(i: usize, size: Size) -> Config {
    let zone = |i: usize| ZoneId::new(ZONES[i % ZONES.len()]);
    let team = |i: usize| Team {
        name: team_id(i),
        cpus: 8.0,
        gpus: 0.0,
        cpus_max: if size.is_limited(i) { size.limit_cpus } else { 0.0 },
        gpus_max: 0.0,
    };
    Config {
        controller_id: controller_id(i),
        zone: zone(i),
        peers: (0..size.controllers)
            .filter(|j| *j != i)
            .map(|j| (controller_id(j), zone(j)))
            .collect(),
        teams: (0..size.teams).map(team).collect(),
        heartbeat_interval_ms: size.heartbeat_interval_ms,
        lease_ms: size.lease_ms,
        cancel_ms: size.cancel_ms,
        max_txn_changes: 16,
        changes_per_s: size.changes_per_s,
        max_value_bytes: 16 * 1024,
        cloud_calls_per_s: 4.0,
        list_lag_ms: 10_000,
        pools_per_job: 2,
        read_interval_ms: 250,
        controller_lease_ms: 3000,
        objectives: vec![],
        usual_wait_s: 10.0,
        idle_return_s: 20.0,
        preempt: true,
        admission: size.admission.then(Default::default),
        guarantee_wait_s: Some(5.0),
        history: Default::default(),
        image_distribution: size.images.map(|w| w.settings()),
    }
}

/// The teams by number.
pub fn team_id(i: usize) -> TeamId {
    match i {
        0 => TeamId::new("free"),
        1 => TeamId::new("tight"),
        i => TeamId::new(format!("team{i}")),
    }
}

/// A machine type.
pub(super) fn kind(name: &str, zones: &[&str], size: Size) -> MachineType {
    MachineType {
        name: TypeId::new(name),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: size.images.map_or(50.0, |w| w.cache_gb),
        fetch_gb_per_s: size.images.map_or(1.0, |w| w.fetch_gb_per_s),
        price: 1.0,
        spot_price: 0.4,
        boot_s: size.boot_s,
        zones: zones.iter().map(|z| ZoneId::new(*z)).collect(),
    }
}
