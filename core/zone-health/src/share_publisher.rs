//! Publishes a zone's share and the reason of the zone's state to the caller when either has changed sufficiently.

use crate::action::{Action, ZoneStateReason};
use crate::ids::ZoneIndex;

/// Change of a share below which the share is not published, unless the change is from or to 0.
const MINIMUM_SHARE_CHANGE: f64 = 0.05;
/// Share that the caller assumes for a zone before the first publication.
const INITIAL_SHARE: f64 = 1.0;

/// A zone's share with the reason of its state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneShare {
    /// From 0 to 1, as in [`Action::SetShare`].
    pub(crate) share: f64,
    pub(crate) reason: ZoneStateReason,
    /// Number of servers in service in the zone.
    pub(crate) server_count: u32,
}

/// The last published share and reason of one zone.
#[derive(Debug)]
pub(crate) struct SharePublisher {
    share: f64,
    /// Name of the reason. A change of the reason's evidence alone is not published.
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
    /// Emits the actions for a zone's current share, if the share or the reason has changed sufficiently.
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
