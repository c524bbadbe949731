//! The configuration of a node. The platform's file is JSON; `EDGE_CONFIG` or `--edge-config` names it. The operators'
//! file is TOML and enables optional features; `--config` names it.

mod error;
mod loopback;
mod operator;
mod platform;
mod resource_plan;
mod summary;

use std::path::Path;

use badgerpost_settings::file;

pub use error::ConfigError;
pub use operator::{LogFormat, OperatorConfig, VirtualClockConfig};
pub use platform::PlatformConfig;
pub use resource_plan::{ResourcePlan, ResourceShare};

use loopback::check_loopback;
use summary::{operator_summary, platform_summary};

/// The validated content of both configuration files.
pub struct Config {
    /// The content of the platform's file.
    pub platform: PlatformConfig,
    /// The content of the operators' file, or the defaults if no file is given.
    pub operator: OperatorConfig,
}

impl Config {
    /// Reads and validates both files.
    ///
    /// # Errors
    ///
    /// The first problem found in either file.
    pub fn read(platform: &Path, operator: Option<&Path>) -> Result<Self, ConfigError> {
        let config = Self {
            platform: PlatformConfig::read(platform)?,
            operator: operator.map(file::read).transpose()?.unwrap_or_default(),
        };
        config.check()?;
        Ok(config)
    }

    /// Validates values and combinations of values that deserialization accepts.
    fn check(&self) -> Result<(), ConfigError> {
        let node_settings = self.platform.node_settings()?;
        self.platform.seed()?;
        self.platform
            .resource_plan(self.operator.postgres.is_some())?;
        if let Some(postgres) = &self.operator.postgres {
            postgres.check()?;
        }
        if let Some(peers) = &self.operator.peers {
            let monitors_zones = self.operator.monitors_zones();
            peers.check(
                node_settings.gossip_allowed,
                monitors_zones,
                node_settings.settings.zone_count,
            )?;
        }
        if self.operator.virtual_clock.is_some() {
            check_loopback(&self.platform, &self.operator)?;
        }
        Ok(())
    }

    /// Human-readable lines about the features that are enabled, for `badgerpost check`.
    pub fn summary(&self) -> Vec<String> {
        let mut lines = platform_summary(&self.platform);
        lines.extend(operator_summary(&self.operator));
        lines
    }
}
