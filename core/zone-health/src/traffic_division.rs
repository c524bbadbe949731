//! Where the load of a closed zone goes: to the other zones by the room they have, so that no one zone gets it all.

/// A zone that may take part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ZoneCapacity {
    /// The sizes of its servers together.
    pub(crate) size: f64,
    /// Use of its cores, where it was lately reported.
    pub(crate) util: Option<f64>,
    /// Whether it may take anything.
    pub(crate) open: bool,
}

/// Use of a zone that nobody has told of.
const UNKNOWN: f64 = 0.5;
/// Least part of its size that counts as room: a late figure must not close a zone.
const LEAST: f64 = 0.05;

/// Each zone's part of what has to go somewhere else, adding up to 1 where any may take part.
pub(crate) fn divide(rooms: &[ZoneCapacity]) -> Vec<f64> {
    let room = |room: &ZoneCapacity| {
        let free = (1.0 - room.util.unwrap_or(UNKNOWN)).clamp(LEAST, 1.0);
        if room.open {
            room.size.max(0.0) * free
        } else {
            0.0
        }
    };
    let total: f64 = rooms.iter().map(room).sum();
    rooms
        .iter()
        .map(|one| if total > 0.0 { room(one) / total } else { 0.0 })
        .collect()
}

#[cfg(test)]
mod tests;
