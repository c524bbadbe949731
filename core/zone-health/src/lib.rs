//! Decides which zones a node may send requests to.
//!
//! The monitor collects evidence about each zone from the node's own attempts (responses, errors, failed connections
//! and missing responses) and from the observations that other nodes gossip. When the evidence against a zone reaches a
//! threshold, the zone is suspected and gets no new requests while another zone can take them. A confirmed suspicion
//! ejects the zone. Recovery probes then test the zone at intervals; after enough successful probes, the zone recovers
//! its traffic in steps. The state machine is drawn in `zone_state.rs`; `docs/design/zones.md` gives the statistical
//! tests and their error rates.
//!
//! The crate does no I/O: [`ZoneMonitor::handle`] takes the time and an [`Event`] and appends [`Action`]s. The seed in
//! [`Settings`] determines all random draws.

mod action;
mod assessment;
mod attempt_tracker;
mod clock;
mod decaying_cusum;
mod event;
mod evidence;
mod ids;
mod latency_histogram;
mod monitor;
mod observation;
mod observation_publisher;
mod peer_observations;
mod peer_summary;
mod random;
mod recovery;
mod recovery_probes;
mod share_publisher;
mod suspicion;
mod traffic_division;
mod zone_entry;
mod zone_state;
mod zone_table;

pub use action::{Action, ZoneStateReason};
pub use badgerpost_time::Nanos;
pub use event::{AttemptSignal, Event, ListedServer, OverrideMode, Settings, ZoneOverride};
pub use ids::{AttemptKey, ClassIndex, GossipZone, MemberId, ServerId, ZoneIndex};
pub use monitor::ZoneMonitor;
pub use observation::{ObservedState, ZoneObservation};
