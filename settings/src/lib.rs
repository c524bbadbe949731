//! Reads the platform's settings object (JSON) into the balancer's typed settings, and reads operators' TOML files with
//! errors that name the file, the line and the key.
//!
//! All programs that embed `badgerpost-balancer` use this package, so that they accept the same settings and report the
//! same errors.

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
