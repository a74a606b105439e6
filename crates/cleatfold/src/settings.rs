//! The platform's settings file.

use crate::operator_settings::OperatorSettingsError;
use cleatfold_clients::store::Budget;
use cleatfold_control::{Config, ObjectiveKind, ServiceLevelObjective, Team};
use cleatfold_wire::{ClassId, ControllerId, TeamId, ZoneId};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Why the service cannot start with the settings that it was given.
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

#[derive(Debug, Deserialize)]
pub(crate) struct Peer {
    #[serde(rename = "host_name")]
    pub controller: ControllerId,
    #[serde(rename = "area")]
    pub zone: ZoneId,
    pub endpoint: SocketAddr,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Endpoints {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

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

/// What the machine allows; 0: not said.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Limits {
    #[serde(default)]
    pub max_sockets: u32,
}

/// Where the settings do not say how many sockets the process may have: enough for a connection
/// from each of 4,000 workers and as many users.
pub(crate) const DEFAULT_MAX_SOCKETS: usize = 8_192;

impl TeamSettings {
    fn accounted(&self) -> bool {
        self.cpus + self.cpus_max + self.gpus + self.gpus_max > 0.0
    }
}

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

/// Kinds and fields that we do not know are left alone.
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

#[derive(Debug, Deserialize)]
pub(crate) struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

#[derive(Debug, Deserialize)]
pub(crate) struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// A parser's message on one line: where the fault is and what it is.
pub(crate) fn one_line(error: &dyn std::error::Error) -> String {
    error.to_string().split_whitespace().collect::<Vec<_>>().join(" ")
}

/// Reads and checks the platform's settings.
pub(crate) fn read(path: &Path) -> Result<Settings, SettingsError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| SettingsError::Read { path: shown.clone(), error })?;
    let settings: Settings = toml::from_str(&text)
        .map_err(|error| SettingsError::Toml { path: shown, error: Box::new(error) })?;
    settings.check()?;
    Ok(settings)
}

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
        let wrong =
            |field: &str, problem| Err(SettingsError::Field { field: field.into(), problem });
        let c = &self.cluster;
        for (field, value) in [
            ("cluster.workers.report_s", c.workers.report_s),
            ("cluster.workers.lease_s", c.workers.lease_s),
            ("cluster.workers.cancel_s", c.workers.cancel_s),
            ("cluster.state.rps", c.state.rps),
            ("cluster.state.write_rps", c.state.write_rps),
            ("cluster.state.value_kb", c.state.value_kb),
            ("cluster.cloud.rps", c.cloud.rps),
        ] {
            if !value.is_finite() || value <= 0.0 {
                return wrong(field, "must be above 0");
            }
        }
        if c.workers.cancel_s <= c.workers.lease_s {
            return wrong("cluster.workers.cancel_s", "must be above lease_s");
        }
        if c.state.txn_ops < 4 {
            return wrong("cluster.state.txn_ops", "must be at least 4");
        }
        if c.state.value_kb < 8.0 {
            return wrong("cluster.state.value_kb", "must be at least 8");
        }
        if c.controllers == 0 || c.controllers as usize != self.peers.len() + 1 {
            return wrong("cluster.nodes", "does not match members");
        }
        if self.peers.iter().any(|p| p.controller == self.controller) {
            return wrong("members", "names this node itself");
        }
        if c.zones.is_empty() {
            return wrong("cluster.zones", "is empty");
        }
        for team in &c.teams {
            let field = format!("cluster.teams.{}", team.name);
            for (guaranteed, max) in [(team.cpus, team.cpus_max), (team.gpus, team.gpus_max)] {
                if guaranteed < 0.0 || max < 0.0 || !guaranteed.is_finite() || !max.is_finite() {
                    return wrong(&field, "amounts must not be negative");
                }
                if max > 0.0 && guaranteed > max {
                    return wrong(&field, "guarantees more than its limit");
                }
            }
        }
        Ok(())
    }

    pub(crate) fn control(&self) -> Config {
        let c = &self.cluster;
        let ms = |s: f64| (s * 1000.0) as u64;
        Config {
            controller_id: self.controller.clone(),
            zone: self.zone.clone(),
            peers: self.peers.iter().map(|p| (p.controller.clone(), p.zone.clone())).collect(),
            teams: c
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
            heartbeat_interval_ms: ms(c.workers.report_s),
            lease_ms: ms(c.workers.lease_s),
            cancel_ms: ms(c.workers.cancel_s),
            max_txn_changes: c.state.txn_ops,
            changes_per_s: c.state.write_rps,
            max_value_bytes: (c.state.value_kb * 1024.0) as usize,
            cloud_calls_per_s: c.cloud.rps,
            list_lag_ms: ms(c.cloud.list_lag_s.max(0.0)),
            pools_per_job: 3,
            read_interval_ms: 250,
            // A controller that restarts within its lease keeps its pools. Where workers report seldom
            // little is lost by waiting a moment longer for it: whoever took its pools over could
            // start nothing before their next reports.
            controller_lease_ms: (ms(c.workers.report_s) * 7 / 8).clamp(3000, 7000),
            objectives: c.objectives.iter().filter_map(Objective::service_level).collect(),
            usual_wait_s: 30.0,
            // Where no team has a guarantee or a limit, nobody accounts for capacity and speed
            // counts: machines are kept. Elsewhere money counts too.
            idle_return_s: if c.teams.iter().any(TeamSettings::accounted) { 20.0 } else { 900.0 },
            // It is for work that has to start within seconds. Where only ends or guarantees are
            // aimed at, stops cost changes to the state service and gained nothing on any day.
            preempt: c.objectives.iter().any(|o| o.kind == "wait"),
            admission: Some(Default::default()),
            history: Default::default(),
            image_distribution: None,
            guarantee_wait_s: c
                .objectives
                .iter()
                .filter(|o| o.kind == "guarantee")
                .find_map(|o| o.within_s),
        }
    }

    /// Sockets that this process may have.
    pub(crate) fn sockets(&self) -> usize {
        match self.cluster.limits.max_sockets {
            0 => DEFAULT_MAX_SOCKETS,
            most => most as usize,
        }
    }

    /// A connection that brings nothing for so long is closed. Workers come every `report_s`.
    pub(crate) fn idle_connection(&self) -> Duration {
        Duration::from_secs_f64((self.cluster.workers.report_s * 3.0).max(30.0))
    }

    /// Our share of the state service's limits. More than an even share, for the load moves
    /// between controllers; the service's own 429 is the backstop.
    pub(crate) fn store_budget(&self) -> Budget {
        let share = if self.peers.is_empty() { 0.9 } else { 0.5 };
        Budget {
            requests_per_s: self.cluster.state.rps * share,
            writes_per_s: self.cluster.state.write_rps * share,
        }
    }
}
