//! Reloads the platform's file at SIGHUP. Only a new address of discovery takes effect; other changes need a restart.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::{ConfigError, PlatformConfig};

/// Reads the file at each signal and publishes the address of discovery. An invalid file is logged and ignored.
pub async fn reload_on_signal(
    mut signal: Signal,
    discovery_address: watch::Sender<SocketAddr>,
    platform_file: PathBuf,
) {
    while signal.recv().await.is_some() {
        match read_discovery_address(&platform_file) {
            Ok(discovery) => {
                tracing::info!(%discovery, "configuration reloaded");
                discovery_address
                    .send_if_modified(|current| std::mem::replace(current, discovery) != discovery);
            }
            Err(error) => tracing::warn!(%error, "configuration not reloaded; the old one stays"),
        }
    }
}

/// Reads the address of discovery from a platform file with valid settings.
fn read_discovery_address(platform_file: &Path) -> Result<SocketAddr, ConfigError> {
    let config = PlatformConfig::read(platform_file)?;
    config.node_settings()?;
    Ok(config.discovery)
}
