//! The operators' console: an HTTP/1.1 server that answers one request per connection. The console runs on a separate
//! thread and runtime, reads the published metrics and passes events to the lifecycle, so that no console request waits
//! for the thread that serves clients.
//!
//! | request | effect |
//! | --- | --- |
//! | `GET /status` | reports whether this process is ready to serve |
//! | `GET /status/metrics` | returns the metrics, one per line |
//! | `POST /standby` | drains the node |
//! | `POST /active` | returns the node to service |
//! | `POST /zones/Z/close/SECONDS`, `/open/SECONDS`, `/auto` | overrides a zone's state, or ends the override |

mod api;
mod connections;
mod lifecycle_handle;
mod metrics_page;
mod server;
mod zone_override;

pub use api::AdminApi;
pub use lifecycle_handle::LifecycleHandle;
pub use zone_override::ZoneOverrideCommand;
