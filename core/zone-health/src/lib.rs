//! Which zones a node may send to. All that a node sees at a zone counts together: answers, errors, connections that
//! don't come about, and silence; and what other nodes say that they see, where there are any. Where that is more than chance and other zones are left, the zone gets nothing new;
//! it is tried now and then, and taken back by steps. `docs/design/zones.md` has the test and its error rates.
//!
//! `handle(now, event, &mut actions)`, no I/O, no clock, no randomness but the seed's. Times are nanoseconds on the
//! embedder's clock.

mod api;
mod decaying_cusum;
mod evidence;
mod latency_histogram;
mod monitor;
mod observation;
mod peer_observations;
mod random;
mod time;
mod traffic_division;
mod zone_state;

pub use api::{Action, AttemptSignal, Event, Settings, ZoneStateReason};
pub use monitor::ZoneMonitor;
pub use observation::{ObservedState, ZoneObservation};
pub use time::Nanos;
