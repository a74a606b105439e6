//! The operators' settings: an optional HCL file in which every setting has a default.

use crate::settings::{one_line, SettingsError};
use cleatfold_control::Config;
use cleatfold_image_distribution::OutOfRange;
use cleatfold_workspace::HistoryRetention;
use serde::Deserialize;
use std::path::Path;

/// Why the operators' file is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum OperatorSettingsError {
    #[error("{}", one_line(.0))]
    Syntax(#[from] Box<hcl::Error>),
    #[error("{field}: must be between {min} and {max}")]
    OutOfRange { field: &'static str, min: f64, max: f64 },
    #[error("refuse_after: needs admission")]
    RefuseAfterWithoutAdmission,
    #[error(transparent)]
    ImageDistribution(#[from] OutOfRange),
}

/// Contents of the operators' file. Omitted settings keep their defaults.
#[derive(Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OperatorSettings {
    /// Number of pools that a job is sent to; 1 to 16.
    pub pools_per_job: Option<u32>,
    /// Milliseconds between reads of the state service; 100 to 2000.
    pub reading_ms: Option<u64>,
    /// Milliseconds after which the pools of an unresponsive controller are reassigned; 1000 to 60000.
    pub node_lease_ms: Option<u64>,
    /// Seconds after which an idle machine that no waiting job can use is deleted; 0 to 86400.
    pub idle_return_s: Option<f64>,
    /// Target wait in seconds for a job whose class has no objective; 1 to 86400.
    pub usual_wait_s: Option<f64>,
    /// Whether a running task may be evicted for a job of higher rank if that meets an objective.
    /// By default, only if some objective limits the wait for a start.
    pub preempt: Option<bool>,
    /// Whether admission control handles sustained overload, so that no class or team starves.
    pub admission: Option<bool>,
    /// New large jobs of a group are refused while the group's jobs would wait this many
    /// times as long as their objectives allow; 1 to 100. By default no job is refused for its size.
    pub refuse_after: Option<f64>,
    /// Retention of each team's history.
    pub history: Option<HistoryRetention>,
    /// Distribution of large images, which are fetched in stages and passed between machines. By
    /// default every machine fetches them from the origin.
    #[serde(rename = "weights")]
    pub image_distribution: Option<cleatfold_image_distribution::Settings>,
}

impl OperatorSettings {
    /// Reads and checks the file.
    pub(crate) fn read(path: &Path) -> Result<Self, SettingsError> {
        let display_path = path.display().to_string();
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Read { path: display_path.clone(), error })?;
        Self::parse(&text).map_err(|error| SettingsError::Operator { path: display_path, error })
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
        for (field, value, min, max) in ranges {
            if value.is_some_and(|v| !(min..=max).contains(&v)) {
                return Err(OperatorSettingsError::OutOfRange { field, min, max });
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

    /// Overrides the defaults of a configuration.
    pub(crate) fn apply(&self, config: &mut Config) {
        if let Some(count) = self.pools_per_job {
            config.pools_per_job = count as usize;
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
        if let Some(retention) = self.history {
            config.history = retention;
        }
        config.image_distribution.clone_from(&self.image_distribution);
        if let Some(admission) = &mut config.admission {
            admission.refuse_wait_ratio = self.refuse_after;
        }
    }
}

#[cfg(test)]
mod tests;
