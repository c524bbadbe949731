//! Foca's settings for a fleet of a given size.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

use crate::datagram_auth::MAX_CONTENT_LENGTH;

/// Time between two probes of a member.
const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// How long a probe's response is awaited before other members are asked to probe as well.
const PROBE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Seconds that a suspected member has for refuting the suspicion, times the decimal logarithm of the fleet's size.
const SUSPICION_SECONDS_PER_DECADE: f64 = 3.0;
/// How long a member that is down is remembered: longer than any message about it is under way.
const DOWN_MEMBER_RETENTION: Duration = Duration::from_secs(600);
/// Time between two rounds of gossip, while there is any.
const GOSSIP_PERIOD: Duration = Duration::from_millis(100);
/// Members that receive each round of gossip, and that are asked for indirect probes.
const GOSSIP_FANOUT: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// Transmissions of each update, times the decimal logarithm of the fleet's size, rounded up. By SWIM's bound an update
/// that is lost on all its ways is then rare.
const TRANSMISSIONS_PER_DECADE: u8 = 4;
/// Time between two requests for the list of all members, to one of them.
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(5);
/// Time between two such requests to a member that is down: so a network partition heals.
const ANNOUNCE_TO_DOWN_PERIOD: Duration = Duration::from_secs(3);

/// Foca's settings for this number of members.
pub(crate) fn swim_config(node_count: u32) -> Config {
    let decades = f64::from(node_count.saturating_add(1)).log10().max(1.0);
    Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_RESPONSE_TIMEOUT,
        num_indirect_probes: GOSSIP_FANOUT,
        max_transmissions: max_transmissions(decades),
        suspect_to_down_after: Duration::from_secs_f64(SUSPICION_SECONDS_PER_DECADE * decades),
        remove_down_after: Some(DOWN_MEMBER_RETENTION),
        max_packet_size: NonZeroUsize::new(MAX_CONTENT_LENGTH).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: periodic(ANNOUNCE_PERIOD, NonZeroUsize::MIN),
        periodic_announce_to_down_members: periodic(ANNOUNCE_TO_DOWN_PERIOD, NonZeroUsize::MIN),
        periodic_gossip: periodic(GOSSIP_PERIOD, GOSSIP_FANOUT),
    }
}

/// Transmissions of each update.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm of a u32 is between 1 and 10"
)]
fn max_transmissions(decades: f64) -> NonZeroU8 {
    let transmissions = TRANSMISSIONS_PER_DECADE * decades.ceil() as u8;
    NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN)
}

/// An exchange with some members at a regular interval.
fn periodic(frequency: Duration, num_members: NonZeroUsize) -> Option<PeriodicParams> {
    Some(PeriodicParams {
        frequency,
        num_members,
    })
}
