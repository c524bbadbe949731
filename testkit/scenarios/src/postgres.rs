//! Scenarios of PostgreSQL, in real time: fake databases, a node in front of them, and clients with real drivers. Random
//! choices follow from the seed: the kinds of transactions, and when a database dies, stops to respond or drains.

pub mod consistency;
mod environment;
mod faults;
mod load;
pub mod measure;
mod run;
mod scenario;

pub use environment::PgEnvironment;
pub use faults::DrainCounts;
pub use load::ConnectionParameters;
pub use run::{PgRunReport, run};
pub use scenario::{PgScenario, SHIPPED, find};
