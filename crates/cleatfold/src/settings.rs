//! The platform's settings file (TOML), in which some fields have other names than in the code.

use crate::operator_settings::OperatorSettingsError;
use cleatfold_clients::store::Budget;
use cleatfold_control::{Config, ObjectiveKind, ServiceLevelObjective, Team};
use cleatfold_wire::{ClassId, ControllerId, TeamId, ZoneId};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Why the controller cannot start with its settings.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsError {
    #[error("{path}: {error}")]
    Read { path: String, error: std::io::Error },
    #[error("{path}: {}", one_line(error))]
    Toml { path: String, error: Box<toml::de::Error> },
    #[error("{path}: {error}")]
    Operator { path: String, error: OperatorSettingsError },
    #[error("{field}: {problem}")]
    Field { field: String, problem: &'static str },
    #[error("LOG_LEVEL: '{0}' is none of error, info, debug")]
    LogLevel(String),
}

/// Contents of the settings file.
#[derive(Debug, Deserialize)]
pub(crate) struct Settings {
    #[serde(rename = "host_name")]
    pub controller: ControllerId,
    #[serde(rename = "area")]
    pub zone: ZoneId,
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    #[serde(rename = "mesh_addr")]
    pub mesh_listen: SocketAddr,
    #[serde(rename = "members", default)]
    pub peers: Vec<Peer>,
    pub endpoints: Endpoints,
    pub cluster: Cluster,
}

/// Another controller of the cluster.
#[derive(Debug, Deserialize)]
pub(crate) struct Peer {
    #[serde(rename = "host_name")]
    pub controller: ControllerId,
    #[serde(rename = "area")]
    pub zone: ZoneId,
    pub endpoint: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Deserialize)]
pub(crate) struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

/// Settings that all controllers share.
#[derive(Debug, Deserialize)]
pub(crate) struct Cluster {
    #[serde(rename = "nodes")]
    pub controllers: u32,
    pub zones: Vec<ZoneId>,
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    #[serde(default)]
    pub limits: Limits,
}

/// Limits of the host; 0 means unspecified.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Limits {
    #[serde(default)]
    pub max_sockets: u32,
}

/// Default limit on the sockets of the process: enough for a connection from each of 4,000 workers
/// and as many users.
pub(crate) const DEFAULT_MAX_SOCKETS: usize = 8_192;

impl TeamSettings {
    /// Whether the team has a guarantee or a limit.
    fn has_quota(&self) -> bool {
        self.cpus + self.cpus_max + self.gpus + self.gpus_max > 0.0
    }
}

/// A team's guaranteed capacity and its limits.
#[derive(Debug, Deserialize)]
pub(crate) struct TeamSettings {
    pub name: TeamId,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service level objective. Unknown kinds and fields are ignored.
#[derive(Debug, Deserialize)]
pub(crate) struct Objective {
    pub kind: String,
    pub class: Option<ClassId>,
    pub within_s: Option<f64>,
    pub times: Option<f64>,
}

impl Objective {
    fn service_level(&self) -> Option<ServiceLevelObjective> {
        let kind = match (self.kind.as_str(), self.within_s) {
            ("finished", Some(s)) => ObjectiveKind::Finished(s),
            ("wait", Some(s)) => ObjectiveKind::Wait(s),
            ("deadline", _) => ObjectiveKind::Deadline(self.times.unwrap_or(1.0)),
            _ => return None,
        };
        Some(ServiceLevelObjective { class: self.class.clone()?, kind })
    }
}

/// Timing of the worker protocol.
#[derive(Debug, Deserialize)]
pub(crate) struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// Limits of the state service.
#[derive(Debug, Deserialize)]
pub(crate) struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

/// Limits of the cloud API.
#[derive(Debug, Deserialize)]
pub(crate) struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// Joins a parser's multi-line message, with the location and kind of the error, into one line.
pub(crate) fn one_line(error: &dyn std::error::Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Reads and checks the platform's settings.
pub(crate) fn read(path: &Path) -> Result<Settings, SettingsError> {
    let display_path = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Read { path: display_path.clone(), error })?;
    let settings: Settings = toml::from_str(&text)
        .map_err(|error| SettingsError::Toml { path: display_path, error: Box::new(error) })?;
    settings.check()?;
    Ok(settings)
}

/// Reads the log level from the environment.
pub(crate) fn log_level() -> Result<tracing::Level, SettingsError> {
    match std::env::var("LOG_LEVEL").as_deref() {
        Err(_) | Ok("info") => Ok(tracing::Level::INFO),
        Ok("error") => Ok(tracing::Level::ERROR),
        Ok("debug") => Ok(tracing::Level::DEBUG),
        Ok(other) => Err(SettingsError::LogLevel(other.into())),
    }
}

impl Settings {
    fn check(&self) -> Result<(), SettingsError> {
        let invalid =
            |field: &str, problem| Err(SettingsError::Field { field: field.into(), problem });
        let cluster = &self.cluster;
        for (field, value) in [
            ("cluster.workers.report_s", cluster.workers.report_s),
            ("cluster.workers.lease_s", cluster.workers.lease_s),
            ("cluster.workers.cancel_s", cluster.workers.cancel_s),
            ("cluster.state.rps", cluster.state.rps),
            ("cluster.state.write_rps", cluster.state.write_rps),
            ("cluster.state.value_kb", cluster.state.value_kb),
            ("cluster.cloud.rps", cluster.cloud.rps),
        ] {
            if !value.is_finite() || value <= 0.0 {
                return invalid(field, "must be above 0");
            }
        }
        if cluster.workers.cancel_s <= cluster.workers.lease_s {
            return invalid("cluster.workers.cancel_s", "must be above lease_s");
        }
        if cluster.state.txn_ops < 4 {
            return invalid("cluster.state.txn_ops", "must be at least 4");
        }
        if cluster.state.value_kb < 8.0 {
            return invalid("cluster.state.value_kb", "must be at least 8");
        }
        if cluster.controllers == 0 || cluster.controllers as usize != self.peers.len() + 1 {
            return invalid("cluster.nodes", "does not match members");
        }
        if self.peers.iter().any(|p| p.controller == self.controller) {
            return invalid("members", "names this node itself");
        }
        if cluster.zones.is_empty() {
            return invalid("cluster.zones", "is empty");
        }
        for team in &cluster.teams {
            let field = format!("cluster.teams.{}", team.name);
            for (guaranteed, max) in [(team.cpus, team.cpus_max), (team.gpus, team.gpus_max)] {
                if guaranteed < 0.0 || max < 0.0 || !guaranteed.is_finite() || !max.is_finite() {
                    return invalid(&field, "amounts must not be negative");
                }
                if max > 0.0 && guaranteed > max {
                    return invalid(&field, "guarantees more than its limit");
                }
            }
        }
        Ok(())
    }

