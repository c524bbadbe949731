//! The configuration of a node: the platform's file, in JSON under `EDGE_CONFIG`, and the operators' own file, in TOML
//! under `--config`, which switches on what is off by default.

mod error;
mod loopback;
mod operator;
mod platform;
mod summary;

use std::path::Path;

use badgerpost_settings::file;

pub use error::ConfigError;
pub use operator::{LogFormat, OperatorConfig, VirtualClockConfig};
pub use platform::{ConnectionLimits, PlatformConfig};

use loopback::check_loopback;
use summary::{operator_summary, platform_summary};

/// Both files, checked.
pub struct Config {
    /// The platform's.
    pub platform: PlatformConfig,
    /// The operators'; its defaults where no file is given.
    pub operator: OperatorConfig,
}

impl Config {
    /// Reads and checks both files.
    ///
    /// # Errors
    ///
    /// The first thing found that keeps the node from starting.
    pub fn read(platform: &Path, operator: Option<&Path>) -> Result<Self, ConfigError> {
        let config = Self {
            platform: PlatformConfig::read(platform)?,
            operator: operator.map(file::read).transpose()?.unwrap_or_default(),
        };
        config.check()?;
        Ok(config)
    }

    /// Checks what the files' types alone don't.
    fn check(&self) -> Result<(), ConfigError> {
        let site = self.platform.site()?;
        self.platform.seed()?;
        self.platform.connection_limits()?;
        if let Some(postgres) = &self.operator.postgres {
            postgres.check()?;
        }
        if let Some(peers) = &self.operator.peers {
            let monitors_zones = self.operator.monitors_zones();
            peers.check(
                site.gossip_allowed,
                monitors_zones,
                site.settings.zone_count,
            )?;
        }
        if self.operator.virtual_clock.is_some() {
            check_loopback(&self.platform, &self.operator)?;
        }
        Ok(())
    }

    /// What would run with this configuration, in lines for people.
    pub fn summary(&self) -> Vec<String> {
        let mut lines = platform_summary(&self.platform);
        lines.extend(operator_summary(&self.operator));
        lines
    }
}
