//! The operators' own settings: an optional HCL file, checked, with a default for everything.

use crate::settings::{one_line, SettingsError};
use cleatfold_control::Config;
use cleatfold_image_distribution::OutOfRange;
use cleatfold_workspace::HistoryRetention;
use serde::Deserialize;
use std::path::Path;

/// Why the operators' file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorSettingsError {
    #[error("{}", one_line(.0))]
    Syntax(#[from] Box<hcl::Error>),
    #[error("{field}: must be between {least} and {most}")]
    OutOfRange { field: &'static str, least: f64, most: f64 },
    #[error("refuse_after: needs admission")]
    RefuseAfterWithoutAdmission,
    #[error(transparent)]
    ImageDistribution(#[from] OutOfRange),
}

/// The contents of the operators' file.
#[derive(Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OperatorSettings {
    /// Pools that a job is sent to; 1 to 16.
    pub pools_per_job: Option<u32>,
    /// Milliseconds between readings of the state service; 100 to 2000.
    pub reading_ms: Option<u64>,
    /// Milliseconds after which a silent controller's pools are assigned on; 1000 to 60000.
    pub node_lease_ms: Option<u64>,
    /// Seconds after which an idle machine that no waiting job may use is returned; 0 to 86400.
    pub idle_return_s: Option<f64>,
    /// Seconds a job of a class without an objective may wait; 1 to 86400.
    pub usual_wait_s: Option<f64>,
    /// Whether a running task may be evicted for a job that goes before it, where that meets an
    /// objective. Without it: if some objective limits the wait for a start.
    pub preempt: Option<bool>,
    /// Whether anything is done about overload that lasts, so that no class and no team starves.
    pub admission: Option<bool>,
    /// New large jobs of a group are refused while its jobs would wait this many times as long as
    /// their objectives allow; 1 to 100.
    /// Without it nothing is refused for its size.
    pub refuse_after: Option<f64>,
    /// How much of each team's history is kept.
    pub history: Option<HistoryRetention>,
    /// Large images are fetched in stages and handed on. Without it each machine fetches for itself.
    #[serde(rename = "weights")]
    pub image_distribution: Option<cleatfold_image_distribution::Settings>,
}

impl OperatorSettings {
    pub(crate) fn read(path: &Path) -> Result<Self, SettingsError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read { path: shown.clone(), error })?;
        Self::parse(&text).map_err(|error| SettingsError::Operator { path: shown, error })
    }

    fn parse(text: &str) -> Result<Self, OperatorSettingsError> {
        let operator: OperatorSettings = hcl::from_str(text).map_err(Box::new)?;
        operator.check()?;
        Ok(operator)
    }

    fn check(&self) -> Result<(), OperatorSettingsError> {
        let ranges = [
            ("pools_per_job", self.pools_per_job.map(f64::from), 1.0, 16.0),
            ("reading_ms", self.reading_ms.map(|v| v as f64), 100.0, 2000.0),
            ("node_lease_ms", self.node_lease_ms.map(|v| v as f64), 1000.0, 60_000.0),
            ("idle_return_s", self.idle_return_s, 0.0, 86_400.0),
            ("usual_wait_s", self.usual_wait_s, 1.0, 86_400.0),
            ("refuse_after", self.refuse_after, 1.0, 100.0),
            ("history.jobs", self.history.map(|h| h.jobs as f64), 1000.0, 10_000_000.0),
            ("history.days", self.history.map(|h| h.days), 0.1, 10_000.0),
        ];
        for (field, value, least, most) in ranges {
            if value.is_some_and(|v| !(least..=most).contains(&v)) {
                return Err(OperatorSettingsError::OutOfRange { field, least, most });
            }
        }
        if self.admission == Some(false) && self.refuse_after.is_some() {
            return Err(OperatorSettingsError::RefuseAfterWithoutAdmission);
        }
        if let Some(image_distribution) = &self.image_distribution {
            image_distribution.validate()?;
        }
        Ok(())
    }

    pub(crate) fn apply(&self, config: &mut Config) {
        if let Some(k) = self.pools_per_job {
            config.pools_per_job = k as usize;
        }
        if let Some(ms) = self.reading_ms {
            config.read_interval_ms = ms;
        }
        if let Some(ms) = self.node_lease_ms {
            config.controller_lease_ms = ms;
        }
        if let Some(s) = self.idle_return_s {
            config.idle_return_s = s;
        }
        if let Some(s) = self.usual_wait_s {
            config.usual_wait_s = s;
        }
        if let Some(preempt) = self.preempt {
            config.preempt = preempt;
        }
        if self.admission == Some(false) {
            config.admission = None;
        }
        if let Some(keep) = self.history {
            config.history = keep;
        }
        config.image_distribution.clone_from(&self.image_distribution);
        if let Some(rules) = &mut config.admission {
            rules.refuse = self.refuse_after;
        }
    }
}

#[cfg(test)]
mod tests;
