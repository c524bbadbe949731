//! Tells the caller a zone's share and the reason of its state, when either has changed enough.

use crate::action::{Action, ZoneStateReason};
use crate::ids::ZoneIndex;

/// Change of a share below which it is not published, unless it starts or stops being 0.
const MINIMUM_SHARE_CHANGE: f64 = 0.05;
/// The share that a zone has for the caller before anything is published.
const INITIAL_SHARE: f64 = 1.0;

/// A zone's share with the reason of its state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneShare {
    /// From 0 to 1, as in [`Action::SetShare`].
    pub(crate) share: f64,
    /// Why the zone gets this share.
    pub(crate) reason: ZoneStateReason,
    /// Number of servers in service in the zone.
    pub(crate) server_count: u32,
}

/// What was last published of one zone.
#[derive(Debug)]
pub(crate) struct SharePublisher {
    share: f64,
    /// The reason's name; a change of its evidence alone is not published.
    reason_name: &'static str,
}

impl Default for SharePublisher {
    fn default() -> Self {
        Self {
            share: INITIAL_SHARE,
            reason_name: ZoneStateReason::Healthy.as_str(),
        }
    }
}

impl SharePublisher {
    /// Emits the actions for a zone's current share, if it has changed enough since the last time.
    pub(crate) fn publish(
        &mut self,
        zone: ZoneIndex,
        current: ZoneShare,
        actions: &mut Vec<Action>,
    ) {
        let ZoneShare {
            share,
            reason,
            server_count,
        } = current;
        let is_similar_share = (share - self.share).abs() < MINIMUM_SHARE_CHANGE
            && (share == 0.0) == (self.share == 0.0);
        let is_same_reason = reason.as_str() == self.reason_name;
        if is_similar_share && is_same_reason {
            return;
        }
        if share != self.share {
            actions.push(Action::SetShare { zone, share });
        }
        if !is_same_reason {
            actions.push(Action::LogChange {
                zone,
                share,
                reason,
                server_count,
            });
        }
        self.share = share;
        self.reason_name = reason.as_str();
    }
}
