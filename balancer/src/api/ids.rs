//! Identifiers and times of the interface.
//!
//! Ids are integers, so no name can influence a decision. Times are nanoseconds on the embedder's clock.

pub use badgerpost_time::Nanos;

/// A backend, numbered by the embedder; the number stays the same when its process restarts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);
/// A zone: its position in the settings' zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);
/// A request class: its position in [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);
/// A request of this node; an id is never used twice by one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl ZoneId {
    /// Its position among the settings' zones.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

impl ClassId {
    /// Its position in [`Settings::classes`](crate::Settings::classes).
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}
