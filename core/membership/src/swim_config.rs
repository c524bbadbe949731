//! The configuration of foca, the SWIM implementation.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::datagram_auth::MAX_CONTENT_BYTES;

/// The interval between two probes, each of one member.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// The time to wait for the response to a direct probe before requesting indirect probes.
const PROBE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// The time in which a suspected member may refute the suspicion, per decimal logarithm of the fleet's size.
const SUSPICION_SECONDS_PER_DECADE: f64 = 3.0;
/// The time for which a member that is down is remembered. The time has to exceed the lifetime of messages about the
/// member, which would otherwise add the member again.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(600);
/// The interval between two rounds of gossip.
const GOSSIP_PERIOD: Duration = Duration::from_millis(100);
/// The number of members that receive each round of gossip, and of members that are asked for indirect probes.
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// The number of transmissions of each update by each member, per decimal logarithm of the fleet's size, rounded up.
const TRANSMISSIONS_PER_DECADE: u8 = 4;
/// The interval between two requests for the list of all members, each to one member.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(5);
/// The interval between two such requests to a member that is down, by which members rejoin after a network partition.
const ANNOUNCE_TO_DOWN_PERIOD: Duration = Duration::from_secs(3);

/// Returns foca's configuration for a fleet of this number of members.
pub(crate) fn swim_config(node_count: u32) -> Config {
    let decades = f64::from(node_count.saturating_add(1)).log10().max(1.0);
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_RESPONSE_TIMEOUT,
        num_indirect_probes: GOSSIP_FANOUT,
        max_transmissions: max_transmissions(decades),
        suspect_to_down_after: Duration::from_secs_f64(SUSPICION_SECONDS_PER_DECADE * decades),
        remove_down_after: Some(DOWN_MEMBER_RETENTION),
        max_packet_size: NonZeroUsize::new(MAX_CONTENT_BYTES).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_PERIOD, NonZeroUsize::MIN),
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_PERIOD, NonZeroUsize::MIN),
        periodic_gossip: periodic(GOSSIP_PERIOD, GOSSIP_FANOUT),
    }
}

/// Returns the number of transmissions of each update.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm of a u32 is between 1 and 10"
)]
fn max_transmissions(decades: f64) -> NonZeroU8 {
    let transmissions = TRANSMISSIONS_PER_DECADE * decades.ceil() as u8;
    NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN)
}

/// Returns the parameters of a periodic exchange with this number of members.
fn periodic(frequency: Duration, num_members: NonZeroUsize) -> Option<PeriodicParams> {
    Some(PeriodicParams {
        frequency,
        num_members,
    })
}
