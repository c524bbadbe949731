//! Identifiers and times of the interface.
//!
//! Ids are integers, so decisions cannot depend on names. Times are nanoseconds on the embedder's clock.

pub use badgerpost_time::Nanos;

/// A backend, numbered by the embedder. A restart of the backend's process does not change the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u32);
/// A zone of the site, as an index below [`Settings::zone_count`](crate::Settings::zone_count).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);
/// A request class, as an index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);
/// A request of this node. A process never uses an id twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

impl ZoneId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

impl ClassId {
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}