    /// Derives the controller's configuration.
    pub(crate) fn controller_config(&self) -> Config {
        let cluster = &self.cluster;
        let ms = |s: f64| (s * 1000.0) as u64;
        Config {
            controller_id: self.controller.clone(),
            zone: self.zone.clone(),
            peers: self.peers.iter().map(|p| (p.controller.clone(), p.zone.clone())).collect(),
            teams: cluster
                .teams
                .iter()
                .map(|t| Team {
                    name: t.name.clone(),
                    cpus: t.cpus,
                    gpus: t.gpus,
                    cpus_max: t.cpus_max,
                    gpus_max: t.gpus_max,
                })
                .collect(),
            heartbeat_interval_ms: ms(cluster.workers.report_s),
            lease_ms: ms(cluster.workers.lease_s),
            cancel_ms: ms(cluster.workers.cancel_s),
            max_txn_changes: cluster.state.txn_ops,
            changes_per_s: cluster.state.write_rps,
            max_value_bytes: (cluster.state.value_kb * 1024.0) as usize,
            cloud_calls_per_s: cluster.cloud.rps,
            list_lag_ms: ms(cluster.cloud.list_lag_s.max(0.0)),
            pools_per_job: 3,
            read_interval_ms: 250,
            // A controller that restarts within its lease keeps its pools. With a long heartbeat
            // interval, a longer lease costs little: a new owner of the pools could start nothing
            // before the workers' next heartbeats.
            controller_lease_ms: (ms(cluster.workers.report_s) * 7 / 8).clamp(3000, 7000),
            objectives: cluster.objectives.iter().filter_map(Objective::service_level).collect(),
            usual_wait_s: 30.0,
            // If no team has a guarantee or a limit, fast starts matter more than cost, so idle
            // machines are kept longer. Otherwise cost matters too.
            idle_return_s: if cluster.teams.iter().any(TeamSettings::has_quota) {
                20.0
            } else {
                900.0
            },
            // Preemption is meant for jobs that must start within seconds. If the objectives only
            // concern completion times or guarantees, evictions cost writes to the state service
            // and improved no simulated day.
            preempt: cluster.objectives.iter().any(|o| o.kind == "wait"),
            admission: Some(Default::default()),
            history: Default::default(),
            image_distribution: None,
            guarantee_wait_s: cluster
                .objectives
                .iter()
                .filter(|o| o.kind == "guarantee")
                .find_map(|o| o.within_s),
        }
    }

    /// Maximum number of sockets of this process.
    pub(crate) fn max_sockets(&self) -> usize {
        match self.cluster.limits.max_sockets {
            0 => DEFAULT_MAX_SOCKETS,
            max_sockets => max_sockets as usize,
        }
    }

    /// Idle time after which a connection is closed. Workers send a heartbeat every `report_s`.
    pub(crate) fn idle_connection_timeout(&self) -> Duration {
        Duration::from_secs_f64((self.cluster.workers.report_s * 3.0).max(30.0))
    }

    /// This controller's share of the state service's rate limits. It is larger than an even share
    /// because the load shifts between controllers; the service rejects any excess with 429.
    pub(crate) fn store_budget(&self) -> Budget {
        let share = if self.peers.is_empty() { 0.9 } else { 0.5 };
        Budget {
            requests_per_s: self.cluster.state.rps * share,
            writes_per_s: self.cluster.state.write_rps * share,
        }
    }
}
