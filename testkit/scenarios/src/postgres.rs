//! Scenes of PostgreSQL: stand-in databases, a node before them, and clients by real drivers, in real time. What is
//! random follows from the seed: who does what, and when a database dies, falls silent or drains. What clients were
//! told is held against what took effect, as the databases themselves know it.

pub mod load;
pub mod measure;
mod scene;
mod stage;
pub mod truth;

pub use scene::{PgScene, SHIPPED, find};
pub use stage::{PgPlayed, PgStage, play};
