//! Connects zone monitoring to the driver: passes events to the zone monitor and applies the monitor's output.

use badgerpost_balancer::{Event, Nanos, ZoneId};
use tokio::sync::mpsc;

use super::Driver;
use crate::event_log::log_zone_change;
use crate::pending_io::PendingIo;
use crate::protocol::Protocol;
use crate::timers::TimerPurpose;
use crate::zone_monitoring::{
    PeerUpdate, TimerChange, ZoneChange, ZoneGossip, ZoneMonitoring, ZoneOutput, ZoneOverride,
};

impl<P: Protocol> Driver<P> {
    /// Starts zone monitoring. `seed` initialises the zone monitor's random number generator.
    pub(crate) fn start_zone_monitoring(&mut self, seed: u64) {
        let names = (0..self.settings.zone_count)
            .map(|zone| self.names.zone_name(ZoneId(zone)).unwrap_or("").to_owned());
        self.metrics.start_zone_monitoring(names.collect());
        let monitoring = ZoneMonitoring::new(&self.settings, seed, self.clock.now());
        self.zone_monitoring = Some(monitoring);
    }

    /// Sets the channel for the zone observations that are to be sent to the other nodes.
    pub(crate) fn set_gossip_sender(&mut self, gossip_sender: mpsc::Sender<ZoneGossip>) {
        self.gossip_sender = Some(gossip_sender);
    }

    /// Handles that another node joined, left or sent gossip.
    pub(crate) fn peer_updated(&mut self, update: &PeerUpdate, pending_io: &mut PendingIo<P>) {
        self.with_zone_monitoring(pending_io, |zones, now| zones.peer_updated(now, update));
    }

    /// See [`Engine::override_zone`](crate::Engine::override_zone).
    pub(crate) fn override_zone(
        &mut self,
        zone_name: &str,
        zone_override: Option<ZoneOverride>,
        pending_io: &mut PendingIo<P>,
    ) {
        let Some(zone) = self.zone(zone_name) else {
            return;
        };
        self.with_zone_monitoring(pending_io, |zones, now| {
            zones.operator_override(now, zone, zone_override)
        });
    }

    /// Calls `handle` with the zone monitoring, if zone monitoring is on, and applies the output.
    pub(super) fn with_zone_monitoring(
        &mut self,
        pending_io: &mut PendingIo<P>,
        handle: impl FnOnce(&mut ZoneMonitoring, Nanos) -> ZoneOutput,
    ) {
        let Some(monitoring) = &mut self.zone_monitoring else {
            return;
        };
        let output = handle(monitoring, self.clock.now());
        if let Some(timer) = &output.timer {
            self.replace_zone_timer(timer, pending_io);
        }
        for gossip in output.gossip {
            self.send_gossip(gossip);
        }
        for change in &output.changes {
            self.report_zone_change(change);
        }
        for event in output.balancer_events {
            if let Event::ZoneShareChanged { zone, share } = event {
                self.metrics.set_zone_share(zone, share);
            }
            self.handle(event, pending_io);
        }
    }

    fn replace_zone_timer(&mut self, timer: &TimerChange, pending_io: &mut PendingIo<P>) {
        if let Some(replaced) = timer.replaces {
            self.timers.clear(replaced, TimerPurpose::ZoneMonitor);
        }
        self.set_timer(timer.at, TimerPurpose::ZoneMonitor, pending_io);
    }

    /// Queues an observation for the other nodes. If the queue is full, the observation is dropped: each observation
    /// replaces the previous one, so the next one makes up for the loss.
    fn send_gossip(&self, gossip: ZoneGossip) {
        if let Some(sender) = &self.gossip_sender {
            let _ = sender.try_send(gossip);
        }
    }

    fn report_zone_change(&self, change: &ZoneChange) {
        log_zone_change(change, &self.names);
        self.metrics
            .set_zone_reason(change.zone, change.reason.as_str());
    }
}
