//! Reads what operators configure: the platform's settings object (JSON) into the balancer's typed settings, and
//! files in TOML with errors that name file, line and key.
//!
//! Every program that embeds `badgerpost-balancer` reads its settings here, so that all of them accept the same inputs
//! and report the same errors.

pub mod file;
mod name_hash;
mod name_table;
mod object_reader;
pub mod private_file;
mod read;
mod site;

pub use name_hash::name_hash;
pub use name_table::NameTable;
pub use object_reader::{ObjectError, ObjectReader};
pub use read::read;
pub use site::{ConnectionSettings, NodeSettings};
