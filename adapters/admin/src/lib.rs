//! The operators' console: HTTP/1.1, one request to a connection. It runs on a thread and runtime of its own, reads
//! what the node publishes and passes events to the lifecycle, so that no request waits for the thread that serves
//! clients.
//!
//! | request | what it does |
//! | --- | --- |
//! | `GET /status` | whether this process can serve |
//! | `GET /status/metrics` | the metrics, a line each |
//! | `POST /standby` | drains the node |
//! | `POST /active` | returns it to service |
//! | `POST /zones/Z/close/SECONDS`, `/open/SECONDS`, `/auto` | overrides a zone's state for a time |

mod api;
mod connections;
mod lifecycle_handle;
mod metrics_page;
mod server;
mod zone_override;

pub use api::AdminApi;
pub use lifecycle_handle::LifecycleHandle;
pub use zone_override::ZoneOverrideCommand;
