//! empty
fn main() {}
