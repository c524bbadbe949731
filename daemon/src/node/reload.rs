//! Reloads the platform's file at SIGHUP. Only discovery's address takes effect; all else counts from the next start.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::{ConfigError, PlatformConfig};

/// Reads the file at each signal and publishes discovery's address. A file that can't be used changes nothing.
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

/// Discovery's address in a file whose settings can be used.
fn read_discovery_address(platform_file: &Path) -> Result<SocketAddr, ConfigError> {
    let config = PlatformConfig::read(platform_file)?;
    config.site()?;
    Ok(config.discovery)
}
